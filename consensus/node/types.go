package node

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/storage"
)

// Errors of the node.
var (
	// ErrStopped means that the node has stopped and the call had no effect.
	ErrStopped = errors.New("node: stopped")
	// ErrOutcomeUnknown means that a proposal may or may not be committed.
	ErrOutcomeUnknown = errors.New("node: outcome unknown")
	// ErrSuperseded means that a proposal will never be committed.
	ErrSuperseded = errors.New("node: proposal superseded")
	// ErrNotBound means that the disk belongs to no cluster yet.
	ErrNotBound = errors.New("node: disk not bound to a cluster")
	// ErrBadConfig means that a setting is missing or out of range.
	ErrBadConfig = errors.New("node: bad configuration")
	// ErrStorage means that the storage failed and the node stopped.
	ErrStorage = errors.New("node: storage failed")
	// ErrStateMachine means that the state machine failed and the node stopped.
	ErrStateMachine = errors.New("node: state machine failed")
)

// Transport sends messages to other nodes.
type Transport interface {
	// Send must not block or modify the message. It may drop the message.
	Send(to consensus.NodeID, m consensus.Message)
}

// StateMachine is the replicated state. All nodes apply the same entries in the
// same order, so Apply must be deterministic: it may depend only on the state and
// the entry.
type StateMachine[R any] interface {
	// Apply applies an entry of kind EntryData.
	Apply(e consensus.Entry) R
	// Snapshot returns the whole state. The result must not change later.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state. Empty data is the initial state.
	Restore(data []byte) error
}

// Clock supplies the time. Its readings must be monotonic and advance while the machine is
// suspended: a leader that was suspended may have a successor.
type Clock interface {
	Now() time.Time
	// NewTicker returns a channel of ticks and a function that stops the ticker.
	// The function may be called more than once.
	NewTicker(d time.Duration) (ticks <-chan time.Time, stop func())
}

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// Now returns the current time of package clock.
func (SystemClock) Now() time.Time { return clock.Now() }

// NewTicker returns a time.Ticker's channel and its Stop.
func (SystemClock) NewTicker(d time.Duration) (ticks <-chan time.Time, stop func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Default values of the optional fields of Config.
const (
	DefaultTickPeriod      = 100 * time.Millisecond
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 4 << 20
	DefaultInboxSize       = 1024
)

// Config holds the settings of a Node.
type Config[R any] struct {
	Storage   storage.Storage
	Transport Transport
	Machine   StateMachine[R]
	// Clock defaults to SystemClock.
	Clock Clock
	// TickPeriod is the duration of one tick; zero selects DefaultTickPeriod.
	TickPeriod time.Duration
	// Rand generates election timeouts and read IDs. Its seed must differ between
	// nodes and between restarts of one node.
	Rand rand.Source
	// CoreConfig configures the Core; nil selects consensus.DefaultConfig. Start
	// sets its ID, Cluster and Rand.
	CoreConfig *consensus.Config
	// SnapshotEntries and SnapshotBytes limit the number and the size of the
	// entries applied between two snapshots; zero selects the default.
	SnapshotEntries uint64
	SnapshotBytes   int
	// InboxSize is the capacity of the queue of received messages; zero selects
	// DefaultInboxSize.
	InboxSize int
	// Repair lets a leader replace unresponsive voters; nil disables repair.
	Repair *RepairPolicy
}

// complete checks the required fields and sets the defaults of the others.
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
	case c.TickPeriod < 0 || c.SnapshotBytes < 0 || c.InboxSize < 0:
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
	if c.InboxSize == 0 {
		c.InboxSize = DefaultInboxSize
	}
	return nil
}

// Status is a snapshot of the state of a node.
type Status struct {
	consensus.Status
	// QuorumAt is the latest time at which this node is known to have led a
	// quorum. Every entry committed before it has been applied on this node. It
	// is the zero time unless QuorumKnown is set.
	QuorumAt time.Time
	// QuorumAge is the time since QuorumAt.
	QuorumAge time.Duration
	// Syncs is the number of updates written durably since the start.
	Syncs uint64
	// Refused is the number of messages that the Core rejected since the start.
	Refused uint64
	// Age is the time since the event loop last published its state. It grows
	// while a write to the storage or the state machine blocks the loop.
	Age time.Duration
	// SyncLatency is the moving average of the duration of a durable write.
	SyncLatency time.Duration
	// Stopped is set once the event loop has terminated. The node then has the
	// role Follower and knows no leader.
	Stopped bool

	publishedAt time.Time
}
