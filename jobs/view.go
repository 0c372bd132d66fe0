package jobs

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// View is a read-only snapshot of a state. It is not affected by later commands.
// Readers must not modify it.
type View struct {
	// Now is the control clock of the latest command, or the time set with At.
	Now Millis
	// Jobs and Workers are in ascending order of id.
	Jobs    []*Job
	Workers []*Worker
	// Teams is in ascending order of name.
	Teams   []Team
	Samples []Sample

	version  uint64
	onWorker map[string][]*Job
	running  map[string]int
	// evacuated is shared with the state, which replaces it and never modifies it.
	evacuated map[string]struct{}
}

// View returns a read-only snapshot. It is cached until the next command, so
// that concurrent readers share one copy.
func (s *State) View() *View {
	if s.view != nil {
		return s.view
	}
	v := &View{
		version: s.version, Now: s.now, Jobs: slices.Clone(s.jobList), Workers: slices.Clone(s.workerList),
		Samples: slices.Clone(s.samples), running: maps.Clone(s.running), onWorker: maps.Clone(s.onWorker),
		evacuated: s.evacuated,
	}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		v.Teams = append(v.Teams, s.teams[name])
	}
	s.view = v
	return v
}

// At returns the view with its clock advanced to now, for a reader that confirmed
// that the view is up to date. An earlier time has no effect.
func (v *View) At(now Millis) *View {
	c := *v
	c.Now = max(v.Now, now)
	return &c
}

// Version returns the number of commands that the view includes.
func (v *View) Version() uint64 { return v.version }

// Job returns the job with the id, or nil.
func (v *View) Job(id string) *Job {
	at, ok := slices.BinarySearchFunc(v.Jobs, id, compareJob)
	if !ok {
		return nil
	}
	return v.Jobs[at]
}

// Worker returns the worker with the id, or nil.
func (v *View) Worker(id string) *Worker {
	at, ok := slices.BinarySearchFunc(v.Workers, id, compareWorker)
	if !ok {
		return nil
	}
	return v.Workers[at]
}

// InEvacuatedZone reports whether the worker is in an evacuated availability zone.
func (v *View) InEvacuatedZone(w *Worker) bool {
	_, evacuated := v.evacuated[w.Zone]
	return evacuated
}

// TasksOf returns the jobs that may be running on the worker, in order of submission.
func (v *View) TasksOf(worker string) []*Job { return v.onWorker[worker] }

// RunningOf returns the number of the team's jobs that may be running.
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

// JobsOf returns up to limit jobs of a team, in ascending order of id, that
// follow the operation id after. An empty state matches every state.
func (v *View) JobsOf(team string, state JobState, after string, limit int) []*Job {
	prefix := JobID(team, "")
	at, found := slices.BinarySearchFunc(v.Jobs, prefix+after, compareJob)
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

// usageChangeThreshold is the relative change in resource usage from which
// a heartbeat is written to the log.
const usageChangeThreshold = 0.25

// HeartbeatChange returns the change to propose for a heartbeat. It returns
// false if the heartbeat reports nothing new and the lease is younger than
// LeaseRenewalAge.
func (v *View) HeartbeatChange(h *Heartbeat) (Change, bool) {
	w := v.Worker(h.Worker)
	if w == nil || !w.matches(h) || v.tasksDiffer(w, h) {
		return Change{Heartbeat: h}, true
	}
	if w.Until-v.Now >= LeaseDuration-LeaseRenewalAge {
		return Change{}, false
	}
	return Change{Renew: &Renew{Worker: w.ID, LeaseEpoch: w.LeaseEpoch, Seq: h.Seq}}, true
}

// matches reports whether the heartbeat leaves the worker's attributes and state
// unchanged.
func (w *Worker) matches(h *Heartbeat) bool {
	drains := h.Leaving && w.State == Ready
	same := w.Zone == h.Zone && w.Rack == h.Rack && w.Pool == h.Pool && w.Capacity == h.Capacity && w.Slots == h.Slots
	return same && !drains && w.State != Lost && w.Incarnation == h.Incarnation
}

// tasksDiffer reports whether the worker's tasks differ from those in the view,
// or the resource usage of a task changed considerably.
func (v *View) tasksDiffer(w *Worker, h *Heartbeat) bool {
	reports := make(map[string]*TaskReport, len(h.Tasks))
	for n := range h.Tasks {
		reports[h.Tasks[n].ID] = &h.Tasks[n]
	}
	return slices.ContainsFunc(v.TasksOf(w.ID), func(j *Job) bool {
		r := reports[j.ID]
		reported := r != nil && r.Epoch == j.Epoch
		if reported != (j.Started > 0) {
			return true
		}
		return reported && (usageChanged(r.Used.Processors, j.Used.Processors) || usageChanged(r.Used.MemoryMB, j.Used.MemoryMB))
	})
}

func usageChanged(a, b int) bool {
	return math.Abs(float64(a-b)) > usageChangeThreshold*float64(max(a, b))
}
