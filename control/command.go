package control

import (
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/quota"
)

// Limits of commands.
const (
	// MaxOperationIDLen is the maximum length of an operation id, in bytes.
	MaxOperationIDLen = 128
	// MaxActorLen is the maximum length of an operator name, in bytes.
	MaxActorLen = 128
	// MaxLabelLen is the maximum length of a key label, in bytes.
	MaxLabelLen = 128
	// MaxDaemons is the maximum number of registered daemons.
	MaxDaemons = 256
	// MaxKeysPerTeam is the maximum number of valid keys of one team. Two keys
	// allow a team to rotate its key without interruption.
	MaxKeysPerTeam = 2
	// MaxKeys is the maximum number of valid keys of all teams, including teams
	// that were removed from the document.
	MaxKeys = 3 * api.MaxTeams
)

// Command is an entry of the control log. Exactly one of its operations is set.
type Command struct {
	// At is the leader's cluster time when it proposed the command.
	At time.Duration `cbor:"1,keyasint"`
	// Applied is the log index that the leader had applied at that time; see
	// Clock.Stamp.
	Applied uint64 `cbor:"2,keyasint"`
	// UnixMilli is the leader's wall-clock time, for display only.
	UnixMilli int64 `cbor:"3,keyasint,omitempty"`

	ApplyDocument    *ApplyDocument    `cbor:"10,keyasint,omitempty"`
	GrantKey         *GrantKey         `cbor:"11,keyasint,omitempty"`
	WithdrawKey      *WithdrawKey      `cbor:"12,keyasint,omitempty"`
	RegisterDaemon   *RegisterDaemon   `cbor:"13,keyasint,omitempty"`
	DeregisterDaemon *DeregisterDaemon `cbor:"14,keyasint,omitempty"`
	AssignArbiter    *AssignArbiter    `cbor:"15,keyasint,omitempty"`
	Allot            *quota.Command    `cbor:"16,keyasint,omitempty"`
	// Tick only advances cluster time.
	Tick *Tick `cbor:"17,keyasint,omitempty"`
	// Fleet is an opaque command for the Delegate.
	Fleet []byte `cbor:"18,keyasint,omitempty"`

	EvacuateZone *EvacuateZone `cbor:"19,keyasint,omitempty"`
	RestoreZone  *RestoreZone  `cbor:"20,keyasint,omitempty"`
}

// ApplyDocument makes a document the document in force.
type ApplyDocument struct {
	OperationID string `cbor:"1,keyasint"`
	Actor       string `cbor:"2,keyasint,omitempty"`
	// BaseVersion is the document version that the new document is based on; 0 for
	// the first document.
	BaseVersion uint64       `cbor:"3,keyasint"`
	Document    api.Document `cbor:"4,keyasint"`
}

// GrantKey makes a key valid. The proposer generates the key (NewKey), since State
// uses no randomness.
type GrantKey struct {
	OperationID string  `cbor:"1,keyasint"`
	Team        string  `cbor:"2,keyasint"`
	Label       string  `cbor:"3,keyasint,omitempty"`
	KeyID       string  `cbor:"4,keyasint"`
	Hash        KeyHash `cbor:"5,keyasint"`
}

// WithdrawKey revokes a key. It is idempotent.
type WithdrawKey struct {
	OperationID string `cbor:"1,keyasint"`
	KeyID       string `cbor:"2,keyasint"`
}

// RegisterDaemon adds a daemon or updates its registration. The proposer must
// serialize registrations of the same name.
type RegisterDaemon struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	// Address is the "IP:port" at which peers reach the daemon.
	Address string `cbor:"4,keyasint"`
}

// DeregisterDaemon permanently removes a daemon.
type DeregisterDaemon struct {
	Name string `cbor:"1,keyasint"`
}

// AssignArbiter starts a new arbiter term in a zone and ends the previous one. If
// Daemon is empty, the zone has no arbiter during the term.
type AssignArbiter struct {
	Zone        string `cbor:"1,keyasint"`
	Daemon      string `cbor:"2,keyasint,omitempty"`
	Incarnation string `cbor:"3,keyasint,omitempty"`
	// Term must be greater than every previous term of the zone.
	Term uint64 `cbor:"4,keyasint"`
}

// EvacuateZone orders that nothing be started in an availability zone until
// RestoreZone. What runs there continues. It is idempotent.
type EvacuateZone struct {
	OperationID string `cbor:"1,keyasint"`
	Actor       string `cbor:"2,keyasint,omitempty"`
	Zone        string `cbor:"3,keyasint"`
	// BaseVersion is the configuration version that was in force when the order was
	// received. An order that arrives after a newer one for the zone is refused.
	BaseVersion uint64 `cbor:"4,keyasint"`
}

// RestoreZone ends the evacuation of an availability zone. It is idempotent.
type RestoreZone struct {
	OperationID string `cbor:"1,keyasint"`
	Actor       string `cbor:"2,keyasint,omitempty"`
	Zone        string `cbor:"3,keyasint"`
	// BaseVersion is as in EvacuateZone.
	BaseVersion uint64 `cbor:"4,keyasint"`
}

// Tick is a command without data.
type Tick struct{}

// Result is the outcome of a command.
type Result struct {
	// Index is the log index of the command that first produced this result.
	Index uint64 `cbor:"1,keyasint"`
	// Version is the configuration version after the command.
	Version uint64 `cbor:"2,keyasint"`
	// DocumentVersion is the document version after the command.
	DocumentVersion uint64 `cbor:"3,keyasint,omitempty"`
	// KeyID is the id of the granted or withdrawn key.
	KeyID string `cbor:"4,keyasint,omitempty"`
	// Refusal is the reason why the command was refused; nil if it was accepted.
	Refusal *Refusal `cbor:"5,keyasint,omitempty"`
	// Fleet is the opaque result of the Delegate.
	Fleet []byte `cbor:"6,keyasint,omitempty"`
	// Repeated reports that the operation id had been used before. The result is
	// then the first result of the operation, or RefusedOperationReused if the
	// commands differ.
	Repeated bool `cbor:"7,keyasint,omitempty"`
	// First reports that no daemon had been registered under this name before.
	First bool `cbor:"8,keyasint,omitempty"`
}

// RefusalCode classifies the reason for refusing a command.
type RefusalCode string

// Refusal codes.
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
	RefusedUnknownZone     RefusalCode = "unknown-zone"
)

// Refusal describes why a command was refused. A refused command changes nothing.
// Refusal implements error.
type Refusal struct {
	Code   RefusalCode `cbor:"1,keyasint"`
	Detail string      `cbor:"2,keyasint"`
	// CurrentVersion is the document version in force for RefusedConflict, and the
	// current term of the zone for RefusedStaleTerm.
	CurrentVersion uint64 `cbor:"3,keyasint,omitempty"`
	// Faults holds the first faults of a refused document.
	Faults []api.Fault `cbor:"4,keyasint,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Detail }

// Delegate is a deterministic state machine whose opaque commands are replicated
// in the control log. If Apply returns an error, the command is refused and the
// delegate must be unchanged.
type Delegate interface {
	Apply(cmd []byte) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// DocumentObserver is implemented by a Delegate that is notified of each new
// document. The document passed to it is never modified.
type DocumentObserver interface {
	DocumentApplied(doc *api.Document)
}

// ZoneDelegate is implemented by a Delegate whose state has availability zones.
type ZoneDelegate interface {
	// HasZone reports whether the delegate's state contains anything in the zone.
	HasZone(zone string) bool
	// SetEvacuatedZones replaces the list of evacuated zones, which is sorted. It is
	// called after each change of the list and after each Restore: the list is part of
	// the control snapshot, not of the delegate's.
	SetEvacuatedZones(zones []string)
}

// DocumentChecker is implemented by a Delegate that can refuse a document, for
// example one that removes a pool in use. The result must depend only on the
// delegate's state and the document.
type DocumentChecker interface {
	CheckDocument(doc *api.Document) []api.Fault
}
