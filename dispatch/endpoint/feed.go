package endpoint

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// Feed holds the changes that a daemon sends to the peers of its zone about the
// endpoints that announced themselves to it. The feeds of a sender must be merged
// in the order in which they were created. A feed without changes still confirms
// the endpoints sent before.
type Feed struct {
	// Version is the version to pass to Changes for the next feed.
	Version uint64 `cbor:"1,keyasint"`
	// Full means that the feed lists every endpoint of the sender. Endpoints that
	// are not listed have gone.
	Full    bool     `cbor:"2,keyasint,omitempty"`
	Changes []Change `cbor:"3,keyasint,omitempty"`
}

// Change is the current state of a changed endpoint.
type Change struct {
	ID           string           `cbor:"1,keyasint"`
	State        State            `cbor:"2,keyasint"`
	Announcement api.Announcement `cbor:"3,keyasint"`
	// Age is the time since the announcement was received.
	Age time.Duration `cbor:"4,keyasint"`
	// PreviousAge is the time since the last announcement of the previous
	// incarnation was received, or 0 if no previous incarnation is known.
	PreviousAge time.Duration `cbor:"5,keyasint,omitempty"`
	// HandedOver means that the sender no longer confirms the endpoint, since it
	// received a later announcement through another daemon.
	HandedOver bool `cbor:"6,keyasint,omitempty"`
}

// Changes returns the changes after the version since of the endpoints that
// announced themselves to this daemon. It returns a full feed if since is 0,
// precedes the removal of an entry, or exceeds the current version because this
// daemon has restarted.
func (r *Registry) Changes(now time.Time, since uint64) Feed {
	f := Feed{
		Version: r.version,
		Full:    since == 0 || since < r.removedVersion || since > r.version,
	}
	if f.Full {
		since = 0
	}
	for el := r.byVersion.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		if e.version <= since {
			break
		}
		if e.source == "" || e.handedOver {
			f.Changes = append(f.Changes, changeOf(now, e))
		}
	}
	slices.Reverse(f.Changes)
	return f
}

func changeOf(now time.Time, e *entry) Change {
	c := Change{
		ID:           e.ID,
		State:        e.State,
		Announcement: e.Announcement,
		Age:          now.Sub(e.LastReceived),
		HandedOver:   e.handedOver,
	}
	if !e.PreviousLastReceived.IsZero() {
		c.PreviousAge = now.Sub(e.PreviousLastReceived)
	}
	return c
}

// Merge applies a feed of the peer source, which must not be empty. It applies
// all valid changes and returns the first error.
func (r *Registry) Merge(now time.Time, source string, f Feed) error {
	if source == "" {
		return errors.New("feed has no source name")
	}
	r.stalls.advance(now, r.opts.Reorder)
	r.sources[source] = r.stalls.receivedAt(now)
	var first error
	for _, c := range f.Changes {
		if err := r.mergeChange(now, source, c); err != nil && first == nil {
			first = errors.Wrapf(err, "endpoint %q from %s", c.ID, source)
		}
	}
	if f.Full {
		r.lapseMissing(now, source, f.Changes)
	}
	return first
}

func (r *Registry) mergeChange(now time.Time, source string, c Change) error {
	if err := Validate(c.ID, c.Announcement); err != nil {
		return err
	}
	if c.HandedOver {
		r.mergeHandover(now, source, c)
		return nil
	}
	if c.State == StateLapsed || c.State == StateGone {
		r.mergeLapse(now, source, c)
		return nil
	}
	e, err := r.entryFor(now, c.ID)
	if err != nil {
		return err
	}
	receivedAt := r.stalls.receivedAt(now).Add(-max(c.Age, 0))
	if !r.supersedes(e, source, c, receivedAt) {
		return nil
	}
	sourceChanged := e.source != source
	r.setSource(e, source)
	changed := r.accept(now, e, c.Announcement, receivedAt, false)
	if c.PreviousAge > 0 {
		previousReceivedAt := r.stalls.receivedAt(now).Add(-c.PreviousAge)
		if previousReceivedAt.After(e.PreviousLastReceived) {
			e.PreviousLastReceived = previousReceivedAt
			changed = true
		}
	}
	if changed || sourceChanged {
		r.bumpVersion(e)
	}
	return nil
}

// supersedes reports whether a change from a peer replaces the entry's
// announcement. A change that contradicts the announcement, because it has
// another incarnation or returns a leaving endpoint to ready, must be later by
// more than Reorder, since messages from different peers may arrive out of order.
// A change that is ignored for this reason is sent again with later renewals.
func (r *Registry) supersedes(e *entry, source string, c Change, receivedAt time.Time) bool {
	if slices.Contains(e.endedIncarnations, c.Announcement.Incarnation) {
		return false
	}
	if e.State == StateGone {
		return true
	}
	known := e.Announcement
	newIncarnation := known.Incarnation != c.Announcement.Incarnation
	revertsLeaving := known.State == api.EndpointLeaving && c.Announcement.State == api.EndpointReady
	if (newIncarnation || revertsLeaving) && e.source != source {
		return receivedAt.Sub(e.LastReceived) > r.opts.Reorder
	}
	return receivedAt.After(e.LastReceived)
}

// mergeHandover records that source no longer confirms an endpoint for which no
// later announcement has arrived. The endpoint lapses after a lease unless one
// arrives.
func (r *Registry) mergeHandover(now time.Time, source string, c Change) {
	e, ok := r.entries[c.ID]
	if !ok || e.source != source || !e.unconfirmedSince.IsZero() {
		return
	}
	e.unconfirmedSince = now
	r.scheduleBy(r.dueAt(e))
}

// mergeLapse applies a lapse reported by the peer that confirms the endpoint.
func (r *Registry) mergeLapse(now time.Time, source string, c Change) {
	e, ok := r.entries[c.ID]
	if !ok || e.source != source {
		return
	}
	if r.transition(now, e, eventLeaseLapsed) {
		r.scheduleBy(r.dueAt(e))
		r.bumpVersion(e)
	}
}

// lapseMissing marks the endpoints of source that are missing from its full feed
// as lapsed.
func (r *Registry) lapseMissing(now time.Time, source string, listed []Change) {
	listedIDs := make(map[string]struct{}, len(listed))
	for _, c := range listed {
		listedIDs[c.ID] = struct{}{}
	}
	for id, e := range r.entries {
		if _, ok := listedIDs[id]; ok || e.source != source {
			continue
		}
		if r.transition(now, e, eventLeaseLapsed) {
			r.scheduleBy(r.dueAt(e))
			r.bumpVersion(e)
		}
	}
}
