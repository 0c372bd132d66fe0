package record

import (
	"bytes"
	"container/list"
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

// instant is a time on a keeper's clock, in nanoseconds since its first use; it
// takes a third of the memory of a time.Time. Never is the zero value.
type instant int64

const never instant = 0

// entry is one remembered id. There are many of them, so it is kept small.
type entry struct {
	id     string
	origin unique.Handle[dispatch.DaemonID]
	seq    uint64
	digest [DigestBytes]byte
	// hasDigest is false until the content of the request is known.
	hasDigest bool
	// ran is set once the token may have reached an endpoint.
	ran     bool
	state   entryState
	answer  *Answer
	refused instant // when "not run" was last said
	until   instant // a running token must have finished by then
	expiry  instant
	kept    *list.Element // place among kept answers; nil if there is no answer
}

func (e *entry) token() Token { return Token{Origin: e.origin.Value(), Seq: e.seq} }

func (e *entry) setToken(t Token) {
	e.origin = unique.Make(t.Origin)
	e.seq = t.Seq
}

func (e *entry) holds(t Token) bool { return e.seq == t.Seq && e.origin.Value() == t.Origin }

func (e *entry) setDigest(d Digest) {
	e.hasDigest = len(d) == DigestBytes
	copy(e.digest[:], d)
}

func (e *entry) matches(d Digest) bool {
	return !e.hasDigest || d == nil || bytes.Equal(e.digest[:], d)
}
