package explain

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrNotFound is returned when no line is about the subject.
var ErrNotFound = errors.New("explain: no line of the logs is about it")

// Kind is the kind of a subject.
type Kind string

// Kinds of subjects.
const (
	Job      Kind = "job"
	Task     Kind = "task"
	Worker   Kind = "worker"
	Instance Kind = "instance"
	Wave     Kind = "wave"
	Version  Kind = "version"
	Zone     Kind = "zone"
)

// Story is what the logs tell about a subject.
type Story struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	// Lines are about the subject, Around about what it depended on. Both are in
	// order of time.
	Lines  []Line `json:"lines"`
	Around []Line `json:"around,omitempty"`
	// Missing says what the logs should show but do not.
	Missing []string `json:"missing,omitempty"`
	// Cause is the most likely cause of the outcome, in one sentence.
	Cause string `json:"cause"`
}

// Explain returns the story of a subject. An id alone is a job, worker, instance or,
// with dots, a task; waves, configuration versions and availability zones are written as
// wave/N, version/N and zone/NAME. Explain returns ErrNotFound if no line is about the subject.
func Explain(log *Log, id string) (*Story, error) {
	lines := slices.Clone(log.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, kind := range kindsOf(id) {
		s := &Story{Kind: kind, ID: id}
		for i := range lines {
			if s.isAbout(&lines[i]) {
				s.Lines = append(s.Lines, lines[i])
			}
		}
		if len(s.Lines) == 0 {
			continue
		}
		s.addSurroundings(lines)
		s.findMissing(lines)
		s.Cause = s.cause()
		return s, nil
	}
	return nil, errors.Wrapf(ErrNotFound, "%q", id)
}

// kindsOf returns the kinds that an id may be of.
func kindsOf(id string) []Kind {
	switch {
	case strings.HasPrefix(id, "wave/"):
		return []Kind{Wave}
	case strings.HasPrefix(id, "version/"):
		return []Kind{Version}
	case strings.HasPrefix(id, "zone/"):
		return []Kind{Zone}
	case strings.Contains(id, "."):
		return []Kind{Task}
	}
	return []Kind{Job, Worker, Instance}
}

// isAbout reports whether a line is about the subject.
func (s *Story) isAbout(l *Line) bool {
	switch s.Kind {
	case Job:
		return l.job() == s.ID
	case Task:
		return l.text("task") == s.ID || l.Message == "tasks assigned" && strings.HasPrefix(s.ID, stepOf(l)+".")
	case Worker:
		return l.text("worker") == s.ID || slices.Contains(l.list("workers"), s.ID)
	case Instance:
		return l.text("instance") == s.ID
	case Wave:
		return l.text("wave") == strings.TrimPrefix(s.ID, "wave/")
	case Zone:
		return l.text("zone") == strings.TrimPrefix(s.ID, "zone/") && slices.Contains(zoneMessages, l.Message)
	case Version:
		return l.text("version") == strings.TrimPrefix(s.ID, "version/") && (l.Message == "document submitted" || l.Message == "lead taken")
	}
	return false
}

// stepOf returns the step of a line as job.occurrence.step.
func stepOf(l *Line) string {
	return l.text("job") + "." + l.text("occurrence") + "." + l.text("step")
}

// margin is how long before and after the subject's lines other lines may have to do
// with it. It covers an election and the wait of a caller.
const margin = 2 * time.Second

// within reports whether a line lies in the time of the subject's lines, widened by
// margin.
func (s *Story) within(l *Line) bool {
	first, last := s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time
	return !l.Time.Before(first.Add(-margin)) && !l.Time.After(last.Add(margin))
}

// zoneMessages are about the evacuation of an availability zone.
var zoneMessages = []string{
	"zone evacuation requested", "zone evacuation ordered", "zone evacuation acknowledged", "zone evacuation withdrawn",
	"every zone is evacuated: jobs are accepted and wait",
}

// leaderMessages are about the leader as such.
var leaderMessages = []string{
	"lead taken", "leadership ended", "leader changed", "batch not committed", "driver panicked; its successor starts from the committed state",
	"leader is behind: starts and ends are handled late", "leader has caught up with its events",
	"storage failed: this daemon neither votes nor leads until the disk can be written again", "stopping",
}

// addSurroundings collects the lines on the leader, on workers whose runs did not end
// well, on assigned workers that were silent or lost with runs, and on links of
// daemons that gave no clear answer.
func (s *Story) addSurroundings(lines []Line) {
	workers, assigned, daemons := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range s.Lines {
		l := &s.Lines[i]
		switch l.Message {
		case "run ended", "run stopped", "start order without an answer":
			workers[l.text("worker")] = true
		case "tasks assigned":
			for _, w := range l.list("workers") {
				assigned[w] = true
			}
		case "request answered":
			if a := l.text("answer"); a == "not-run" || a == "unknown" {
				daemons[l.Daemon] = true
			}
		}
	}
	for i := range lines {
		l := &lines[i]
		if !s.within(l) || s.isAbout(l) {
			continue
		}
		worker := l.text("worker")
		related := slices.Contains(leaderMessages, l.Message) ||
			l.Message == "peer link lost" && daemons[l.Daemon] ||
			assigned[worker] && l.number("runs") > 0 && (l.Message == "worker does not answer" || l.Message == "worker lost" || l.Message == "worker crashed under its runs") ||
			s.Kind != Worker && workers[worker] && l.text("task") == "" && l.text("instance") == ""
		if related {
			s.Around = append(s.Around, *l)
		}
	}
}

// findMissing notes what the logs do not show.
func (s *Story) findMissing(lines []Line) {
	dropped := map[string]bool{}
	for i := range lines {
		if l := &lines[i]; strings.HasPrefix(l.Message, "log lines dropped") && s.within(l) {
			dropped[l.Daemon] = true
		}
	}
	for daemon := range dropped {
		s.Missing = append(s.Missing, daemon+" dropped log lines at that time")
	}
	slices.Sort(s.Missing)
	if s.Kind != Job {
		return
	}
	submitted, answered := s.first("job submitted") != nil, s.first("request answered") != nil
	finished := s.first("job finished") != nil || s.first("job cancelled") != nil
	if !answered {
		s.Missing = append(s.Missing, "the answer to the caller: no log of the edge that gave it")
	}
	if (finished || s.first("tasks assigned") != nil) && !submitted {
		s.Missing = append(s.Missing, "the submission: no log of the leader of that time")
	}
	if submitted && !finished {
		s.Missing = append(s.Missing, "the end of the job: it was still going on, or a later leader's log is missing")
	}
}

// first returns the first of the subject's lines with a message, or nil.
func (s *Story) first(message string) *Line {
	i := slices.IndexFunc(s.Lines, func(l Line) bool { return l.Message == message })
	if i < 0 {
		return nil
	}
	return &s.Lines[i]
}
