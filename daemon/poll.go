package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
	"magnoliastand.example/control"
	"magnoliastand.example/control/freshness"
	"magnoliastand.example/peerlink"
)

// pollRequest asks for what changed since a version. Daemons poll the arbiter
// of their zone, arbiters poll the leader of the control log.
type pollRequest struct {
	Have uint64 `cbor:"1,keyasint"`
	// Wait bounds how long the reply may be held back while nothing changes.
	Wait time.Duration `cbor:"2,keyasint"`
	// InForce lists the versions in force on the asking daemon and on those
	// that poll it.
	InForce []inForce `cbor:"3,keyasint"`
}

// inForce is the version in force on one daemon.
type inForce struct {
	Daemon      string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Version     uint64        `cbor:"3,keyasint"`
	Age         time.Duration `cbor:"4,keyasint"`
}

// pollReply carries deltas to apply in order.
type pollReply struct {
	Deltas []*control.Delta `cbor:"1,keyasint,omitempty"`
	// Vouch is the youngest vouch that the replying daemon has; nil if none is
	// within the freshness window.
	Vouch *freshness.Vouch `cbor:"2,keyasint,omitempty"`
	// Version is the version in force at the replying daemon.
	Version uint64 `cbor:"4,keyasint"`
	// Leader names the daemon that leads the control log, as far as known.
	Leader string `cbor:"5,keyasint,omitempty"`
	// Gap means that this daemon lacks the deltas since Have.
	Gap bool `cbor:"6,keyasint,omitempty"`
}

const (
	// pollWait is how long an unchanged poll is held back. The freshness window
	// must hold two relays of it with a margin.
	pollWait = 300 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = pollWait + 500*time.Millisecond
	// pollBackoff is the pause after a failed poll.
	pollBackoff = 100 * time.Millisecond
	// inForceExpiry is the age from which on a daemon's version no longer counts as known.
	inForceExpiry = 5 * time.Second
	// maxRecentDeltas bounds the deltas that a relay keeps.
	maxRecentDeltas = 64
)

// follower keeps the configuration in force on this daemon up to date.
type follower struct {
	self   string
	inc    string
	link   *peerlink.Node
	holder *control.Holder
	log    zerolog.Logger
	// upstream returns the daemons to poll, best first.
	upstream func(leader string) []string
	// local returns the local log, once there is one.
	local func() *controlLog
	// vouched returns the time on the clock mono at which a quorum is known to
	// have confirmed this daemon's lead; false when it does not lead.
	vouched func() (time.Duration, bool)
	lease   *freshness.Lease
	// mono is the monotonic time since the daemon started.
	mono func() time.Duration

	mu     sync.Mutex
	leader string
	// newest is the newest time that a poll brought a vouch for.
	newest time.Duration
	recent []*control.Delta
	forces map[string]heardForce
}

type heardForce struct {
	inForce
	at time.Time
}

func (f *follower) register() {
	f.forces = make(map[string]heardForce)
	f.link.Handle(methodPoll, f.handlePoll)
}

// run polls until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.refreshLocal() {
			sleepCtx(ctx, pollBackoff)
			continue
		}
		if !f.pollOnce(ctx, pollWait) {
			sleepCtx(ctx, pollBackoff)
		}
	}
}

// refreshLocal takes freshness from this daemon's own leadership.
func (f *follower) refreshLocal() bool {
	at, ok := f.vouched()
	if !ok {
		return false
	}
	// The version is read after the confirmation, so none newer was in force then.
	f.lease.Confirm(f.holder.View().Version(), at)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = f.self
	return true
}

// pollOnce polls upstream daemons until one vouches for a newer time. Daemons
// that only poll each other get no newer vouch and so go on to the next.
func (f *follower) pollOnce(ctx context.Context, wait time.Duration) bool {
	f.mu.Lock()
	leader := f.leader
	f.mu.Unlock()
	for _, peer := range f.upstream(leader) {
		if peer == f.self {
			continue
		}
		if f.pollPeer(ctx, peer, wait) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (f *follower) pollPeer(ctx context.Context, peer string, wait time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := f.mono()
	have := f.holder.View().Version()
	var reply pollReply
	err := f.link.Call(callCtx, peer, methodPoll, pollRequest{Have: have, Wait: wait, InForce: f.known(clock.Now())}, &reply)
	if err != nil {
		f.forgetLeader(peer)
		return false
	}
	if err := f.take(reply); err != nil {
		f.log.Warn().Err(err).Str("peer", peer).Msg("configuration not taken")
		return false
	}
	f.followLeader(reply.Leader)
	if reply.Vouch == nil || reply.Gap {
		return false
	}
	return f.lease.Learn(*reply.Vouch, asked) && f.isNewer(asked-reply.Vouch.Age)
}

// isNewer reports whether a vouch for the given time is the newest so far.
func (f *follower) isNewer(at time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at <= f.newest {
		return false
	}
	f.newest = at
	return true
}

func (f *follower) followLeader(name string) {
	if name == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = name
}

func (f *follower) forgetLeader(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == peer {
		f.leader = ""
	}
}

func (f *follower) take(reply pollReply) error {
	for _, d := range reply.Deltas {
		changed, err := f.holder.Offer(d)
		if err != nil {
			return errors.Wrap(err, "delta")
		}
		if changed {
			f.remember(d)
		}
	}
	return nil
}

func (f *follower) remember(d *control.Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recent = append(f.recent, d)
	if len(f.recent) > maxRecentDeltas {
		f.recent = f.recent[1:]
	}
}

// Fresh reports whether a quorum vouched for the configuration in force within
// the freshness window.
func (f *follower) Fresh() bool {
	have := f.holder.View().Version()
	if f.lease.Fresh(have) {
		return true
	}
	return f.refreshLocal() && f.lease.Fresh(have)
}

// Leader returns the daemon that leads the control log, as far as known.
func (f *follower) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// handlePoll answers a poll from the local log or from the deltas kept.
func (f *follower) handlePoll(ctx context.Context, _ peerlink.Identity, payload []byte) (any, error) {
	var r pollRequest
	if err := decodeMessage(payload, &r); err != nil {
		return nil, err
	}
	f.note(r.InForce)
	wait := min(r.Wait, pollWait)
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if wait > 0 {
		_, _ = f.holder.Wait(waitCtx, r.Have+1) // a timeout answers unchanged
	}
	return f.reply(r.Have), nil
}

func (f *follower) reply(have uint64) pollReply {
	// The vouch is taken before the version, so that the version holds all that
	// was vouched for.
	f.refreshLocal()
	vouch, vouched := f.lease.Vouch()
	version := f.holder.View().Version()
	reply := pollReply{Version: version, Leader: f.Leader()}
	if vouched {
		reply.Vouch = &vouch
	}
	if version <= have {
		return reply
	}
	if local := f.local(); local != nil {
		if d := local.delta(have); d.To >= version {
			reply.Deltas = []*control.Delta{d}
			return reply
		}
	}
	reply.Deltas = f.deltasSince(have)
	reply.Gap = len(reply.Deltas) == 0
	return reply
}

// deltasSince returns the kept deltas that lead on from a version; none if one
// of them is missing.
func (f *follower) deltasSince(have uint64) []*control.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, d := range f.recent {
		if d.To > have && (d.Full || d.From <= have) {
			return append([]*control.Delta(nil), f.recent[i:]...)
		}
	}
	return nil
}

// note records the versions in force that a poll reported.
func (f *follower) note(reports []inForce) {
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		at := now.Add(-r.Age)
		if old, ok := f.forces[r.Daemon]; !ok || at.After(old.at) {
			f.forces[r.Daemon] = heardForce{inForce: r, at: at}
		}
	}
}

// known lists the versions in force here and on the daemons that poll this one.
func (f *follower) known(now time.Time) []inForce {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []inForce{{Daemon: f.self, Incarnation: f.inc, Version: f.holder.View().Version()}}
	for name, h := range f.forces {
		age := now.Sub(h.at)
		if age > inForceExpiry {
			delete(f.forces, name)
			continue
		}
		if name != f.self {
			h.Age = age
			list = append(list, h.inForce)
		}
	}
	return list
}

// versions returns the versions in force that were heard lately, by daemon.
func (f *follower) versions() map[string]uint64 {
	versions := make(map[string]uint64)
	for _, r := range f.known(clock.Now()) {
		versions[r.Daemon] = r.Version
	}
	return versions
}

func sleepCtx(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
