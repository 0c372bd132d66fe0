package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// Holder keeps the newest view that a daemon has seen. It never goes back to an
// older version, whichever relay offers it. It is safe for concurrent use.
//
// A daemon without a disk forgets at a restart which version it ran. It serves
// nothing until a quorum's vouch covers its first view, that is until
// freshness.Lease.Fresh(View().Version()) holds once.
type Holder struct {
	view atomic.Pointer[View]
	// backwards lets older views replace newer ones, for tests of the checkers.
	backwards bool

	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a holder of the cluster's empty view.
func NewHolder(cluster string) *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.view.Store(NewView(cluster))
	return h
}

// View returns the view in force.
func (h *Holder) View() *View { return h.view.Load() }

// Offer applies a delta if it is newer. It reports whether the view changed.
// The error is ErrOtherCluster or a *GapError.
func (h *Holder) Offer(d *Delta) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.view.Load().ApplyDelta(d)
	if err != nil {
		return false, err
	}
	return h.install(next), nil
}

// OfferView installs a view if it is newer. It reports whether it did. The
// error is ErrOtherCluster.
func (h *Holder) OfferView(v *View) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.cluster != h.view.Load().cluster {
		return false, ErrOtherCluster
	}
	return h.install(v), nil
}

// install replaces the view by a newer one.
func (h *Holder) install(next *View) bool {
	old := h.view.Load()
	if next.version <= old.version && !h.backwards || next == old {
		return false
	}
	invariant.Check(next.version >= old.version && next.docVersion >= old.docVersion,
		invariant.ConfigNeverReverts, "version %d after version %d", next.version, old.version)
	h.view.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the view changes next.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Wait returns the view once it has at least the version. The error wraps that
// of the context.
func (h *Holder) Wait(ctx context.Context, version uint64) (*View, error) {
	for {
		changed := h.Changed()
		if v := h.View(); v.version >= version {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "wait for configuration version %d", version)
		}
	}
}
