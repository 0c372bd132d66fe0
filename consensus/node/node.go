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

// maxBatch bounds the inputs that are taken between two syncs.
const maxBatch = 512

// Node runs one member of a cluster. Its methods are safe for concurrent use.
type Node[R any] struct {
	cfg     Config[R]
	cluster consensus.ClusterID
	inbox   chan consensus.Message
	calls   chan call[R]
	status  atomic.Pointer[Status]
	changed atomic.Pointer[chan struct{}]
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	err     error

	// The rest belongs to the loop.
	core      *consensus.Core
	rnd       *rand.Rand
	waiters   map[uint64]waiter[R]
	reads     map[uint64]call[R]
	retries   []call[R]
	ready     []readWait[R]
	applied   uint64
	snapIndex uint64
	bytes     int
	syncs     uint64
	refused   uint64
	times     []time.Time
	now       uint64
	lastTick  time.Time
}

// callKind tells what a caller wants of the loop.
type callKind uint8

const (
	callPropose callKind = iota
	callRead
	callChange
	callHandover
)

// call is a request of a caller to the loop. The loop answers it once.
type call[R any] struct {
	ctx    context.Context
	kind   callKind
	data   []byte
	change consensus.Change
	reply  chan outcome[R]
}

// outcome answers a call.
type outcome[R any] struct {
	result R
	err    error
}

// waiter is a call whose entry is in the log and not yet applied.
type waiter[R any] struct {
	term uint64
	call call[R]
}

// readWait is a read that waits for an entry to be applied.
type readWait[R any] struct {
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
	tuning := consensus.DefaultConfig(0, 0, nil)
	if cfg.Tuning != nil {
		tuning = *cfg.Tuning
	}
	tuning.ID, tuning.Cluster, tuning.Rand = cfg.Storage.Node(), b.Cluster, cfg.Rand
	core, err := consensus.New(tuning, st)
	if err != nil {
		return nil, err
	}
	n := newNode(cfg, &tuning, core)
	if err := n.restore(st.Snapshot); err != nil {
		return nil, err
	}
	n.publish()
	go n.run()
	return n, nil
}

func newNode[R any](cfg Config[R], tuning *consensus.Config, core *consensus.Core) *Node[R] {
	n := &Node[R]{
		cfg: cfg, cluster: tuning.Cluster, core: core, rnd: rand.New(cfg.Rand),
		inbox:    make(chan consensus.Message, cfg.Inbox),
		calls:    make(chan call[R], tuning.MaxPending),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		waiters:  make(map[uint64]waiter[R]),
		reads:    make(map[uint64]call[R]),
		times:    make([]time.Time, 2*tuning.ElectionTicks),
		lastTick: cfg.Clock.Now(),
	}
	n.times[0] = n.lastTick
	return n
}

// restore brings the state machine to a snapshot, or to the initial state.
func (n *Node[R]) restore(s *consensus.Snapshot) error {
	var data []byte
	if s != nil {
		data = s.Data
		n.applied, n.snapIndex = s.Index, s.Index
	}
	n.bytes = 0
	if err := n.cfg.Machine.Restore(data); err != nil {
		return errors.Wrap(ErrStateMachine, err.Error())
	}
	return nil
}

// Stop stops the node and waits for its loop to end.
func (n *Node[R]) Stop() {
	n.once.Do(func() { close(n.stop) })
	<-n.done
}

// Done is closed when the loop has ended, by Stop or by a failure.
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

// Step hands in a message from another node. It waits while the inbox is full.
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

// Propose appends data to the log and returns the result of Apply. Data must
// not be modified later. The package documentation lists the outcomes.
func (n *Node[R]) Propose(ctx context.Context, data []byte) (R, error) {
	return n.call(call[R]{ctx: ctx, kind: callPropose, data: data})
}

// ReadIndex returns once the state machine holds everything that was committed
// anywhere before the call. It works on every node that reaches the leader, and
// waits for one. Errors are ErrStopped, consensus.ErrQueueFull or that of ctx.
func (n *Node[R]) ReadIndex(ctx context.Context) error {
	_, err := n.call(call[R]{ctx: ctx, kind: callRead})
	return err
}

// AddLearner adds a member that doesn't vote, and waits until that is
// committed. Errors are those of Propose and consensus.ProposeMembership.
func (n *Node[R]) AddLearner(ctx context.Context, m consensus.Member) error {
	return n.change(ctx, consensus.Change{Kind: consensus.AddLearner, Member: m})
}

// Promote makes a learner that has caught up a voter; see AddLearner.
func (n *Node[R]) Promote(ctx context.Context, id consensus.NodeID) error {
	return n.change(ctx, consensus.Change{Kind: consensus.Promote, Member: consensus.Member{ID: id}})
}

// Remove removes a member; see AddLearner. A removed node may be added again
// under its ID only as long as its disk is whole.
func (n *Node[R]) Remove(ctx context.Context, id consensus.NodeID) error {
	return n.change(ctx, consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: id}})
}

// Handover asks the best voter to take the lead, so that a planned stop of the
// leader costs no election timeout. It returns when the request is sent; Status
// shows the outcome. Errors are those of consensus.Handover, ErrStopped or that
// of ctx.
func (n *Node[R]) Handover(ctx context.Context) error {
	_, err := n.call(call[R]{ctx: ctx, kind: callHandover})
	return err
}

func (n *Node[R]) change(ctx context.Context, ch consensus.Change) error {
	_, err := n.call(call[R]{ctx: ctx, kind: callChange, change: ch})
	return err
}

// call hands a call to the loop and waits for its outcome.
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

// lateOutcome returns the answer of a loop that has ended. A call that the loop
// never took had no effect.
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
// term, membership or applied index. To miss nothing, a caller gets the channel
// before it reads Status.
func (n *Node[R]) Changed() <-chan struct{} {
	return *n.changed.Load()
}

// WaitApplied returns once the entry at index is applied here. Errors are
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

// Status returns a copy of the state after the last turn of the loop.
func (n *Node[R]) Status() Status {
	s := *n.status.Load()
	if s.QuorumKnown {
		s.QuorumAge = n.cfg.Clock.Now().Sub(s.QuorumAt)
	}
	return s
}
