package consensus

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Config holds the settings of a Core.
type Config struct {
	// ID is the node ID stored on this node's disk.
	ID NodeID
	// Cluster is the ID of the cluster to which the disk belongs.
	Cluster ClusterID
	// Rand is the source of election timeouts. Nodes must be seeded differently.
	Rand rand.Source
	// ElectionTicks is the minimum election timeout in ticks. Timeouts are
	// uniformly random between ElectionTicks and 2*ElectionTicks-1.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval for voters in ticks.
	HeartbeatTicks int
	// LearnerHeartbeatTicks is the heartbeat interval for learners, whose
	// responses do not count toward a quorum. It is rounded up to a multiple of
	// HeartbeatTicks.
	LearnerHeartbeatTicks int
	// MaxAppendBytes limits the size of the entries in one append message. A
	// single entry is sent regardless of its size.
	MaxAppendBytes int
	// MaxInflight limits the unacknowledged append messages to one follower.
	MaxInflight int
	// MaxPending limits the number of uncommitted entries, and separately the
	// number of pending reads.
	MaxPending int
	// MaxPendingBytes limits the data size of uncommitted entries.
	MaxPendingBytes int
	// MaxEntryBytes limits the data size of one proposal.
	MaxEntryBytes int
	// ChunkBytes is the size of a snapshot chunk.
	ChunkBytes int
	// MaxSnapshotBytes limits the size of a snapshot, both when it is created
	// and when a follower receives it.
	MaxSnapshotBytes uint64
	// CatchUpEntries is the number of entries by which a learner may lag behind
	// the leader and still be promoted.
	CatchUpEntries uint64
	// TrailEntries is the number of entries retained before a snapshot, so that
	// a slow follower can catch up without receiving the snapshot.
	TrailEntries uint64
	// TrailBytes limits the total size of the retained entries.
	TrailBytes int

	// disabled turns off safeguards in tests that show what each one prevents.
	disabled disabledSafeguards
}

// disabledSafeguards lists the safeguards that a test can turn off. A set field
// disables the safeguard.
type disabledSafeguards struct {
	preVote              bool
	leaderLease          bool
	checkQuorum          bool
	logUpToDate          bool
	singleVote           bool
	ownTermCommit        bool
	singleChange         bool
	ownTermChange        bool
	removedVoterCampaign bool
	learnerCatchUp       bool
	readConfirmation     bool
}

// Default values of the Config settings.
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

// Validate returns an error wrapping ErrBadConfig for the first invalid setting.
func (c *Config) Validate() error {
	switch {
	case c.ID == None:
		return errors.Wrap(ErrBadConfig, "node ID is zero")
	case c.Cluster == 0:
		return errors.Wrap(ErrBadConfig, "cluster ID is zero")
	case c.Rand == nil:
		return errors.Wrap(ErrBadConfig, "random source is nil")
	case c.HeartbeatTicks < 1:
		return errors.Wrap(ErrBadConfig, "heartbeat interval is below 1 tick")
	case c.ElectionTicks < 2*c.HeartbeatTicks+1 || c.ElectionTicks < c.LearnerHeartbeatTicks+c.HeartbeatTicks:
		return errors.Wrap(ErrBadConfig, "election timeout is too short for the heartbeat intervals")
	case c.MaxAppendBytes < 1, c.MaxInflight < 1, c.MaxPending < 1, c.MaxPendingBytes < 1:
		return errors.Wrap(ErrBadConfig, "flow control limits must be positive")
	case c.MaxEntryBytes < 1, c.ChunkBytes < 1, c.MaxSnapshotBytes < 1:
		return errors.Wrap(ErrBadConfig, "size limits must be positive")
	}
	return nil
}
