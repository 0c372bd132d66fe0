package record

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"magnoliastand.example/dispatch"
)

// Token identifies one attempt of a request by one origin incarnation. An
// origin never reuses a token.
type Token struct {
	Origin dispatch.DaemonID `cbor:"1,keyasint"`
	Seq    uint64            `cbor:"2,keyasint"`
}

// DigestBytes is the length of a digest.
const DigestBytes = 16

// Digest identifies the content of a request. A nil digest matches any content.
type Digest []byte

// NewDigest returns the digest of a request's team, queue and body.
func NewDigest(team, queue string, body []byte) Digest {
	h := sha256.New()
	var n [8]byte
	for _, s := range []string{team, queue} {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	return h.Sum(nil)[:DigestBytes]
}

// Field is one header field of an answer.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is an endpoint's complete response.
type Answer struct {
	Status int     `cbor:"1,keyasint"`
	Fields []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
}

// Size returns the number of bytes that a stored answer counts against the
// memory limits.
func (a *Answer) Size() int {
	n := len(a.Body)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Verdict is a decider's reply about an id. A decider is a daemon that may
// permit the start of the id: its home daemon or one of its acceptors.
type Verdict uint8

// Verdicts.
const (
	// Proceed permits the requesting token, and no other, to start the request.
	Proceed Verdict = iota + 1
	// Running means that another token was permitted and has not finished.
	Running
	// Answered means that the reply contains the stored answer.
	Answered
	// Unknown means that the request may have run and no answer is stored.
	Unknown
	// Mismatch means that the id was used for a request with different content.
	Mismatch
	// Abstain means that the decider cannot rule out that the id was begun
	// before.
	Abstain
	// Absent means that nothing is recorded for the id. Only lookups return it.
	Absent
	// NoQuorum means that too few deciders replied. Nothing was started.
	NoQuorum
	// Superseded means that the caller was, or may have been, told "not run"
	// for the id after this attempt arrived. This attempt must not start.
	Superseded
)

// BeginRequest asks a decider for permission to start a request.
type BeginRequest struct {
	ID     string `cbor:"1,keyasint"`
	Token  Token  `cbor:"2,keyasint"`
	Digest Digest `cbor:"3,keyasint,omitempty"`
	// Hold is the maximum time from permission to finish.
	Hold time.Duration `cbor:"4,keyasint"`
}

// BeginReply is the reply to a BeginRequest.
type BeginReply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Holder  Token   `cbor:"2,keyasint"`
	Answer  *Answer `cbor:"3,keyasint,omitempty"`
	// Refused reports that an earlier attempt was told "not run", RefusedAgo
	// before the reply.
	Refused    bool          `cbor:"4,keyasint,omitempty"`
	RefusedAgo time.Duration `cbor:"5,keyasint,omitempty"`
	// Lost is the number of attempts of the id that got no whole answer.
	Lost uint8 `cbor:"6,keyasint,omitempty"`
}

// Result is the outcome of a token's attempt.
type Result uint8

// Results.
const (
	// ResultAnswered means that the endpoint returned a complete answer.
	ResultAnswered Result = iota + 1
	// ResultNotRun means that the caller is told "not run". Attempts that
	// arrive later may use the id.
	ResultNotRun
	// ResultWithdrawn means that the token never starts and that the caller was
	// told nothing.
	ResultWithdrawn
	// ResultUnknown means that the request may have run.
	ResultUnknown
)

// FinishRequest reports the outcome of a token's attempt to a decider or to a
// daemon that stores answer copies.
type FinishRequest struct {
	ID     string  `cbor:"1,keyasint"`
	Token  Token   `cbor:"2,keyasint"`
	Digest Digest  `cbor:"3,keyasint,omitempty"`
	Result Result  `cbor:"4,keyasint"`
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	// Idempotent requests may be run by several tokens.
	Idempotent bool `cbor:"6,keyasint,omitempty"`
	// Lost is the number of attempts of the token that got no whole answer.
	Lost uint8 `cbor:"7,keyasint,omitempty"`
}

// LookupRequest asks for the stored answer of an id and waits up to Wait for a
// running request to finish.
type LookupRequest struct {
	ID     string        `cbor:"1,keyasint"`
	Digest Digest        `cbor:"2,keyasint,omitempty"`
	Wait   time.Duration `cbor:"3,keyasint,omitempty"`
}

// LookupReply is the reply to a LookupRequest.
type LookupReply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Answer  *Answer `cbor:"2,keyasint,omitempty"`
}
