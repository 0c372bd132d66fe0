package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// cause returns the most likely cause of the subject's outcome.
func (s *Story) cause() string {
	switch s.Kind {
	case Job:
		return s.causeOfJob()
	case Task:
		return s.causeOfTask()
	case Worker:
		return s.causeOfWorker()
	}
	last := &s.Lines[len(s.Lines)-1]
	return fmt.Sprintf("The last that is known: %s.", describe(last))
}

func (s *Story) causeOfJob() string {
	if l := s.first("job finished"); l != nil {
		return s.causeOfEnd(l)
	}
	if s.first("job cancelled") != nil {
		return "The job was cancelled by its caller."
	}
	if l := s.first("job parked"); l != nil {
		return "The job was parked and is not started again: " + l.text("reason") + "."
	}
	if l := s.unclearAnswer(); l != nil {
		return s.causeOfAnswer(l)
	}
	if s.first("tasks assigned") != nil {
		return "The job had begun; its end is not in the logs."
	}
	if s.first("job submitted") != nil {
		return "The job was accepted and waited for room or for its time; no task was assigned in the time of the logs."
	}
	return "The request was answered without a job: " + describe(&s.Lines[len(s.Lines)-1]) + "."
}

// causeOfEnd explains a finished job.
func (s *Story) causeOfEnd(end *Line) string {
	bad := s.badRuns()
	switch {
	case end.text("state") == "failed" && s.givenUp() != nil:
		return s.causeOfGivingUp()
	case end.text("state") == "failed":
		return fmt.Sprintf("The job failed because a task used up its attempts: %s.", bad)
	case end.text("late") != "true":
		return fmt.Sprintf("The job %s in time, after %s of %s ms.", end.text("state"), end.text("age_ms"), end.text("objective_ms"))
	}
	late := fmt.Sprintf("The job was late, %s instead of %s ms", end.text("age_ms"), end.text("objective_ms"))
	if bad != "" {
		return late + ", because runs had to be repeated: " + bad + "."
	}
	if i := slices.IndexFunc(s.Around, func(l Line) bool { return l.Message == "worker lost" && l.number("runs") > 0 }); i >= 0 {
		lost := &s.Around[i]
		return late + fmt.Sprintf(", because worker %s was lost with its runs: %s.", lost.text("worker"), lost.text("reason"))
	}
	if took := s.leaderChange(); took != "" {
		return late + ", while the leader changed: " + took + "."
	}
	submitted, assigned := s.first("job submitted"), s.first("tasks assigned")
	if submitted != nil && assigned != nil {
		objective := time.Duration(end.number("objective_ms")) * time.Millisecond
		if wait := assigned.Time.Sub(submitted.Time); wait > objective/4 {
			return late + fmt.Sprintf(", because its first task waited %v for room (see pool demand).", wait)
		}
	}
	if slices.ContainsFunc(s.Around, func(l Line) bool { return strings.HasPrefix(l.Message, "leader is behind") }) {
		return late + ", while the leader was behind with its events."
	}
	return late + "; it began at once, so later steps waited for room or its tasks took longer than declared."
}

// givenUp returns the line of a task that was given up, or nil.
func (s *Story) givenUp() *Line { return s.first("task given up: workers crashed under it") }

// causeOfGivingUp explains a job or task that was given up.
func (s *Story) causeOfGivingUp() string {
	l := s.givenUp()
	return fmt.Sprintf("Task %s was given up, and its job failed, because %s workers crashed under it.", l.text("task"), l.text("crashes"))
}

// badRuns lists the runs that did not end well, up to three.
func (s *Story) badRuns() string {
	const most = 3
	var out []string
	n := 0
	for i := range s.Lines {
		l := &s.Lines[i]
		if l.Message != "run ended" || l.text("outcome") == "stopped" {
			continue
		}
		if n++; n <= most {
			out = append(out, fmt.Sprintf("task %s run %s on %s %s (%s)", l.text("task"), l.text("run"), l.text("worker"), l.text("outcome"), l.text("reason")))
		}
	}
	if n > most {
		out = append(out, fmt.Sprintf("and %d more", n-most))
	}
	return strings.Join(out, ", ")
}

// unclearAnswer returns the line of an answer that says not-run or unknown, or nil.
func (s *Story) unclearAnswer() *Line {
	i := slices.IndexFunc(s.Lines, func(l Line) bool {
		return l.Message == "request answered" && (l.text("answer") == "not-run" || l.text("answer") == "unknown")
	})
	if i < 0 {
		return nil
	}
	return &s.Lines[i]
}

// causeOfAnswer explains an answer that says not-run or unknown.
func (s *Story) causeOfAnswer(l *Line) string {
	what := "The request never reached a leader and was not run"
	if l.text("answer") == "unknown" {
		what = "The request was sent and not answered, so it may have run"
	}
	why := l.text("reason")
	if took := s.leaderChange(); took != "" {
		why += "; the leader changed: " + took
	}
	if i := slices.IndexFunc(s.Around, func(l Line) bool { return l.Message == "peer link lost" }); i >= 0 {
		why += "; " + s.Around[i].Daemon + " lost its link to " + s.Around[i].text("peer")
	}
	return fmt.Sprintf("%s: %s.", what, why)
}

// leaderChange describes a change of the leader around the subject, or returns "".
func (s *Story) leaderChange() string {
	for i := range s.Around {
		if l := &s.Around[i]; l.Message == "lead taken" {
			return fmt.Sprintf("%s took the lead in term %s at %s", l.Daemon, l.text("term"), l.Time.Format(time.TimeOnly))
		}
	}
	return ""
}

func (s *Story) causeOfTask() string {
	if s.givenUp() != nil {
		return s.causeOfGivingUp()
	}
	if bad := s.badRuns(); bad != "" {
		return "Runs of the task did not end well: " + bad + "."
	}
	if l := s.first("start order without an answer"); l != nil {
		return fmt.Sprintf("The start of run %s on %s had no answer%s.", l.text("run"), l.text("worker"), s.lossOf(l.text("worker")))
	}
	return "No line tells of a run that did not end well; runs that are done have one line for their step."
}

// lossOf says why a worker was given up, if it was.
func (s *Story) lossOf(worker string) string {
	for i := range s.Around {
		if l := &s.Around[i]; l.Message == "worker lost" && l.text("worker") == worker {
			return ", and the worker was lost: " + l.text("reason")
		}
	}
	return ""
}

func (s *Story) causeOfWorker() string {
	if l := s.first("worker crashed under its runs"); l != nil {
		return fmt.Sprintf("The worker crashed; %s of its runs may be to blame, %s of them had just started, one is %s.",
			l.text("runs"), l.text("fresh"), l.text("task"))
	}
	i := slices.IndexFunc(s.Lines, func(l Line) bool { return l.Message == "worker lost" })
	if i >= 0 {
		return fmt.Sprintf("The worker was lost with %s runs: %s.", s.Lines[i].text("runs"), s.Lines[i].text("reason"))
	}
	if s.first("worker does not answer") != nil {
		return "The worker did not answer for a while and was not given up."
	}
	return "No line tells of a loss of the worker."
}

// describe returns a line as text: its message and its fields, sorted by name.
func describe(l *Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	b.WriteString(l.Message)
	for _, name := range names {
		value := l.text(name)
		if list := l.list(name); list != nil {
			value = strings.Join(list, ",")
		}
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	return b.String()
}
