package scheduler

import (
	"cmp"
	"slices"

	"magnoliastand.example/jobs"
	"magnoliastand.example/placement"
)

const (
	// parkDelay is the time from the last crash of a worker under a job to the job's
	// parking, in milliseconds. The loss of a rack shows meanwhile as such.
	parkDelay jobs.Millis = 15_000
	// suspectWait is how long a job that may crash its worker waits for one without
	// other jobs, in milliseconds for each crash.
	suspectWait jobs.Millis = 30_000
	// suspectShare is the largest part of a pool's open workers that run such jobs, as
	// its inverse.
	suspectShare = 4
)

// suspects places the jobs of a pool that may crash their worker.
type suspects struct {
	*planner
	pool *pool
	// free is how many more workers may run such a job.
	free     int
	reserved bool
	started  map[string]placement.Start
}

// startSuspects starts waiting jobs that may crash their worker where they do the
// least harm, and closes the workers that run one. It takes these jobs off the pool's
// waiting jobs and returns the starts by job id.
func (p *planner) startSuspects(q *pool) map[string]placement.Start {
	var waiting []*jobs.Job
	q.waiting = slices.DeleteFunc(q.waiting, func(j *jobs.Job) bool {
		suspect := j.Suspect(p.view.Now)
		if suspect {
			waiting = append(waiting, j)
		}
		return suspect
	})
	s := suspects{planner: p, pool: q, started: map[string]placement.Start{}}
	s.closeHosts()
	// The fewer workers crashed under a job, the sooner it is likely to be cleared.
	slices.SortStableFunc(waiting, func(a, b *jobs.Job) int {
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), cmp.Compare(len(a.Crashes), len(b.Crashes)))
	})
	for _, j := range waiting {
		if s.free <= 0 {
			break
		}
		if p.mayStart(j) {
			s.start(j)
		}
	}
	return s.started
}

func urgency(j *jobs.Job) int {
	if j.Spec.Urgent {
		return 0
	}
	return 1
}

// closeHosts closes the workers that run a suspect job.
func (s *suspects) closeHosts() {
	open, hosts := 0, 0
	for n := range s.pool.workers {
		w := &s.pool.workers[n]
		if !w.Open {
			continue
		}
		open++
		if slices.ContainsFunc(s.view.TasksOf(w.ID), func(j *jobs.Job) bool { return j.Suspect(s.view.Now) }) {
			hosts++
			w.Open = false
		}
	}
	s.free = max(open/suspectShare, 1) - hosts
}

// start starts a job on a worker without other jobs, preferably one that it has not
// crashed. While there is none, the worker with the fewest jobs is kept from getting
// more, and the job joins them at last.
func (s *suspects) start(j *jobs.Job) {
	task := j.Task()
	w := s.choose(j, func(w *placement.Worker) bool {
		return s.size(&task, w).Fits(w.Capacity.Sub(w.Used))
	})
	if w == nil || w.Used.Slots > 0 && s.view.Now-j.Since < suspectWait*jobs.Millis(len(j.Crashes)) {
		s.reserve(j, &task)
		return
	}
	size := s.size(&task, w)
	s.free--
	s.starts[j.Team]++
	s.started[j.ID] = placement.Start{Task: task, Worker: w.ID, Size: size}
	s.out = append(s.out, jobs.Change{Assign: &jobs.Assign{
		ID: j.ID, Worker: w.ID, IfEpoch: j.Epoch, Reserved: jobs.SizeOf(size), Reason: j.CrashReason(),
	}})
	w.Used, w.Open = w.Used.Add(size), false
}

// size returns the estimated size of the task, at most the capacity of the worker
// unless more is declared.
func (s *suspects) size(t *placement.Task, w *placement.Worker) placement.Size {
	size := s.est.Size(t)
	if !size.Fits(w.Capacity) {
		return t.Declared
	}
	return size
}

// reserve keeps the worker with the fewest jobs from getting more, once in a plan.
func (s *suspects) reserve(j *jobs.Job, t *placement.Task) {
	if s.reserved {
		return
	}
	w := s.choose(j, func(w *placement.Worker) bool { return s.size(t, w).Fits(w.Capacity) })
	if w != nil {
		s.reserved, w.Open = true, false
		s.free--
	}
}

// choose returns the suitable open worker that has the fewest jobs, or nil. Workers that
// the job has crashed come last.
func (s *suspects) choose(j *jobs.Job, suits func(*placement.Worker) bool) *placement.Worker {
	var best *placement.Worker
	less := func(a, b *placement.Worker) bool {
		if x, y := j.HasCrashed(a.ID), j.HasCrashed(b.ID); x != y && (a.Used.Slots == 0) == (b.Used.Slots == 0) {
			return y
		}
		return a.Used.Slots < b.Used.Slots
	}
	for n := range s.pool.workers {
		w := &s.pool.workers[n]
		if w.Open && suits(w) && (best == nil || less(w, best)) {
			best = w
		}
	}
	return best
}
