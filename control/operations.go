package control

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// OperationWindow is how long the result of an operation is kept at least, in
	// cluster time.
	OperationWindow = 6 * time.Hour
	// MaxOperations bounds the results kept. New operations are refused rather
	// than a result within the window dropped.
	MaxOperations = 16_384
)

// operation is the kept result of an operation id.
type operation struct {
	ID          string        `cbor:"1,keyasint"`
	Fingerprint uint64        `cbor:"2,keyasint"`
	At          time.Duration `cbor:"3,keyasint"`
	Result      Result        `cbor:"4,keyasint"`
}

// operations keeps results by operation id, the oldest first.
type operations struct {
	byID  map[string]*operation
	queue []*operation
}

func newOperations() *operations {
	return &operations{byID: make(map[string]*operation)}
}

// find returns the first result of an operation. An id that was used for
// something else gets a refusal.
func (o *operations) find(id string, fingerprint uint64) (Result, bool) {
	op, ok := o.byID[id]
	if !ok {
		return Result{}, false
	}
	r := op.Result
	if op.Fingerprint != fingerprint {
		r = refuse(RefusedOperationReused, "operation id %q was used for another operation", id)
		r.Index, r.Version, r.DocumentVersion = op.Result.Index, op.Result.Version, op.Result.DocumentVersion
	}
	r.Repeated = true
	return r, true
}

func (o *operations) full() bool { return len(o.queue) >= MaxOperations }

func (o *operations) add(id string, fingerprint uint64, now time.Duration, r Result) {
	op := &operation{ID: id, Fingerprint: fingerprint, At: now, Result: r}
	o.byID[id] = op
	o.queue = append(o.queue, op)
}

// expire drops results that are older than the window.
func (o *operations) expire(now time.Duration) {
	n := 0
	for n < len(o.queue) && now-o.queue[n].At > OperationWindow {
		delete(o.byID, o.queue[n].ID)
		n++
	}
	if n > 0 {
		o.queue = slices.Delete(o.queue, 0, n)
	}
}

// ValidOperationID reports whether id has 1 to MaxOperationIDLen visible ASCII
// characters.
func ValidOperationID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= MaxOperationIDLen
}

// identify returns the operation id of an operator's command and a fingerprint
// of what it asks for. It reports false for commands without operation id.
func identify(cmd *Command) (id string, fingerprint uint64, ok bool) {
	h := xxhash.New()
	switch {
	case cmd.ApplyDocument != nil:
		c := cmd.ApplyDocument
		id = c.OperationID
		writeParts(h, "document", string(binary.BigEndian.AppendUint64(nil, c.BaseVersion)), string(documentBytes(&c.Document)))
	case cmd.GrantKey != nil:
		// The key itself is left out: a repeated request draws a new one.
		c := cmd.GrantKey
		id = c.OperationID
		writeParts(h, "grant", c.Team, c.Label)
	case cmd.WithdrawKey != nil:
		id = cmd.WithdrawKey.OperationID
		writeParts(h, "withdraw", cmd.WithdrawKey.KeyID)
	default:
		return "", 0, false
	}
	return id, h.Sum64(), true
}

// writeParts hashes parts with their lengths, so that they cannot run together.
func writeParts(h *xxhash.Digest, parts ...string) {
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(p)
	}
}

// countOperations counts the operations set in a command.
func countOperations(c *Command) int {
	n := 0
	for _, set := range []bool{
		c.ApplyDocument != nil,
		c.GrantKey != nil,
		c.WithdrawKey != nil,
		c.RegisterDaemon != nil,
		c.ForgetDaemon != nil,
		c.AssignArbiter != nil,
		c.Allot != nil,
		c.Tick != nil,
		c.Fleet != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// median returns the middle of the values; 0 without values.
func median(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
