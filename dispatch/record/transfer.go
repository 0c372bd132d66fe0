package record

import (
	"time"
)

// Bounds of a hand-over.
const (
	// partEntries is the number of entries in one part, and partAnswerBytes the
	// bytes of answers after which a part is full; they bound a peer's frame.
	partEntries     = 500
	partAnswerBytes = 128 << 10
	// maxHandedAnswer bounds an answer that is handed over; larger ones are
	// dropped, which makes their ids unknown.
	maxHandedAnswer = 8 << 10
	// maxHeldParts bounds what a peer holds for one stopped daemon.
	maxHeldParts = 1024
)

// HandedEntry is one remembered id in a hand-over. Times are relative, so that
// clocks need not agree.
type HandedEntry struct {
	ID     string  `cbor:"1,keyasint"`
	Token  Token   `cbor:"2,keyasint"`
	Digest Digest  `cbor:"3,keyasint,omitempty"`
	State  uint8   `cbor:"4,keyasint"`
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	// Refused tells that "not run" was said, RefusedAgo before the hand-over.
	Refused    bool          `cbor:"6,keyasint,omitempty"`
	RefusedAgo time.Duration `cbor:"7,keyasint,omitempty"`
	// HoldLeft and Left are the times until the hold and the retention end.
	HoldLeft time.Duration `cbor:"8,keyasint,omitempty"`
	Left     time.Duration `cbor:"9,keyasint"`
}

// HandedHome is the state of a home without its entries.
type HandedHome struct {
	Home      string `cbor:"1,keyasint"`
	Secret    []byte `cbor:"2,keyasint"`
	Counter   uint64 `cbor:"3,keyasint"`
	Watermark uint64 `cbor:"4,keyasint"`
	// Left is how long ids of the home may still be resent.
	Left time.Duration `cbor:"5,keyasint"`
}

// Part is one message of a hand-over. Entries belong to Home, or to the keeper
// of ids in the callers' own form if Home is nil.
type Part struct {
	Home    *HandedHome   `cbor:"1,keyasint,omitempty"`
	Entries []HandedEntry `cbor:"2,keyasint,omitempty"`
	// AbstainLeft is how long the keeper of ids in the callers' own form must
	// still abstain: what an incarnation before lost stays lost.
	AbstainLeft time.Duration `cbor:"3,keyasint,omitempty"`
}

// export returns the keeper's entries in parts, at least one.
func (k *Keeper) export(home *HandedHome, now time.Time) []Part {
	k.expire(now)
	var parts []Part
	part := Part{Home: home, AbstainLeft: max(0, k.abstainUntil.Sub(now))}
	bytes := 0
	for el := k.order.Front(); el != nil; el = el.Next() {
		h := k.hand(el.Value.(*entry), now)
		if h.Answer != nil {
			bytes += h.Answer.Size()
		}
		part.Entries = append(part.Entries, h)
		if len(part.Entries) >= partEntries || bytes >= partAnswerBytes {
			parts = append(parts, part)
			part = Part{Home: home}
			bytes = 0
		}
	}
	return append(parts, part)
}

func (k *Keeper) hand(e *entry, now time.Time) HandedEntry {
	at := k.at(now)
	h := HandedEntry{
		ID: e.id, Token: e.token(), State: uint8(e.state),
		HoldLeft: time.Duration(e.until - at), Left: time.Duration(e.expiry - at),
	}
	if e.hasDigest {
		h.Digest = e.digest[:]
	}
	if e.answer != nil && e.answer.Size() <= maxHandedAnswer {
		h.Answer = e.answer
	}
	if e.refused != never {
		h.Refused = true
		h.RefusedAgo = time.Duration(at - e.refused)
	}
	return h
}

// adopt takes over entries of a former incarnation.
func (k *Keeper) adopt(entries []HandedEntry, now time.Time) {
	for _, h := range entries {
		e := k.entries[h.ID]
		if e == nil {
			e = k.add(h.ID, h.Token, h.Digest, entryReleased, now)
		}
		k.merge(e, h, now)
	}
}

// merge joins what was handed over with what this incarnation recorded since
// its start. The state that permits less wins. Of two running tokens the handed
// one holds the vote, since this incarnation gave none while it abstained.
func (k *Keeper) merge(e *entry, h HandedEntry, now time.Time) {
	if h.Refused {
		e.refused = max(e.refused, k.at(now.Add(-h.RefusedAgo)), never+1)
	}
	if strength(entryState(h.State)) < strength(e.state) {
		return
	}
	k.dropAnswer(e)
	e.state = entryState(h.State)
	e.setToken(h.Token)
	e.setDigest(h.Digest)
	e.until = k.at(now.Add(h.HoldLeft))
	if h.Answer != nil {
		k.keep(e, h.Answer)
	}
}

// strength orders states by how little they permit.
func strength(s entryState) int {
	switch s {
	case entryReleased:
		return 0
	case entryRunning:
		return 1
	case entryUnknown:
		return 2
	default:
		return 3
	}
}

func (h *Home) export(now time.Time, left time.Duration) []Part {
	return h.keeper.export(&HandedHome{
		Home: h.self, Secret: h.minter.secret[:], Counter: h.counter, Watermark: h.watermark, Left: left,
	}, now)
}

// adoptHome returns the home that a former incarnation handed over, without entries.
func adoptHome(handed *HandedHome, cfg KeeperConfig) *Home {
	var secret [secretBytes]byte
	copy(secret[:], handed.Secret)
	h := NewHome(handed.Home, cfg)
	h.minter = newMinterWith(handed.Home, secret)
	h.counter = handed.Counter
	h.watermark = handed.Watermark
	return h
}
