package quota

import (
	"sort"
	"time"
)

const (
	// rotationQuantum is how long a zone keeps a unit before another zone that
	// holds none may ask for it.
	rotationQuantum = time.Second
	// silentAfter is how long after its newest demand a zone counts as cut off:
	// it is then asked for nothing and given nothing.
	silentAfter = 3 * time.Second
	// fullPlanEvery is how often teams are planned whose demand is met and did
	// not change.
	fullPlanEvery = time.Second
	// headroomDivisor sets the spare units that a zone with demand may hold when
	// units are free: the limit divided by this, over all zones with demand.
	headroomDivisor = 4
)

// Balancer decides on the leader which units move between zones. It keeps the
// demand reported by the current terms, which a new leader learns again from
// the holders. It is not safe for concurrent use.
type Balancer struct {
	epoch uint64
	zones map[string]*zoneDemand
	// targets are the return targets asked of the holders.
	targets map[allotKey]uint64
	// since is when a zone last got a unit, or began to wait without one.
	since map[allotKey]time.Duration
	// active are the teams whose demand changed or is not met.
	active   map[string]bool
	fullPlan time.Duration // when all teams are planned next
}

// allotKey names one allotment.
type allotKey struct {
	zone string
	term uint64
	team string
}

// NewBalancer returns a balancer without demand. The epoch is positive and
// rises with each new balancer of the cluster; the leader's term serves.
func NewBalancer(epoch uint64) *Balancer {
	return &Balancer{
		epoch:   epoch,
		zones:   make(map[string]*zoneDemand),
		targets: make(map[allotKey]uint64),
		since:   make(map[allotKey]time.Duration),
		active:  make(map[string]bool),
	}
}

// Plan returns the command that fits the demand, and updates the return targets
// of later renewals. now is the leader's monotonic time.
func (b *Balancer) Plan(l *Ledger, now time.Duration) Command {
	b.prune(l)
	for _, z := range b.zones {
		z.listen(now)
	}
	full := now >= b.fullPlan
	if full {
		b.fullPlan = now + fullPlanEvery
	}
	var c Command
	for _, name := range l.teamNames() {
		if !full && !b.active[name] {
			continue
		}
		p := b.teamPlan(l, name, now)
		c.Returns = append(c.Returns, p.returns...)
		p.fillDeficits()
		p.fillHeadroom()
		p.askBack()
		c.Grants = append(c.Grants, p.grants()...)
		if p.settled() {
			delete(b.active, name)
		} else {
			b.active[name] = true
		}
	}
	return c
}

// settled reports whether nothing is left to do until demand changes.
func (p *teamPlan) settled() bool {
	for _, z := range p.zones {
		if z.gains || z.loses || z.held < z.want {
			return false
		}
	}
	return len(p.returns) == 0
}

// prune forgets what belongs to terms that are no longer current.
func (b *Balancer) prune(l *Ledger) {
	for zone, z := range b.zones {
		if l.Term(zone) != z.term {
			delete(b.zones, zone)
		}
	}
	for k := range b.targets {
		if l.Term(k.zone) != k.term {
			delete(b.targets, k)
		}
	}
	for k := range b.since {
		if l.Term(k.zone) != k.term {
			delete(b.since, k)
		}
	}
}

// zonePlan is the planned state of one allotment.
type zonePlan struct {
	key  allotKey
	want int64
	held int64 // after all returns asked for
	give int64
	// gains and loses tell that the plan gives units to the zone or asks it for
	// some; a zone does one of the two, so that planning ends.
	gains bool
	loses bool
	// returned counts the units that the ledger knows as returned.
	returned uint64
	since    time.Duration
}

// teamPlan plans the units of one team.
type teamPlan struct {
	b     *Balancer
	limit int64
	free  int64
	// pending counts units that holders were asked for and have not returned.
	pending int64
	now     time.Duration
	zones   []*zonePlan
	returns []Return
}

// teamPlan gathers the zones of one team. Units whose return a holder reported
// count as free once the ledger has them.
func (b *Balancer) teamPlan(l *Ledger, team string, now time.Duration) *teamPlan {
	p := &teamPlan{b: b, limit: l.Limit(team), now: now}
	p.free = p.limit - l.Outstanding(team)
	for zone, z := range b.zones {
		if l.Term(zone) != z.term || z.silent(now) {
			continue
		}
		p.addZone(l, allotKey{zone, z.term, team}, z.teams[team])
	}
	sort.Slice(p.zones, func(i, j int) bool { return p.zones[i].key.zone < p.zones[j].key.zone })
	sort.Slice(p.returns, func(i, j int) bool { return p.returns[i].Zone < p.returns[j].Zone })
	return p
}

func (p *teamPlan) addZone(l *Ledger, k allotKey, d TeamDemand) {
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
	if target := p.b.targets[k]; target > z.returned {
		asked := min(int64(target-z.returned), z.held)
		z.held -= asked
		p.pending += asked
		z.loses = asked > 0
	}
	z.since = p.b.waitSince(k, z, p.now)
	p.zones = append(p.zones, z)
}

// waitSince returns when the zone last got a unit or began to wait.
func (b *Balancer) waitSince(k allotKey, z *zonePlan, now time.Duration) time.Duration {
	if z.want == 0 {
		delete(b.since, k)
		return now
	}
	if _, ok := b.since[k]; !ok {
		b.since[k] = now
	}
	return b.since[k]
}

// neediest returns the zone with unmet demand that holds least; of equals the
// one that has waited longest. It returns nil if there is none.
func (p *teamPlan) neediest() *zonePlan {
	var best *zonePlan
	for _, z := range p.zones {
		if z.held >= z.want || z.loses {
			continue
		}
		if best == nil || z.held < best.held || z.held == best.held && z.since < best.since {
			best = z
		}
	}
	return best
}

// fillDeficits gives free units to the zones with unmet demand, evenly.
func (p *teamPlan) fillDeficits() {
	for p.free > 0 {
		z := p.neediest()
		if z == nil {
			return
		}
		n := p.step(z)
		p.move(z, n)
		p.free -= n
	}
}

// step returns how many units z may get at once: as many as all zones with
// unmet demand could get, so that large limits take few steps.
func (p *teamPlan) step(z *zonePlan) int64 {
	share := p.free / int64(len(p.zones))
	return max(1, min(share, z.want-z.held))
}

// fillHeadroom lets zones with demand hold some free units in advance.
func (p *teamPlan) fillHeadroom() {
	headroom := p.limit / int64(headroomDivisor*max(len(p.zones), 1))
	for _, z := range p.zones {
		n := min(headroom-(z.held-z.want), p.free)
		if z.want == 0 || n <= 0 {
			continue
		}
		p.move(z, n)
		p.free -= n
	}
}

func (p *teamPlan) move(z *zonePlan, n int64) {
	z.give += n
	z.held += n
	z.gains = true
	p.b.since[z.key] = p.now
}

// askBack asks zones that hold more than others in need to hand units back.
// Units already asked for count towards the zones in need.
func (p *teamPlan) askBack() {
	for needy := p.neediest(); needy != nil && p.pending > 0; needy = p.neediest() {
		n := min(p.pending, needy.want-needy.held)
		needy.held += n
		needy.gains = true
		p.pending -= n
	}
	for p.free == 0 {
		needy := p.neediest()
		if needy == nil {
			return
		}
		n := int64(0)
		donor := p.donor(needy)
		if donor != nil {
			n = p.donation(donor, needy)
		}
		if n <= 0 {
			return
		}
		donor.held -= n
		donor.loses = true
		needy.held += n
		needy.gains = true
		p.b.targets[donor.key] = max(p.b.targets[donor.key], donor.returned) + uint64(n)
	}
}

// donor returns the zone that should give units up for needy; nil if none.
func (p *teamPlan) donor(needy *zonePlan) *zonePlan {
	var best *zonePlan
	for _, z := range p.zones {
		if z == needy || z.held <= 0 || z.gains {
			continue
		}
		if best == nil || z.held-z.want > best.held-best.want ||
			z.held-z.want == best.held-best.want && z.since < best.since {
			best = z
		}
	}
	if best != nil && best.held <= best.want {
		best = p.largest(needy)
	}
	return best
}

// largest returns the zone that holds most; of equals the one that got its
// units longest ago.
func (p *teamPlan) largest(needy *zonePlan) *zonePlan {
	var best *zonePlan
	for _, z := range p.zones {
		if z == needy || z.held <= 0 || z.gains {
			continue
		}
		if best == nil || z.held > best.held || z.held == best.held && z.since < best.since {
			best = z
		}
	}
	return best
}

// donation returns how many units donor gives up: idle ones as far as needed,
// else half of the difference, else the last unit once its quantum has passed.
func (p *teamPlan) donation(donor, needy *zonePlan) int64 {
	idle := donor.held - donor.want
	if idle > 0 {
		return min(idle, needy.want-needy.held)
	}
	if donor.held >= needy.held+2 {
		return min((donor.held-needy.held)/2, needy.want-needy.held)
	}
	if needy.held == 0 && p.now-donor.since >= rotationQuantum {
		p.b.since[donor.key] = p.now
		return 1
	}
	return 0
}

func (p *teamPlan) grants() []Grant {
	var grants []Grant
	for _, z := range p.zones {
		if z.give > 0 {
			grants = append(grants, Grant{Zone: z.key.zone, Term: z.key.term, Team: z.key.team, Units: z.give})
		}
	}
	return grants
}
