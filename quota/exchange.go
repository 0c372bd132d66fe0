package quota

import "time"

// zoneDemand is what the balancer and the holder of one term exchanged.
type zoneDemand struct {
	term  uint64
	teams map[string]TeamDemand
	// seen is the newest demand; complete tells that no team is missing.
	seen     uint64
	complete bool
	// planned is the newest demand at the last plan, heardAt when that rose.
	planned uint64
	heardAt time.Duration
	// sent numbers the renewals; confirmed is the newest one that the holder has.
	sent      uint64
	confirmed uint64
	holdings  map[string]sentHolding
}

// sentHolding is a holding with the renewal in which it last changed.
type sentHolding struct {
	holding Holding
	changed uint64
}

// Report records the demand of a zone. Demand of older terms and demand that a
// newer one has overtaken is ignored.
func (b *Balancer) Report(d *Demand) {
	z := b.zone(d.Zone, d.Term)
	if z == nil || d.Seq <= z.seen {
		return
	}
	z.seen = d.Seq
	if d.Epoch == b.epoch {
		z.complete = true
		z.confirmed = max(z.confirmed, d.Have)
	}
	for _, t := range d.Teams {
		z.teams[t.Team] = t
		b.active[t.Team] = true
	}
}

// zone returns the exchange with a term; nil if a newer term is known.
func (b *Balancer) zone(name string, term uint64) *zoneDemand {
	z, ok := b.zones[name]
	if ok && term < z.term {
		return nil
	}
	if !ok || term > z.term {
		z = &zoneDemand{
			term:     term,
			teams:    make(map[string]TeamDemand),
			holdings: make(map[string]sentHolding),
		}
		b.zones[name] = z
	}
	return z
}

// Renewal returns the renewal of a term with the balancer's return targets, as
// far as they changed since the renewal that the holder confirmed. It reports
// false if the term is not current.
func (b *Balancer) Renewal(l *Ledger, zone string, term, index uint64) (Renewal, bool) {
	r, ok := l.Renewal(zone, term, index)
	z := b.zone(zone, term)
	if !ok || z == nil {
		return r, false
	}
	z.sent++
	r.Epoch = b.epoch
	r.Seq = z.sent
	if z.complete {
		r.Reported = z.seen
	}
	changed := r.Teams[:0]
	for _, h := range r.Teams {
		h.ReturnTarget = b.targets[allotKey{zone, term, h.Team}]
		if z.changedSince(h) {
			changed = append(changed, h)
		}
	}
	r.Teams = changed
	return r, true
}

// changedSince records a holding and reports whether it changed since the
// renewal that the holder confirmed. Values that were sent in between count as
// changes, also when they changed back.
func (z *zoneDemand) changedSince(h Holding) bool {
	old, ok := z.holdings[h.Team]
	if !ok || old.holding != h {
		old = sentHolding{holding: h, changed: z.sent}
		z.holdings[h.Team] = old
	}
	return old.changed > z.confirmed
}

// listen notes when the newest demand came, to the precision of plans.
func (z *zoneDemand) listen(now time.Duration) {
	if z.seen != z.planned {
		z.planned = z.seen
		z.heardAt = now
	}
}

// silent reports whether the zone counts as cut off.
func (z *zoneDemand) silent(now time.Duration) bool { return now-z.heardAt > silentAfter }
