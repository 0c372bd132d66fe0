package replay

import (
	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
)

// Behaviour of the platform and of operators, in milliseconds.
const (
	joinTime      placement.Millis = 10_000
	leastReboot   placement.Millis = 60_000
	mostReboot    placement.Millis = 150_000
	repairTime    placement.Millis = 12 * 60_000
	resumeAfter   placement.Millis = 10 * 60_000
	operatorTurn  placement.Millis = 60_000
	quarantineFor placement.Millis = 10 * 60_000
)

// platform reports failures and carries out drains, reboots and joins.
func (r *run) platform() {
	for _, w := range r.workers {
		if r.now >= w.failAt {
			w.failAt = never
			r.report(w, fleet.Broken)
		}
		i, _ := r.state.Instance(w.id)
		r.carryOut(w, i)
	}
	r.refresh()
}

func (r *run) report(w *worker, h fleet.Health) {
	c := r.command(fleet.RolePlatform, "health check")
	c.Report = &fleet.Report{Instance: w.id, Health: h}
	r.apply(c)
	if h == fleet.Broken {
		r.lose(w)
		w.nextAt = r.now + repairTime
	}
}

// carryOut does what the instance's state asks of the platform.
func (r *run) carryOut(w *worker, i *fleet.Instance) {
	c := r.command(fleet.RolePlatform, "platform")
	on := &fleet.OnInstance{Instance: w.id}
	switch i.State {
	case fleet.Permitted:
		c.BeginDrain = on
	case fleet.Draining:
		if len(w.tasks) > 0 {
			return
		}
		c.ConfirmDrained = on
	case fleet.Rebooting:
		r.reboot(w, i)
		return
	case fleet.Joining:
		if r.now < placement.Millis(i.Since)+joinTime {
			return
		}
		c.Join = &fleet.Join{Instance: w.id, Pool: i.Pool}
	case fleet.Failed:
		if r.now >= w.nextAt {
			r.report(w, fleet.Healthy)
		}
		return
	default:
		return
	}
	r.apply(c)
}

// reboot ends a reboot after its time. The first reboot of an instance in the
// weak rack fails.
func (r *run) reboot(w *worker, i *fleet.Instance) {
	if w.nextAt <= placement.Millis(i.Since) {
		w.nextAt = r.now + leastReboot + placement.Millis(r.faults.Int64N(int64(mostReboot-leastReboot)))
		return
	}
	if r.now < w.nextAt {
		return
	}
	w.boots++
	if w.boots == 1 && w.rackName() == r.sc.weakRack {
		r.report(w, fleet.Broken)
		return
	}
	if r.now >= w.badFrom {
		w.badFrom = never
	}
	r.outcomes.Forget(w.id)
	c := r.command(fleet.RolePlatform, "platform")
	c.ConfirmReboot = &fleet.ConfirmReboot{Instance: w.id, Boot: r.boot(w)}
	r.apply(c)
}

// operate starts the wave, resumes it after a pause, and repairs quarantined
// instances.
func (r *run) operate() {
	c := r.command(fleet.RoleOperator, "operator")
	on := &fleet.OnWave{Wave: waveName}
	v := r.state.View()
	wave := v.Waves[waveName]
	switch {
	case wave == nil:
		if r.now < waveStart {
			break
		}
		c.StartWave = on
		r.apply(c)
	case wave.State == fleet.WavePaused && r.pausedAt == 0:
		r.pausedAt = r.now
	case wave.State == fleet.WavePaused && r.now >= r.pausedAt+resumeAfter:
		r.pausedAt = 0
		c.ResumeWave = on
		r.apply(c)
	}
	if r.now%operatorTurn != 0 {
		return
	}
	for _, i := range v.Instances {
		if i.State != fleet.Quarantined || r.now < placement.Millis(i.Since)+quarantineFor {
			continue
		}
		c := r.command(fleet.RoleOperator, "repair")
		c.PermitDrain = &fleet.PermitDrain{Instance: i.ID, Purpose: fleet.PurposeMaintenance}
		r.apply(c)
	}
}
