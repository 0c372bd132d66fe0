package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// Rule names what a Ledger found broken.
type Rule string

// Rules of the ledger.
const (
	// RuleNotRun says that a request refused as not run never ran.
	RuleNotRun Rule = "not-run-is-true"
	// RuleAtMostOnce says that a non-idempotent request runs at most once.
	RuleAtMostOnce Rule = "at-most-once"
	// RuleOwnAnswer says that an answer is whole and the request's own.
	RuleOwnAnswer Rule = "whole-own-answer"
	// RuleAnswerRan says that an answered request ran.
	RuleAnswerRan Rule = "answered-ran"
	// RuleSlots says that no endpoint was asked for more than its slots and connections.
	RuleSlots Rule = "slots-and-connections"
	// RuleLeaving says that a leaving endpoint receives no new work after LeaveGrace.
	RuleLeaving Rule = "leaving-gets-no-work"
)

// Violation is one broken rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	ID     string `json:"id,omitempty"`
	Detail string `json:"detail"`
}

// String returns the violation on one line.
func (v Violation) String() string { return string(v.Rule) + ": " + v.ID + ": " + v.Detail }

// Ledger compares what callers were told with what endpoints ran. It is not
// safe for concurrent use. Check it when no request is running any more.
type Ledger struct {
	runs map[string]RunCount
	// once holds the queues of non-idempotent requests.
	once       map[string]bool
	outcomes   []Outcome
	violations []Violation
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]RunCount), once: make(map[string]bool)}
}

// AddRuns adds the runs that one endpoint counted.
func (l *Ledger) AddRuns(runs []RunCount) {
	for _, r := range runs {
		r.Runs += l.runs[r.ID].Runs
		l.runs[r.ID] = r
	}
}

// AddStats adds what one endpoint saw of slots, connections and leaving.
func (l *Ledger) AddStats(endpoint string, s EndpointStats) {
	if s.OverSlot > 0 || s.OverConnections > 0 {
		l.add(RuleSlots, endpoint, fmt.Sprintf("%d requests over slots, %d connections over bound", s.OverSlot, s.OverConnections))
	}
	if s.AfterLeave > 0 {
		l.add(RuleLeaving, endpoint, fmt.Sprintf("%d requests later than %s after leaving", s.AfterLeave, LeaveGrace))
	}
}

// AddOutcomes adds what callers were told.
func (l *Ledger) AddOutcomes(outcomes []Outcome) { l.outcomes = append(l.outcomes, outcomes...) }

// Fetch adds runs and stats of the endpoint in another process at "IP:port".
func (l *Ledger) Fetch(ctx context.Context, address string) error {
	var runs []RunCount
	if err := fetchJSON(ctx, "http://"+address+"/runs", &runs); err != nil {
		return err
	}
	var stats EndpointStats
	if err := fetchJSON(ctx, "http://"+address+"/stats", &stats); err != nil {
		return err
	}
	l.AddRuns(runs)
	l.AddStats(address, stats)
	return nil
}

func fetchJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, url)
	}
	res, err := announceClient.Do(req)
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer func() { _ = res.Body.Close() }()
	return errors.Wrap(json.NewDecoder(res.Body).Decode(into), url)
}

// Check returns every violation, ordered by rule and id.
func (l *Ledger) Check() []Violation {
	seen := make(map[string]bool, len(l.outcomes))
	for _, o := range l.outcomes {
		seen[o.ID] = true
		l.once[o.Queue] = !o.Idempotent
		l.checkOutcome(o)
	}
	for id, r := range l.runs {
		if !seen[id] && r.Runs > 1 && l.once[r.Queue] {
			l.add(RuleAtMostOnce, id, fmt.Sprintf("ran %d times, and no caller's outcome names it", r.Runs))
		}
	}
	slices.SortFunc(l.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return slices.Clone(l.violations)
}

func (l *Ledger) checkOutcome(o Outcome) {
	n := l.runs[o.ID].Runs
	if !o.Idempotent && n > 1 {
		l.add(RuleAtMostOnce, o.ID, fmt.Sprintf("ran %d times, told %s", n, o.Kind))
	}
	switch o.Kind {
	case OutcomeRefused, OutcomeNotSent:
		if o.ID != "" && n > 0 {
			l.add(RuleNotRun, o.ID, fmt.Sprintf("told not run (%s), ran %d times", o.Code, n))
		}
	case OutcomeWrong:
		l.add(RuleOwnAnswer, o.ID, o.Detail)
	case OutcomeAnswered, OutcomeFailed:
		if n == 0 {
			l.add(RuleAnswerRan, o.ID, "told "+string(o.Kind)+", and no endpoint ran it")
		}
	}
}

func (l *Ledger) add(r Rule, id, detail string) {
	l.violations = append(l.violations, Violation{Rule: r, ID: id, Detail: detail})
}

// Summary counts outcomes by kind.
type Summary struct {
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Lost     int `json:"lost"`
	Wrong    int `json:"wrong"`
	NotSent  int `json:"not_sent"`
	Resent   int `json:"resent"`
}

// Summarize counts outcomes by kind.
func Summarize(outcomes []Outcome) Summary {
	var s Summary
	for _, o := range outcomes {
		if o.Sends > 1 {
			s.Resent++
		}
		switch o.Kind {
		case OutcomeAnswered:
			s.Answered++
		case OutcomeFailed:
			s.Failed++
		case OutcomeRefused:
			s.Refused++
		case OutcomeUnknown:
			s.Unknown++
		case OutcomeLost:
			s.Lost++
		case OutcomeWrong:
			s.Wrong++
		case OutcomeNotSent:
			s.NotSent++
		}
	}
	return s
}
