package fleet

import (
	"slices"

	"magnoliastand.example/api"
)

// Timing of maintenance waves.
const (
	// WaveSoak is how long the wave waits after the last canary joined before
	// it widens. It is also how long after its maintenance a failure of an
	// instance counts against the wave.
	WaveSoak Millis = 120_000
	// waveFailureWindow is the period within which failures count as correlated.
	waveFailureWindow Millis = 3_600_000
)

// WaveState is the state of a wave. The set of values is closed.
type WaveState string

// States of a wave. A wave that was never started has no WaveRun.
const (
	WaveRunning  WaveState = "running"
	WavePaused   WaveState = "paused"
	WaveAborted  WaveState = "aborted"
	WaveFinished WaveState = "finished"
)

// WaveRun is the progress of a wave in its current round.
type WaveRun struct {
	Name  string    `cbor:"1,keyasint"`
	State WaveState `cbor:"2,keyasint"`
	// Round counts the starts of the wave, beginning with 1.
	Round   uint64 `cbor:"3,keyasint"`
	Started Millis `cbor:"4,keyasint"`
	// Ended is when the round finished or was aborted.
	Ended Millis `cbor:"5,keyasint,omitempty"`
	// Done is the number of instances maintained in this round.
	Done int `cbor:"6,keyasint,omitempty"`
	// CanaryDone is when the last canary joined.
	CanaryDone Millis `cbor:"7,keyasint,omitempty"`
	// Failures holds the times of recent failures that count against the wave.
	Failures []Millis `cbor:"8,keyasint,omitempty"`
	// Reason is why the wave is in State.
	Reason string `cbor:"9,keyasint,omitempty"`
}

// PermitLimit returns how many instances of the wave may hold a permit at time
// at: first the canary batch, and after the soak time as many as were already
// maintained in the round, up to MaxBatch.
func (r *WaveRun) PermitLimit(w api.Wave, at Millis) int {
	canary := max(w.Canary, 1)
	if r.Done < canary {
		return canary - r.Done
	}
	if at < r.CanaryDone+WaveSoak {
		return 0
	}
	return min(max(w.MaxBatch, 1), max(canary, r.Done))
}

func (c *Command) waveBody() *WaveCommand {
	for _, w := range []*WaveCommand{c.StartWave, c.PauseWave, c.ResumeWave, c.AbortWave} {
		if w != nil {
			return w
		}
	}
	return nil
}

func (s *State) applyWave(cmd *Command) (Result, error) {
	name := cmd.waveBody().Wave
	run := WaveRun{Name: name}
	if old, ok := s.waves[name]; ok {
		run = *old
		run.Failures = slices.Clone(old.Failures)
	}
	var err error
	switch {
	case cmd.StartWave != nil:
		err = s.startWave(&run, cmd)
	case cmd.PauseWave != nil:
		err = run.setState(WavePaused, cmd, WaveRunning)
	case cmd.ResumeWave != nil:
		err = run.setState(WaveRunning, cmd, WavePaused)
		run.Failures = nil
	default:
		err = run.setState(WaveAborted, cmd, WaveRunning, WavePaused)
		run.Ended = cmd.At
	}
	if err != nil {
		return Result{}, err
	}
	s.waves[name] = &run
	if run.State == WaveAborted {
		s.cancelWavePermits(name, cmd)
	}
	return Result{Wave: run.State}, nil
}

// setState changes the state of the run if it is in one of the given states.
func (r *WaveRun) setState(to WaveState, cmd *Command, from ...WaveState) error {
	if !slices.Contains(from, r.State) {
		return refuse(CodeWaveState, "wave %q is %q", r.Name, r.State)
	}
	r.State = to
	r.Reason = cmd.Reason
	return nil
}

func (s *State) startWave(r *WaveRun, cmd *Command) error {
	if _, ok := s.cfg.wave(r.Name); !ok {
		return refuse(CodeNotFound, "wave %q", r.Name)
	}
	if r.State == WaveRunning || r.State == WavePaused {
		return refuse(CodeWaveState, "wave %q is %q", r.Name, r.State)
	}
	*r = WaveRun{Name: r.Name, State: WaveRunning, Round: r.Round + 1, Started: cmd.At, Reason: cmd.Reason}
	return nil
}

// cancelWavePermits cancels the permits of the wave whose instances have not
// begun to reboot.
func (s *State) cancelWavePermits(name string, cmd *Command) {
	for _, id := range slices.Clone(s.sortedIDs) {
		i := s.instances[id]
		if i.Permit == nil || i.Permit.Wave != name {
			continue
		}
		if _, ok := Next(i.State, EventCancel); !ok {
			continue
		}
		// Next allows the event, and the transition makes no instance
		// unavailable, so it can't be refused.
		_, _ = s.transition(i, cmd, EventCancel, false, func(c *Instance) { c.Permit = nil })
	}
}

// checkWavePermit checks that the wave may grant i a permit and returns the
// current round.
func (s *State) checkWavePermit(i *Instance, name string, at Millis) (uint64, error) {
	w, ok := s.cfg.wave(name)
	run := s.waves[name]
	if !ok || run == nil || run.State != WaveRunning {
		return 0, refuse(CodeWaveState, "wave %q is not running", name)
	}
	if !slices.Contains(w.Pools, i.Pool) {
		return 0, refuse(CodeWrongPool, "wave %q does not cover pool %q", name, i.Pool)
	}
	if i.VisitOf(name).Round == run.Round {
		return 0, refuse(CodeWaveState, "instance %s was maintained in this round", i.ID)
	}
	if n, width := s.wavePermits[name], run.PermitLimit(w, at); n+1 > width {
		return 0, refuse(CodeWaveLimit, "wave %q has %d permits of at most %d", name, n, width)
	}
	return run.Round, nil
}

// recordWaveMaintenance counts a maintained instance in the round and finishes
// the round after the last one.
func (s *State) recordWaveMaintenance(name string, round uint64, at Millis) {
	old := s.waves[name]
	w, ok := s.cfg.wave(name)
	if old == nil || old.Round != round || !ok {
		return
	}
	run := *old
	run.Done++
	if run.Done == max(w.Canary, 1) {
		run.CanaryDone = at
	}
	if run.State == WaveRunning && s.pendingInWave(w, round) == 0 {
		run.State = WaveFinished
		run.Ended = at
		run.Reason = "every instance was maintained"
	}
	s.waves[name] = &run
}

// pendingInWave returns how many instances the wave has yet to maintain in the
// round.
func (s *State) pendingInWave(w api.Wave, round uint64) int {
	pending := 0
	for _, i := range s.instances {
		if slices.Contains(w.Pools, i.Pool) && i.VisitOf(w.Name).Round != round {
			pending++
		}
	}
	return pending
}

// recordWaveFailure counts the failure of i against the running waves that
// maintain it or did so within WaveSoak. A wave that reaches StopAfterFailures
// is paused.
func (s *State) recordWaveFailure(i *Instance, cmd *Command) {
	for _, w := range s.cfg.Waves {
		old := s.waves[w.Name]
		if old == nil || old.State != WaveRunning || !s.countsAgainst(i, old, cmd.At) {
			continue
		}
		run := *old
		run.Failures = slices.DeleteFunc(slices.Clone(old.Failures), func(t Millis) bool {
			return t+waveFailureWindow < cmd.At
		})
		run.Failures = append(run.Failures, cmd.At)
		if len(run.Failures) >= max(w.StopAfterFailures, 1) {
			run.State = WavePaused
			run.Reason = "correlated failure: last lost instance was " + i.ID
		}
		s.waves[w.Name] = &run
	}
}

// countsAgainst reports whether a failure of i at time at counts against the run.
func (s *State) countsAgainst(i *Instance, run *WaveRun, at Millis) bool {
	if i.Permit != nil && i.Permit.Wave == run.Name {
		return true
	}
	v := i.VisitOf(run.Name)
	return v.Round == run.Round && at < v.At+WaveSoak
}
