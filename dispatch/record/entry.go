package record

import (
	"bytes"
	"container/list"
	"math"
	"unique"

	"magnoliastand.example/dispatch"
)

type entryState uint8

const (
	entryRunning entryState = iota + 1
	entryAnswered
	entryUnknown
	entryReleased
)

// instant is a time on the clock of a store, in nanoseconds since its first
// use. It takes a third of the memory of a time.Time. The zero value is never.
type instant int64

const never instant = 0

// entry is the record of one id. A store holds up to MaxEntries of them, so the
// struct is kept small.
type entry struct {
	id     string
	origin unique.Handle[dispatch.DaemonID]
	seq    uint64
	digest [DigestBytes]byte
	// hasDigest is false until the request's content is known.
	hasDigest bool
	// mayHaveRun is set once the token may have reached an endpoint.
	mayHaveRun    bool
	lost          uint8 // attempts of all tokens that got no whole answer
	state         entryState
	answer        *Answer
	refusedAt     instant // when a caller was last told "not run"
	holdUntil     instant // a running token must have finished by then
	expiry        instant
	answerElement *list.Element // element of Store.withAnswer; nil if there is no answer
}

func (e *entry) token() Token { return Token{Origin: e.origin.Value(), Seq: e.seq} }

func (e *entry) setToken(t Token) {
	e.origin = unique.Make(t.Origin)
	e.seq = t.Seq
}

func (e *entry) heldBy(t Token) bool { return e.seq == t.Seq && e.origin.Value() == t.Origin }

func (e *entry) addLost(n uint8) { e.lost += min(n, math.MaxUint8-e.lost) }

func (e *entry) setDigest(d Digest) {
	e.hasDigest = len(d) == DigestBytes
	copy(e.digest[:], d)
}

func (e *entry) matches(d Digest) bool {
	return !e.hasDigest || d == nil || bytes.Equal(e.digest[:], d)
}
