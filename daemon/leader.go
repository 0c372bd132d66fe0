package daemon

import (
	"context"
	"sync"
	"time"

	"magnoliastand.example/clock"
	"magnoliastand.example/control"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/quota"
)

const (
	// dutyInterval is the time between two rounds of the leader's duties.
	dutyInterval = 100 * time.Millisecond
	// clusterTickInterval is the time between two entries that only move cluster time.
	clusterTickInterval = time.Second
)

// leaderDuties are what the leader of the control log does besides committing
// commands: it splits the teams' limits over the zones.
type leaderDuties struct {
	plane *controlPlane
	kick  chan struct{}

	mu sync.Mutex
	// balancer belongs to the leadership of one log term.
	balancer *quota.Balancer
	term     uint64
	lastTick time.Time

	transfers *transfers // used by run only
}

func newLeaderDuties(c *controlPlane) *leaderDuties {
	return &leaderDuties{plane: c, kick: make(chan struct{}, 1), transfers: newTransfers(c)}
}

// run carries out the duties while this daemon leads, until ctx ends.
func (l *leaderDuties) run(ctx context.Context) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.kick:
		case <-ctx.Done():
			return
		}
		if !l.plane.leads() {
			l.transfers.forget()
			continue
		}
		l.transfer(ctx)
		l.balance(ctx)
		l.moveTime(ctx)
	}
}

// currentBalancer returns the balancer of the present leadership. The lock is held.
func (l *leaderDuties) currentBalancer() *quota.Balancer {
	term := l.plane.node.running().Status().Term
	if l.balancer == nil || l.term != term {
		l.balancer = quota.NewBalancer(term)
		l.term = term
	}
	return l.balancer
}

// balance moves allotments towards demand.
func (l *leaderDuties) balance(ctx context.Context) {
	var cmd quota.Command
	l.mu.Lock()
	balancer := l.currentBalancer()
	l.plane.machine.withLedger(func(ledger *quota.Ledger, _ uint64) {
		cmd = balancer.Plan(ledger, l.plane.mono())
	})
	l.mu.Unlock()
	if cmd.Empty() {
		return
	}
	l.propose(ctx, &control.Command{Allot: &cmd})
}

// transfer moves units of ended arbiter terms to their successors.
func (l *leaderDuties) transfer(ctx context.Context) {
	if cmd := l.transfers.plan(ctx); !cmd.Empty() {
		l.propose(ctx, &control.Command{Allot: &cmd})
	}
}

// moveTime commits cluster time while units wait for it to pass.
func (l *leaderDuties) moveTime(ctx context.Context) {
	waiting := false
	l.plane.machine.withLedger(func(ledger *quota.Ledger, _ uint64) { waiting = ledger.Waiting() })
	if !waiting || clock.Since(l.lastTick) < clusterTickInterval {
		return
	}
	l.lastTick = clock.Now()
	l.propose(ctx, &control.Command{Tick: &control.Tick{}})
}

func (l *leaderDuties) propose(ctx context.Context, cmd *control.Command) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := l.plane.proposeHere(callCtx, cmd); err != nil {
		l.plane.log.Debug().Err(err).Msg("leader's command not committed")
	}
}

// handleDemand answers an arbiter's demand with a renewal, once a quorum has
// confirmed that this daemon still leads.
func (l *leaderDuties) handleDemand(ctx context.Context, from peerlink.Identity, payload []byte) (any, error) {
	var d quota.Demand
	if err := decodeMessage(payload, &d); err != nil {
		return nil, err
	}
	if d.Zone != from.Zone {
		return nil, &peerlink.RemoteError{Code: codeClaimRefused, Detail: "an arbiter reports for its own zone only"}
	}
	return l.renew(ctx, d)
}

// renew records a demand and returns the renewal that answers it.
func (l *leaderDuties) renew(ctx context.Context, d quota.Demand) (*quota.Renewal, error) {
	if !l.plane.leads() {
		return nil, errNotLeader
	}
	l.mu.Lock()
	l.currentBalancer().Report(&d)
	l.mu.Unlock()
	select {
	case l.kick <- struct{}{}:
	default:
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := l.plane.node.running().ReadIndex(readCtx); err != nil {
		return nil, errNotLeader
	}
	var r quota.Renewal
	ok := false
	l.mu.Lock()
	defer l.mu.Unlock()
	balancer := l.currentBalancer()
	l.plane.machine.withLedger(func(ledger *quota.Ledger, index uint64) {
		r, ok = balancer.Renewal(ledger, d.Zone, d.Term, index)
	})
	if !ok {
		return nil, errNotArbiter
	}
	return &r, nil
}
