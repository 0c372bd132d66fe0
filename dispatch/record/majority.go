package record

import (
	"context"
	"math/rand/v2"
	"time"

	"magnoliastand.example/clock"
)

const (
	// maxVoteRounds limits how often a claim is retried after concurrent claims
	// split the votes.
	maxVoteRounds = 4
	// splitVoteBackoff is the mean pause after the first split round. It
	// doubles each round.
	splitVoteBackoff = 5 * time.Millisecond
)

// vote is the reply of one decider.
type vote struct {
	daemon string
	reply  BeginReply
	err    error
	// sent and received are when this daemon sent the request and received the
	// reply. They are equal if this daemon is the decider.
	sent, received time.Time
}

// refusedBetween returns the earliest and latest time, by this daemon's clock,
// at which the decider recorded the refusal that it reports.
func (v *vote) refusedBetween() (earliest, latest time.Time) {
	return v.sent.Add(-v.reply.RefusedAgo), v.received.Add(-v.reply.RefusedAgo)
}

// decideByAcceptors decides on a caller-chosen id.
func (s *Service) decideByAcceptors(ctx context.Context, c *Claim) Decision {
	pause := splitVoteBackoff
	for round := 1; ; round++ {
		sets := s.members.acceptors(c.ID, s.cfg.Store.Retention, clock.Now())
		r := s.newToken(c)
		votes := s.collectVotes(ctx, union(sets), r, sets)
		d := tally(sets, votes)
		if d.Verdict == Proceed {
			return s.proceedUnlessRefused(ctx, c, r, votes)
		}
		withdrawn := FinishRequest{ID: c.ID, Token: c.token, Result: ResultWithdrawn}
		s.report(context.WithoutCancel(ctx), union(sets), withdrawn)
		if d.Verdict != Running || heldByMajority(sets, votes) || round == maxVoteRounds {
			return d
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return d
		}
		pause *= 2
	}
}

// collectVotes asks all acceptors in parallel. It returns when each has replied
// or the replies so far permit the start.
func (s *Service) collectVotes(ctx context.Context, acceptors []string, r BeginRequest, sets [][]string) []vote {
	ch := make(chan vote, len(acceptors))
	for _, daemon := range acceptors {
		go func() { ch <- s.begin(context.WithoutCancel(ctx), daemon, r) }()
	}
	votes := make([]vote, 0, len(acceptors))
	for range acceptors {
		votes = append(votes, <-ch)
		if tally(sets, votes).Verdict == Proceed {
			break
		}
	}
	return votes
}

// tally decides from the votes received so far. A reply that shows an earlier
// start of the id overrides a majority of permissions, except Running.
func tally(sets [][]string, votes []vote) Decision {
	d := Decision{Verdict: NoQuorum}
	lost := uint8(0)
	for _, v := range votes {
		lost = max(lost, v.reply.Lost)
		if v.err == nil && precedence(v.reply.Verdict) > precedence(d.Verdict) {
			d = Decision{Verdict: v.reply.Verdict, Answer: v.reply.Answer}
		}
	}
	d.Lost = lost
	if d.Verdict != NoQuorum && d.Verdict != Running {
		return d
	}
	if majority(sets, votes, func(r BeginReply) bool { return r.Verdict == Proceed }) {
		return Decision{Verdict: Proceed}
	}
	return d
}

func precedence(v Verdict) int {
	switch v {
	case Mismatch:
		return 5
	case Answered:
		return 4
	case Superseded:
		return 3
	case Unknown:
		return 2
	case Running:
		return 1
	default:
		return 0
	}
}

// majority reports whether more than half of the acceptors in each set returned
// a matching reply.
func majority(sets [][]string, votes []vote, matches func(BeginReply) bool) bool {
	if len(sets) == 0 {
		return false
	}
	for _, set := range sets {
		n := 0
		for _, name := range set {
			for _, v := range votes {
				if v.daemon == name && v.err == nil && matches(v.reply) {
					n++
				}
			}
		}
		if n*2 <= len(set) {
			return false
		}
	}
	return true
}

// heldByMajority reports whether one other token holds a majority.
func heldByMajority(sets [][]string, votes []vote) bool {
	for _, v := range votes {
		if v.err != nil || v.reply.Verdict != Running {
			continue
		}
		holder := v.reply.Holder
		matches := func(r BeginReply) bool { return r.Verdict == Running && r.Holder == holder }
		if majority(sets, votes, matches) {
			return true
		}
	}
	return false
}

// sleep returns false if ctx ended before d passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
