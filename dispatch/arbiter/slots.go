package arbiter

import (
	"slices"
	"time"

	"magnoliastand.example/dispatch/endpoint"
)

// endpointSlots is the slot state of one endpoint.
type endpointSlots struct {
	id              string
	svc             *service // nil while the document has no such service
	incarnation     string
	address         string
	announced       int
	ready           bool
	probation       bool
	registered      bool      // the endpoint is in the registry
	initialized     bool      // unknown has been set from the first announcement
	endedHeard      time.Time // when the latest ended incarnation was last heard from
	occupied        int       // grants that may be running
	unknown         int       // slots that an earlier term may have granted: the lesser of the next two bounds
	undeclared      int       // bound from the slot count: announced slots less declared grants
	reportedRunning int       // bound from the endpoint's report of running requests
	capacity        int       // contribution to svc.capacity
	free            int       // contribution to svc.free
	usedAt          uint64    // sequence number of the latest grant
	index           int
}

// before orders endpoints by load, then by least recent use.
func (sl *endpointSlots) before(other *endpointSlots) bool {
	x := (sl.occupied + sl.unknown) * other.capacity
	y := (other.occupied + other.unknown) * sl.capacity
	if x != y {
		return x < y
	}
	if sl.usedAt != other.usedAt {
		return sl.usedAt < other.usedAt
	}
	return sl.id < other.id
}

func (sl *endpointSlots) heapPosition() *int { return &sl.index }

// setUnknown sets the number of unknown slots from its two bounds.
func (sl *endpointSlots) setUnknown(undeclared, mayRun int) {
	sl.undeclared = max(undeclared, 0)
	sl.reportedRunning = mayRun
	sl.unknown = min(sl.undeclared, sl.reportedRunning)
}

// limit returns how many requests the endpoint may currently run at once.
func (sl *endpointSlots) limit() int {
	if sl.svc == nil {
		return 0
	}
	n := min(sl.announced, sl.svc.cfg.slots)
	if sl.probation {
		return min(n, 1)
	}
	return n
}

// hasEndpointFor reports whether any endpoint that may get work is not excluded.
func (s *service) hasEndpointFor(exclude []string, all map[string]*endpointSlots) bool {
	excluded := 0
	for i, id := range exclude {
		sl, ok := all[id]
		if ok && sl.svc == s && sl.capacity > 0 && !slices.Contains(exclude[:i], id) {
			excluded++
		}
	}
	return s.ready > excluded
}

// leastBusy returns the least busy endpoint with a free slot that is not
// excluded, or nil.
func (s *service) leastBusy(exclude []string) *endpointSlots {
	for _, sl := range s.freeEndpoints.items {
		if !slices.Contains(exclude, sl.id) {
			return sl
		}
	}
	return nil
}

// refresh updates the service's totals and its endpoint heap after a change of sl.
func (a *Arbiter) refresh(sl *endpointSlots) {
	s := sl.svc
	if s == nil {
		return
	}
	capacity := 0
	if (sl.ready || a.mutations.leavingGetsWork) && !a.withheld() {
		capacity = sl.limit()
	}
	free := max(capacity-sl.occupied-sl.unknown, 0)
	if a.mutations.ignoreSlots {
		free = capacity
	}
	wasReady := sl.capacity > 0
	grew := free > sl.free
	s.capacity += capacity - sl.capacity
	s.free += free - sl.free
	sl.capacity = capacity
	sl.free = free
	a.countReady(s, wasReady, capacity > 0)
	switch {
	case free == 0:
		s.freeEndpoints.remove(sl)
	case sl.index == 0:
		s.freeEndpoints.push(sl)
	default:
		s.freeEndpoints.fix(sl)
	}
	if grew {
		a.markDirty(s)
	}
}

func (a *Arbiter) countReady(s *service, was, is bool) {
	if was == is {
		return
	}
	if is {
		s.ready++
		return
	}
	s.ready--
	if s.ready == 0 {
		s.noEndpointSince = a.now
	}
}

// setService moves the endpoint's slots to a service, which may be nil.
func (a *Arbiter) setService(sl *endpointSlots, s *service) {
	if sl.svc == s {
		return
	}
	if old := sl.svc; old != nil {
		was := sl.capacity > 0
		old.freeEndpoints.remove(sl)
		old.capacity -= sl.capacity
		old.free -= sl.free
		sl.capacity, sl.free = 0, 0
		a.countReady(old, was, false)
	}
	sl.svc = s
}

// sync applies the changes of the registry since the last call.
func (a *Arbiter) sync() {
	a.reg.Advance(a.now)
	version := a.reg.Version()
	if version == a.registryVersion {
		return
	}
	a.reg.ChangedAfter(a.registryVersion, a.applyEndpoint)
	a.registryVersion = version
}

func (a *Arbiter) applyEndpoint(e endpoint.Endpoint) {
	sl, ok := a.slots[e.ID]
	if !ok {
		if e.State == endpoint.StateGone {
			return
		}
		sl = &endpointSlots{id: e.ID}
		a.slots[e.ID] = sl
	}
	sl.registered = e.State != endpoint.StateGone
	sl.incarnation = e.Announcement.Incarnation
	sl.address = e.Announcement.Address
	sl.announced = e.Announcement.Slots
	sl.ready = e.State == endpoint.StateReady
	sl.probation = e.Probation
	a.setService(sl, a.services[e.Announcement.Service])
	a.initUnknown(sl)
	if e.PreviousLastReceived.After(sl.endedHeard) {
		sl.endedHeard = e.PreviousLastReceived
		a.freeEnded(sl)
	}
	a.recoverSlots(sl, e)
	a.refresh(sl)
	a.pruneSlots(sl)
}

// pruneSlots deletes the slots of an endpoint that is not registered and has no
// grants.
func (a *Arbiter) pruneSlots(sl *endpointSlots) {
	if sl.registered || sl.occupied > 0 {
		return
	}
	a.setService(sl, nil)
	delete(a.slots, sl.id)
}

// freeEnded ends the grants whose requests ended with an earlier incarnation.
func (a *Arbiter) freeEnded(sl *endpointSlots) {
	var ended []*grant
	for _, gr := range a.grants {
		if gr.slots == sl && a.endedWithProcess(gr) {
			ended = append(ended, gr)
		}
	}
	slices.SortFunc(ended, compareGrants)
	for _, gr := range ended {
		a.endGrant(gr, a.now.Sub(gr.grantedAt))
	}
}

// endedWithProcess reports whether the grant's request can't be running because
// the endpoint process that received it has ended.
func (a *Arbiter) endedWithProcess(gr *grant) bool {
	sl := gr.slots
	if gr.Grant.EndpointIncarnation == sl.incarnation {
		return false
	}
	if a.mutations.freeOnRestart {
		return true
	}
	return !a.opts.reportCovers(gr.latestStart).After(sl.endedHeard)
}
