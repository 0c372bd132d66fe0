package endpoint

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// Feed is what one daemon tells its zone peers about the endpoints that
// announced themselves to it. Feeds of one sender must be merged in the order
// in which they were made. An empty feed still vouches for what was said before.
type Feed struct {
	// Version is what the receiver passes to Changes for the next feed.
	Version uint64 `cbor:"1,keyasint"`
	// Full feeds list every endpoint of the sender; what is missing has gone.
	Full    bool     `cbor:"2,keyasint,omitempty"`
	Changes []Change `cbor:"3,keyasint,omitempty"`
}

// Change is the news of one endpoint.
type Change struct {
	ID           string           `cbor:"1,keyasint"`
	State        State            `cbor:"2,keyasint"`
	Announcement api.Announcement `cbor:"3,keyasint"`
	// Age is the time since the announcement was received.
	Age time.Duration `cbor:"4,keyasint"`
	// EndedAge is the time since the earlier incarnation was last heard; 0 means none is known.
	EndedAge time.Duration `cbor:"5,keyasint,omitempty"`
	// Handed means that the sender no longer vouches for the endpoint, since it
	// has a later word from another daemon.
	Handed bool `cbor:"6,keyasint,omitempty"`
}

// Changes returns what changed after version among the endpoints that
// announced themselves here. Version 0, or one too old for the removals since,
// gives a full feed.
func (r *Registry) Changes(now time.Time, since uint64) Feed {
	f := Feed{
		Version: r.version,
		Full:    since == 0 || since < r.dropped || since > r.version,
	}
	if f.Full {
		since = 0
	}
	for el := r.byRank.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		if e.version <= since {
			break
		}
		if e.source == "" || e.handed {
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
		Age:          now.Sub(e.Heard),
		Handed:       e.handed,
	}
	if !e.EndedHeard.IsZero() {
		c.EndedAge = now.Sub(e.EndedHeard)
	}
	return c
}

// Merge applies a feed of the peer named source, which must not be empty. It
// applies all it can and returns the first fault found.
func (r *Registry) Merge(now time.Time, source string, f Feed) error {
	if source == "" {
		return errors.New("a feed needs the name of its source")
	}
	r.clock.advance(now, r.opts.Reorder)
	r.sources[source] = r.clock.heard(now)
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
	if c.Handed {
		r.mergeHandover(now, source, c)
		return nil
	}
	if c.State == StateLapsed || c.State == StateGone {
		r.mergeAbsence(now, source, c)
		return nil
	}
	e, err := r.entry(now, c.ID)
	if err != nil {
		return err
	}
	heard := r.clock.heard(now).Add(-max(c.Age, 0))
	if !r.isNews(e, source, c, heard) {
		return nil
	}
	moved := e.source != source
	r.setSource(e, source)
	changed := r.accept(now, e, c.Announcement, heard, false)
	if c.EndedAge > 0 {
		ended := r.clock.heard(now).Add(-c.EndedAge)
		if ended.After(e.EndedHeard) {
			e.EndedHeard = ended
			changed = true
		}
	}
	if changed || moved {
		r.touch(e)
	}
	return nil
}

// isNews reports whether a peer's word about an endpoint replaces what is known.
// A word that contradicts the known one, by naming another incarnation or by
// taking back that the endpoint leaves, must be later by more than Reorder, as
// it may have been overtaken on its way. A true one is repeated.
func (r *Registry) isNews(e *entry, source string, c Change, heard time.Time) bool {
	if slices.Contains(e.ended, c.Announcement.Incarnation) {
		return false
	}
	if e.State == StateGone {
		return true
	}
	known := e.Announcement
	restarts := known.Incarnation != c.Announcement.Incarnation
	reverts := known.State == api.EndpointLeaving && c.Announcement.State == api.EndpointReady
	if (restarts || reverts) && e.source != source {
		return heard.Sub(e.Heard) > r.opts.Reorder
	}
	return heard.After(e.Heard)
}

// mergeHandover notes that source no longer vouches for an endpoint that no
// later word has come for yet. Without one, the endpoint lapses after a lease.
func (r *Registry) mergeHandover(now time.Time, source string, c Change) {
	e, ok := r.entries[c.ID]
	if !ok || e.source != source || !e.disowned.IsZero() {
		return
	}
	e.disowned = now
	r.wakeBefore(r.dueAt(e))
}

// mergeAbsence applies a lapse seen by the peer that the latest word came from.
func (r *Registry) mergeAbsence(now time.Time, source string, c Change) {
	e, ok := r.entries[c.ID]
	if !ok || e.source != source {
		return
	}
	if r.move(now, e, eventLeaseLapsed) {
		r.wakeBefore(r.dueAt(e))
		r.touch(e)
	}
}

// lapseMissing lapses the endpoints of source that its full feed omits.
func (r *Registry) lapseMissing(now time.Time, source string, listed []Change) {
	kept := make(map[string]struct{}, len(listed))
	for _, c := range listed {
		kept[c.ID] = struct{}{}
	}
	for id, e := range r.entries {
		if _, ok := kept[id]; ok || e.source != source {
			continue
		}
		if r.move(now, e, eventLeaseLapsed) {
			r.wakeBefore(r.dueAt(e))
			r.touch(e)
		}
	}
}
