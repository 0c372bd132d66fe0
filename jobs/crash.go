package jobs

import (
	"fmt"
	"slices"
	"strings"
)

// Evidence is how strongly the end of a worker's process suggests that a job which
// was on the worker had crashed it.
type Evidence string

// Kinds of evidence.
const (
	// EvidenceAlone means that the worker ran nothing but the job.
	EvidenceAlone Evidence = "alone"
	// EvidenceShared means that other jobs were on the worker, or that the job had
	// not been reported as running yet.
	EvidenceShared Evidence = "shared"
	// EvidenceWeak means that the lease of the worker had expired first, or that
	// most other workers of its rack ended at the same time.
	EvidenceWeak Evidence = "weak"
)

const (
	// crashLimit is the weight of the crashes at which a job is not assigned again:
	// two alone, three shared or four weak ones.
	crashLimit = 12
	// suspectWeight is the weight of the crashes from which a job runs alone.
	suspectWeight = 4
	// minProbation is how long a job that crashed a worker must at least run before
	// it is trusted again, in milliseconds.
	minProbation Millis = 60_000
	// maxCrashes bounds the crashes that are kept for a job.
	maxCrashes = 16
	// restartRetention is how long the restart of a worker is kept, to be compared
	// with those of its rack, in milliseconds.
	restartRetention Millis = 120_000
	// maxRestarts bounds the restarts that are kept.
	maxRestarts = 1_024
)

// Crash records that the process of a worker ended while a job was on the worker.
type Crash struct {
	Worker string `cbor:"1,keyasint" json:"worker"`
	// Incarnation is that of the process that ended.
	Incarnation string   `cbor:"2,keyasint" json:"incarnation"`
	At          Millis   `cbor:"3,keyasint" json:"at_ms"`
	Evidence    Evidence `cbor:"4,keyasint" json:"evidence"`
	// Ran is the time from the first report of the task to the restart of the worker.
	Ran Millis `cbor:"5,keyasint,omitempty" json:"ran_ms,omitempty"`
}

func (c *Crash) weight() int {
	switch c.Evidence {
	case EvidenceAlone:
		return 6
	case EvidenceShared:
		return 4
	}
	return 3
}

// restart is the end of a worker's process, which a later incarnation told.
type restart struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Rack        string `cbor:"4,keyasint"`
	// The process ended between From, when it was last heard, and To.
	From Millis `cbor:"5,keyasint"`
	To   Millis `cbor:"6,keyasint"`
	// Jobs lists the jobs on the worker.
	Jobs []string `cbor:"7,keyasint,omitempty"`
}

func (j *Job) crashWeight() int {
	sum := 0
	for n := range j.Crashes {
		sum += j.Crashes[n].weight()
	}
	return sum
}

// CrashedTooOften reports whether the job crashed so many workers that it must not
// be assigned again.
func (j *Job) CrashedTooOften() bool { return j.crashWeight() >= crashLimit }

// InDoubt reports whether the job must wait: with a number of lost workers that may have
// crashed under it, it would have crashed too many.
func (j *Job) InDoubt(lost int) bool {
	weak := Crash{Evidence: EvidenceWeak}
	return lost > 0 && j.crashWeight()+lost*weak.weight() >= crashLimit
}

// LostUnder returns how many workers were lost of late with each job and have not shown
// since whether their process had ended.
func (v *View) LostUnder() map[string]int {
	out := map[string]int{}
	for _, w := range v.Workers {
		if w.State != Lost || v.Now-w.Until > restartRetention {
			continue
		}
		for _, id := range w.Held {
			out[id]++
		}
	}
	return out
}

// Suspect reports whether the job may crash its worker, so that it has to run alone.
// A job that has been running for twice as long as before each crash is trusted.
func (j *Job) Suspect(now Millis) bool {
	trusted := j.State.OnWorker() && j.Started > 0 && now-j.Started > j.probation()
	return !trusted && j.crashWeight() >= suspectWeight
}

// HasCrashed reports whether the worker crashed under the job.
func (j *Job) HasCrashed(worker string) bool {
	return slices.ContainsFunc(j.Crashes, func(c Crash) bool { return c.Worker == worker })
}

// CrashReason names the workers that crashed under the job.
func (j *Job) CrashReason() string {
	names := make([]string, 0, len(j.Crashes))
	for n := range j.Crashes {
		names = append(names, fmt.Sprintf("%s (%s)", j.Crashes[n].Worker, j.Crashes[n].Evidence))
	}
	return "workers crashed under it: " + strings.Join(names, ", ")
}

// probation is how long the job must run to be trusted.
func (j *Job) probation() Millis {
	longest := minProbation
	for n := range j.Crashes {
		longest = max(longest, 2*j.Crashes[n].Ran)
	}
	return longest
}

// recordCrashes records the end of the worker's process under the jobs that were on
// it, and returns their ids. old is the worker before its new incarnation registered.
// The restart of a worker that was to leave or is quarantined is expected.
func (s *State) recordCrashes(old *Worker) []string {
	if s.rules < RulesCrashes || old.State != Ready && old.State != Lost {
		return nil
	}
	r := restart{
		Worker: old.ID, Incarnation: old.Incarnation, Zone: old.Zone, Rack: old.Rack,
		From: old.Until - LeaseDuration, To: s.now, Jobs: slices.Clone(old.Held),
	}
	for _, j := range s.onWorker[old.ID] {
		r.Jobs = append(r.Jobs, j.ID)
	}
	for _, id := range r.Jobs {
		j := s.jobs[id]
		switch {
		case j == nil:
		case s.now > old.Until:
			s.recordCrash(j, old, EvidenceWeak)
		case len(r.Jobs) == 1 && j.Started > 0:
			s.recordCrash(j, old, EvidenceAlone)
		default:
			s.recordCrash(j, old, EvidenceShared)
		}
	}
	s.restarts = slices.DeleteFunc(s.restarts, func(r restart) bool { return s.now-r.To > restartRetention })
	s.restarts = append(s.restarts, r)
	s.restarts = s.restarts[max(len(s.restarts)-maxRestarts, 0):]
	s.weakenCrashes(old.Zone, old.Rack)
	return r.Jobs
}

// recordCrash records a crash under a job that may be assigned again. Earlier ones no
// longer count if the job had been trusted since.
func (s *State) recordCrash(j *Job, old *Worker, e Evidence) {
	known := slices.ContainsFunc(j.Crashes, func(c Crash) bool { return c.Worker == old.ID && c.Incarnation == old.Incarnation })
	if known || !j.Spec.Idempotent || j.State.Finished() {
		return
	}
	c := Crash{Worker: old.ID, Incarnation: old.Incarnation, At: s.now, Evidence: e}
	list := slices.Clone(j.Crashes)
	if j.Worker == old.ID && j.Started > 0 {
		c.Ran = s.now - j.Started
		if c.Ran > j.probation() {
			list = nil
		}
	}
	list = append(list, c)
	n := *j
	n.Crashes = list[max(len(list)-maxCrashes, 0):]
	s.putJob(&n)
}

// weakenCrashes turns the crashes on a rack into weak evidence where most of its other
// workers ended at the same time without the job.
func (s *State) weakenCrashes(zone, rack string) {
	for n := range s.restarts {
		r := &s.restarts[n]
		if r.Zone != zone || r.Rack != rack {
			continue
		}
		for _, id := range r.Jobs {
			j := s.jobs[id]
			if j == nil {
				continue
			}
			at := slices.IndexFunc(j.Crashes, func(c Crash) bool { return c.Worker == r.Worker && c.Incarnation == r.Incarnation })
			if at >= 0 && j.Crashes[at].Evidence != EvidenceWeak && s.commonCause(j, r) {
				c := *j
				c.Crashes = slices.Clone(j.Crashes)
				c.Crashes[at].Evidence = EvidenceWeak
				s.putJob(&c)
			}
		}
	}
}

// commonCause reports whether most workers of the rack ended when r did, leaving out
// those that crashed under the job.
func (s *State) commonCause(j *Job, r *restart) bool {
	others, ended := 0, 0
	for _, w := range s.workerList {
		gone := w.State == Lost && w.Until < r.From
		if w.Zone != r.Zone || w.Rack != r.Rack || w.ID == r.Worker || gone || j.HasCrashed(w.ID) {
			continue
		}
		others++
		if w.State == Lost || slices.ContainsFunc(s.restarts, func(o restart) bool {
			return o.Worker == w.ID && o.From <= r.To && r.From <= o.To
		}) {
			ended++
		}
	}
	return 2*ended > others
}
