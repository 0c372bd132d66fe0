package control

import (
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/quota"
)

// Bounds of commands.
const (
	// MaxOperationIDLen bounds an operation id, in bytes.
	MaxOperationIDLen = 128
	// MaxActorLen bounds the name of an operator, in bytes.
	MaxActorLen = 128
	// MaxLabelLen bounds the label of a key, in bytes.
	MaxLabelLen = 128
	// MaxDaemons bounds the registered daemons.
	MaxDaemons = 256
	// MaxKeysPerTeam is how many keys of one team may be valid at once, so that a
	// team can change from one key to the next.
	MaxKeysPerTeam = 2
	// MaxKeys bounds all valid keys, also those of teams that left the document.
	MaxKeys = 3 * api.MaxTeams
)

// Command is one entry of the control log. Exactly one of its operations is set.
type Command struct {
	// At is the leader's cluster time when it proposed the command.
	At time.Duration `cbor:"1,keyasint"`
	// Applied is the log index that the leader had applied by then (Clock.Stamp).
	Applied uint64 `cbor:"2,keyasint"`
	// UnixMilli is the leader's wall clock, for display in the history only.
	UnixMilli int64 `cbor:"3,keyasint,omitempty"`

	ApplyDocument  *ApplyDocument  `cbor:"10,keyasint,omitempty"`
	GrantKey       *GrantKey       `cbor:"11,keyasint,omitempty"`
	WithdrawKey    *WithdrawKey    `cbor:"12,keyasint,omitempty"`
	RegisterDaemon *RegisterDaemon `cbor:"13,keyasint,omitempty"`
	ForgetDaemon   *ForgetDaemon   `cbor:"14,keyasint,omitempty"`
	AssignArbiter  *AssignArbiter  `cbor:"15,keyasint,omitempty"`
	Allot          *quota.Command  `cbor:"16,keyasint,omitempty"`
	// Tick only moves cluster time.
	Tick *Tick `cbor:"17,keyasint,omitempty"`
	// Fleet is an opaque command of the Delegate.
	Fleet []byte `cbor:"18,keyasint,omitempty"`
}

// ApplyDocument puts a document in force.
type ApplyDocument struct {
	OperationID string `cbor:"1,keyasint"`
	Actor       string `cbor:"2,keyasint,omitempty"`
	// BaseVersion is the document version that the new document builds on; 0
	// before the first document.
	BaseVersion uint64       `cbor:"3,keyasint"`
	Document    api.Document `cbor:"4,keyasint"`
}

// GrantKey makes a key valid. The key is generated outside (NewKey).
type GrantKey struct {
	OperationID string  `cbor:"1,keyasint"`
	Team        string  `cbor:"2,keyasint"`
	Label       string  `cbor:"3,keyasint,omitempty"`
	KeyID       string  `cbor:"4,keyasint"`
	Hash        KeyHash `cbor:"5,keyasint"`
}

// WithdrawKey makes a key invalid. Withdrawing it again changes nothing.
type WithdrawKey struct {
	OperationID string `cbor:"1,keyasint"`
	KeyID       string `cbor:"2,keyasint"`
}

// RegisterDaemon makes a daemon known, or changes what is known of it. The
// proposer orders the registrations of one name.
type RegisterDaemon struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	// Address is the daemon's "IP:port" for peers.
	Address string `cbor:"4,keyasint"`
}

// ForgetDaemon removes a daemon that is gone for good.
type ForgetDaemon struct {
	Name string `cbor:"1,keyasint"`
}

// AssignArbiter starts a new arbiter term in a zone and ends the one before. An
// empty daemon leaves the zone without an arbiter.
type AssignArbiter struct {
	Zone        string `cbor:"1,keyasint"`
	Daemon      string `cbor:"2,keyasint,omitempty"`
	Incarnation string `cbor:"3,keyasint,omitempty"`
	// Term is newer than every term that the zone had before.
	Term uint64 `cbor:"4,keyasint"`
}

// Tick carries no data.
type Tick struct{}

// Result is the outcome of a command.
type Result struct {
	// Index is the log index of the command that first had this result.
	Index uint64 `cbor:"1,keyasint"`
	// Version is the version of the configuration after the command.
	Version uint64 `cbor:"2,keyasint"`
	// DocumentVersion is the version of the document after the command.
	DocumentVersion uint64 `cbor:"3,keyasint,omitempty"`
	// KeyID names the key of a grant or withdrawal.
	KeyID string `cbor:"4,keyasint,omitempty"`
	// Refusal tells why nothing changed; nil if the command was accepted.
	Refusal *Refusal `cbor:"5,keyasint,omitempty"`
	// Fleet is the answer of the Delegate.
	Fleet []byte `cbor:"6,keyasint,omitempty"`
	// Repeated tells that the operation id was known and this is its first result.
	Repeated bool `cbor:"7,keyasint,omitempty"`
	// First tells that a registered daemon was not known before under its name.
	First bool `cbor:"8,keyasint,omitempty"`
}

// RefusalCode tells why a command was refused.
type RefusalCode string

// Codes of refusals.
const (
	RefusedConflict        RefusalCode = "conflict"
	RefusedDocument        RefusalCode = "invalid-document"
	RefusedUnknownTeam     RefusalCode = "unknown-team"
	RefusedTooManyKeys     RefusalCode = "too-many-keys"
	RefusedKeyIDTaken      RefusalCode = "key-id-taken"
	RefusedNotFound        RefusalCode = "not-found"
	RefusedOperationReused RefusalCode = "operation-reused"
	RefusedOperationsFull  RefusalCode = "operations-full"
	RefusedStaleTerm       RefusalCode = "stale-term"
	RefusedTooManyDaemons  RefusalCode = "too-many-daemons"
	RefusedMalformed       RefusalCode = "malformed"
	RefusedFleet           RefusalCode = "fleet"
)

// Refusal is the reason why a command changed nothing. It implements error.
type Refusal struct {
	Code   RefusalCode `cbor:"1,keyasint"`
	Detail string      `cbor:"2,keyasint"`
	// CurrentVersion is the document version in force, for RefusedConflict.
	CurrentVersion uint64 `cbor:"3,keyasint,omitempty"`
	// Faults are the first faults of a refused document.
	Faults []api.Fault `cbor:"4,keyasint,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Detail }

// Delegate is a deterministic state machine whose opaque commands travel in the
// control log. Apply's error becomes a refusal and must leave the delegate
// unchanged.
type Delegate interface {
	Apply(cmd []byte) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// DocumentObserver is implemented by a Delegate that follows the document. The
// document is not changed later.
type DocumentObserver interface {
	DocumentApplied(doc *api.Document)
}

// DocumentChecker is implemented by a Delegate that can refuse a document, for
// example one that leaves out a pool in use. It depends on nothing but the
// delegate's state and the document.
type DocumentChecker interface {
	CheckDocument(doc *api.Document) []api.Fault
}
