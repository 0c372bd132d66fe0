package consensus

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Config holds the settings of a Core.
type Config struct {
	// ID is the identity on disk of this node.
	ID NodeID
	// Cluster is the cluster that the disk is bound to.
	Cluster ClusterID
	// Rand draws election timeouts and read IDs. It must differ between nodes.
	Rand rand.Source
	// ElectionTicks is the shortest election timeout, in ticks; timeouts are
	// drawn from ElectionTicks to 2*ElectionTicks-1.
	ElectionTicks int
	// HeartbeatTicks is the time between two heartbeats, in ticks.
	HeartbeatTicks int
	// LearnerHeartbeatTicks is the same for learners, whose answers count for
	// no quorum. It is rounded up to a heartbeat.
	LearnerHeartbeatTicks int
	// MaxAppendBytes bounds the data in one append message; one entry is
	// always sent.
	MaxAppendBytes int
	// MaxInflight bounds the unanswered append messages to one follower.
	MaxInflight int
	// MaxPending bounds the entries that are proposed and not committed, and
	// the reads that wait.
	MaxPending int
	// MaxPendingBytes bounds the data proposed and not committed.
	MaxPendingBytes int
	// MaxEntryBytes bounds the data of one proposal.
	MaxEntryBytes int
	// ChunkBytes is the size of one chunk of a snapshot.
	ChunkBytes int
	// MaxSnapshotBytes bounds a snapshot that a follower accepts.
	MaxSnapshotBytes uint64
	// CatchUpEntries is how many entries a learner may lack when promoted.
	CatchUpEntries uint64
	// TrailEntries is how many entries are kept behind a snapshot, so that a
	// slow follower needs no snapshot.
	TrailEntries uint64
	// TrailBytes bounds the size of these entries.
	TrailBytes int

	// off switches protections off, for tests that show what each prevents.
	off protections
}

// protections names the protections that a test can switch off.
type protections struct {
	preVote     bool
	leaderLease bool
	checkQuorum bool
	logCheck    bool
	singleVote  bool
	termCommit  bool
	oneChange   bool
	termChange  bool
	leaving     bool
	caughtUp    bool
	readRound   bool
}

// Default limits of a Config.
const (
	DefaultElectionTicks         = 10
	DefaultHeartbeatTicks        = 2
	DefaultLearnerHeartbeatTicks = 4
	DefaultMaxAppendBytes        = 64 << 10
	DefaultMaxInflight           = 32
	DefaultMaxPending            = 4096
	DefaultMaxPendingBytes       = 4 << 20
	DefaultMaxEntryBytes         = 2 << 20
	DefaultChunkBytes            = 64 << 10
	DefaultMaxSnapshotBytes      = 256 << 20
	DefaultCatchUpEntries        = 64
	DefaultTrailEntries          = 1024
	DefaultTrailBytes            = 1 << 20
)

// DefaultConfig returns the default settings for a node.
func DefaultConfig(id NodeID, cluster ClusterID, src rand.Source) Config {
	return Config{
		ID:             id,
		Cluster:        cluster,
		Rand:           src,
		ElectionTicks:  DefaultElectionTicks,
		HeartbeatTicks: DefaultHeartbeatTicks,
		MaxAppendBytes: DefaultMaxAppendBytes,

		LearnerHeartbeatTicks: DefaultLearnerHeartbeatTicks,
		MaxInflight:           DefaultMaxInflight,
		MaxPending:            DefaultMaxPending,
		MaxPendingBytes:       DefaultMaxPendingBytes,
		MaxEntryBytes:         DefaultMaxEntryBytes,
		ChunkBytes:            DefaultChunkBytes,
		MaxSnapshotBytes:      DefaultMaxSnapshotBytes,
		CatchUpEntries:        DefaultCatchUpEntries,
		TrailEntries:          DefaultTrailEntries,
		TrailBytes:            DefaultTrailBytes,
	}
}

// Validate returns an error wrapping ErrBadConfig for the first bad setting.
func (c *Config) Validate() error {
	switch {
	case c.ID == None:
		return errors.Wrap(ErrBadConfig, "node ID is zero")
	case c.Cluster == 0:
		return errors.Wrap(ErrBadConfig, "cluster ID is zero")
	case c.Rand == nil:
		return errors.Wrap(ErrBadConfig, "no random source")
	case c.HeartbeatTicks < 1:
		return errors.Wrap(ErrBadConfig, "heartbeat ticks below 1")
	case c.ElectionTicks < 2*c.HeartbeatTicks+1 || c.ElectionTicks < c.LearnerHeartbeatTicks+c.HeartbeatTicks:
		return errors.Wrap(ErrBadConfig, "election ticks too few for the heartbeat ticks")
	case c.MaxAppendBytes < 1, c.MaxInflight < 1, c.MaxPending < 1, c.MaxPendingBytes < 1:
		return errors.Wrap(ErrBadConfig, "flow control limits must be positive")
	case c.MaxEntryBytes < 1, c.ChunkBytes < 1, c.MaxSnapshotBytes < 1:
		return errors.Wrap(ErrBadConfig, "size limits must be positive")
	}
	return nil
}
