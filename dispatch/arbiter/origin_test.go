package arbiter

import (
	"maps"
	"slices"
	"time"

	"magnoliastand.example/dispatch"
)

// runEntry does what an origin owes: it declares, takes grants, starts in
// time, and releases what has ended.
func (w *world) runEntry(e *entry) {
	if e.term < w.term && !w.now.Before(e.declares) {
		w.declare(e)
	}
	due := slices.Clone(e.inbox)
	e.inbox = slices.DeleteFunc(e.inbox, func(d delivery) bool { return !d.at.After(w.now) })
	for _, d := range due {
		if !d.at.After(w.now) {
			w.receive(e, d.grant)
		}
	}
	for _, h := range slices.Clone(e.held) {
		w.runHolding(e, h)
	}
}

// declaration lists what the origin holds or gave up without an answer.
func (e *entry) declaration(now time.Time) dispatch.Declaration {
	d := dispatch.Declaration{Origin: e.id}
	for _, h := range append(slices.Clone(e.held), e.unknown...) {
		held := dispatch.HeldGrant{Grant: h.grant, Started: h.work != nil}
		if held.Started {
			held.Running = now.Sub(h.startedAt)
		}
		d.Held = append(d.Held, held)
	}
	return d
}

func (w *world) declare(e *entry) {
	d := e.declaration(w.now)
	e.term = w.term
	for key := range w.open {
		// What the origin no longer wants ended with the earlier arbiter.
		if _, ok := e.asks[key.requestID]; !ok && key.origin == e.id {
			delete(w.open, key)
		}
	}
	w.send(func() { w.handle(w.arb.Declare(w.now, d)) })
	w.askAll(e)
}

// askAll repeats every ask of the origin that has not ended.
func (w *world) askAll(e *entry) {
	asks := maps.Clone(e.asks)
	for _, id := range slices.Sorted(maps.Keys(asks)) {
		if _, ok := e.asks[id]; ok {
			w.ask(e, asks[id])
		}
	}
}

func (w *world) receive(e *entry, g dispatch.Grant) {
	if g.ID.Term < e.term || e.used[g.ID] {
		return
	}
	e.used[g.ID] = true
	if _, ok := e.asks[g.RequestID]; !ok {
		w.release(e, g, dispatch.OutcomeUnused, 0)
		return
	}
	delete(e.asks, g.RequestID)
	e.held = append(e.held, &holding{grant: g, startBy: w.now.Add(g.StartWithin)})
}

func (w *world) runHolding(e *entry, h *holding) {
	switch {
	case h.work == nil && w.now.After(h.startBy):
		w.drop(e, h, dispatch.OutcomeUnused)
	case h.work == nil && w.choose.n(2) == 0:
		w.begin(e, h)
	case h.work != nil && !w.runs(h):
		w.end(e, h)
	}
}

func (w *world) runs(h *holding) bool {
	_, ok := h.proc.running[h.work]
	return ok
}

// begin sends the request to whatever process listens at the endpoint now.
func (w *world) begin(e *entry, h *holding) {
	i := slices.IndexFunc(w.procs, func(p *process) bool { return p.id == h.grant.Endpoint })
	p := w.procs[i]
	if !p.alive {
		w.drop(e, h, dispatch.OutcomeUnused)
		return
	}
	h.proc = p
	h.startedAt = w.now
	run := time.Duration(1+w.choose.n(int(worldLongestRun/worldStep))) * worldStep
	if w.choose.n(3) > 0 {
		run = worldStep
	}
	h.work = &work{grant: h.grant, endsAt: w.now.Add(run)}
	p.running[h.work] = struct{}{}
}

// end releases a grant whose work is not running any more.
func (w *world) end(e *entry, h *holding) {
	outcome := dispatch.OutcomeAnswered
	if w.now.Before(h.work.endsAt) {
		outcome = dispatch.OutcomeUnknown
	}
	w.drop(e, h, outcome)
}

func (w *world) drop(e *entry, h *holding, outcome dispatch.Outcome) {
	e.held = slices.DeleteFunc(e.held, func(other *holding) bool { return other == h })
	elapsed := time.Duration(0)
	if h.work != nil {
		elapsed = w.now.Sub(h.startedAt)
	}
	if outcome == dispatch.OutcomeUnknown {
		e.unknown = append(e.unknown, h)
	}
	w.release(e, h.grant, outcome, elapsed)
}

func (w *world) release(e *entry, g dispatch.Grant, outcome dispatch.Outcome, elapsed time.Duration) {
	lost := w.choose.n(20) == 0
	if e.alive && e.term == w.term && !lost {
		rel := dispatch.Release{Grant: g.ID, Outcome: outcome, Elapsed: elapsed}
		w.send(func() { w.handle(w.arb.Release(w.now, rel)) })
	}
}

func (w *world) ask(e *entry, ask dispatch.Ask) {
	key := askKey{ask.RequestID, e.id}
	e.asks[ask.RequestID] = ask
	w.send(func() {
		w.handle(w.arb.Tick(w.now)) // ends an earlier ask for the same request whose patience has passed
		if _, ok := e.asks[ask.RequestID]; !ok {
			return
		}
		w.open[key] = dispatch.GrantID{}
		w.handle(w.arb.Ask(w.now, ask))
	})
}
