package quota

import (
	"sort"
	"time"
)

const (
	// rotationQuantum is the minimum time that a zone keeps its last unit before
	// the unit may move to a zone that holds none.
	rotationQuantum = time.Second
	// zoneTimeout is the time after its newest demand at which a zone counts as
	// unreachable: the plan then neither grants it units nor requests any back.
	zoneTimeout = 3 * time.Second
	// fullPlanInterval is the time between plans of all teams. In between, only
	// teams whose demand changed or is not met are planned.
	fullPlanInterval = time.Second
	// headroomDivisor sets the spare units that a zone with demand may hold while
	// units are free: limit / (headroomDivisor * zones in the plan).
	headroomDivisor = 4
)

// Balancer runs on the leader and decides which units move between zones. It
// keeps the demand that the current terms reported in memory only; the holders
// report it again to a new leader. It is not safe for concurrent use.
type Balancer struct {
	epoch    uint64
	sessions map[string]*zoneSession
	// returnTargets holds the totals of returned units requested from the holders.
	returnTargets map[allotmentKey]uint64
	// lastServed is when a zone last received a unit or began to wait without one.
	lastServed map[allotmentKey]time.Duration
	// unsettled holds the teams whose demand changed or is not met.
	unsettled    map[string]bool
	nextFullPlan time.Duration // time of the next plan of all teams
}

// allotmentKey identifies one allotment.
type allotmentKey struct {
	zone string
	term uint64
	team string
}

// NewBalancer returns a balancer without demand. The epoch is positive and
// increases with each new balancer of the cluster, for example the leader's term.
func NewBalancer(epoch uint64) *Balancer {
	return &Balancer{
		epoch:         epoch,
		sessions:      make(map[string]*zoneSession),
		returnTargets: make(map[allotmentKey]uint64),
		lastServed:    make(map[allotmentKey]time.Duration),
		unsettled:     make(map[string]bool),
	}
}

// Plan returns the command that moves units towards the demand and updates the
// return targets sent in later renewals. now is the leader's monotonic time.
func (b *Balancer) Plan(l *Ledger, now time.Duration) Command {
	b.prune(l)
	for _, z := range b.sessions {
		z.recordReportTime(now)
	}
	full := now >= b.nextFullPlan
	if full {
		b.nextFullPlan = now + fullPlanInterval
	}
	var c Command
	for _, name := range l.teamNames() {
		if !full && !b.unsettled[name] {
			continue
		}
		p := b.newTeamPlan(l, name, now)
		c.Returns = append(c.Returns, p.returns...)
		p.fillDeficits()
		p.fillHeadroom()
		p.requestReturns()
		c.Grants = append(c.Grants, p.grants()...)
		if p.settled() {
			delete(b.unsettled, name)
		} else {
			b.unsettled[name] = true
		}
	}
	return c
}

// settled reports whether all demand is met and no unit is about to move.
func (p *teamPlan) settled() bool {
	for _, z := range p.zones {
		if z.receiving || z.releasing || z.held < z.want {
			return false
		}
	}
	return len(p.returns) == 0
}

// prune removes the entries of terms that are no longer current.
func (b *Balancer) prune(l *Ledger) {
	for zone, z := range b.sessions {
		if l.Term(zone) != z.term {
			delete(b.sessions, zone)
		}
	}
	for k := range b.returnTargets {
		if l.Term(k.zone) != k.term {
			delete(b.returnTargets, k)
		}
	}
	for k := range b.lastServed {
		if l.Term(k.zone) != k.term {
			delete(b.lastServed, k)
		}
	}
}

// zonePlan is the planned state of one allotment.
type zonePlan struct {
	key   allotmentKey
	want  int64
	held  int64 // after all requested returns
	grant int64
	// receiving and releasing report whether the plan grants units to the zone or
	// requests some back. At most one of them is set, so that planning terminates.
	receiving bool
	releasing bool
	// returned is the ledger's counter of returned units.
	returned   uint64
	lastServed time.Duration
}

// teamPlan is the plan for the units of one team.
type teamPlan struct {
	b     *Balancer
	limit int64
	free  int64
	// pendingReturns counts the requested units that are not yet returned.
	pendingReturns int64
	now            time.Duration
	zones          []*zonePlan
	returns        []Return
}

// newTeamPlan returns the plan of one team over all reachable zones.
// Units that a holder reported as returned count as free only after the ledger
// has applied their return.
func (b *Balancer) newTeamPlan(l *Ledger, team string, now time.Duration) *teamPlan {
	p := &teamPlan{b: b, limit: l.Limit(team), now: now}
	p.free = p.limit - l.Outstanding(team)
	for zone, z := range b.sessions {
		if l.Term(zone) != z.term || z.timedOut(now) {
			continue
		}
		p.addZone(l, allotmentKey{zone, z.term, team}, z.teams[team])
	}
	sort.Slice(p.zones, func(i, j int) bool { return p.zones[i].key.zone < p.zones[j].key.zone })
	sort.Slice(p.returns, func(i, j int) bool { return p.returns[i].Zone < p.returns[j].Zone })
	return p
}

func (p *teamPlan) addZone(l *Ledger, k allotmentKey, d TeamDemand) {
	z := &zonePlan{key: k, want: d.Running + d.Waiting, held: l.Held(k.zone, k.team)}
	z.want = min(max(z.want, 0), p.limit)
	a := l.current(k.zone, k.term, k.team)
	if a == nil && z.want == 0 {
		return
	}
	if a != nil && d.Returned > a.returned {
		p.returns = append(p.returns, Return{Zone: k.zone, Term: k.term, Team: k.team, Returned: d.Returned})
	}
	if a != nil {
		z.returned = a.returned
	}
	if target := p.b.returnTargets[k]; target > z.returned {
		requested := min(int64(target-z.returned), z.held)
		z.held -= requested
		p.pendingReturns += requested
		z.releasing = requested > 0
	}
	z.lastServed = p.b.lastServedAt(k, z, p.now)
	p.zones = append(p.zones, z)
}

// lastServedAt returns when the zone last received a unit or began to wait for
// one. It removes the entry of a zone without demand.
func (b *Balancer) lastServedAt(k allotmentKey, z *zonePlan, now time.Duration) time.Duration {
	if z.want == 0 {
		delete(b.lastServed, k)
		return now
	}
	if _, ok := b.lastServed[k]; !ok {
		b.lastServed[k] = now
	}
	return b.lastServed[k]
}

// mostUnderserved returns the zone with unmet demand that holds the fewest units,
// or nil if no demand is unmet. Ties go to the zone that has waited longest.
func (p *teamPlan) mostUnderserved() *zonePlan {
	var best *zonePlan
	for _, z := range p.zones {
		if z.held >= z.want || z.releasing {
			continue
		}
		if best == nil || z.held < best.held || z.held == best.held && z.lastServed < best.lastServed {
			best = z
		}
	}
	return best
}

// fillDeficits distributes free units evenly over the zones with unmet demand.
func (p *teamPlan) fillDeficits() {
	for p.free > 0 {
		z := p.mostUnderserved()
		if z == nil {
			return
		}
		n := p.grantSize(z)
		p.assign(z, n)
		p.free -= n
	}
}

// grantSize returns how many units to grant to z in one step: an equal share of
// the free units over all zones of the plan, so that large limits take few steps.
func (p *teamPlan) grantSize(z *zonePlan) int64 {
	share := p.free / int64(len(p.zones))
	return max(1, min(share, z.want-z.held))
}

// fillHeadroom grants zones with demand some free units ahead of need.
func (p *teamPlan) fillHeadroom() {
	headroom := p.limit / int64(headroomDivisor*max(len(p.zones), 1))
	for _, z := range p.zones {
		n := min(headroom-(z.held-z.want), p.free)
		if z.want == 0 || n <= 0 {
			continue
		}
		p.assign(z, n)
		p.free -= n
	}
}

func (p *teamPlan) assign(z *zonePlan, n int64) {
	z.grant += n
	z.held += n
	z.receiving = true
	p.b.lastServed[z.key] = p.now
}

// requestReturns requests units back from zones that hold more than zones with
// unmet demand. Units that are already requested count towards the unmet demand.
func (p *teamPlan) requestReturns() {
	for recipient := p.mostUnderserved(); recipient != nil && p.pendingReturns > 0; recipient = p.mostUnderserved() {
		n := min(p.pendingReturns, recipient.want-recipient.held)
		recipient.held += n
		recipient.receiving = true
		p.pendingReturns -= n
	}
	for p.free == 0 {
		recipient := p.mostUnderserved()
		if recipient == nil {
			return
		}
		n := int64(0)
		donor := p.donor(recipient)
		if donor != nil {
			n = p.returnSize(donor, recipient)
		}
		if n <= 0 {
			return
		}
		donor.held -= n
		donor.releasing = true
		recipient.held += n
		recipient.receiving = true
		p.b.returnTargets[donor.key] = max(p.b.returnTargets[donor.key], donor.returned) + uint64(n)
	}
}

// donor returns the zone that should release units to recipient, or nil if there
// is none.
func (p *teamPlan) donor(recipient *zonePlan) *zonePlan {
	var best *zonePlan
	for _, z := range p.zones {
		if z == recipient || z.held <= 0 || z.receiving {
			continue
		}
		if best == nil || z.held-z.want > best.held-best.want ||
			z.held-z.want == best.held-best.want && z.lastServed < best.lastServed {
			best = z
		}
	}
	if best != nil && best.held <= best.want {
		best = p.largestDonor(recipient)
	}
	return best
}

// largestDonor returns the zone that holds the most units and may release some.
// Ties go to the zone that received its units longest ago.
func (p *teamPlan) largestDonor(recipient *zonePlan) *zonePlan {
	var best *zonePlan
	for _, z := range p.zones {
		if z == recipient || z.held <= 0 || z.receiving {
			continue
		}
		if best == nil || z.held > best.held || z.held == best.held && z.lastServed < best.lastServed {
			best = z
		}
	}
	return best
}

// returnSize returns how many units donor releases to recipient: as many idle
// units as are needed, else half of the difference, else the last unit once
// rotationQuantum has passed.
func (p *teamPlan) returnSize(donor, recipient *zonePlan) int64 {
	idle := donor.held - donor.want
	if idle > 0 {
		return min(idle, recipient.want-recipient.held)
	}
	if donor.held >= recipient.held+2 {
		return min((donor.held-recipient.held)/2, recipient.want-recipient.held)
	}
	if recipient.held == 0 && p.now-donor.lastServed >= rotationQuantum {
		p.b.lastServed[donor.key] = p.now
		return 1
	}
	return 0
}

func (p *teamPlan) grants() []Grant {
	var grants []Grant
	for _, z := range p.zones {
		if z.grant > 0 {
			grants = append(grants, Grant{Zone: z.key.zone, Term: z.key.term, Team: z.key.team, Units: z.grant})
		}
	}
	return grants
}
