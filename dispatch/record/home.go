package record

import "time"

// Home decides on the ids that name this daemon incarnation. No other
// incarnation can permit the start of such an id, so once this one is gone the
// id cannot start any more.
type Home struct {
	self    string
	minter  *minter
	keeper  *Keeper
	counter uint64
	// watermark is the highest counter forgotten. Ids up to it that are not
	// remembered may have run.
	watermark uint64
	// ends is when the last id of a former incarnation may be resent; zero for
	// the current incarnation.
	ends time.Time
	// forgetsWatermark switches the watermark off. Tests only.
	forgetsWatermark bool
}

// NewHome returns the home of the incarnation named "<zone>.<daemon>-<incarnation>".
func NewHome(self string, cfg KeeperConfig) *Home {
	h := &Home{self: self, minter: newMinter(self), keeper: NewKeeper(cfg, time.Time{})}
	h.keeper.evicted = h.raise
	return h
}

func (h *Home) raise(id string) {
	if p, ok := ParseID(id); ok && p.Counter > h.watermark && !h.forgetsWatermark {
		h.watermark = p.Counter
	}
}

// Mint returns a new id.
func (h *Home) Mint(kind Kind) string {
	h.counter++
	return h.minter.mint(kind, h.counter)
}

// Begin decides on a start, as Keeper.Begin. Ids that this incarnation did not
// hand out, and those forgotten, are unknown.
func (h *Home) Begin(id ID, r BeginRequest, now time.Time) BeginReply {
	if !h.startable(id, now) && h.keeper.entries[r.ID] == nil {
		return BeginReply{Verdict: Unknown}
	}
	return h.keeper.Begin(r, now)
}

func (h *Home) startable(id ID, now time.Time) bool {
	if !h.owns(id) || id.Kind != KindHanded {
		return false
	}
	h.keeper.expire(now)
	return id.Counter > h.watermark
}

func (h *Home) owns(id ID) bool {
	return id.Home() == h.self && id.Counter <= h.counter && h.minter.verify(id)
}

// Finish records how a token ended, as Keeper.Finish, for ids begun here.
func (h *Home) Finish(r FinishRequest, now time.Time) bool {
	if h.keeper.entries[r.ID] == nil {
		return false
	}
	return h.keeper.Finish(r, now)
}

// Lookup returns what is known of an id. An id that may have been forgotten is
// unknown.
func (h *Home) Lookup(id ID, r LookupRequest, now time.Time) LookupReply {
	reply := h.keeper.Lookup(r, now)
	if reply.Verdict == Absent && !h.startable(id, now) {
		reply.Verdict = Unknown
	}
	return reply
}
