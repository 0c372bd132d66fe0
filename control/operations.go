package control

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// OperationWindow is the minimum time for which the result of an operation is
	// kept, in cluster time.
	OperationWindow = 6 * time.Hour
	// MaxOperations is the maximum number of results kept. At the limit, new
	// operations are refused instead of evicting results within the window.
	MaxOperations = 16_384
)

// operationRecord is the stored result of an operation id.
type operationRecord struct {
	ID          string        `cbor:"1,keyasint"`
	Fingerprint uint64        `cbor:"2,keyasint"`
	At          time.Duration `cbor:"3,keyasint"`
	Result      Result        `cbor:"4,keyasint"`
}

// operationTable stores results by operation id and in order of execution.
type operationTable struct {
	byID  map[string]*operationRecord
	queue []*operationRecord
}

func newOperationTable() *operationTable {
	return &operationTable{byID: make(map[string]*operationRecord)}
}

// find returns the stored result of an operation and reports whether the id is
// known. If the id was used for a different command, the result is a refusal.
func (o *operationTable) find(id string, fingerprint uint64) (Result, bool) {
	op, ok := o.byID[id]
	if !ok {
		return Result{}, false
	}
	r := op.Result
	if op.Fingerprint != fingerprint {
		r = refusedResult(RefusedOperationReused, "operation id %q was used for another operation", id)
		r.Index, r.Version, r.DocumentVersion = op.Result.Index, op.Result.Version, op.Result.DocumentVersion
	}
	r.Repeated = true
	return r, true
}

func (o *operationTable) full() bool { return len(o.queue) >= MaxOperations }

func (o *operationTable) add(id string, fingerprint uint64, now time.Duration, r Result) {
	op := &operationRecord{ID: id, Fingerprint: fingerprint, At: now, Result: r}
	o.byID[id] = op
	o.queue = append(o.queue, op)
}

// expire removes results that are older than OperationWindow.
func (o *operationTable) expire(now time.Duration) {
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

// operationIdentity returns the operation id of an operator command and a
// fingerprint of its content. It reports false for commands without operation id.
func operationIdentity(cmd *Command) (id string, fingerprint uint64, ok bool) {
	h := xxhash.New()
	switch {
	case cmd.ApplyDocument != nil:
		c := cmd.ApplyDocument
		id = c.OperationID
		hashLengthPrefixed(h, "document", string(binary.BigEndian.AppendUint64(nil, c.BaseVersion)), string(encodeDocument(&c.Document)))
	case cmd.GrantKey != nil:
		// The fingerprint excludes the key, because a repeated request generates a
		// new one.
		c := cmd.GrantKey
		id = c.OperationID
		hashLengthPrefixed(h, "grant", c.Team, c.Label)
	case cmd.WithdrawKey != nil:
		id = cmd.WithdrawKey.OperationID
		hashLengthPrefixed(h, "withdraw", cmd.WithdrawKey.KeyID)
	case cmd.EvacuateZone != nil:
		id = cmd.EvacuateZone.OperationID
		hashLengthPrefixed(h, "evacuate-zone", cmd.EvacuateZone.Zone)
	case cmd.RestoreZone != nil:
		id = cmd.RestoreZone.OperationID
		hashLengthPrefixed(h, "restore-zone", cmd.RestoreZone.Zone)
	default:
		return "", 0, false
	}
	return id, h.Sum64(), true
}

// hashLengthPrefixed hashes each part after its length, so that different splits
// of the same bytes have different hashes.
func hashLengthPrefixed(h *xxhash.Digest, parts ...string) {
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(p)
	}
}

// countOperations returns the number of operations set in a command.
func countOperations(c *Command) int {
	n := 0
	for _, isSet := range []bool{
		c.ApplyDocument != nil,
		c.GrantKey != nil,
		c.WithdrawKey != nil,
		c.RegisterDaemon != nil,
		c.DeregisterDaemon != nil,
		c.AssignArbiter != nil,
		c.Allot != nil,
		c.Tick != nil,
		c.Fleet != nil,
		c.EvacuateZone != nil,
		c.RestoreZone != nil,
	} {
		if isSet {
			n++
		}
	}
	return n
}

// median returns the upper median of values, or 0 if there are none. It sorts
// values in place.
func median(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
