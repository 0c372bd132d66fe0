package arbiter

import (
	"math"
	"time"

	"magnoliastand.example/dispatch/endpoint"
)

// maxForwarded bounds the number of forwarded asks that are tracked.
const maxForwarded = 4096

// peer is the state of another availability zone, from its latest summary.
type peer struct {
	zone       string
	receivedAt time.Time
	credits    map[string]int // number of asks that may still be forwarded, by service
	endpoints  map[string]int // number of endpoints that may get work, by service
}

// Summary returns the zone's totals per service as of the latest input, for the
// arbiters of other zones.
func (a *Arbiter) Summary() endpoint.Summary {
	out := endpoint.Summary{Zone: a.opts.Zone}
	for _, s := range a.byName {
		out.Services = append(out.Services, endpoint.ServiceSummary{
			Service:   s.name,
			Endpoints: s.ready,
			Slots:     s.capacity,
			Free:      s.free,
			Waiting:   s.waiting,
		})
	}
	return out
}

// ApplyPeerSummary processes the summary of another zone. Summaries of the
// arbiter's own zone are ignored.
func (a *Arbiter) ApplyPeerSummary(now time.Time, sum endpoint.Summary) []Event {
	a.begin(now)
	if sum.Zone == a.opts.Zone {
		return a.finish()
	}
	p := &peer{
		zone:       sum.Zone,
		receivedAt: a.now,
		credits:    make(map[string]int, len(sum.Services)),
		endpoints:  make(map[string]int, len(sum.Services)),
	}
	for _, s := range sum.Services {
		spare := float64(s.Free - s.Waiting)
		p.endpoints[s.Service] = s.Endpoints
		p.credits[s.Service] = int(math.Ceil(max(spare, 0) * a.opts.OverflowShare))
	}
	a.peers[sum.Zone] = p
	return a.finish()
}

// PeerLost reports that another zone is unreachable.
func (a *Arbiter) PeerLost(now time.Time, zone string) []Event {
	a.begin(now)
	delete(a.peers, zone)
	return a.finish()
}

// forward forwards a new ask to the zone with the most forwarding credit. It
// returns false if the ask came from another zone, no zone has credit left, or
// too many forwarded asks are tracked.
func (a *Arbiter) forward(s *service, w *waiter) bool {
	if w.ask.Hops > 0 && !a.mutations.ignoreForwardHops || a.forwarded >= maxForwarded {
		return false
	}
	p := a.peerWithMostCredits(s.name)
	if p == nil {
		return false
	}
	p.credits[s.name]--
	w.zone = p.zone
	a.forwarded++
	a.asks[w.key] = w
	a.deadlines.push(w)
	a.emitForward(w)
	return true
}

// forwardWaiting forwards an ask that has been waiting in this zone.
func (a *Arbiter) forwardWaiting(s *service, w *waiter) bool {
	if w.ask.Hops > 0 || a.peerWithMostCredits(s.name) == nil || a.forwarded >= maxForwarded {
		return false
	}
	a.removeAsk(w)
	return a.forward(s, w)
}

// emitForward emits a Forward event with the remaining wait limit.
func (a *Arbiter) emitForward(w *waiter) {
	ask := w.ask
	ask.Hops++
	ask.Patience = w.deadline.Sub(a.now)
	a.emit(Forward{Ask: ask, Zone: w.zone})
}

// peerWithMostCredits returns the zone with the most forwarding credit for the
// service among those with a current summary, or nil if none has any. An evacuated
// zone forwards without credit too, to zones that have endpoints: its asks can't be
// granted here, and the other zone's arbiter queues or refuses them.
func (a *Arbiter) peerWithMostCredits(name string) *peer {
	var best *peer
	for _, p := range a.peers {
		mayTake := p.credits[name] > 0 || a.withheld() && p.endpoints[name] > 0
		if !mayTake || a.now.Sub(p.receivedAt) > a.opts.PeerStale {
			continue
		}
		if best == nil || p.credits[name] > best.credits[name] ||
			p.credits[name] == best.credits[name] && p.zone < best.zone {
			best = p
		}
	}
	return best
}
