package record

import "time"

// Home decides on the ids that name one daemon incarnation. No other
// incarnation can permit the start of such an id, so it can no longer start
// once that incarnation has ended, unless its records were handed over.
type Home struct {
	self    string
	minter  *minter
	store   *Store
	counter uint64
	// watermark is the highest counter that was evicted. Ids up to it that are
	// not in the store may have run.
	watermark uint64
	// expires is when the ids of a previous incarnation can no longer be
	// resent. It is zero for the current incarnation.
	expires time.Time
	// watermarkDisabled disables the watermark. It is set by tests only.
	watermarkDisabled bool
}

// NewHome returns the home of the incarnation named
// "<zone>.<daemon>-<incarnation>".
func NewHome(self string, cfg StoreConfig) *Home {
	h := &Home{self: self, minter: newMinter(self), store: NewStore(cfg, time.Time{})}
	h.store.onEvict = h.raiseWatermark
	return h
}

func (h *Home) raiseWatermark(id string) {
	if p, ok := ParseID(id); ok && p.Counter > h.watermark && !h.watermarkDisabled {
		h.watermark = p.Counter
	}
}

// Mint returns a new id.
func (h *Home) Mint(kind Kind) string {
	h.counter++
	return h.minter.mint(kind, h.counter)
}

// Begin decides on a start in the same way as Store.Begin. Ids that this
// incarnation did not issue, and those already evicted, are Unknown.
func (h *Home) Begin(id ID, r BeginRequest, now time.Time) BeginReply {
	if !h.mayStart(id, now) && h.store.entries[r.ID] == nil {
		return BeginReply{Verdict: Unknown}
	}
	return h.store.Begin(r, now)
}

func (h *Home) mayStart(id ID, now time.Time) bool {
	if !h.issued(id) || id.Kind != KindIssued {
		return false
	}
	h.store.expire(now)
	return id.Counter > h.watermark
}

func (h *Home) issued(id ID) bool {
	return id.Home() == h.self && id.Counter <= h.counter && h.minter.verify(id)
}

// Finish records the outcome of an attempt in the same way as Store.Finish, for
// ids begun here.
func (h *Home) Finish(r FinishRequest, now time.Time) bool {
	if h.store.entries[r.ID] == nil {
		return false
	}
	return h.store.Finish(r, now)
}

// Lookup returns the recorded state of an id. An id that may have been evicted
// is Unknown.
func (h *Home) Lookup(id ID, r LookupRequest, now time.Time) LookupReply {
	reply := h.store.Lookup(r, now)
	if reply.Verdict == Absent && !h.mayStart(id, now) {
		reply.Verdict = Unknown
	}
	return reply
}
