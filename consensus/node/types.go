package node

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/storage"
)

// Errors of the node.
var (
	// ErrStopped tells that the node has stopped and did nothing.
	ErrStopped = errors.New("node: stopped")
	// ErrOutcomeUnknown tells that a proposal may or may not be committed.
	ErrOutcomeUnknown = errors.New("node: outcome unknown")
	// ErrSuperseded tells that a proposal will never be committed.
	ErrSuperseded = errors.New("node: proposal superseded")
	// ErrNotBound tells that the disk belongs to no cluster yet.
	ErrNotBound = errors.New("node: disk not bound to a cluster")
	// ErrBadConfig tells that a setting is missing or out of range.
	ErrBadConfig = errors.New("node: bad configuration")
	// ErrStorage tells that the storage failed and the node stopped.
	ErrStorage = errors.New("node: storage failed")
	// ErrStateMachine tells that the state machine failed and the node stopped.
	ErrStateMachine = errors.New("node: state machine failed")
)

// Transport sends messages to other nodes.
type Transport interface {
	// Send must not block, and may drop the message. It must not modify it.
	Send(to consensus.NodeID, m consensus.Message)
}

// StateMachine is the replicated state. All nodes apply the same entries in the
// same order, so Apply must depend on nothing but the state and the entry.
type StateMachine[R any] interface {
	// Apply carries out an entry of kind EntryData.
	Apply(e consensus.Entry) R
	// Snapshot returns the whole state. The result must not change later.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state. Empty data is the initial state.
	Restore(data []byte) error
}

// Clock supplies time; its readings must be monotonic.
type Clock interface {
	Now() time.Time
	// NewTicker returns a channel of ticks and a function that stops them,
	// which may be called more than once.
	NewTicker(d time.Duration) (ticks <-chan time.Time, stop func())
}

// SystemClock is the clock of the process.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// NewTicker returns a time.Ticker's channel and its Stop.
func (SystemClock) NewTicker(d time.Duration) (ticks <-chan time.Time, stop func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Defaults of a Config.
const (
	DefaultTickPeriod      = 100 * time.Millisecond
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 4 << 20
	DefaultInbox           = 1024
)

// Config holds the settings of a Node.
type Config[R any] struct {
	Storage   storage.Storage
	Transport Transport
	Machine   StateMachine[R]
	// Clock defaults to SystemClock.
	Clock Clock
	// TickPeriod is the duration of one tick; zero is the default.
	TickPeriod time.Duration
	// Rand draws election timeouts and read IDs. It must differ between nodes
	// and between starts of one node.
	Rand rand.Source
	// Tuning holds the limits of the Core; nil is consensus.DefaultConfig. Its
	// ID, Cluster and Rand are filled in by Start.
	Tuning *consensus.Config
	// SnapshotEntries and SnapshotBytes bound what is applied between two
	// snapshots; zero is the default.
	SnapshotEntries uint64
	SnapshotBytes   int
	// Inbox bounds the messages that wait for the loop; zero is the default.
	Inbox int
	// Repair lets a leader replace silent voters; nil is off.
	Repair *RepairPolicy
}

// complete fills in defaults and checks what is required.
func (c *Config[R]) complete() error {
	switch {
	case c.Storage == nil:
		return errors.Wrap(ErrBadConfig, "no storage")
	case c.Transport == nil:
		return errors.Wrap(ErrBadConfig, "no transport")
	case c.Machine == nil:
		return errors.Wrap(ErrBadConfig, "no state machine")
	case c.Rand == nil:
		return errors.Wrap(ErrBadConfig, "no random source")
	case c.TickPeriod < 0 || c.SnapshotBytes < 0 || c.Inbox < 0:
		return errors.Wrap(ErrBadConfig, "negative setting")
	}
	if c.Clock == nil {
		c.Clock = SystemClock{}
	}
	if c.TickPeriod == 0 {
		c.TickPeriod = DefaultTickPeriod
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.Inbox == 0 {
		c.Inbox = DefaultInbox
	}
	return nil
}

// Status is a copy of the state of a node.
type Status struct {
	consensus.Status
	// QuorumAt is a time at which this node still led a quorum, and the newest
	// known. All that was committed before it is applied here. It is the zero
	// time unless QuorumKnown is set.
	QuorumAt time.Time
	// QuorumAge is the time since QuorumAt.
	QuorumAge time.Duration
	// Syncs counts the updates made durable since the start.
	Syncs uint64
	// Refused counts the messages that were refused since the start.
	Refused uint64
}
