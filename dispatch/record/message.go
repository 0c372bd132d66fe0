package record

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"magnoliastand.example/dispatch"
)

// Token identifies one handling of a request by one origin incarnation. An
// origin never uses a token twice.
type Token struct {
	Origin dispatch.DaemonID `cbor:"1,keyasint"`
	Seq    uint64            `cbor:"2,keyasint"`
}

// DigestBytes is the length of a digest.
const DigestBytes = 16

// Digest identifies the content of a request; nil matches any content.
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

// Answer is the whole answer of an endpoint.
type Answer struct {
	Status int     `cbor:"1,keyasint"`
	Fields []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
}

// Size returns the memory that a kept answer is charged, in bytes.
func (a *Answer) Size() int {
	n := len(a.Body)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Verdict is a decider's word on an id.
type Verdict uint8

// Verdicts.
const (
	// Proceed permits the asking token, and no other, to start the request.
	Proceed Verdict = iota + 1
	// Running means that another token was permitted and has not finished.
	Running
	// Answered comes with the kept answer.
	Answered
	// Unknown means that the request may have run and no answer is kept.
	Unknown
	// Mismatch means that the id stands for a request of other content.
	Mismatch
	// Abstain means that the decider cannot vouch that the id is new.
	Abstain
	// Absent means that nothing is known of the id, in replies to lookups.
	Absent
	// NoQuorum means that too few deciders could be reached. Nothing was started.
	NoQuorum
	// Superseded means that a later attempt of the id was refused as not run
	// after this one arrived, or may have been. This attempt must not start.
	Superseded
)

// BeginRequest asks a decider to permit the start of a request.
type BeginRequest struct {
	ID     string `cbor:"1,keyasint"`
	Token  Token  `cbor:"2,keyasint"`
	Digest Digest `cbor:"3,keyasint,omitempty"`
	// Hold is how long the token may take from permission to finish.
	Hold time.Duration `cbor:"4,keyasint"`
}

// BeginReply answers a BeginRequest.
type BeginReply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Holder  Token   `cbor:"2,keyasint"`
	Answer  *Answer `cbor:"3,keyasint,omitempty"`
	// Refused tells that an earlier attempt was told "not run", RefusedAgo before the reply.
	Refused    bool          `cbor:"4,keyasint,omitempty"`
	RefusedAgo time.Duration `cbor:"5,keyasint,omitempty"`
}

// Result is how a token ended.
type Result uint8

// Results.
const (
	// ResultAnswered comes with the whole answer.
	ResultAnswered Result = iota + 1
	// ResultNotRun means that the caller is told "not run". The id is free for
	// attempts that arrive later.
	ResultNotRun
	// ResultWithdrawn means that the token never starts and nothing was said.
	ResultWithdrawn
	// ResultUnknown means that the request may have run.
	ResultUnknown
)

// FinishRequest tells a decider or a holder of copies how a token ended.
type FinishRequest struct {
	ID     string  `cbor:"1,keyasint"`
	Token  Token   `cbor:"2,keyasint"`
	Digest Digest  `cbor:"3,keyasint,omitempty"`
	Result Result  `cbor:"4,keyasint"`
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	// Idempotent requests may run by several tokens.
	Idempotent bool `cbor:"6,keyasint,omitempty"`
}

// LookupRequest asks for the kept answer of an id, waiting up to Wait for a
// running request to finish.
type LookupRequest struct {
	ID     string        `cbor:"1,keyasint"`
	Digest Digest        `cbor:"2,keyasint,omitempty"`
	Wait   time.Duration `cbor:"3,keyasint,omitempty"`
}

// LookupReply answers a LookupRequest.
type LookupReply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Answer  *Answer `cbor:"2,keyasint,omitempty"`
}
