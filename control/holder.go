package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// Holder keeps the newest view that a daemon has received. It rejects older
// versions, regardless of which relay sends them. It is safe for concurrent use.
//
// A daemon without a disk loses its configuration version on a restart. It must
// not serve requests until a quorum has confirmed that its first view is current,
// that is until freshness.Lease.Fresh(View().Version()) has returned true once.
type Holder struct {
	view atomic.Pointer[View]
	// allowRollback allows older views to replace newer ones. Tests set it to verify
	// that the invariant check detects the rollback.
	allowRollback bool

	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a holder with the empty view of the cluster.
func NewHolder(cluster string) *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.view.Store(NewView(cluster))
	return h
}

// View returns the current view.
func (h *Holder) View() *View { return h.view.Load() }

// Offer applies a delta if it is newer than the current view, and reports whether
// the view changed. The error is ErrOtherCluster or a *GapError.
func (h *Holder) Offer(d *Delta) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.view.Load().ApplyDelta(d)
	if err != nil {
		return false, err
	}
	return h.install(next), nil
}

// OfferView installs a view if it is newer than the current one, and reports
// whether the view changed. The error is ErrOtherCluster.
func (h *Holder) OfferView(v *View) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.cluster != h.view.Load().cluster {
		return false, ErrOtherCluster
	}
	return h.install(v), nil
}

// install replaces the current view if next is newer, and notifies waiters. The
// caller holds h.mu.
func (h *Holder) install(next *View) bool {
	old := h.view.Load()
	if next.version <= old.version && !h.allowRollback || next == old {
		return false
	}
	invariant.Check(next.version >= old.version && next.docVersion >= old.docVersion,
		invariant.ConfigNeverReverts, "version %d after version %d", next.version, old.version)
	h.view.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next change of the view.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Wait blocks until the view has at least the given version and returns the view.
// The error wraps that of the context.
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
