package quota

import "time"

// zoneSession is the balancer's state of the exchange with the holder of one term.
type zoneSession struct {
	term  uint64
	teams map[string]TeamDemand
	// newestDemand is the Seq of the newest demand; complete reports whether the
	// demand of all teams is known.
	newestDemand uint64
	complete     bool
	// plannedDemand is the newestDemand at the last plan, and lastReportAt the time
	// of the plan at which it last increased.
	plannedDemand uint64
	lastReportAt  time.Duration
	// sentRenewal is the Seq of the newest renewal, and confirmedRenewal that of
	// the newest one that the holder has applied.
	sentRenewal      uint64
	confirmedRenewal uint64
	sentTeams        map[string]sentTeamRenewal
}

// sentTeamRenewal is the last state sent for a team, with the Seq of the renewal
// in which it last changed.
type sentTeamRenewal struct {
	renewal   TeamRenewal
	changedIn uint64
}

// Report records the demand of a zone. It ignores demand of older terms and
// demand that arrives after a newer one.
func (b *Balancer) Report(d *Demand) {
	z := b.session(d.Zone, d.Term)
	if z == nil || d.Seq <= z.newestDemand {
		return
	}
	z.newestDemand = d.Seq
	if d.Epoch == b.epoch {
		z.complete = true
		z.confirmedRenewal = max(z.confirmedRenewal, d.AppliedRenewal)
	}
	for _, t := range d.Teams {
		z.teams[t.Team] = t
		b.unsettled[t.Team] = true
	}
}

// session returns the session of a term, or nil if a newer term is known.
func (b *Balancer) session(name string, term uint64) *zoneSession {
	z, ok := b.sessions[name]
	if ok && term < z.term {
		return nil
	}
	if !ok || term > z.term {
		z = &zoneSession{
			term:      term,
			teams:     make(map[string]TeamDemand),
			sentTeams: make(map[string]sentTeamRenewal),
		}
		b.sessions[name] = z
	}
	return z
}

// Renewal returns the renewal of a term with the balancer's return targets. It
// contains only the teams that changed since the renewal that the holder
// confirmed. It returns false if the term is not current.
func (b *Balancer) Renewal(l *Ledger, zone string, term, index uint64) (Renewal, bool) {
	r, ok := l.Renewal(zone, term, index)
	z := b.session(zone, term)
	if !ok || z == nil {
		return r, false
	}
	z.sentRenewal++
	r.Epoch = b.epoch
	r.Seq = z.sentRenewal
	if z.complete {
		r.ConfirmedDemand = z.newestDemand
	}
	changed := r.Teams[:0]
	for _, h := range r.Teams {
		h.ReturnTarget = b.returnTargets[allotmentKey{zone, term, h.Team}]
		if z.recordTeam(h) {
			changed = append(changed, h)
		}
	}
	r.Teams = changed
	return r, true
}

// recordTeam records the state of a team and reports whether it changed since the
// renewal that the holder confirmed. A value that changed and then changed back
// counts as changed, because the holder may have applied the value in between.
func (z *zoneSession) recordTeam(h TeamRenewal) bool {
	old, ok := z.sentTeams[h.Team]
	if !ok || old.renewal != h {
		old = sentTeamRenewal{renewal: h, changedIn: z.sentRenewal}
		z.sentTeams[h.Team] = old
	}
	return old.changedIn > z.confirmedRenewal
}

// recordReportTime updates lastReportAt. It is called once per plan, which limits
// the precision.
func (z *zoneSession) recordReportTime(now time.Duration) {
	if z.newestDemand != z.plannedDemand {
		z.plannedDemand = z.newestDemand
		z.lastReportAt = now
	}
}

// timedOut reports whether the zone counts as unreachable.
func (z *zoneSession) timedOut(now time.Duration) bool { return now-z.lastReportAt > zoneTimeout }
