package arbiter

import (
	"maps"
	"slices"
	"time"

	"magnoliastand.example/dispatch"
)

// runOrigin runs the protocol of an origin: it declares, receives grants, starts
// requests in time, and releases grants whose requests have ended.
func (sim *simulation) runOrigin(origin *simOrigin) {
	if origin.term < sim.term && !sim.now.Before(origin.declareAt) {
		sim.declare(origin)
	}
	due := slices.Clone(origin.inbox)
	origin.inbox = slices.DeleteFunc(origin.inbox, func(d delivery) bool { return !d.at.After(sim.now) })
	for _, d := range due {
		if !d.at.After(sim.now) {
			sim.receive(origin, d.grant)
		}
	}
	for _, h := range slices.Clone(origin.held) {
		sim.runHeld(origin, h)
	}
}

// declaration lists the grants that the origin holds or released with an unknown
// outcome.
func (origin *simOrigin) declaration(now time.Time) dispatch.Declaration {
	d := dispatch.Declaration{Origin: origin.id}
	for _, h := range append(slices.Clone(origin.held), origin.unknown...) {
		held := dispatch.HeldGrant{Grant: h.grant, Started: h.request != nil}
		if held.Started {
			held.Running = now.Sub(h.startedAt)
		}
		d.Held = append(d.Held, held)
	}
	return d
}

func (sim *simulation) declare(origin *simOrigin) {
	d := origin.declaration(sim.now)
	origin.term = sim.term
	for key := range sim.pending {
		// Asks that the origin no longer has ended with the previous arbiter.
		if _, ok := origin.asks[key.requestID]; !ok && key.origin == origin.id {
			delete(sim.pending, key)
		}
	}
	sim.sendToArbiter(func() { sim.handleEvents(sim.arb.Declare(sim.now, d)) })
	sim.askAll(origin)
}

// askAll repeats every ask of the origin that has not ended.
func (sim *simulation) askAll(origin *simOrigin) {
	asks := maps.Clone(origin.asks)
	for _, id := range slices.Sorted(maps.Keys(asks)) {
		if _, ok := origin.asks[id]; ok {
			sim.ask(origin, asks[id])
		}
	}
}

func (sim *simulation) receive(origin *simOrigin, g dispatch.Grant) {
	if g.ID.Term < origin.term || origin.used[g.ID] {
		return
	}
	origin.used[g.ID] = true
	if _, ok := origin.asks[g.RequestID]; !ok {
		sim.release(origin, g, dispatch.OutcomeUnused, 0)
		return
	}
	delete(origin.asks, g.RequestID)
	origin.held = append(origin.held, &heldGrant{grant: g, startBy: sim.now.Add(g.StartWithin)})
}

func (sim *simulation) runHeld(origin *simOrigin, h *heldGrant) {
	switch {
	case h.request == nil && sim.now.After(h.startBy):
		sim.releaseHeld(origin, h, dispatch.OutcomeUnused)
	case h.request == nil && sim.random.intN(2) == 0:
		sim.begin(origin, h)
	case h.request != nil && !sim.runs(h):
		sim.end(origin, h)
	}
}

func (sim *simulation) runs(h *heldGrant) bool {
	_, ok := h.process.running[h.request]
	return ok
}

// begin sends the request to the process that currently runs at the endpoint.
func (sim *simulation) begin(origin *simOrigin, h *heldGrant) {
	i := slices.IndexFunc(sim.processes, func(p *process) bool { return p.id == h.grant.Endpoint })
	p := sim.processes[i]
	if !p.alive {
		sim.releaseHeld(origin, h, dispatch.OutcomeUnused)
		return
	}
	h.process = p
	h.startedAt = sim.now
	run := time.Duration(1+sim.random.intN(int(simLongestRun/simStep))) * simStep
	if sim.random.intN(3) > 0 {
		run = simStep
	}
	h.request = &runningRequest{grant: h.grant, endsAt: sim.now.Add(run)}
	p.running[h.request] = struct{}{}
}

// end releases a grant whose request is no longer running.
func (sim *simulation) end(origin *simOrigin, h *heldGrant) {
	outcome := dispatch.OutcomeAnswered
	if sim.now.Before(h.request.endsAt) {
		outcome = dispatch.OutcomeUnknown
	}
	sim.releaseHeld(origin, h, outcome)
}

func (sim *simulation) releaseHeld(origin *simOrigin, h *heldGrant, outcome dispatch.Outcome) {
	origin.held = slices.DeleteFunc(origin.held, func(other *heldGrant) bool { return other == h })
	elapsed := time.Duration(0)
	if h.request != nil {
		elapsed = sim.now.Sub(h.startedAt)
	}
	if outcome == dispatch.OutcomeUnknown {
		origin.unknown = append(origin.unknown, h)
	}
	sim.release(origin, h.grant, outcome, elapsed)
}

func (sim *simulation) release(origin *simOrigin, g dispatch.Grant, outcome dispatch.Outcome, elapsed time.Duration) {
	lost := sim.random.intN(20) == 0
	if origin.alive && origin.term == sim.term && !lost {
		rel := dispatch.Release{Grant: g.ID, Outcome: outcome, Elapsed: elapsed}
		sim.sendToArbiter(func() { sim.handleEvents(sim.arb.Release(sim.now, rel)) })
	}
}

func (sim *simulation) ask(origin *simOrigin, ask dispatch.Ask) {
	key := askKey{ask.RequestID, origin.id}
	origin.asks[ask.RequestID] = ask
	sim.sendToArbiter(func() {
		sim.handleEvents(sim.arb.Tick(sim.now)) // ends an earlier ask for the same request that has expired
		if _, ok := origin.asks[ask.RequestID]; !ok {
			return
		}
		sim.pending[key] = dispatch.GrantID{}
		sim.handleEvents(sim.arb.Ask(sim.now, ask))
	})
}
