package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

const (
	// maxBatch limits the messages and calls that are handled between two syncs.
	maxBatch = 512
	// syncWeight is the weight of the previous writes in the moving average of
	// their duration, against 1 for the last one.
	syncWeight = 7
)

// Node runs one member of a cluster. Its methods are safe for concurrent use.
type Node[R any] struct {
	cfg      Config[R]
	cluster  consensus.ClusterID
	inbox    chan consensus.Message
	calls    chan call[R]
	status   atomic.Pointer[Status]
	changed  atomic.Pointer[chan struct{}]
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	err      error

	// The fields below are used by the event loop only.
	core               *consensus.Core
	rnd                *rand.Rand
	proposals          map[uint64]pendingProposal[R]
	pendingReads       map[uint64]call[R]
	readRetries        []call[R]
	confirmedReads     []confirmedRead[R]
	applied            uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int
	syncs              uint64
	syncLatency        time.Duration
	refusedMessages    uint64
	tickTimes          []time.Time
	tickCount          uint64
	lastTick           time.Time
}

// callKind is the operation that a call requests.
type callKind uint8

const (
	callPropose callKind = iota
	callRead
	callChange
	callHandover
)

// call is a request to the event loop, which answers it exactly once.
type call[R any] struct {
	ctx  context.Context
	kind callKind
	data []byte
	// term is the only term in which a proposal may be appended; 0 means any.
	term   uint64
	change consensus.Change
	reply  chan outcome[R]
}

// outcome is the answer to a call.
type outcome[R any] struct {
	result R
	err    error
}

// pendingProposal is a call whose entry is in the log but not yet applied.
type pendingProposal[R any] struct {
	term uint64
	call call[R]
}

// confirmedRead is a read that waits until its read index has been applied.
type confirmedRead[R any] struct {
	index uint64
	call  call[R]
}

// Start restores the state machine and starts the node. Errors wrap
// ErrBadConfig, ErrNotBound, ErrStorage, ErrStateMachine or the errors of
// package consensus.
func Start[R any](cfg Config[R]) (*Node[R], error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	b := cfg.Storage.Binding()
	if !b.Bound() {
		return nil, errors.Wrap(ErrNotBound, b.Phase.String())
	}
	st, err := cfg.Storage.Load()
	if err != nil {
		return nil, errors.Wrap(ErrStorage, err.Error())
	}
	coreConfig := consensus.DefaultConfig(0, 0, nil)
	if cfg.CoreConfig != nil {
		coreConfig = *cfg.CoreConfig
	}
	coreConfig.ID, coreConfig.Cluster, coreConfig.Rand = cfg.Storage.Node(), b.Cluster, cfg.Rand
	core, err := consensus.New(coreConfig, st)
	if err != nil {
		return nil, err
	}
	n := newNode(cfg, &coreConfig, core)
	if err := n.restore(st.Snapshot); err != nil {
		return nil, err
	}
	n.publishStatus()
	go n.run()
	return n, nil
}

func newNode[R any](cfg Config[R], coreConfig *consensus.Config, core *consensus.Core) *Node[R] {
	n := &Node[R]{
		cfg: cfg, cluster: coreConfig.Cluster, core: core, rnd: rand.New(cfg.Rand),
		inbox:        make(chan consensus.Message, cfg.InboxSize),
		calls:        make(chan call[R], coreConfig.MaxPending),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		proposals:    make(map[uint64]pendingProposal[R]),
		pendingReads: make(map[uint64]call[R]),
		tickTimes:    make([]time.Time, 2*coreConfig.ElectionTicks),
		lastTick:     cfg.Clock.Now(),
	}
	n.tickTimes[0] = n.lastTick
	return n
}

// restore resets the state machine to a snapshot, or to the initial state if s is
// nil.
func (n *Node[R]) restore(s *consensus.Snapshot) error {
	var data []byte
	if s != nil {
		data = s.Data
		n.applied, n.snapshotIndex = s.Index, s.Index
	}
	n.bytesSinceSnapshot = 0
	if err := n.cfg.Machine.Restore(data); err != nil {
		return errors.Wrap(ErrStateMachine, err.Error())
	}
	return nil
}

// Stop stops the node and waits for its loop to end.
func (n *Node[R]) Stop() {
	n.stopOnce.Do(func() { close(n.stop) })
	<-n.done
}

// Done is closed when the event loop has terminated after Stop or a failure.
func (n *Node[R]) Done() <-chan struct{} { return n.done }

// Err returns why the node failed, or nil. It is valid once Done is closed.
func (n *Node[R]) Err() error {
	select {
	case <-n.done:
		return n.err
	default:
		return nil
	}
}

// Step delivers a message from another node. It blocks while the inbox is full.
// Errors wrap consensus.ErrForeignCluster, ErrStopped or the error of ctx.
func (n *Node[R]) Step(ctx context.Context, m consensus.Message) error {
	if m.Cluster != n.cluster {
		return consensus.ErrForeignCluster
	}
	select {
	case n.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return ErrStopped
	}
}

// Propose appends data to the log and returns the result of Apply. The caller
// must not modify data afterwards. The package documentation lists the outcomes.
func (n *Node[R]) Propose(ctx context.Context, data []byte) (R, error) {
	return n.call(call[R]{ctx: ctx, kind: callPropose, data: data})
}

// ProposeInTerm is Propose for a caller that acts as the leader of a term. If the
// node does not lead that term, the error matches consensus.ErrNotLeader and the
// data is not appended.
func (n *Node[R]) ProposeInTerm(ctx context.Context, term uint64, data []byte) (R, error) {
	return n.call(call[R]{ctx: ctx, kind: callPropose, data: data, term: term})
}

// ReadIndex returns once the local state machine includes every entry that was
// committed on any node before the call. It works on every node that can reach
// the leader, and waits until there is one. Errors are ErrStopped,
// consensus.ErrQueueFull or that of ctx.
func (n *Node[R]) ReadIndex(ctx context.Context) error {
	_, err := n.call(call[R]{ctx: ctx, kind: callRead})
	return err
}

// AddLearner adds a non-voting member and waits until the change is committed.
// Errors are those of Propose and consensus.ProposeMembership.
func (n *Node[R]) AddLearner(ctx context.Context, m consensus.Member) error {
	return n.changeMembership(ctx, consensus.Change{Kind: consensus.AddLearner, Member: m})
}

// Promote makes a learner that has caught up a voter. Like AddLearner, it waits
// until the change is committed.
func (n *Node[R]) Promote(ctx context.Context, id consensus.NodeID) error {
	return n.changeMembership(ctx, consensus.Change{Kind: consensus.Promote, Member: consensus.Member{ID: id}})
}

// Remove removes a member. Like AddLearner, it waits until the change is
// committed. A removed node may be added again under the same ID only if its
// disk is intact.
func (n *Node[R]) Remove(ctx context.Context, id consensus.NodeID) error {
	return n.changeMembership(ctx, consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: id}})
}

// Handover asks the best voter to take over leadership, so that a planned stop
// of the leader doesn't cost an election timeout. It returns once the request
// has been sent; Status shows the outcome. Errors are those of
// consensus.Handover, ErrStopped or that of ctx.
func (n *Node[R]) Handover(ctx context.Context) error {
	_, err := n.call(call[R]{ctx: ctx, kind: callHandover})
	return err
}

func (n *Node[R]) changeMembership(ctx context.Context, ch consensus.Change) error {
	_, err := n.call(call[R]{ctx: ctx, kind: callChange, change: ch})
	return err
}

// call queues a call for the event loop and waits for its outcome.
func (n *Node[R]) call(c call[R]) (R, error) {
	var zero R
	if err := c.ctx.Err(); err != nil {
		return zero, err
	}
	c.reply = make(chan outcome[R], 1)
	select {
	case <-n.done:
		return zero, ErrStopped
	default:
	}
	select {
	case n.calls <- c:
	default:
		return zero, consensus.ErrQueueFull
	}
	select {
	case o := <-c.reply:
		return o.result, o.err
	case <-n.done:
		return n.lateOutcome(&c)
	case <-c.ctx.Done():
		if c.kind == callRead || c.kind == callHandover {
			return zero, c.ctx.Err()
		}
		return zero, errors.Wrap(ErrOutcomeUnknown, c.ctx.Err().Error())
	}
}

// lateOutcome returns the answer to a call after the event loop has terminated.
// A call that the loop never received had no effect.
func (n *Node[R]) lateOutcome(c *call[R]) (R, error) {
	var zero R
	select {
	case o := <-c.reply:
		return o.result, o.err
	default:
		return zero, ErrStopped
	}
}

// Changed returns a channel that is closed at the next change of role, leader,
// term, membership or applied index. A caller must get the channel before it
// reads Status, or it may miss a change.
func (n *Node[R]) Changed() <-chan struct{} {
	return *n.changed.Load()
}

// WaitApplied returns once this node has applied the entry at index. Errors are
// ErrStopped or that of ctx.
func (n *Node[R]) WaitApplied(ctx context.Context, index uint64) error {
	for {
		changed := n.Changed()
		if n.Status().Applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-n.done:
			return ErrStopped
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Status returns a copy of the state after the last iteration of the event loop.
func (n *Node[R]) Status() Status {
	s := *n.status.Load()
	now := n.cfg.Clock.Now()
	s.Age = now.Sub(s.publishedAt)
	if s.QuorumKnown {
		s.QuorumAge = now.Sub(s.QuorumAt)
	}
	return s
}
