package planner

import (
	"magnoliastand.example/fleet"
)

// Time-outs of drains and reboots outside waves, in milliseconds.
const (
	drainTimeout  fleet.Millis = 10 * 60_000
	rebootTimeout fleet.Millis = 15 * 60_000
)

// progress proposes the next step of each instance that holds a permit.
func (r *round) progress() {
	for _, i := range r.snap.Fleet.Instances {
		if i.Permit == nil {
			continue
		}
		switch i.State {
		case fleet.Permitted, fleet.Draining:
			if r.snap.Now-i.Permit.Since > r.drainTimeout(i) {
				r.cancel(i, "drain timed out")
			}
		case fleet.Drained:
			r.afterDrain(i)
		case fleet.Rebooting:
			if r.snap.Now-i.Since > r.rebootTimeout(i) {
				report := &fleet.Report{Instance: i.ID, Health: fleet.Broken}
				r.propose(fleet.Command{Report: report}, "reboot timed out")
			}
		}
	}
}

func (r *round) cancel(i *fleet.Instance, reason string) {
	on := &fleet.OnInstance{Instance: i.ID, IfRevision: i.Revision}
	r.propose(fleet.Command{CancelPermit: on}, reason)
}

// afterDrain proposes what the permit of a drained instance is for. A move
// that waits too long for its target's budget is given up.
func (r *round) afterDrain(i *fleet.Instance) {
	switch i.Permit.Purpose {
	case fleet.PurposeMaintenance:
		on := &fleet.OnInstance{Instance: i.ID, IfRevision: i.Revision}
		r.propose(fleet.Command{BeginReboot: on}, "drained for maintenance")
	case fleet.PurposeMove:
		if r.snap.Now-i.Since > drainTimeout {
			r.cancel(i, "move timed out")
			return
		}
		if r.headroom.Left(i.Permit.Target) <= 0 {
			return
		}
		c := &fleet.ChangePool{Instance: i.ID, From: i.Pool, To: i.Permit.Target}
		r.propose(fleet.Command{ChangePool: c}, "drained for a move")
	}
}

func (r *round) drainTimeout(i *fleet.Instance) fleet.Millis {
	for _, w := range r.snap.Fleet.Config.Waves {
		if w.Name == i.Permit.Wave && w.DrainTimeout > 0 {
			return fleet.Millis(w.DrainTimeout.Std().Milliseconds())
		}
	}
	return drainTimeout
}

func (r *round) rebootTimeout(i *fleet.Instance) fleet.Millis {
	for _, w := range r.snap.Fleet.Config.Waves {
		if w.Name == i.Permit.Wave && w.RebootTimeout > 0 {
			return fleet.Millis(w.RebootTimeout.Std().Milliseconds())
		}
	}
	return rebootTimeout
}
