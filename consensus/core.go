package consensus

import (
	"math/rand/v2"

	"github.com/pkg/errors"

	"magnoliastand.example/invariant"
)

// Core is the consensus state machine of one node. It is not safe for concurrent
// use.
type Core struct {
	cfg    Config
	rnd    *rand.Rand
	log    *entryLog
	term   uint64
	vote   NodeID
	role   Role
	leader NodeID

	// now is the number of ticks since the start. elapsed is the number of ticks
	// since the election timer was reset or, on the leader, since its last
	// heartbeat.
	now             uint64
	elapsed         int
	electionTimeout int
	// abstainUntil is the tick until which a restarted node grants no votes. It may
	// have acknowledged a leader just before the restart, whose lease still holds.
	abstainUntil uint64
	// transferUntil is the tick at which a leader that asked another node to take
	// over steps down, or zero. Until then it has no lease, because it may have a
	// successor already.
	transferUntil uint64

	// votes and campaignTick are set on a candidate. campaignTick is the tick at
	// which the last campaign started.
	votes        map[NodeID]bool
	campaignTick uint64

	// The following fields are used on the leader only. termStart is the index of
	// the first entry of its term, and round is the last heartbeat round.
	peers        map[NodeID]*progress
	termStart    uint64
	round        uint64
	heartbeatDue bool
	pendingBytes int
	reads        []pendingRead

	// removed is set when another node has reported that this node is not a
	// member, and cleared by a message from the leader.
	removed bool

	// forwarded holds the reads sent to the leader, oldest first.
	forwarded []forwardedRead

	// incoming is the snapshot being received, or nil.
	incoming *snapshotTransfer
	out      output
}

// output collects the contents of the next Ready.
type output struct {
	messages        []Message
	reads           []ReadState
	savedState      HardState
	snapshot        *Snapshot
	reset           bool
	keepFrom        uint64
	awaitingAdvance bool
	lastReady       Ready
}

// New returns a Core that starts from the stored state. The caller must restore
// its own state machine from st.Snapshot first. Errors wrap ErrBadConfig or
// ErrBadState.
func New(cfg Config, st State) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	log, err := newLog(st)
	if err != nil {
		return nil, err
	}
	if log.lastTerm() > st.HardState.Term {
		return nil, errors.Wrapf(ErrBadState, "last log term %d exceeds hard state term %d", log.lastTerm(), st.HardState.Term)
	}
	c := &Core{
		cfg:  cfg,
		rnd:  rand.New(cfg.Rand),
		log:  log,
		term: st.HardState.Term,
		vote: st.HardState.Vote,
	}
	c.out.savedState = st.HardState
	if st.HardState.Term > initialTerm {
		c.abstainUntil = uint64(cfg.ElectionTicks)
	}
	c.becomeFollower(c.term, None)
	return c, nil
}

// Term returns the node's current term.
func (c *Core) Term() uint64 { return c.term }

// Leads reports whether the node is the leader in its current term.
func (c *Core) Leads() bool { return c.role == Leader }

// Tick advances the logical clock by one tick.
func (c *Core) Tick() {
	c.assertNoOpenReady()
	c.now++
	c.elapsed++
	c.expireForwarded()
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed < c.electionTimeout {
		return
	}
	if c.mayCampaign() {
		c.campaign()
		return
	}
	c.probeMembership()
}

func (c *Core) tickLeader() {
	if !c.cfg.disabled.checkQuorum && c.quorumTicks() >= uint64(c.cfg.ElectionTicks) {
		c.becomeFollower(c.term, None)
		return
	}
	if c.transferUntil > 0 && c.now >= c.transferUntil {
		c.becomeFollower(c.term, None)
		return
	}
	if c.elapsed >= c.cfg.HeartbeatTicks {
		c.elapsed = 0
		c.heartbeatDue = true
	}
}

// Step processes a received message. Errors wrap ErrForeignCluster, ErrWrongNode
// or ErrBadMessage; the message then has no effect.
func (c *Core) Step(m Message) error {
	c.assertNoOpenReady()
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
	if m.Term > c.term && !c.handleNewerTerm(&m) {
		return nil
	}
	c.dispatch(&m)
	return nil
}

// stepStale responds to a message of an older term, so that a stale leader or
// candidate learns the current term.
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

// handleNewerTerm handles the term of a message that is newer than the current
// term, and reports whether the message should be processed further. Pre-vote
// requests and granted pre-votes do not change the term. Vote requests are ignored
// while the leader lease holds, unless they belong to a leadership transfer.
func (c *Core) handleNewerTerm(m *Message) bool {
	switch {
	case m.Type == MsgPreVote, m.Type == MsgPreVoteResp && !m.Reject:
		return true
	case m.Type == MsgVote && !m.LeadershipTransfer && c.hasLease():
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
	case MsgTimeoutNow:
		c.handleTimeoutNow(m)
	case MsgAppendResp, MsgHeartbeatResp, MsgSnapshotResp:
		c.handleMemberResponse(m)
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

// acceptLeader records the sender as leader of the current term. It returns false
// if another leader of this term is known.
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

// Propose appends data to the leader's log and returns the index and term of the
// entry, which is committed only if it still has that term at that index. The
// data must not be modified afterwards. Errors match ErrNotLeader, ErrTooLarge or
// ErrQueueFull.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	c.assertNoOpenReady()
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
	c.appendEntry(Entry{Kind: EntryData, Data: data})
	return c.log.last(), c.term, nil
}

// appendEntry appends an entry to the leader's log in the current term.
func (c *Core) appendEntry(e Entry) {
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

func (c *Core) assertNoOpenReady() {
	invariant.Check(!c.out.awaitingAdvance, invariant.Consensus, "input fed between Ready and Advance")
}
