package endpoint

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"magnoliastand.example/api"
)

// Options sets the times and bounds of a Registry. Zero fields take defaults.
type Options struct {
	// Lease is how long an announcement stands. Default 3 s.
	Lease time.Duration
	// Reorder bounds how much older than it seems a word from a peer's feed may
	// be, through delays between daemons. Default 500 ms.
	Reorder time.Duration
	// ForgetAfter is the time from lapse to gone, and from gone to removal. Default 1 min.
	ForgetAfter time.Duration
	// MaxEndpoints bounds the endpoints known. Default 4,096.
	MaxEndpoints int
	// EjectAfter is the number of failures in a row that ejects. Default 5.
	EjectAfter int
	// MaxEjectedShare bounds the share of a service's live endpoints that is
	// ejected at once, between 0 and 1. Default 0.5.
	MaxEjectedShare float64
	// MinBackoff and MaxBackoff bound the time from ejection to trial. Defaults 2 s and 2 min.
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

// maxEnded bounds the ended incarnations remembered for one endpoint.
const maxEnded = 4

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
	// Announcement is the endpoint's latest word.
	Announcement api.Announcement
	// Heard is when the latest word was received by a daemon of the zone.
	Heard time.Time
	// EndedHeard is when the incarnation before the present one was last heard;
	// zero when none is known.
	EndedHeard time.Time
	// Probation limits a ready endpoint to one request at a time.
	Probation bool
}

// entry is the state of one endpoint in the registry.
type entry struct {
	Endpoint
	source    string    // peer that the latest word came from, empty for this daemon
	handed    bool      // this daemon vouched for it before a peer did
	disowned  time.Time // when source ceased to vouch, zero while it does
	changedAt time.Time
	ended     []string // incarnations that this daemon itself heard being followed by others
	since     time.Time
	failures  int       // in a row
	failedAt  time.Time // first failure of the row
	okAt      time.Time // latest success
	onTrial   bool      // was ejected and has not succeeded since
	backoff   time.Duration
	retryAt   time.Time
	version   uint64
	element   *list.Element
}

// Registry holds the endpoints of one availability zone. It is not safe for
// concurrent use.
type Registry struct {
	opts    Options
	entries map[string]*entry
	byRank  *list.List           // entries in ascending order of version
	sources map[string]time.Time // when each peer's feed was last heard
	version uint64
	dropped uint64 // version of the latest removed entry
	wakeAt  time.Time
	clock   clock
	// shareLoadUntil is described at ShareLoad.
	shareLoadUntil time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(opts Options) *Registry {
	return &Registry{
		opts:    opts.withDefaults(),
		entries: make(map[string]*entry),
		byRank:  list.New(),
		sources: make(map[string]time.Time),
	}
}

// Len returns the number of endpoints known, in any state.
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

// MayGrant reports whether the endpoint may get new work at now.
func (r *Registry) MayGrant(now time.Time, id string) bool {
	e, ok := r.entries[id]
	if !ok {
		return false
	}
	return e.State == StateReady &&
		e.Announcement.State == api.EndpointReady &&
		now.Before(r.expires(e))
}

// All calls yield for each endpoint in the order of their ids.
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

// Updated calls yield for each endpoint that changed after version, latest
// first.
func (r *Registry) Updated(version uint64, yield func(Endpoint)) {
	for el := r.byRank.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		if e.version <= version {
			return
		}
		yield(e.Endpoint)
	}
}

// Announce takes an endpoint's own announcement. It returns a *FieldError for
// a faulty field and ErrFull when the registry has no room for a new endpoint.
func (r *Registry) Announce(now time.Time, id string, a api.Announcement) (api.AnnouncementReply, error) {
	if err := Validate(id, a); err != nil {
		return api.AnnouncementReply{}, err
	}
	r.clock.advance(now, r.opts.Reorder)
	e, err := r.entry(now, id)
	if err != nil {
		return api.AnnouncementReply{}, err
	}
	if slices.Contains(e.ended, a.Incarnation) {
		return api.AnnouncementReply{}, &FieldError{"incarnation", "has been followed by another incarnation"}
	}
	moved := e.source != ""
	r.setSource(e, "")
	changed := r.accept(now, e, a, r.clock.heard(now), !moved)
	// A recent change is repeated with the next renewals, so that a peer that
	// ignored it as possibly reordered takes it later.
	recent := now.Sub(e.changedAt) < 2*r.opts.Lease
	if changed || moved || recent || now.Before(r.shareLoadUntil) {
		r.touch(e)
	}
	return api.AnnouncementReply{
		Lease:      api.Duration(r.opts.Lease),
		RenewAfter: api.Duration(r.opts.Lease / renewalsPerLease),
	}, nil
}

// ShareLoad makes each announcement until the given time part of the feed, also
// when only its load differs. A daemon calls it when its zone gets a new
// arbiter, which needs to learn what is running.
func (r *Registry) ShareLoad(until time.Time) { r.shareLoadUntil = until }

// setSource notes whose word about the entry stands.
func (r *Registry) setSource(e *entry, source string) {
	if source == "" {
		e.handed = false
	} else if e.source == "" && e.Announcement.Incarnation != "" {
		e.handed = true
	}
	e.source = source
	e.disowned = time.Time{}
}

// entry returns the entry of id, made anew if there is room.
func (r *Registry) entry(now time.Time, id string) (*entry, error) {
	if e, ok := r.entries[id]; ok {
		return e, nil
	}
	if len(r.entries) >= r.opts.MaxEndpoints && !r.evict() {
		return nil, ErrFull
	}
	e := &entry{}
	e.ID = id
	e.State = StateGone
	e.since = now
	e.element = r.byRank.PushBack(e)
	r.entries[id] = e
	return e, nil
}

// evict removes the endpoint that has been absent longest.
func (r *Registry) evict() bool {
	var oldest *entry
	for _, e := range r.entries {
		if e.State != StateLapsed && e.State != StateGone {
			continue
		}
		if oldest == nil || e.since.Before(oldest.since) {
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
	r.byRank.Remove(e.element)
	delete(r.entries, e.ID)
	r.dropped = max(r.dropped, e.version)
}

// accept applies an announcement that was received at heard. Direct tells that
// this daemon received both this word and the one before. It reports whether
// anything but the load changed.
func (r *Registry) accept(now time.Time, e *entry, a api.Announcement, heard time.Time, direct bool) bool {
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
	e.Heard = heard
	before := e.State
	r.move(now, e, ev)
	r.wakeBefore(r.expires(e))
	old.Running = a.Running
	changed := old != a || before != e.State
	if changed {
		e.changedAt = now
	}
	return changed
}

// endIncarnation records that the entry's present incarnation has ended.
func (r *Registry) endIncarnation(e *entry, direct bool) {
	e.EndedHeard = e.Heard
	e.failures = 0
	if !direct {
		return
	}
	e.ended = append(e.ended, e.Announcement.Incarnation)
	if len(e.ended) > maxEnded {
		e.ended = slices.Delete(e.ended, 0, 1)
	}
}

// move applies the transition function and notes when the state changed.
func (r *Registry) move(now time.Time, e *entry, ev event) bool {
	to, ok := next(e.State, ev)
	if !ok || to == e.State {
		return ok
	}
	e.State = to
	e.since = now
	e.Probation = to == StateReady && e.onTrial
	return true
}

// touch gives the entry the next version.
func (r *Registry) touch(e *entry) {
	r.version++
	e.version = r.version
	r.byRank.MoveToBack(e.element)
}

// expires returns when the lease of the entry's latest word ends.
func (r *Registry) expires(e *entry) time.Time {
	if e.source == "" {
		return e.Heard.Add(r.opts.Lease)
	}
	if !e.disowned.IsZero() {
		return e.disowned.Add(r.opts.Lease)
	}
	return r.sources[e.source].Add(r.opts.Lease)
}

func (r *Registry) wakeBefore(t time.Time) {
	if r.wakeAt.IsZero() || t.Before(r.wakeAt) {
		r.wakeAt = t
	}
}
