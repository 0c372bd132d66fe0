package planner

import (
	"magnoliastand.example/fleet"
)

// Default time-outs, in milliseconds. They apply outside waves and to waves
// without a time-out of their own.
const (
	drainTimeout  fleet.Millis = 10 * 60_000
	rebootTimeout fleet.Millis = 15 * 60_000
)

// advancePermits proposes the next step for each instance with a permit. After a
// time-out it proposes to cancel a drain, or reports a rebooting instance as
// failed.
func (r *planRound) advancePermits() {
	for _, i := range r.snapshot.Fleet.Instances {
		if i.Permit == nil {
			continue
		}
		switch i.State {
		case fleet.Permitted, fleet.Draining:
			if r.snapshot.Now-i.Permit.Since > r.drainTimeout(i) {
				r.proposeCancel(i, "drain timed out")
			}
		case fleet.Drained:
			r.proposeAfterDrain(i)
		case fleet.Rebooting:
			if r.snapshot.Now-i.Since > r.rebootTimeout(i) {
				report := &fleet.Report{Instance: i.ID, Health: fleet.Broken}
				r.propose(fleet.Command{Report: report}, "reboot timed out")
			}
		}
	}
}

func (r *planRound) proposeCancel(i *fleet.Instance, reason string) {
	on := &fleet.InstanceCommand{Instance: i.ID, IfRevision: i.Revision}
	r.propose(fleet.Command{CancelPermit: on}, reason)
}

// proposeAfterDrain proposes the reboot or the change of pool for which the
// instance was drained. A move is cancelled if the budget of the target pool
// does not allow it within the drain time-out.
func (r *planRound) proposeAfterDrain(i *fleet.Instance) {
	switch i.Permit.Purpose {
	case fleet.PurposeMaintenance:
		on := &fleet.InstanceCommand{Instance: i.ID, IfRevision: i.Revision}
		r.propose(fleet.Command{BeginReboot: on}, "drained for maintenance")
	case fleet.PurposeMove:
		if r.snapshot.Now-i.Since > drainTimeout {
			r.proposeCancel(i, "move timed out")
			return
		}
		if r.headroom.Remaining(i.Permit.Target) <= 0 {
			return
		}
		c := &fleet.ChangePool{Instance: i.ID, From: i.Pool, To: i.Permit.Target}
		r.propose(fleet.Command{ChangePool: c}, "drained for a move")
	}
}

func (r *planRound) drainTimeout(i *fleet.Instance) fleet.Millis {
	for _, w := range r.snapshot.Fleet.Config.Waves {
		if w.Name == i.Permit.Wave && w.DrainTimeout > 0 {
			return fleet.Millis(w.DrainTimeout.Std().Milliseconds())
		}
	}
	return drainTimeout
}

func (r *planRound) rebootTimeout(i *fleet.Instance) fleet.Millis {
	for _, w := range r.snapshot.Fleet.Config.Waves {
		if w.Name == i.Permit.Wave && w.RebootTimeout > 0 {
			return fleet.Millis(w.RebootTimeout.Std().Milliseconds())
		}
	}
	return rebootTimeout
}
