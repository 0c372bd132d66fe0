package jobs

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// View is a snapshot of a state for readers. It does not change when the state
// does. Readers must not modify it.
type View struct {
	// Now is the control clock of the newest command, or of the reader that
	// set it with At.
	Now Millis
	// Jobs is in ascending order of id, Workers too.
	Jobs    []*Job
	Workers []*Worker
	// Teams is in ascending order of name.
	Teams   []Team
	Samples []Sample

	version  uint64
	onWorker map[string][]*Job
	running  map[string]int
}

// View returns a snapshot for readers. It is kept until the next command, so
// that many readers cost little.
func (s *State) View() *View {
	if s.view != nil {
		return s.view
	}
	v := &View{version: s.version, Now: s.now, Samples: slices.Clone(s.samples), running: maps.Clone(s.running), onWorker: map[string][]*Job{}}
	v.Jobs = slices.SortedFunc(maps.Values(s.jobs), func(a, b *Job) int { return strings.Compare(a.ID, b.ID) })
	v.Workers = slices.SortedFunc(maps.Values(s.workers), func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		v.Teams = append(v.Teams, s.teams[name])
	}
	for id := range s.onWorker {
		if len(s.onWorker[id]) > 0 {
			v.onWorker[id] = s.tasksOf(id)
		}
	}
	s.view = v
	return v
}

// At returns the view with the clock of a reader that confirmed it as the
// newest. An earlier clock has no effect.
func (v *View) At(now Millis) *View {
	c := *v
	c.Now = max(v.Now, now)
	return &c
}

// Version counts the commands that the view holds.
func (v *View) Version() uint64 { return v.version }

// Job returns the job with the id, or nil.
func (v *View) Job(id string) *Job {
	at, ok := slices.BinarySearchFunc(v.Jobs, id, func(j *Job, id string) int { return cmp.Compare(j.ID, id) })
	if !ok {
		return nil
	}
	return v.Jobs[at]
}

// Worker returns the worker with the id, or nil.
func (v *View) Worker(id string) *Worker {
	at, ok := slices.BinarySearchFunc(v.Workers, id, func(w *Worker, id string) int { return cmp.Compare(w.ID, id) })
	if !ok {
		return nil
	}
	return v.Workers[at]
}

// TasksOf returns the jobs that may be running on the worker, in order of submission.
func (v *View) TasksOf(worker string) []*Job { return v.onWorker[worker] }

// RunningOf returns how many jobs of the team may be running.
func (v *View) RunningOf(team string) int { return v.running[team] }

// Team returns the share and limit of a team. The team of open queues has
// share 1 and no limit unless it is listed.
func (v *View) Team(name string) (Team, bool) {
	at, ok := slices.BinarySearchFunc(v.Teams, name, func(t Team, name string) int { return cmp.Compare(t.Name, name) })
	if ok {
		return v.Teams[at], true
	}
	return Team{Share: 1, Limit: MaxJobs}, name == ""
}

// JobsOf returns up to limit jobs of a team in the state, or in any state if it
// is empty, in ascending order of id after the operation id.
func (v *View) JobsOf(team string, state JobState, after string, limit int) []*Job {
	prefix := JobID(team, "")
	at, found := slices.BinarySearchFunc(v.Jobs, prefix+after, func(j *Job, id string) int { return cmp.Compare(j.ID, id) })
	if found {
		at++
	}
	var out []*Job
	for ; at < len(v.Jobs) && len(out) < limit && strings.HasPrefix(v.Jobs[at].ID, prefix); at++ {
		if state == "" || v.Jobs[at].State == state {
			out = append(out, v.Jobs[at])
		}
	}
	return out
}

// NeedsHeartbeat reports whether a heartbeat must enter the log: the lease is
// RenewAfter old, or the worker holds other tasks or describes itself otherwise
// than the view has it. Usage alone is recorded with the next renewal.
func (v *View) NeedsHeartbeat(h *Heartbeat) bool {
	w := v.Worker(h.Worker)
	if w == nil || w.State == Lost || w.Incarnation != h.Incarnation || h.Leaving && w.State == Ready {
		return true
	}
	same := w.Zone == h.Zone && w.Rack == h.Rack && w.Pool == h.Pool && w.Capacity == h.Capacity && w.Slots == h.Slots
	if !same || w.Until-v.Now < LeaseTime-RenewAfter {
		return true
	}
	epochs := make(map[string]uint64, len(h.Tasks))
	for n := range h.Tasks {
		epochs[h.Tasks[n].ID] = h.Tasks[n].Epoch
	}
	return slices.ContainsFunc(v.TasksOf(w.ID), func(j *Job) bool {
		held := epochs[j.ID] == j.Epoch
		return held != (j.Started > 0)
	})
}
