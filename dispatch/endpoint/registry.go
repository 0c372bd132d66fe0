package endpoint

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"magnoliastand.example/api"
)

// Options configures a Registry. Zero fields take defaults.
type Options struct {
	// Lease is how long an announcement is valid. Default 3 s.
	Lease time.Duration
	// Reorder bounds how much older than it appears a change in a peer's feed may
	// be, because of delays between daemons. Default 500 ms.
	Reorder time.Duration
	// ForgetAfter is the time from lapse to gone, and from gone to removal. Default 1 min.
	ForgetAfter time.Duration
	// MaxEndpoints is the maximum number of endpoints. Default 4,096.
	MaxEndpoints int
	// EjectAfter is the number of consecutive failures after which an endpoint is
	// ejected. Default 5.
	EjectAfter int
	// MaxEjectedShare is the largest share of a service's live endpoints that may
	// be ejected at the same time, between 0 and 1. Default 0.5.
	MaxEjectedShare float64
	// MinBackoff and MaxBackoff bound the time from ejection to probation.
	// Defaults 2 s and 2 min.
	MinBackoff, MaxBackoff time.Duration
}

// Default values of Options.
const (
	DefaultLease           = 3 * time.Second
	DefaultReorder         = 500 * time.Millisecond
	DefaultForgetAfter     = time.Minute
	DefaultMaxEndpoints    = 4096
	DefaultEjectAfter      = 5
	DefaultMaxEjectedShare = 0.5
	DefaultMinBackoff      = 2 * time.Second
	DefaultMaxBackoff      = 2 * time.Minute
)

// renewalsPerLease is the number of announcements expected during one lease.
const renewalsPerLease = 3

// maxEndedIncarnations bounds the ended incarnations stored for one endpoint.
const maxEndedIncarnations = 4

func (o Options) withDefaults() Options {
	setDefault(&o.Lease, DefaultLease)
	setDefault(&o.Reorder, DefaultReorder)
	setDefault(&o.ForgetAfter, DefaultForgetAfter)
	setDefault(&o.MaxEndpoints, DefaultMaxEndpoints)
	setDefault(&o.EjectAfter, DefaultEjectAfter)
	setDefault(&o.MaxEjectedShare, DefaultMaxEjectedShare)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Endpoint is the registry's view of one endpoint.
type Endpoint struct {
	ID    string
	State State
	// Announcement is the endpoint's latest announcement.
	Announcement api.Announcement
	// LastReceived is when a daemon of the zone received the latest announcement.
	LastReceived time.Time
	// PreviousLastReceived is when the last announcement of the previous
	// incarnation was received, or zero if no previous incarnation is known.
	PreviousLastReceived time.Time
	// Probation limits a ready endpoint to one request at a time.
	Probation bool
}

// entry is the state of one endpoint in the registry.
type entry struct {
	Endpoint
	source            string    // peer that reported the latest announcement, empty if received here
	handedOver        bool      // confirmed by this daemon before the peer in source
	unconfirmedSince  time.Time // when source stopped confirming the endpoint, zero while it does
	changedAt         time.Time
	endedIncarnations []string // incarnations that this daemon has seen replaced
	stateSince        time.Time
	failures          int       // consecutive
	firstFailureAt    time.Time // first of the consecutive failures
	lastSuccessAt     time.Time
	recovering        bool // was ejected and has not succeeded since
	backoff           time.Duration
	retryAt           time.Time
	version           uint64
	element           *list.Element
}

// Registry holds the endpoints of one availability zone. It is not safe for
// concurrent use.
type Registry struct {
	opts           Options
	entries        map[string]*entry
	byVersion      *list.List           // entries in ascending order of version
	sources        map[string]time.Time // when each peer's latest feed was received
	version        uint64
	removedVersion uint64 // highest version of a removed entry
	nextDue        time.Time
	stalls         stallDetector
	// shareLoadUntil is described at ShareLoad.
	shareLoadUntil time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(opts Options) *Registry {
	return &Registry{
		opts:      opts.withDefaults(),
		entries:   make(map[string]*entry),
		byVersion: list.New(),
		sources:   make(map[string]time.Time),
	}
}

// Len returns the number of endpoints in any state.
func (r *Registry) Len() int { return len(r.entries) }

// Version returns the version of the latest change.
func (r *Registry) Version() uint64 { return r.version }

// Get returns the endpoint with the given id.
func (r *Registry) Get(id string) (Endpoint, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// MayGrant reports whether the endpoint may receive a new request at now.
func (r *Registry) MayGrant(now time.Time, id string) bool {
	e, ok := r.entries[id]
	if !ok {
		return false
	}
	return e.State == StateReady &&
		e.Announcement.State == api.EndpointReady &&
		now.Before(r.expires(e))
}

// All iterates over the endpoints in the order of their IDs.
func (r *Registry) All(yield func(Endpoint) bool) {
	ids := make([]string, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	for _, id := range ids {
		if !yield(r.entries[id].Endpoint) {
			return
		}
	}
}

// ChangedAfter calls yield for each endpoint that changed after version, in
// descending order of version.
func (r *Registry) ChangedAfter(version uint64, yield func(Endpoint)) {
	for el := r.byVersion.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		if e.version <= version {
			return
		}
		yield(e.Endpoint)
	}
}

// Announce records an announcement received from an endpoint. It returns a
// *FieldError for an invalid field and ErrFull if the registry has no room for a
// new endpoint.
func (r *Registry) Announce(now time.Time, id string, a api.Announcement) (api.AnnouncementReply, error) {
	if err := Validate(id, a); err != nil {
		return api.AnnouncementReply{}, err
	}
	r.stalls.advance(now, r.opts.Reorder)
	e, err := r.entryFor(now, id)
	if err != nil {
		return api.AnnouncementReply{}, err
	}
	if slices.Contains(e.endedIncarnations, a.Incarnation) {
		return api.AnnouncementReply{}, &FieldError{"incarnation", "has been followed by another incarnation"}
	}
	sourceChanged := e.source != ""
	r.setSource(e, "")
	changed := r.accept(now, e, a, r.stalls.receivedAt(now), !sourceChanged)
	// A recent change is sent again with the next renewals, so that a peer that
	// ignored it as possibly reordered accepts it later.
	recent := now.Sub(e.changedAt) < 2*r.opts.Lease
	if changed || sourceChanged || recent || now.Before(r.shareLoadUntil) {
		r.bumpVersion(e)
	}
	return api.AnnouncementReply{
		Lease:      api.Duration(r.opts.Lease),
		RenewAfter: api.Duration(r.opts.Lease / renewalsPerLease),
	}, nil
}

// ShareLoad includes every announcement received before until in the feed, even
// if only its load changed. A daemon calls it when its zone gets a new arbiter,
// which needs the number of running requests.
func (r *Registry) ShareLoad(until time.Time) { r.shareLoadUntil = until }

// setSource sets the daemon that confirms the entry; empty is this daemon.
func (r *Registry) setSource(e *entry, source string) {
	if source == "" {
		e.handedOver = false
	} else if e.source == "" && e.Announcement.Incarnation != "" {
		e.handedOver = true
	}
	e.source = source
	e.unconfirmedSince = time.Time{}
}

// entryFor returns the entry of id. It creates the entry if there is none, and
// returns ErrFull if there is no room for it.
func (r *Registry) entryFor(now time.Time, id string) (*entry, error) {
	if e, ok := r.entries[id]; ok {
		return e, nil
	}
	if len(r.entries) >= r.opts.MaxEndpoints && !r.evict() {
		return nil, ErrFull
	}
	e := &entry{}
	e.ID = id
	e.State = StateGone
	e.stateSince = now
	e.element = r.byVersion.PushBack(e)
	r.entries[id] = e
	return e, nil
}

// evict removes the endpoint that has been absent longest. It reports false if
// no endpoint is absent.
func (r *Registry) evict() bool {
	var oldest *entry
	for _, e := range r.entries {
		if e.State != StateLapsed && e.State != StateGone {
			continue
		}
		if oldest == nil || e.stateSince.Before(oldest.stateSince) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	r.remove(oldest)
	return true
}

func (r *Registry) remove(e *entry) {
	r.byVersion.Remove(e.element)
	delete(r.entries, e.ID)
	r.removedVersion = max(r.removedVersion, e.version)
}

// accept applies an announcement that was received at receivedAt. direct is set
// if this daemon received both this announcement and the previous one. accept
// reports whether anything but the load changed.
func (r *Registry) accept(now time.Time, e *entry, a api.Announcement, receivedAt time.Time, direct bool) bool {
	old := e.Announcement
	ev := eventAnnouncedReady
	if old.Incarnation != "" && old.Incarnation != a.Incarnation {
		r.endIncarnation(e, direct)
		ev = eventRestarted
	}
	if a.State == api.EndpointLeaving {
		ev = eventAnnouncedLeaving
	}
	e.Announcement = a
	e.LastReceived = receivedAt
	before := e.State
	r.transition(now, e, ev)
	r.scheduleBy(r.expires(e))
	old.Running = a.Running
	changed := old != a || before != e.State
	if changed {
		e.changedAt = now
	}
	return changed
}

// endIncarnation records that the entry's current incarnation has ended.
func (r *Registry) endIncarnation(e *entry, direct bool) {
	e.PreviousLastReceived = e.LastReceived
	e.failures = 0
	if !direct {
		return
	}
	e.endedIncarnations = append(e.endedIncarnations, e.Announcement.Incarnation)
	if len(e.endedIncarnations) > maxEndedIncarnations {
		e.endedIncarnations = slices.Delete(e.endedIncarnations, 0, 1)
	}
}

// transition applies an event to the entry's state. It reports whether the event
// applies.
func (r *Registry) transition(now time.Time, e *entry, ev event) bool {
	to, ok := nextState(e.State, ev)
	if !ok || to == e.State {
		return ok
	}
	e.State = to
	e.stateSince = now
	e.Probation = to == StateReady && e.recovering
	return true
}

// bumpVersion assigns the next version to the entry.
func (r *Registry) bumpVersion(e *entry) {
	r.version++
	e.version = r.version
	r.byVersion.MoveToBack(e.element)
}

// expires returns when the entry's lease ends.
func (r *Registry) expires(e *entry) time.Time {
	if e.source == "" {
		return e.LastReceived.Add(r.opts.Lease)
	}
	if !e.unconfirmedSince.IsZero() {
		return e.unconfirmedSince.Add(r.opts.Lease)
	}
	return r.sources[e.source].Add(r.opts.Lease)
}

func (r *Registry) scheduleBy(t time.Time) {
	if r.nextDue.IsZero() || t.Before(r.nextDue) {
		r.nextDue = t
	}
}
