package jobs

import (
	"cmp"
	"maps"
	"slices"

	"magnoliastand.example/invariant"
)

// options disables individual safety checks, so that tests can verify that the
// invariant checks detect the resulting violations.
type options struct {
	// ignoreMayHaveRun reassigns jobs that may have run, even if they are not
	// idempotent.
	ignoreMayHaveRun bool
	// ignoreLimit assigns jobs beyond team limits.
	ignoreLimit bool
	// ignoreLease declares workers lost whose lease has not expired.
	ignoreLease bool
	// ignorePastIncarnations accepts heartbeats of earlier incarnations.
	ignorePastIncarnations bool
	// ignoreConfirmation registers new incarnations at their first heartbeat.
	ignoreConfirmation bool
	// ignoreLateSuccess refuses the success of earlier assignments.
	ignoreLateSuccess bool
	// ignoreEvacuations assigns jobs to workers in evacuated zones.
	ignoreEvacuations bool
}

// State is the replicated state of jobs and workers. It is not safe for
// concurrent use.
type State struct {
	now Millis
	// rules are those of the command that is being applied.
	rules Rules
	// version counts the applied commands.
	version          uint64
	seq              uint64
	epoch            uint64
	jobs             map[string]*Job
	workers          map[string]*Worker
	pastIncarnations map[string][]string
	teams            map[string]Team
	samples          []Sample
	// restarts are the last restarts of workers, oldest first.
	restarts []restart
	// finished lists the ids of finished jobs in the order in which they finished.
	finished []string

	// The following indexes are derived from jobs and workers. jobList and
	// workerList are in ascending order of id. The lists in onWorker are in order
	// of submission; they are replaced and never modified, so that views can
	// share them.
	jobList    []*Job
	workerList []*Worker
	onWorker   map[string][]*Job
	running    map[string]int

	// evacuated is the set of evacuated zones. It belongs to the control state and is
	// not part of the snapshot.
	evacuated map[string]struct{}

	view *View
	opts options
}

// New returns an empty state.
func New() *State {
	return &State{
		jobs:             map[string]*Job{},
		workers:          map[string]*Worker{},
		pastIncarnations: map[string][]string{},
		teams:            map[string]Team{},
		onWorker:         map[string][]*Job{},
		running:          map[string]int{},
	}
}

// Now returns the time of the newest command.
func (s *State) Now() Millis { return s.now }

// SetEvacuatedZones replaces the list of evacuated zones. Jobs are not assigned to
// workers of these zones. The caller sets the list again after Restore.
func (s *State) SetEvacuatedZones(zones []string) {
	s.view = nil
	s.evacuated = make(map[string]struct{}, len(zones))
	for _, z := range zones {
		s.evacuated[z] = struct{}{}
	}
}

// HasZone reports whether any known worker is in the availability zone.
func (s *State) HasZone(zone string) bool {
	return slices.ContainsFunc(s.workerList, func(w *Worker) bool { return w.Zone == zone })
}

// inEvacuatedZone reports whether the worker is in an evacuated zone.
func (s *State) inEvacuatedZone(worker string) bool {
	w := s.workers[worker]
	if w == nil {
		return false
	}
	_, evacuated := s.evacuated[w.Zone]
	return evacuated
}

// putJob stores j in place of the job with the same id and updates the indexes.
func (s *State) putJob(j *Job) {
	old := s.jobs[j.ID]
	at, _ := slices.BinarySearchFunc(s.jobList, j.ID, compareJob)
	if old != nil {
		s.index(old, -1)
		s.jobList[at] = j
	} else {
		s.jobList = slices.Insert(s.jobList, at, j)
	}
	s.jobs[j.ID] = j
	s.index(j, 1)
	if j.State.Finished() && (old == nil || !old.State.Finished()) {
		s.finished = append(s.finished, j.ID)
	}
}

// removeJob removes a finished job.
func (s *State) removeJob(id string) {
	delete(s.jobs, id)
	if at, ok := slices.BinarySearchFunc(s.jobList, id, compareJob); ok {
		s.jobList = slices.Delete(s.jobList, at, at+1)
	}
}

// putWorker stores w in place of the worker with the same id.
func (s *State) putWorker(w *Worker) {
	at, known := slices.BinarySearchFunc(s.workerList, w.ID, compareWorker)
	if known {
		s.workerList[at] = w
	} else {
		s.workerList = slices.Insert(s.workerList, at, w)
	}
	s.workers[w.ID] = w
}

func compareJob(j *Job, id string) int { return cmp.Compare(j.ID, id) }

func compareWorker(w *Worker, id string) int { return cmp.Compare(w.ID, id) }

func compareSeq(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) }

// index adds sign times the contribution of j to every index.
func (s *State) index(j *Job, sign int) {
	if !j.State.OnWorker() {
		return
	}
	s.running[j.Team] += sign
	if s.running[j.Team] == 0 {
		delete(s.running, j.Team)
	}
	old := s.onWorker[j.Worker]
	at, _ := slices.BinarySearchFunc(old, j, compareSeq)
	list := make([]*Job, 0, len(old)+1)
	list = append(list, old[:at]...)
	if sign > 0 {
		list = append(list, j)
		s.onWorker[j.Worker] = append(list, old[at:]...)
		return
	}
	s.onWorker[j.Worker] = append(list, old[at+1:]...)
	if len(old) == 1 {
		delete(s.onWorker, j.Worker)
	}
}

// transition applies e to a copy of j, passes the copy to change if that is not
// nil, and stores it.
func (s *State) transition(j *Job, e Event, reason string, change func(*Job)) (*Job, error) {
	next, ok := Next(j.State, e)
	if !ok {
		return nil, refuse(CodeWrongState, "job %s is %s: %s is not allowed", j.ID, j.State, e)
	}
	c := *j
	if next != c.State {
		c.State = next
		c.Since = s.now
	}
	if change != nil {
		change(&c)
	}
	c.record(Record{At: s.now, Event: e, State: next, Worker: c.Worker, Reason: truncateReason(reason)})
	if next == Accepted || next == Cancelled || next == Parked {
		c.Worker, c.Intent, c.Stage, c.StageSince, c.Used, c.Started = "", "", 0, 0, Size{}, 0
	}
	s.putJob(&c)
	return &c, nil
}

func truncateReason(reason string) string { return reason[:min(len(reason), MaxReasonLen)] }

// prune removes finished jobs that are older than FinishedRetention, and those
// older than ResendWindow while more than MaxFinished are kept.
func (s *State) prune() {
	n := 0
	for ; n < len(s.finished); n++ {
		age := s.now - s.jobs[s.finished[n]].Since
		crowded := len(s.finished)-n > MaxFinished && age > ResendWindow
		if age <= FinishedRetention && !crowded {
			break
		}
		s.removeJob(s.finished[n])
	}
	s.finished = slices.Delete(s.finished, 0, n)
}

// CheckAll checks the invariants and indexes of the whole state and reports
// whether all hold. Its cost is linear in the size of the state.
func (s *State) CheckAll() bool {
	running := map[string]int{}
	good := true
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if !j.State.OnWorker() {
			continue
		}
		running[j.Team]++
		w := s.workers[j.Worker]
		good = invariant.Check(w != nil && w.State != Lost, invariant.AtMostOnce,
			"job %s is %s on worker %q, which is unknown or lost", j.ID, j.State, j.Worker) && good
	}
	good = invariant.Check(maps.Equal(running, s.running), invariant.TeamLimit,
		"running jobs by team are %v, the index has %v", running, s.running) && good
	return good
}
