package replay

import (
	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
)

// Durations of platform and operator actions, in milliseconds.
const (
	joinTime         placement.Millis = 10_000
	minRebootTime    placement.Millis = 60_000
	maxRebootTime    placement.Millis = 150_000
	repairTime       placement.Millis = 12 * 60_000
	resumeDelay      placement.Millis = 10 * 60_000
	operatorInterval placement.Millis = 60_000
	quarantineTime   placement.Millis = 10 * 60_000
)

// runPlatform reports failures and performs the next step of drains, reboots and
// joins.
func (r *run) runPlatform() {
	for _, w := range r.workers {
		if r.now >= w.failAt {
			w.failAt = never
			r.reportHealth(w, fleet.Broken)
		}
		i, _ := r.state.Instance(w.id)
		r.advanceInstance(w, i)
	}
	r.refreshWorkers()
}

func (r *run) reportHealth(w *worker, h fleet.Health) {
	c := r.command(fleet.RolePlatform, "health check")
	c.Report = &fleet.Report{Instance: w.id, Health: h}
	r.apply(c)
	if h == fleet.Broken {
		r.loseTasks(w)
		w.nextChange = r.now + repairTime
	}
}

// advanceInstance performs the next step that the platform takes for an instance
// in its state.
func (r *run) advanceInstance(w *worker, i *fleet.Instance) {
	c := r.command(fleet.RolePlatform, "platform")
	on := &fleet.InstanceCommand{Instance: w.id}
	switch i.State {
	case fleet.Permitted:
		c.BeginDrain = on
	case fleet.Draining:
		if len(w.tasks) > 0 {
			return
		}
		c.ConfirmDrained = on
	case fleet.Rebooting:
		r.finishReboot(w, i)
		return
	case fleet.Joining:
		if r.now < placement.Millis(i.Since)+joinTime {
			return
		}
		c.Join = &fleet.Join{Instance: w.id, Pool: i.Pool}
	case fleet.Failed:
		if r.now >= w.nextChange {
			r.reportHealth(w, fleet.Healthy)
		}
		return
	default:
		return
	}
	r.apply(c)
}

// finishReboot draws the duration of a reboot that has just started, and confirms
// the reboot after that time. The first reboot of each instance in
// rebootFailureRack fails.
func (r *run) finishReboot(w *worker, i *fleet.Instance) {
	if w.nextChange <= placement.Millis(i.Since) {
		w.nextChange = r.now + minRebootTime + placement.Millis(r.faults.Int64N(int64(maxRebootTime-minRebootTime)))
		return
	}
	if r.now < w.nextChange {
		return
	}
	w.boots++
	if w.boots == 1 && w.rackName() == r.scenario.rebootFailureRack {
		r.reportHealth(w, fleet.Broken)
		return
	}
	if r.now >= w.faultyFrom {
		w.faultyFrom = never
	}
	r.outcomes.Forget(w.id)
	c := r.command(fleet.RolePlatform, "platform")
	c.ConfirmReboot = &fleet.ConfirmReboot{Instance: w.id, Boot: r.bootID(w)}
	r.apply(c)
}

// runOperator performs the actions of the operator: it starts the wave, resumes
// it after a pause, and sends quarantined instances to maintenance.
func (r *run) runOperator() {
	c := r.command(fleet.RoleOperator, "operator")
	on := &fleet.WaveCommand{Wave: waveName}
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
	case wave.State == fleet.WavePaused && r.now >= r.pausedAt+resumeDelay:
		r.pausedAt = 0
		c.ResumeWave = on
		r.apply(c)
	}
	if r.now%operatorInterval != 0 {
		return
	}
	for _, i := range v.Instances {
		if i.State != fleet.Quarantined || r.now < placement.Millis(i.Since)+quarantineTime {
			continue
		}
		c := r.command(fleet.RoleOperator, "repair")
		c.PermitDrain = &fleet.PermitDrain{Instance: i.ID, Purpose: fleet.PurposeMaintenance}
		r.apply(c)
	}
}
