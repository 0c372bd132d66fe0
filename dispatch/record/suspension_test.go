package record

import (
	"context"
	"testing"
	"time"

	"magnoliastand.example/clock/clocktest"
)

// refusedBegin stands for a home that has permitted a start, and has told the caller of an
// earlier attempt "not run" a time ago.
type refusedBegin struct {
	Peers
	ago time.Duration
}

func (p refusedBegin) Begin(context.Context, string, BeginRequest) (BeginReply, error) {
	return BeginReply{Verdict: Proceed, Refused: true, RefusedAgo: p.ago}, nil
}

// TestRefusalDuringSuspensionSupersedes guards against an attempt that arrived before its
// machine was suspended and starts after the caller was told "not run": with a clock that
// stands still it seems to have arrived after the refusal.
func TestRefusalDuringSuspensionSupersedes(t *testing.T) {
	runFaultFree(t, func(s *sim) {
		home, other := s.nodes[0], s.nodes[1]
		other.service.cfg.Peers = refusedBegin{Peers: other.service.cfg.Peers, ago: 2 * time.Second}
		attempt := claimFor(home.service.IssueID(), "x")
		clocktest.Suspend(3 * time.Second)
		if d := begin(other, attempt); d.Verdict != Superseded {
			t.Errorf("verdict %d, want %d: the refusal came 1 s after the attempt", d.Verdict, Superseded)
		}
	})
}
