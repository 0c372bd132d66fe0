package consensus

import (
	"math/rand/v2"

	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// Core is the state machine of one node. It isn't safe for concurrent use.
type Core struct {
	cfg    Config
	rnd    *rand.Rand
	log    *entryLog
	term   uint64
	vote   NodeID
	role   Role
	leader NodeID

	// now counts ticks since the start; elapsed counts them since the last
	// sign of a leader, or the last heartbeat of this leader.
	now     uint64
	elapsed int
	timeout int

	// votes and campaignTick belong to a candidate.
	votes        map[NodeID]bool
	campaignTick uint64

	// peers, termStart, round and reads belong to a leader.
	peers        map[NodeID]*progress
	termStart    uint64
	round        uint64
	beat         bool
	pendingBytes int
	reads        []pendingRead

	// removed is set while others say that this node is no member.
	removed bool

	// forwarded are reads that wait for the leader, with their start tick.
	forwarded []forwardedRead

	incoming *transfer
	out      output
}

// output collects what the next Ready holds.
type output struct {
	messages []Message
	reads    []ReadState
	saved    HardState
	snapshot *Snapshot
	reset    bool
	keepFrom uint64
	open     bool
	given    Ready
}

// New returns the state machine of a node with its stored state. The caller
// restores its own state machine from st.Snapshot first. Errors wrap
// ErrBadConfig or ErrBadState.
func New(cfg Config, st State) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	log, err := newLog(st)
	if err != nil {
		return nil, err
	}
	if log.lastTerm() > st.HardState.Term {
		return nil, errors.Wrapf(ErrBadState, "log of term %d, hard state of term %d", log.lastTerm(), st.HardState.Term)
	}
	c := &Core{
		cfg:  cfg,
		rnd:  rand.New(cfg.Rand),
		log:  log,
		term: st.HardState.Term,
		vote: st.HardState.Vote,
	}
	c.out.saved = st.HardState
	c.becomeFollower(c.term, None)
	return c, nil
}

// Leads reports whether the node is the leader of its term.
func (c *Core) Leads() bool { return c.role == Leader }

// Tick advances the logical clock by one tick.
func (c *Core) Tick() {
	c.checkClosed()
	c.now++
	c.elapsed++
	c.expireForwarded()
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed < c.timeout {
		return
	}
	if c.mayCampaign() {
		c.campaign()
		return
	}
	c.probeMembership()
}

func (c *Core) tickLeader() {
	if !c.cfg.off.checkQuorum && c.quorumTicks() >= uint64(c.cfg.ElectionTicks) {
		c.becomeFollower(c.term, None)
		return
	}
	if c.elapsed >= c.cfg.HeartbeatTicks {
		c.elapsed = 0
		c.beat = true
	}
}

// Step feeds one message. Errors wrap ErrForeignCluster, ErrWrongNode or
// ErrBadMessage; the message then had no effect.
func (c *Core) Step(m Message) error {
	c.checkClosed()
	switch {
	case m.Cluster != c.cfg.Cluster:
		return ErrForeignCluster
	case m.To != c.cfg.ID:
		return ErrWrongNode
	}
	if err := m.Validate(); err != nil {
		return err
	}
	if m.Term < c.term {
		c.stepStale(&m)
		return nil
	}
	if m.Term > c.term && !c.raiseTerm(&m) {
		return nil
	}
	c.dispatch(&m)
	return nil
}

// stepStale answers a message of an older term, so that a stale leader or
// candidate learns the newer term.
func (c *Core) stepStale(m *Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Type: MsgAppendResp, To: m.From, Reject: true})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	case MsgVote:
		c.send(Message{Type: MsgVoteResp, To: m.From, Reject: true})
	}
}

// raiseTerm handles a message of a newer term and reports whether it is to be
// handled further.
func (c *Core) raiseTerm(m *Message) bool {
	switch {
	case m.Type == MsgPreVote, m.Type == MsgPreVoteResp && !m.Reject:
		return true
	case m.Type == MsgVote && !m.Handover && c.hasLease():
		return false
	case m.fromLeader():
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, None)
	}
	return true
}

func (c *Core) dispatch(m *Message) {
	if m.fromLeader() && !c.acceptLeader(m) {
		return
	}
	switch m.Type {
	case MsgPreVote, MsgVote, MsgPreVoteResp, MsgVoteResp:
		c.dispatchVote(m)
	case MsgAppend:
		c.handleAppend(m)
	case MsgHeartbeat:
		c.handleHeartbeat(m)
	case MsgSnapshot:
		c.handleSnapshot(m)
	case MsgRead:
		c.handleRead(m)
	case MsgReadResp:
		c.handleReadResp(m)
	case MsgHandover:
		c.handleHandover(m)
	case MsgAppendResp, MsgHeartbeatResp, MsgSnapshotResp:
		c.handleFollower(m)
	}
}

func (c *Core) dispatchVote(m *Message) {
	switch m.Type {
	case MsgPreVote:
		c.handlePreVote(m)
	case MsgVote:
		c.handleVote(m)
	default:
		c.handleVoteResp(m)
	}
}

// acceptLeader notes the sender as leader of the current term.
func (c *Core) acceptLeader(m *Message) bool {
	ok := c.role != Leader && (c.leader == None || c.leader == m.From)
	if !invariant.Check(ok, invariant.Consensus, "two leaders in term %d: %x and %x",
		c.term, uint64(m.From), uint64(c.leader)) {
		return false
	}
	if c.role != Follower {
		c.becomeFollower(c.term, m.From)
	}
	c.leader = m.From
	c.elapsed = 0
	c.removed = false
	return true
}

// Propose appends data to the log of the leader and returns the index and term
// that it will have if it is committed. The data must not be modified later.
// Errors match ErrNotLeader, ErrTooLarge or ErrQueueFull.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	c.checkClosed()
	if c.role != Leader {
		return 0, 0, &NotLeaderError{Leader: c.leader}
	}
	if len(data) > c.cfg.MaxEntryBytes {
		return 0, 0, errors.Wrapf(ErrTooLarge, "proposal of %d bytes", len(data))
	}
	pending := c.log.last() - c.log.commit
	if pending >= uint64(c.cfg.MaxPending) || c.pendingBytes > 0 && c.pendingBytes+len(data) > c.cfg.MaxPendingBytes {
		return 0, 0, ErrQueueFull
	}
	c.appendOwn(Entry{Kind: EntryData, Data: data})
	return c.log.last(), c.term, nil
}

// appendOwn appends an entry of the own term.
func (c *Core) appendOwn(e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.pendingBytes += len(e.Data)
	c.log.add(e)
}

func (c *Core) send(m Message) {
	m.Cluster = c.cfg.Cluster
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.out.messages = append(c.out.messages, m)
}

func (c *Core) checkClosed() {
	invariant.Check(!c.out.open, invariant.Consensus, "input between Ready and Advance")
}
