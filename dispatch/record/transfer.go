package record

import (
	"time"
)

// Limits of a hand-over.
const (
	// A part is full at maxPartEntries entries or maxPartAnswerBytes bytes of
	// answers, which limits the size of its frame on the peer connection.
	maxPartEntries     = 500
	maxPartAnswerBytes = 128 << 10
	// maxTransferredAnswerBytes limits the size of an answer in a hand-over.
	// Larger answers are dropped, which makes their ids unknown.
	maxTransferredAnswerBytes = 8 << 10
	// maxHeldParts limits the number of parts that a peer stores for one
	// stopped daemon.
	maxHeldParts = 1024
)

// TransferredEntry is the record of one id in a hand-over. Times are relative,
// so clocks need not agree.
type TransferredEntry struct {
	ID     string  `cbor:"1,keyasint"`
	Token  Token   `cbor:"2,keyasint"`
	Digest Digest  `cbor:"3,keyasint,omitempty"`
	State  uint8   `cbor:"4,keyasint"`
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	// Refused reports that a caller was told "not run", RefusedAgo before the
	// hand-over.
	Refused    bool          `cbor:"6,keyasint,omitempty"`
	RefusedAgo time.Duration `cbor:"7,keyasint,omitempty"`
	// HoldLeft and Left are the remaining hold and retention.
	HoldLeft time.Duration `cbor:"8,keyasint,omitempty"`
	Left     time.Duration `cbor:"9,keyasint"`
	Lost     uint8         `cbor:"10,keyasint,omitempty"`
}

// TransferredHome is the state of a home without its entries.
type TransferredHome struct {
	Home      string `cbor:"1,keyasint"`
	Secret    []byte `cbor:"2,keyasint"`
	Counter   uint64 `cbor:"3,keyasint"`
	Watermark uint64 `cbor:"4,keyasint"`
	// Left is how long ids of the home may still be resent.
	Left time.Duration `cbor:"5,keyasint"`
}

// Part is one message of a hand-over. Its entries belong to Home, or to the
// store of caller-chosen ids if Home is nil.
type Part struct {
	Home    *TransferredHome   `cbor:"1,keyasint,omitempty"`
	Entries []TransferredEntry `cbor:"2,keyasint,omitempty"`
	// AbstainLeft is the remaining abstention for caller-chosen ids. It is
	// handed over because a hand-over does not restore records that an earlier
	// incarnation lost.
	AbstainLeft time.Duration `cbor:"3,keyasint,omitempty"`
}

// export returns the store's entries in one or more parts.
func (st *Store) export(home *TransferredHome, now time.Time) []Part {
	st.expire(now)
	var parts []Part
	part := Part{Home: home, AbstainLeft: max(0, st.abstainUntil.Sub(now))}
	bytes := 0
	for el := st.byExpiry.Front(); el != nil; el = el.Next() {
		h := st.exportEntry(el.Value.(*entry), now)
		if h.Answer != nil {
			bytes += h.Answer.Size()
		}
		part.Entries = append(part.Entries, h)
		if len(part.Entries) >= maxPartEntries || bytes >= maxPartAnswerBytes {
			parts = append(parts, part)
			part = Part{Home: home}
			bytes = 0
		}
	}
	return append(parts, part)
}

func (st *Store) exportEntry(e *entry, now time.Time) TransferredEntry {
	at := st.instantOf(now)
	h := TransferredEntry{
		ID: e.id, Token: e.token(), State: uint8(e.state),
		HoldLeft: time.Duration(e.holdUntil - at), Left: time.Duration(e.expiry - at),
		Lost: e.lost,
	}
	if e.hasDigest {
		h.Digest = e.digest[:]
	}
	if e.answer != nil && e.answer.Size() <= maxTransferredAnswerBytes {
		h.Answer = e.answer
	}
	if e.refusedAt != never {
		h.Refused = true
		h.RefusedAgo = time.Duration(at - e.refusedAt)
	}
	return h
}

// importEntries adds the entries of a previous incarnation.
func (st *Store) importEntries(entries []TransferredEntry, now time.Time) {
	for _, h := range entries {
		e := st.entries[h.ID]
		if e == nil {
			e = st.add(h.ID, h.Token, h.Digest, entryReleased, now)
		}
		st.merge(e, h, now)
	}
}

// merge combines a transferred entry with what this incarnation has recorded
// since its start. The state that permits less takes precedence. If both
// entries are running, the transferred token keeps the vote, because this
// incarnation permitted no start while it abstained.
func (st *Store) merge(e *entry, h TransferredEntry, now time.Time) {
	if h.Refused {
		e.refusedAt = max(e.refusedAt, st.instantOf(now.Add(-h.RefusedAgo)), never+1)
	}
	e.addLost(h.Lost)
	if statePrecedence(entryState(h.State)) < statePrecedence(e.state) {
		return
	}
	st.dropAnswer(e)
	e.state = entryState(h.State)
	e.setToken(h.Token)
	e.setDigest(h.Digest)
	e.holdUntil = st.instantOf(now.Add(h.HoldLeft))
	if h.Answer != nil {
		st.storeAnswer(e, h.Answer)
	}
}

// statePrecedence orders states from the one that permits most to the one that
// permits least.
func statePrecedence(s entryState) int {
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
	return h.store.export(&TransferredHome{
		Home: h.self, Secret: h.minter.secret[:], Counter: h.counter, Watermark: h.watermark, Left: left,
	}, now)
}

// importHome returns the home that a previous incarnation handed over, without
// entries.
func importHome(transferred *TransferredHome, cfg StoreConfig) *Home {
	var secret [secretBytes]byte
	copy(secret[:], transferred.Secret)
	h := NewHome(transferred.Home, cfg)
	h.minter = newMinterWithSecret(transferred.Home, secret)
	h.counter = transferred.Counter
	h.watermark = transferred.Watermark
	return h
}
