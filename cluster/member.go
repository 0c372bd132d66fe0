package cluster

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/node"
	"magnoliastand.example/consensus/storage"
	"magnoliastand.example/peerlink"
)

const (
	// logFolder is the directory of the replicated log inside the data folder.
	logFolder = "log"
	// logTick is the period of the log's logical clock. An election timeout is 10
	// to 19 ticks.
	logTick = 50 * time.Millisecond
	// formRetryTicks is the interval between attempts to find or form a cluster:
	// twice the slowest round trip in a region, rounded up to ticks.
	formRetryTicks = 4
	// joinInterval is the interval between join requests.
	joinInterval = 500 * time.Millisecond
	// callTimeout bounds one call to another member.
	callTimeout = time.Second
	// supersededTicks is how long the voter of a replaced disk must be silent
	// before the new disk takes its place: one election timeout.
	supersededTicks = 20
	// LeaseTime is how long after the last confirmation by a quorum the leader
	// may act on its own. It is below the shortest election timeout of 500 ms.
	LeaseTime = 400 * time.Millisecond
)

// Config holds the settings of a member.
type Config[R any] struct {
	// Self is this daemon's name on the peer links.
	Self string
	Zone string
	// DataFolder is the directory that contains the log's directory.
	DataFolder string
	// Seeds are the names of some members. With Form, they are the first voters.
	Seeds []string
	// Peers are further daemons that may know a cluster.
	Peers []string
	// Form allows the seeds to form a new cluster. Without it, a daemon with an
	// empty disk can only join one, or take part as a seed if another seed forms one.
	Form bool
	// Voters is the target number of voters.
	Voters int
	// Silence is how long a voter may be silent before a spare replaces it.
	Silence time.Duration
	Machine node.StateMachine[R]
	// MaxEntryBytes is the maximum size of an entry; 0 selects the default of the log.
	MaxEntryBytes int
	// BeforeStart, if set, is called each time before the state machine is
	// restored from the disk. The restored state may be older than before.
	BeforeStart func()
	Link        *peerlink.Node
	Metrics     *Metrics
	Log         zerolog.Logger
}

// Member is this daemon's membership in the replicated log.
type Member[R any] struct {
	cfg    Config[R]
	finder *Finder
	// reopen opens the storage again after it failed. Tests replace it.
	reopen func() (storage.Storage, error)

	mu     sync.Mutex
	disk   storage.Storage
	former *node.Former
	node   *node.Node[R]
	names  map[consensus.NodeID]string

	// yieldedAt is when this daemon last gave up leadership for its slow disk.
	// It is used by maintainMembership only.
	yieldedAt time.Time
	// reopenedAt and reopenDelay are the time of the last recovery of the storage
	// and the delay before it. They are used by Run only.
	reopenedAt  time.Time
	reopenDelay time.Duration
}

// Open opens the log in the data folder and registers the peer link handlers.
// Errors are those of storage.Open.
func Open[R any](cfg Config[R]) (*Member[R], error) {
	folder := filepath.Join(cfg.DataFolder, logFolder)
	disk, err := storage.Open(folder)
	if err != nil {
		return nil, errors.Wrap(err, "data_folder")
	}
	m := &Member[R]{
		cfg: cfg, disk: disk, names: map[consensus.NodeID]string{},
		finder: NewFinder(cfg.Link, slices.Concat(cfg.Seeds, cfg.Peers), cfg.Log),
		reopen: func() (storage.Storage, error) { return storage.Reopen(folder) },
	}
	cfg.Link.HandleNotify(methodLog, m.handleLog)
	cfg.Link.HandleNotify(methodForm, m.handleForm)
	cfg.Link.Handle(methodJoin, m.handleJoin)
	cfg.Link.Handle(methodLead, m.handleLead)
	return m, nil
}

// Run binds the disk to a cluster and then runs the log until ctx ends. After a
// failed write the member leaves the log until the disk can be written again. Run
// returns an error if the disk is damaged or the state machine fails.
func (m *Member[R]) Run(ctx context.Context) error {
	searchCtx, stopSearch := context.WithCancel(ctx)
	searched := make(chan struct{})
	go func() {
		defer close(searched)
		m.searchLeader(searchCtx)
	}()
	defer func() {
		stopSearch()
		<-searched
	}()
	for {
		err := m.runLog(ctx)
		if !errors.Is(err, node.ErrStorage) || ctx.Err() != nil {
			return err
		}
		if err := m.awaitStorage(ctx, err); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// runLog runs the log until ctx ends or it fails, and closes the storage.
func (m *Member[R]) runLog(ctx context.Context) error {
	defer func() {
		if err := m.storage().Close(); err != nil {
			m.cfg.Log.Error().Err(err).Msg("failed to close log")
		}
	}()
	former, err := m.startFormer()
	if err != nil {
		return err
	}
	defer former.Stop()
	select {
	case <-former.Bound():
	case <-former.Done():
		return errors.Wrap(former.Err(), "form the cluster")
	case <-ctx.Done():
		return nil
	}
	started, err := m.startNode()
	if err != nil {
		return err
	}
	defer started.Stop()
	joinCtx, stopJoining := context.WithCancel(ctx)
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		m.maintainMembership(joinCtx)
	}()
	defer func() {
		stopJoining()
		<-joined
	}()
	select {
	case <-started.Done():
		return errors.Wrap(started.Err(), "log")
	case <-ctx.Done():
		return nil
	}
}

func newRandSource() rand.Source {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // crypto/rand.Read never returns an error
	return rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))
}

// startFormer starts the search for a cluster. A seed that may not form one takes part if
// another one does.
func (m *Member[R]) startFormer() (*node.Former, error) {
	var first []string
	if slices.Contains(m.cfg.Seeds, m.cfg.Self) {
		first = m.cfg.Seeds
	}
	if !m.cfg.Form { // it may join a cluster whatever its list of seeds is
		first = slices.Clone(first)
		slices.Sort(first)
		first = slices.DeleteFunc(slices.Compact(first), func(name string) bool { return name == "" })
	}
	former, err := node.StartFormer(node.FormConfig{
		Machine: bootstrap.Config{
			Self:        consensus.Member{Name: m.cfg.Self, Zone: m.cfg.Zone},
			FirstVoters: first,
			JoinOnly:    !m.cfg.Form,
			Peers:       slices.Concat(m.cfg.Seeds, m.cfg.Peers),
			Rand:        newRandSource(),
			RetryTicks:  formRetryTicks,
		},
		Storage:    m.storage(),
		Send:       func(to string, msg bootstrap.Message) { m.cfg.Link.Notify(to, methodForm, msg) },
		TickPeriod: logTick,
	})
	if err != nil {
		return nil, errors.Wrap(err, "seeds")
	}
	m.mu.Lock()
	m.former = former
	m.mu.Unlock()
	return former, nil
}

func (m *Member[R]) startNode() (*node.Node[R], error) {
	silent := uint64(m.cfg.Silence / logTick)
	if m.cfg.BeforeStart != nil {
		m.cfg.BeforeStart()
	}
	core := consensus.DefaultConfig(0, 0, nil)
	if m.cfg.MaxEntryBytes > 0 {
		core.MaxEntryBytes = m.cfg.MaxEntryBytes
	}
	started, err := node.Start(node.Config[R]{
		CoreConfig: &core,
		Storage:    m.storage(),
		Transport:  m,
		Machine:    m.cfg.Machine,
		TickPeriod: logTick,
		Rand:       newRandSource(),
		Repair: &node.RepairPolicy{
			Voters: m.cfg.Voters, SilentTicks: silent, LearnerSilentTicks: silent, SupersededTicks: supersededTicks,
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	m.mu.Lock()
	m.node = started
	m.mu.Unlock()
	return started, nil
}

// Node returns the node once it has started, or nil.
func (m *Member[R]) Node() *node.Node[R] {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// Send implements node.Transport.
func (m *Member[R]) Send(to consensus.NodeID, msg consensus.Message) {
	if name := m.nameOf(to); name != "" {
		m.cfg.Link.Notify(name, methodLog, msg)
	}
}

// nameOf returns the daemon with the given node ID, according to the received
// messages or the membership.
func (m *Member[R]) nameOf(id consensus.NodeID) string {
	m.mu.Lock()
	started, name := m.node, m.names[id]
	m.mu.Unlock()
	if name != "" || started == nil {
		return name
	}
	for _, member := range started.Status().Members {
		if member.ID == id {
			return member.Name
		}
	}
	return ""
}

func (m *Member[R]) handleLog(from peerlink.Identity, payload []byte) {
	var msg consensus.Message
	started := m.Node()
	if started == nil {
		return
	}
	if err := decodeMessage(payload, &msg); err != nil {
		m.cfg.Log.Warn().Err(err).Str("peer", from.Name).Msg("log message rejected")
		return
	}
	if !m.verifySender(started, msg.From, from.Name) {
		m.cfg.Log.Warn().Str("peer", from.Name).Msg("log message rejected: node ID belongs to another daemon")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), logTick)
	defer cancel()
	if err := started.Step(ctx, msg); err != nil {
		m.cfg.Log.Debug().Err(err).Str("peer", from.Name).Msg("log message not processed")
	}
}

// verifySender reports whether a node ID belongs to the named daemon, according
// to the membership or to the first message received with that ID, whose sender
// it records.
func (m *Member[R]) verifySender(started *node.Node[R], id consensus.NodeID, daemon string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name, ok := m.names[id]; ok {
		return name == daemon
	}
	for _, member := range started.Status().Members {
		if member.ID == id && member.Name != daemon {
			return false
		}
	}
	m.names[id] = daemon
	return true
}

func (m *Member[R]) handleForm(from peerlink.Identity, payload []byte) {
	var msg bootstrap.Message
	m.mu.Lock()
	former := m.former
	m.mu.Unlock()
	if former == nil {
		return
	}
	if err := decodeMessage(payload, &msg); err != nil || msg.From != from.Name {
		m.cfg.Log.Warn().Err(err).Str("peer", from.Name).Msg("bootstrap message rejected")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), logTick)
	defer cancel()
	if err := former.Step(ctx, msg); err != nil {
		m.cfg.Log.Debug().Err(err).Str("peer", from.Name).Msg("bootstrap message not processed")
	}
}

// handleJoin adds the caller as a learner. Only the leader serves it.
func (m *Member[R]) handleJoin(ctx context.Context, from peerlink.Identity, payload []byte) (any, error) {
	var member consensus.Member
	if err := decodeMessage(payload, &member); err != nil {
		return nil, err
	}
	if member.Name != from.Name {
		return nil, errors.Errorf("cluster: %s asks to join as %s", from.Name, member.Name)
	}
	if !m.IsLeader() {
		return nil, &peerlink.RemoteError{Code: codeNotLeader, Detail: m.Leader()}
	}
	err := m.Node().AddLearner(ctx, member)
	m.cfg.Log.Info().Err(err).Str("peer", member.Name).Uint64("node", uint64(member.ID)).Msg("processed join request")
	return leadReply{}, err
}

// handleLead returns the known leader. This daemon names itself only while its
// lease is valid: a leader that was suspended or partitioned, or whose log has
// failed, would otherwise keep its followers.
func (m *Member[R]) handleLead(context.Context, peerlink.Identity, []byte) (any, error) {
	reply := leadReply{Leader: m.Leader(), Members: m.Members()}
	if started := m.Node(); started != nil {
		reply.Term = started.Status().Term
	}
	if _, leads := m.Lease(); reply.Leader == m.cfg.Self && !leads {
		reply.Leader = ""
	}
	return reply, nil
}

// Members returns the names of the known members.
func (m *Member[R]) Members() []string {
	var names []string
	for _, p := range m.Peers() {
		if !slices.Contains(names, p.Name) {
			names = append(names, p.Name)
		}
	}
	return names
}

// Peer identifies a member by its name on the peer links and its availability
// zone.
type Peer struct {
	Name, Zone string
}

// Peers returns the known members without duplicates.
func (m *Member[R]) Peers() []Peer {
	started := m.Node()
	if started == nil {
		return nil
	}
	var peers []Peer
	for _, member := range started.Status().Members {
		p := Peer{Name: member.Name, Zone: member.Zone}
		if p.Name != "" && !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	return peers
}

// isMember reports whether the disk's node ID is in the membership.
func (m *Member[R]) isMember() bool {
	status := m.Node().Status()
	return slices.ContainsFunc(status.Members, func(o consensus.Member) bool { return o.ID == status.ID })
}

// maintainMembership requests to join whenever this daemon is not a member. A
// daemon that was removed while partitioned learns of it from the others, since
// its own log still lists it.
func (m *Member[R]) maintainMembership(ctx context.Context) {
	for ctx.Err() == nil {
		removed := m.Node().Status().Removed && m.Leader() == ""
		if removed || !m.isMember() {
			m.requestJoin(ctx)
		}
		m.yieldOnSlowDisk(ctx)
		select {
		case <-time.After(joinInterval):
		case <-ctx.Done():
		}
	}
}

// requestJoin sends join requests to the daemons that may be the leader until one
// succeeds. A daemon that is not the leader names it, which may be none of the seeds.
func (m *Member[R]) requestJoin(ctx context.Context) {
	self := consensus.Member{ID: m.storage().Node(), Name: m.cfg.Self, Zone: m.cfg.Zone}
	asked := map[string]bool{m.cfg.Self: true}
	peers := slices.Concat([]string{m.Leader()}, m.cfg.Seeds, m.Members())
	for len(peers) > 0 {
		peer := peers[0]
		peers = peers[1:]
		if peer == "" || asked[peer] {
			continue
		}
		asked[peer] = true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := m.cfg.Link.Call(callCtx, peer, methodJoin, self, nil)
		cancel()
		if err == nil {
			return
		}
		m.cfg.Log.Debug().Err(err).Str("peer", peer).Msg("join request failed")
		var refusal *peerlink.RemoteError
		if errors.As(err, &refusal) && refusal.Code == codeNotLeader {
			peers = append(peers, refusal.Detail)
		}
	}
}

// TransferLeadership transfers leadership, so that a planned shutdown does not
// cost an election timeout.
func (m *Member[R]) TransferLeadership(ctx context.Context) {
	const pause = 10 * time.Millisecond // below one round trip between zones
	if !m.IsLeader() {
		return
	}
	if err := m.Node().Handover(ctx); err != nil {
		m.cfg.Log.Warn().Err(err).Msg("failed to transfer leadership")
		return
	}
	for m.IsLeader() && ctx.Err() == nil {
		time.Sleep(pause)
	}
}

// IsLeader reports whether this daemon leads the log.
func (m *Member[R]) IsLeader() bool {
	started := m.Node()
	return started != nil && started.Status().Role == consensus.Leader
}

// Lease returns the term of this daemon and whether it leads that term with a
// quorum confirmation no older than LeaseTime. No other daemon leads a later term
// before that time has passed.
func (m *Member[R]) Lease() (term uint64, ok bool) {
	started := m.Node()
	if started == nil {
		return 0, false
	}
	s := started.Status()
	return s.Term, s.Role == consensus.Leader && s.QuorumKnown && s.QuorumAge < LeaseTime
}

// Leader returns the leader as far as this daemon knows, or "". While this
// daemon's own log is not running, that is the leader known to other members.
func (m *Member[R]) Leader() string {
	if !m.isLogRunning() {
		return m.finder.FreshLeader()
	}
	if leader := m.Node().Status().Leader; leader != consensus.None {
		return m.nameOf(leader)
	}
	return ""
}
