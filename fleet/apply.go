package fleet

import "magnoliastand.example/api"

// Apply validates the command against the current state and applies it. The
// error is nil or a *Refusal; a refused command leaves the state unchanged.
func (s *State) Apply(cmd Command) (Result, error) {
	if err := cmd.check(); err != nil {
		return Result{}, err
	}
	switch {
	case cmd.SetConfig != nil:
		return s.setConfig(cmd.SetConfig)
	case cmd.Register != nil:
		return s.register(&cmd)
	case cmd.Report != nil:
		return s.report(&cmd)
	case cmd.Pin != nil:
		return s.pin(&cmd)
	case cmd.Deregister != nil:
		return s.deregister(&cmd)
	case cmd.waveBody() != nil:
		return s.applyWave(&cmd)
	}
	return s.applyDrain(&cmd)
}

// countBodies returns the number of body fields that are set.
func (c *Command) countBodies() int {
	n := 0
	for _, set := range []bool{
		c.SetConfig != nil, c.Register != nil, c.Report != nil, c.PermitDrain != nil,
		c.BeginDrain != nil, c.ConfirmDrained != nil, c.ChangePool != nil, c.BeginReboot != nil,
		c.ConfirmReboot != nil, c.Join != nil, c.CancelPermit != nil, c.Quarantine != nil,
		c.Release != nil, c.Pin != nil, c.Deregister != nil, c.StartWave != nil,
		c.PauseWave != nil, c.ResumeWave != nil, c.AbortWave != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (c *Command) check() error {
	if n := c.countBodies(); n != 1 {
		return refuse(CodeInvalid, "command has %d bodies, needs 1", n)
	}
	switch c.Actor.Role {
	case RolePlanner, RoleOperator, RolePlatform:
		return nil
	}
	return refuse(CodeInvalid, "%q is not a role", c.Actor.Role)
}

// lookup returns the instance and checks its revision unless ifRevision is 0.
func (s *State) lookup(id string, ifRevision uint64) (*Instance, error) {
	i, ok := s.instances[id]
	if !ok {
		return nil, refuse(CodeNotFound, "instance %q", id)
	}
	if ifRevision != 0 && ifRevision != i.Revision {
		return nil, refuse(CodeRevision, "instance %s has revision %d, command was for %d", id, i.Revision, ifRevision)
	}
	return i, nil
}

func (s *State) register(cmd *Command) (Result, error) {
	r := cmd.Register
	if r.Instance == "" || r.Zone == "" || r.Rack == "" {
		return Result{}, refuse(CodeInvalid, "instance, zone and rack must be given")
	}
	if old, ok := s.instances[r.Instance]; ok {
		return s.reregister(old, cmd)
	}
	pool := r.Pool
	if pool == "" {
		pool = s.cfg.sparePool()
	}
	if _, ok := s.cfg.pool(pool); !ok {
		return Result{}, refuse(CodeNotFound, "pool %q", pool)
	}
	i := &Instance{
		ID: r.Instance, Zone: r.Zone, Rack: r.Rack, Resources: r.Resources,
		Pool: pool, State: Joining, Since: cmd.At, Boot: r.Boot, Revision: 1,
	}
	i.record(cmd, EventRegister, "")
	s.put(i)
	s.assertOnePool(i)
	return resultOf(i), nil
}

// reregister handles the registration of a known instance. Its zone, rack and
// resources can change only while it is failed or unknown, as after a
// replacement of the machine.
func (s *State) reregister(old *Instance, cmd *Command) (Result, error) {
	r := cmd.Register
	if _, ok := Next(old.State, EventRegister); ok {
		return s.transition(old, cmd, EventRegister, false, func(i *Instance) {
			i.Zone, i.Rack, i.Resources, i.Boot = r.Zone, r.Rack, r.Resources, r.Boot
		})
	}
	if old.Zone != r.Zone || old.Rack != r.Rack || old.Resources != r.Resources {
		return Result{}, refuse(CodeWrongState, "instance %s is %s and cannot change its place or size", old.ID, old.State)
	}
	return resultOf(old), nil
}

func (s *State) report(cmd *Command) (Result, error) {
	r := cmd.Report
	i, err := s.lookup(r.Instance, 0)
	if err != nil {
		return Result{}, err
	}
	event, ok := healthEvents[r.Health]
	if !ok {
		return Result{}, refuse(CodeInvalid, "%q is not a health", r.Health)
	}
	if _, ok := Next(i.State, event); !ok {
		return s.updateBoot(i, r), nil
	}
	if cmd.Actor.Role != RolePlatform && i.State.Available() {
		return Result{}, refuse(CodeWrongState, "only the platform may report an active instance as %s", r.Health)
	}
	if event != EventHealthy {
		s.recordWaveFailure(i, cmd)
	}
	return s.transition(i, cmd, event, false, func(c *Instance) {
		c.Permit = nil
		if r.Boot != "" {
			c.Boot = r.Boot
		}
	})
}

// updateBoot records the boot of an instance that restarted on its own, so that
// this boot can't confirm a later maintenance reboot.
func (s *State) updateBoot(i *Instance, r *Report) Result {
	if r.Health != Healthy || r.Boot == "" || r.Boot == i.Boot || i.State == Rebooting {
		return resultOf(i)
	}
	c := i.clone()
	c.Boot = r.Boot
	s.put(c)
	return resultOf(c)
}

var healthEvents = map[Health]Event{
	Healthy: EventHealthy,
	Broken:  EventFail,
	Silent:  EventSilent,
}

func (s *State) pin(cmd *Command) (Result, error) {
	if cmd.Actor.Role != RoleOperator {
		return Result{}, refuse(CodeInvalid, "only operators pin instances")
	}
	i, err := s.lookup(cmd.Pin.Instance, 0)
	if err != nil {
		return Result{}, err
	}
	return s.transition(i, cmd, EventPin, false, func(c *Instance) { c.Pinned = cmd.Pin.Pinned })
}

// deregister removes an instance that is failed, unknown or drained for
// retirement.
func (s *State) deregister(cmd *Command) (Result, error) {
	i, err := s.lookup(cmd.Deregister.Instance, cmd.Deregister.IfRevision)
	if err != nil {
		return Result{}, err
	}
	retired := i.State == Drained && i.Permit != nil && i.Permit.Purpose == PurposeRetire
	if !retired && i.State != Failed && i.State != Unknown {
		return Result{}, refuse(CodeWrongState, "instance %s is %s and not drained to be retired", i.ID, i.State)
	}
	s.remove(i)
	return Result{Instance: i.ID, Pool: i.Pool}, nil
}

// checkPoolBounds refuses a move that would bring the source pool below its
// minimum size or the target pool above its maximum size, counting pending
// moves. The target is empty for a retirement. The instance's own move must not
// be counted yet.
func (s *State) checkPoolBounds(from, to string) error {
	p, _ := s.cfg.pool(from)
	left := s.counts[failureDomain{api.ScopePool, from}].members - s.leaving[from] - 1
	if left < p.MinInstances {
		return refuse(CodePoolBounds, "pool %q would keep %d instances, needs %d", from, left, p.MinInstances)
	}
	if to == "" {
		return nil
	}
	p, ok := s.cfg.pool(to)
	if !ok {
		return refuse(CodeNotFound, "pool %q", to)
	}
	have := s.counts[failureDomain{api.ScopePool, to}].members + s.arriving[to]
	if p.MaxInstances > 0 && have+1 > p.MaxInstances {
		return refuse(CodePoolBounds, "pool %q would have %d instances, may have %d", to, have+1, p.MaxInstances)
	}
	return nil
}
