package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/peerlink"
)

// arbiterSource tells who the control log made arbiter of a zone, and lets a
// daemon claim the role for itself.
type arbiterSource interface {
	// ArbiterOf returns the assignment in force; false when there is none.
	ArbiterOf(zone string) (arbiterRef, bool)
	// ClaimArbiter asks the control log to make this daemon the arbiter in place
	// of the one of the observed term.
	ClaimArbiter(ctx context.Context, zone string, observed uint64) error
	// Fresh reports whether a control quorum vouched for the configuration lately.
	Fresh() bool
}

// zoneMonitor watches the daemons of this zone and follows its arbiter.
type zoneMonitor struct {
	self   dispatch.DaemonID
	zone   string
	index  uint64   // place of this daemon among its zone's daemons
	order  []string // the zone's daemons in the order in which they become arbiter, this one included
	link   *peerlink.Node
	source arbiterSource
	log    zerolog.Logger
	// onChange is called, in order, for each new arbiter.
	onChange func(arbiterRef)

	mu       sync.Mutex
	seen     map[string]time.Time
	ids      map[string]dispatch.DaemonID
	leaving  map[string]bool
	arbiter  arbiterRef
	changed  chan struct{} // closed at the next change of the arbiter
	lastStep time.Time
	quitting bool
}

func newZoneMonitor(self dispatch.DaemonID, zone string, order []string, link *peerlink.Node, source arbiterSource, log zerolog.Logger) *zoneMonitor {
	m := &zoneMonitor{
		self:    self,
		zone:    zone,
		order:   order,
		link:    link,
		source:  source,
		log:     log,
		seen:    make(map[string]time.Time),
		ids:     make(map[string]dispatch.DaemonID),
		leaving: make(map[string]bool),
		changed: make(chan struct{}),
	}
	for i, name := range order {
		if name == self.Name {
			m.index = uint64(i) + 1
		}
	}
	link.Handle(methodHeartbeat, m.handleHeartbeat)
	link.Handle(methodPing, func(context.Context, peerlink.Identity, []byte) (any, error) { return m.own(), nil })
	return m
}

// Arbiter returns the zone's arbiter as known now, and a channel that is closed
// when another one is known.
func (m *zoneMonitor) Arbiter() (arbiterRef, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.arbiter, m.changed
}

// run sends heartbeats and watches the arbiter until ctx ends.
func (m *zoneMonitor) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range m.order {
		if name != m.self.Name {
			wg.Go(func() { m.heartbeatPeer(ctx, name) })
		}
	}
	ticker := time.NewTicker(electionTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.step(ctx, clock.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// heartbeatPeer exchanges heartbeats with one peer. A broken link is tried
// again at once, so that a process that ended is noticed before the silence
// has passed.
func (m *zoneMonitor) heartbeatPeer(ctx context.Context, name string) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, peerSilence)
		var reply heartbeat
		err := m.link.Call(callCtx, name, methodHeartbeat, m.own(), &reply)
		cancel()
		if err == nil {
			m.heard(name, reply)
		} else if !m.link.Connected(name) {
			m.forget(name)
		}
		m.pause(ctx, name)
	}
}

// pause waits until the next heartbeat to a peer is due. The arbiter rests: it
// hears its peers' heartbeats.
func (m *zoneMonitor) pause(ctx context.Context, name string) {
	start := clock.Now()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if m.isUrgent(name) || clock.Since(start) >= restInterval {
			return
		}
	}
}

// isUrgent reports whether a peer is heard at short intervals: it is the
// arbiter, or no arbiter is alive.
func (m *zoneMonitor) isUrgent(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return name == m.arbiter.Name || !m.arbiterAlive(clock.Now())
}

func (m *zoneMonitor) own() heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return heartbeat{Daemon: m.self, Arbiter: m.arbiter, Leaving: m.quitting}
}

func (m *zoneMonitor) handleHeartbeat(_ context.Context, from peerlink.Identity, payload []byte) (any, error) {
	var hb heartbeat
	if err := decodeMessage(payload, &hb); err != nil {
		return nil, err
	}
	m.heard(from.Name, hb)
	return m.own(), nil
}

func (m *zoneMonitor) heard(name string, hb heartbeat) {
	m.mu.Lock()
	m.seen[name] = clock.Now()
	m.ids[name] = hb.Daemon
	m.leaving[name] = hb.Leaving
	m.mu.Unlock()
	m.adopt(hb.Arbiter)
}

func (m *zoneMonitor) forget(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.seen, name)
}

// linkDown notes that the link to a peer broke.
func (m *zoneMonitor) linkDown(name string) { m.forget(name) }

// leave makes this daemon give up the role of arbiter and not take it again.
func (m *zoneMonitor) leave() {
	m.mu.Lock()
	m.quitting = true
	m.mu.Unlock()
}

// alive reports whether a daemon of the zone is this one or was heard lately.
// The lock is held.
func (m *zoneMonitor) alive(name string, now time.Time) bool {
	if name == m.self.Name {
		return true
	}
	seen, ok := m.seen[name]
	silence := restSilence
	if name == m.arbiter.Name || m.self.Name == m.arbiter.Name {
		silence = peerSilence
	}
	return ok && now.Sub(seen) < silence
}

// arbiterAlive reports whether the process that was made arbiter is alive. The
// lock is held.
func (m *zoneMonitor) arbiterAlive(now time.Time) bool {
	ref := m.arbiter
	if ref.Name == m.self.Name {
		return ref.Incarnation == m.self.Incarnation
	}
	return ref.Name != "" && m.alive(ref.Name, now) && m.ids[ref.Name].Incarnation == ref.Incarnation
}

// peersAlive returns the ids of the zone's daemons that are alive, this one included.
func (m *zoneMonitor) peersAlive(now time.Time) []dispatch.DaemonID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := []dispatch.DaemonID{m.self}
	for name, id := range m.ids {
		if name != m.self.Name && m.alive(name, now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// adopt follows an arbiter of a higher term.
func (m *zoneMonitor) adopt(ref arbiterRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ref.Term <= m.arbiter.Term || ref.Name == "" {
		return
	}
	m.arbiter = ref
	close(m.changed)
	m.changed = make(chan struct{})
	if m.onChange != nil {
		m.onChange(ref)
	}
	m.log.Info().Str("zone", m.zone).Str("arbiter", ref.Name).Uint64("term", ref.Term).Msg("arbiter elected")
}

// step follows the control log's assignment and, when the arbiter is missing
// and this daemon is next in line, claims the role.
func (m *zoneMonitor) step(ctx context.Context, now time.Time) {
	m.noteStep(now)
	if ref, ok := m.source.ArbiterOf(m.zone); ok {
		m.adopt(ref)
	}
	if !m.nextInLine(now) {
		return
	}
	observed := m.observedTerm()
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	err := m.source.ClaimArbiter(claimCtx, m.zone, observed/provisionalTerms)
	cancel()
	if err == nil {
		if ref, ok := m.source.ArbiterOf(m.zone); ok {
			m.adopt(ref)
		}
		return
	}
	if m.source.Fresh() || m.observedTerm() != observed {
		m.log.Debug().Err(err).Msg("arbiter role not given")
		return
	}
	m.adopt(arbiterRef{
		Name:        m.self.Name,
		Incarnation: m.self.Incarnation,
		Term:        observed - observed%provisionalStep + provisionalStep + m.index,
	})
}

// wakeGap is the time between two steps from which on the process counts as
// having been stopped.
const wakeGap = 10 * electionTick

// noteStep restarts the silence of all peers when this process was stopped: it
// could not hear them meanwhile.
func (m *zoneMonitor) noteStep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastStep.IsZero() && now.Sub(m.lastStep) > wakeGap+claimTimeout {
		for name := range m.seen {
			m.seen[name] = now
		}
	}
	m.lastStep = now
}

// claimTimeout bounds one claim of the arbiter role.
const claimTimeout = 400 * time.Millisecond

func (m *zoneMonitor) observedTerm() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.arbiter.Term
}

// nextInLine reports whether the arbiter is not alive, or is provisional while
// the control quorum is back, and this daemon is the first one alive.
func (m *zoneMonitor) nextInLine(now time.Time) bool {
	fresh := m.source.Fresh()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.quitting {
		return false
	}
	provisional := m.arbiter.Term%provisionalTerms != 0
	usable := m.arbiterAlive(now) && !m.leaving[m.arbiter.Name]
	if usable && (!provisional || !fresh) {
		return false
	}
	for _, name := range m.order {
		if name == m.self.Name {
			return true
		}
		if m.alive(name, now) && !m.leaving[name] {
			return false
		}
	}
	return false
}
