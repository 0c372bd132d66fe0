package fleet

// applyDrain applies the commands for moves, maintenance, retirement and
// quarantine.
func (s *State) applyDrain(cmd *Command) (Result, error) {
	switch {
	case cmd.PermitDrain != nil:
		return s.permitDrain(cmd)
	case cmd.ChangePool != nil:
		return s.changePool(cmd)
	case cmd.ConfirmReboot != nil:
		return s.confirmReboot(cmd)
	case cmd.Join != nil:
		return s.join(cmd)
	case cmd.BeginDrain != nil:
		return s.applyEvent(cmd, cmd.BeginDrain, EventBeginDrain)
	case cmd.ConfirmDrained != nil:
		return s.applyEvent(cmd, cmd.ConfirmDrained, EventDrained)
	case cmd.BeginReboot != nil:
		return s.beginReboot(cmd)
	case cmd.CancelPermit != nil:
		return s.cancelPermit(cmd)
	case cmd.Quarantine != nil:
		return s.quarantine(cmd)
	}
	return s.applyEvent(cmd, cmd.Release, EventRelease)
}

// applyEvent applies a transition that changes nothing but the state.
func (s *State) applyEvent(cmd *Command, on *InstanceCommand, e Event) (Result, error) {
	i, err := s.lookup(on.Instance, on.IfRevision)
	if err != nil {
		return Result{}, err
	}
	return s.transition(i, cmd, e, true, nil)
}

func (s *State) permitDrain(cmd *Command) (Result, error) {
	p := cmd.PermitDrain
	i, err := s.lookup(p.Instance, p.IfRevision)
	if err != nil {
		return Result{}, err
	}
	if i.Pinned && cmd.Actor.Role != RoleOperator {
		return Result{}, refuse(CodePinned, "instance %s is pinned by an operator", i.ID)
	}
	permit := &Permit{Purpose: p.Purpose, Target: p.Target, Wave: p.Wave, Since: cmd.At, By: cmd.Actor}
	if err := s.checkPurpose(i, permit, cmd.At); err != nil {
		return Result{}, err
	}
	return s.transition(i, cmd, EventPermit, true, func(c *Instance) { c.Permit = permit })
}

// checkPurpose validates the purpose of the permit and sets its wave round.
func (s *State) checkPurpose(i *Instance, p *Permit, at Millis) error {
	if p.Purpose != PurposeMove && p.Target != "" {
		return refuse(CodeInvalid, "only a move has a target")
	}
	if p.Purpose != PurposeMaintenance && p.Wave != "" {
		return refuse(CodeInvalid, "only a maintenance belongs to a wave")
	}
	switch p.Purpose {
	case PurposeMove:
		if p.Target == i.Pool {
			return refuse(CodeWrongPool, "instance %s is in pool %q already", i.ID, p.Target)
		}
		if p.Target == "" {
			return refuse(CodeInvalid, "a move needs a target")
		}
		return s.checkPoolBounds(i.Pool, p.Target)
	case PurposeRetire:
		return s.checkPoolBounds(i.Pool, "")
	case PurposeMaintenance:
		if p.Wave == "" {
			return nil
		}
		round, err := s.checkWavePermit(i, p.Wave, at)
		p.Round = round
		return err
	}
	return refuse(CodeInvalid, "%q is not a purpose", p.Purpose)
}

func (s *State) changePool(cmd *Command) (Result, error) {
	c := cmd.ChangePool
	i, err := s.lookup(c.Instance, 0)
	if err != nil {
		return Result{}, err
	}
	if i.Pool != c.From {
		return Result{}, refuse(CodeWrongPool, "instance %s is in pool %q, not %q", i.ID, i.Pool, c.From)
	}
	if i.Permit == nil || i.Permit.Purpose != PurposeMove || i.Permit.Target != c.To {
		return Result{}, refuse(CodeWrongPurpose, "instance %s holds no permit to move to %q", i.ID, c.To)
	}
	if _, ok := s.cfg.pool(c.To); !ok {
		return Result{}, refuse(CodeNotFound, "pool %q", c.To)
	}
	return s.transition(i, cmd, EventChangePool, true, func(i *Instance) { i.Pool = c.To })
}

func (s *State) beginReboot(cmd *Command) (Result, error) {
	i, err := s.lookup(cmd.BeginReboot.Instance, cmd.BeginReboot.IfRevision)
	if err != nil {
		return Result{}, err
	}
	if i.Permit == nil || i.Permit.Purpose != PurposeMaintenance {
		return Result{}, refuse(CodeWrongPurpose, "instance %s holds no permit for maintenance", i.ID)
	}
	return s.transition(i, cmd, EventReboot, true, nil)
}

func (s *State) confirmReboot(cmd *Command) (Result, error) {
	c := cmd.ConfirmReboot
	i, err := s.lookup(c.Instance, 0)
	if err != nil {
		return Result{}, err
	}
	if c.Boot == "" || c.Boot == i.Boot {
		return Result{}, refuse(CodeSameBoot, "instance %s still has boot %q", i.ID, i.Boot)
	}
	return s.transition(i, cmd, EventRebooted, true, func(n *Instance) {
		n.Boot = c.Boot
		if n.Permit != nil {
			n.Permit.Rebooted = true
		}
	})
}

// join makes an instance available and releases its permit.
func (s *State) join(cmd *Command) (Result, error) {
	i, err := s.lookup(cmd.Join.Instance, 0)
	if err != nil {
		return Result{}, err
	}
	if i.Pool != cmd.Join.Pool {
		return Result{}, refuse(CodeWrongPool, "instance %s is in pool %q, not %q", i.ID, i.Pool, cmd.Join.Pool)
	}
	var wave string
	res, err := s.transition(i, cmd, EventJoin, true, func(c *Instance) {
		p := c.Permit
		c.Permit = nil
		if p != nil && p.Rebooted && p.Wave != "" {
			c.recordVisit(Visit{Wave: p.Wave, Round: p.Round, At: cmd.At})
			wave = p.Wave
		}
	})
	if err == nil && wave != "" {
		s.recordWaveMaintenance(wave, i.Permit.Round, cmd.At)
	}
	return res, err
}

func (s *State) cancelPermit(cmd *Command) (Result, error) {
	i, err := s.lookup(cmd.CancelPermit.Instance, cmd.CancelPermit.IfRevision)
	if err != nil {
		return Result{}, err
	}
	return s.transition(i, cmd, EventCancel, true, func(c *Instance) { c.Permit = nil })
}

func (s *State) quarantine(cmd *Command) (Result, error) {
	i, err := s.lookup(cmd.Quarantine.Instance, cmd.Quarantine.IfRevision)
	if err != nil {
		return Result{}, err
	}
	return s.transition(i, cmd, EventQuarantine, true, func(c *Instance) { c.Permit = nil })
}
