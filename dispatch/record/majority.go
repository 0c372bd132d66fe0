package record

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// majorityRounds bounds how often a claim is tried when racing claims split the keepers.
	majorityRounds = 4
	// splitBackoff is the mean pause after the first split round; it doubles.
	splitBackoff = 5 * time.Millisecond
)

// vote is one keeper's reply.
type vote struct {
	daemon string
	reply  BeginReply
	err    error
}

// decideByKeepers decides on an id in a caller's own form.
func (s *Service) decideByKeepers(ctx context.Context, c *Claim) Decision {
	pause := splitBackoff
	for round := 1; ; round++ {
		sets := s.members.keepers(c.ID, s.cfg.Keeper.Retention, time.Now())
		votes := s.collect(ctx, union(sets), s.newToken(c), sets)
		d := tally(sets, votes)
		if d.Verdict == Proceed {
			return s.proceedUnlessRefused(ctx, c, time.Now(), replies(votes))
		}
		withdrawn := FinishRequest{ID: c.ID, Token: c.token, Result: ResultWithdrawn}
		s.report(context.WithoutCancel(ctx), union(sets), withdrawn)
		if d.Verdict != Running || held(sets, votes) || round == majorityRounds {
			return d
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return d
		}
		pause *= 2
	}
}

// collect asks the keepers at once and returns when each has replied or the
// replies so far permit the start.
func (s *Service) collect(ctx context.Context, keepers []string, r BeginRequest, sets [][]string) []vote {
	ch := make(chan vote, len(keepers))
	for _, daemon := range keepers {
		go func() {
			reply, err := s.begin(context.WithoutCancel(ctx), daemon, r)
			ch <- vote{daemon: daemon, reply: reply, err: err}
		}()
	}
	votes := make([]vote, 0, len(keepers))
	for range keepers {
		votes = append(votes, <-ch)
		if tally(sets, votes).Verdict == Proceed {
			break
		}
	}
	return votes
}

// tally decides by the votes at hand. Any word that the id was begun before
// outweighs a majority of permissions.
func tally(sets [][]string, votes []vote) Decision {
	d := Decision{Verdict: NoQuorum}
	for _, v := range votes {
		if v.err == nil && precedence(v.reply.Verdict) > precedence(d.Verdict) {
			d = Decision{Verdict: v.reply.Verdict, Answer: v.reply.Answer}
		}
	}
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

// majority reports whether more than half of the keepers in each set gave a
// vote that fits.
func majority(sets [][]string, votes []vote, fits func(BeginReply) bool) bool {
	if len(sets) == 0 {
		return false
	}
	for _, set := range sets {
		n := 0
		for _, name := range set {
			for _, v := range votes {
				if v.daemon == name && v.err == nil && fits(v.reply) {
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

// held reports whether one other token holds a majority.
func held(sets [][]string, votes []vote) bool {
	for _, v := range votes {
		if v.err != nil || v.reply.Verdict != Running {
			continue
		}
		holder := v.reply.Holder
		fits := func(r BeginReply) bool { return r.Verdict == Running && r.Holder == holder }
		if majority(sets, votes, fits) {
			return true
		}
	}
	return false
}

func replies(votes []vote) []BeginReply {
	all := make([]BeginReply, 0, len(votes))
	for _, v := range votes {
		if v.err == nil {
			all = append(all, v.reply)
		}
	}
	return all
}

// sleep reports whether d passed before ctx ended.
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
