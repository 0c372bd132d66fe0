package workload

import (
	"cmp"
	"maps"
	"slices"
)

// retained holds the definitions that the document no longer has and unfinished jobs still
// need, as they were last in force. Each list is sorted by name.
type retained struct {
	Queues []Queue `cbor:"1,keyasint,omitempty"`
	Pools  []Pool  `cbor:"2,keyasint,omitempty"`
	// Teams have no keys: a key that was removed opens nothing.
	Teams []Team `cbor:"3,keyasint,omitempty"`
}

func (r *retained) isEmpty() bool { return len(r.Queues)+len(r.Pools)+len(r.Teams) == 0 }

// queue, pool and team return the definition with a name, or nil.
func (r *retained) queue(name string) *Queue {
	return find(r.Queues, name, func(q *Queue) string { return q.Name })
}

func (r *retained) pool(name string) *Pool {
	return find(r.Pools, name, func(p *Pool) string { return p.Name })
}

func (r *retained) team(name string) *Team {
	return find(r.Teams, name, func(t *Team) string { return t.Name })
}

func find[T any](sorted []T, name string, nameOf func(*T) string) *T {
	at, found := slices.BinarySearchFunc(sorted, name, func(v T, name string) int { return cmp.Compare(nameOf(&v), name) })
	if !found {
		return nil
	}
	return &sorted[at]
}

// retainedBeside returns the definitions in force that unfinished jobs need and a new
// document lacks.
func (s *State) retainedBeside(next *Document) retained {
	queues, pools, teams := map[string]Queue{}, map[string]Pool{}, map[string]Team{}
	for _, j := range s.active {
		q, known := s.QueueOf(j)
		at := slices.IndexFunc(next.Queues, func(q Queue) bool { return q.Name == j.Queue })
		pool := j.Pool
		switch {
		case at >= 0:
			pool = next.Queues[at].Pool
		case known:
			queues[q.Name], pool = *q, q.Pool
		}
		if p, known := s.Pool(pool); known && !slices.ContainsFunc(next.Pools, func(p Pool) bool { return p.Name == pool }) {
			pools[pool] = *p
		}
		if t, known := s.Team(j.Team); known && !slices.ContainsFunc(next.Teams, func(t Team) bool { return t.Name == j.Team }) {
			team := *t
			team.Keys = nil
			teams[j.Team] = team
		}
	}
	return retained{Queues: byName(queues), Pools: byName(pools), Teams: byName(teams)}
}

func byName[T any](definitions map[string]T) []T {
	var out []T
	for _, name := range slices.Sorted(maps.Keys(definitions)) {
		out = append(out, definitions[name])
	}
	return out
}

// isExhausted reports whether a task has failed as often as its queue allows.
func (s *State) isExhausted(j *Job, t *Task, step *Step) bool {
	return !step.LongRunning && t.Failures >= s.MaxAttempts(j)
}

// failExhausted fails the jobs with a waiting task that a new document allows no further
// run. A task with a current run is judged by its end.
func (s *State) failExhausted(now Millis) {
	for _, id := range slices.Sorted(maps.Keys(s.active)) {
		j := s.active[id]
		if r, exhausted := s.exhaustedTask(j); exhausted {
			s.markRunning(j)
			s.finish(j, JobFailed, now)
			s.givenUp = append(s.givenUp, GivenUp{Task: r})
		}
	}
}

// exhaustedTask returns a waiting task of a job that is exhausted.
func (s *State) exhaustedTask(j *Job) (TaskRef, bool) {
	for k := range j.Tasks {
		for st := range j.Tasks[k] {
			for i := range j.Tasks[k][st] {
				if t := &j.Tasks[k][st][i]; t.State == TaskWaiting && s.isExhausted(j, t, &j.Spec.Steps[st]) {
					return TaskRef{Job: j.ID, Occurrence: k, Step: st, Index: i}, true
				}
			}
		}
	}
	return TaskRef{}, false
}
