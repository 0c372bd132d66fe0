package record

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
)

// Peers sends messages to other daemons by their configured name.
// Implementations must be safe for concurrent use and must return when ctx
// ends.
type Peers interface {
	Begin(ctx context.Context, daemon string, r BeginRequest) (BeginReply, error)
	Finish(ctx context.Context, daemon string, r FinishRequest) error
	Lookup(ctx context.Context, daemon string, r LookupRequest) (LookupReply, error)
}

// Defaults of Config.
const (
	DefaultCallTimeout = 500 * time.Millisecond
	DefaultMaxWaiters  = 1024
	// DefaultHomeRetryTimeout allows for a restart of the home daemon.
	DefaultHomeRetryTimeout = 3 * time.Second
	// claimWindow limits how long a new incarnation abstains on the ids of a
	// previous one while their records may still be claimed.
	claimWindow = 5 * time.Second
	// homeRetryInterval is the first pause between requests to the home daemon.
	// It doubles up to maxHomeRetryInterval.
	homeRetryInterval    = 20 * time.Millisecond
	maxHomeRetryInterval = 320 * time.Millisecond
	// copyCount is the number of peers that store a copy of a small answer.
	copyCount = 2
	// maxPendingReports limits the finish reports in flight. Further reports
	// are dropped; their ids stay running until their hold ends and are unknown
	// after that.
	maxPendingReports = 1024
	// maxRefusalChecks limits how often a decider is asked when the earlier
	// refusal happened. Each further reply narrows the time to its own delay.
	maxRefusalChecks = 5
)

// Config configures a Service.
type Config struct {
	Self dispatch.DaemonID
	Zone string
	// FirstIncarnation states that this daemon has no previous incarnation.
	// Otherwise the daemon abstains as an acceptor for the retention.
	FirstIncarnation bool
	// AwaitRegistration makes the daemon abstain as an acceptor until Registered
	// is called.
	AwaitRegistration bool
	Store             StoreConfig
	// CallTimeout limits one call to a peer.
	CallTimeout time.Duration
	// HomeRetryTimeout limits how long the home daemon is asked to decide on a
	// non-idempotent request.
	HomeRetryTimeout time.Duration
	// MaxWaiters limits the number of lookups that wait for a running request.
	MaxWaiters int
	Peers      Peers
}

// Service takes part in the decision that every id starts at most once. It
// decides for its own origin and answers the requests of peers. It is safe for
// concurrent use.
type Service struct {
	cfg     Config
	members memberSets
	seq     atomic.Uint64

	mu       sync.Mutex
	home     *Home
	acceptor *Store
	copies   *Store
	// former holds the homes of previous incarnations that handed over to this
	// one, by home name.
	former map[string]*Home
	// claimDeadline is when this daemon can no longer take over the ids of
	// previous incarnations. It is zero after Inherit has returned.
	claimDeadline time.Time
	// sealed is set once this daemon has handed over. It then permits no start.
	sealed bool
	// handOvers stores the records of stopped daemons by daemon name until
	// their successors claim them.
	handOvers map[string]*storedHandOver
	// waitersByID holds the lookups that wait for an id to change.
	waitersByID map[string]*waiters
	// waiterCount is the number of lookups in waitersByID.
	waiterCount int

	pendingReports sync.WaitGroup
	reportSlots    chan struct{}
	// refusalCheckDisabled disables the check against earlier refusals. It is
	// set by tests only.
	refusalCheckDisabled bool
}

// waiters counts the lookups that wait for one id.
type waiters struct {
	// changed is closed when the id next changes.
	changed chan struct{}
	count   int
}

// New returns a service without members; see SetMembers.
func New(cfg Config) *Service {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.HomeRetryTimeout == 0 {
		cfg.HomeRetryTimeout = DefaultHomeRetryTimeout
	}
	if cfg.MaxWaiters == 0 {
		cfg.MaxWaiters = DefaultMaxWaiters
	}
	if cfg.Store == (StoreConfig{}) {
		cfg.Store = DefaultStoreConfig()
	}
	var abstainUntil, claimDeadline time.Time
	if !cfg.FirstIncarnation {
		abstainUntil = clock.Now().Add(cfg.Store.Retention)
		claimDeadline = clock.Now().Add(claimWindow)
	}
	copies := NewStore(cfg.Store, time.Time{})
	// Copies permit no start, so old ones may be evicted to make room.
	copies.onEvict = func(string) {}
	s := &Service{
		cfg:           cfg,
		home:          NewHome(homeName(cfg.Zone, cfg.Self), cfg.Store),
		acceptor:      NewStore(cfg.Store, abstainUntil),
		copies:        copies,
		former:        make(map[string]*Home),
		claimDeadline: claimDeadline,
		handOvers:     make(map[string]*storedHandOver),
		waitersByID:   make(map[string]*waiters),
		reportSlots:   make(chan struct{}, maxPendingReports),
	}
	s.acceptor.unregistered = cfg.AwaitRegistration
	return s
}

func homeName(zone string, d dispatch.DaemonID) string {
	return zone + "." + d.Name + "-" + d.Incarnation
}

// SetMembers installs the configured daemons, including this one. For the
// retention after a change, starts need a majority of the former acceptors too.
func (s *Service) SetMembers(members []Member) {
	s.members.update(members, s.cfg.Store.Retention, clock.Now())
}

// AddFormerMembers adds a member set that was replaced before this daemon
// started. A daemon that does not learn of a change within the retention could
// decide with a majority that shares no acceptor with the majority of another
// daemon.
func (s *Service) AddFormerMembers(members []Member, replacedAgo time.Duration) {
	s.members.addFormer(members, clock.Now().Add(-replacedAgo))
}

// Stats holds statistics of a Service.
type Stats struct {
	// HomeIDs, AcceptorIDs and Copies are numbers of ids.
	HomeIDs     int
	AcceptorIDs int
	Copies      int
	// AnswerBytes is the total size of all stored answers.
	AnswerBytes int
	// Waiting is the number of lookups that wait for a running request.
	Waiting int
	// Abstaining reports whether the daemon abstains on caller-chosen ids.
	Abstaining bool
}

// Stats returns the current statistics.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{
		AcceptorIDs: s.acceptor.Len(), Copies: s.copies.Len(), Waiting: s.waiterCount,
		AnswerBytes: s.acceptor.AnswerBytes() + s.copies.AnswerBytes(),
		Abstaining:  s.sealed || s.acceptor.abstains(clock.Now()),
	}
	for _, h := range s.homes() {
		st.HomeIDs += h.store.Len()
		st.AnswerBytes += h.store.AnswerBytes()
	}
	return st
}

// homes returns the home of this incarnation and those claimed from previous
// ones. It must be called with s.mu held.
func (s *Service) homes() []*Home {
	all := []*Home{s.home}
	for _, h := range s.former {
		all = append(all, h)
	}
	return all
}

// Close waits until the reports of finished requests have ended. Each call is
// limited by CallTimeout.
func (s *Service) Close() { s.pendingReports.Wait() }

// IssueID returns a new id that a caller may use for one request.
func (s *Service) IssueID() string { return s.mint(KindIssued) }

// NewInternalID returns a new id for a request that arrived without one.
func (s *Service) NewInternalID() string { return s.mint(KindInternal) }

func (s *Service) mint(kind Kind) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Mint(kind)
}

// HomeOf returns the home that an issued id names, or "" for other ids.
func (s *Service) HomeOf(id string) string {
	if p, ok := ParseID(id); ok {
		return p.Home()
	}
	return ""
}

// Claim is an origin's request to start an id.
type Claim struct {
	ID string
	// Internal marks an id that Service.NewInternalID returned for the same call.
	Internal bool
	Digest   Digest
	// Idempotent requests may start without permission if no decider can be
	// reached.
	Idempotent bool
	// Hold is the maximum time from Begin to Finish. The origin must not start
	// the request after it.
	Hold     time.Duration
	Received time.Time
	// Lost is the number of attempts of the claim that got no whole answer. The
	// origin sets it before Finish.
	Lost uint8

	token Token
}

// Decision is the result of a claim.
type Decision struct {
	// Verdict is Proceed, Running, Answered, Unknown, Mismatch, NoQuorum or
	// Superseded. Await may also return Absent.
	Verdict Verdict
	Answer  *Answer
	// Earlier reports that an earlier attempt may have run although the claim
	// may proceed. If it ended, Lost is the number of attempts that got no whole
	// answer; the origin may end such a claim without Finish.
	Earlier bool
	Lost    uint8
}

// Begin decides on c. After Proceed the origin must call Finish exactly once.
func (s *Service) Begin(ctx context.Context, c *Claim) Decision {
	if c.Internal {
		return Decision{Verdict: Proceed}
	}
	if !c.Idempotent {
		return s.decide(ctx, c, s.cfg.HomeRetryTimeout)
	}
	d := s.decide(ctx, c, 0)
	switch d.Verdict {
	case Unknown, NoQuorum:
		return Decision{Verdict: Proceed, Earlier: true, Lost: d.Lost}
	default:
		return d
	}
}

// decide decides on c. The home daemon of an id may be restarting; homeTimeout
// limits how long it is retried.
func (s *Service) decide(ctx context.Context, c *Claim, homeTimeout time.Duration) Decision {
	id, ok := ParseID(c.ID)
	if !ok {
		return s.decideByAcceptors(ctx, c)
	}
	if id.Daemon != s.cfg.Self.Name && !s.members.isMember(id.Daemon) {
		return s.decideByCopies(ctx, id, c)
	}
	return s.decideByHome(ctx, id, c, homeTimeout)
}

func (s *Service) newToken(c *Claim) BeginRequest {
	c.token = Token{Origin: s.cfg.Self, Seq: s.seq.Add(1)}
	return BeginRequest{ID: c.ID, Token: c.token, Digest: c.Digest, Hold: c.Hold}
}

// decideByHome asks the home daemon and repeats the request with the same token
// until it decides. Repeating the request permits one start only.
func (s *Service) decideByHome(ctx context.Context, id ID, c *Claim, homeTimeout time.Duration) Decision {
	r := s.newToken(c)
	ctx, cancel := context.WithTimeout(ctx, homeTimeout+s.cfg.CallTimeout)
	defer cancel()
	deadline := clock.Now().Add(homeTimeout)
	for pause := homeRetryInterval; ; pause = min(2*pause, maxHomeRetryInterval) {
		v := s.begin(ctx, id.Daemon, r)
		if v.err == nil && v.reply.Verdict != Abstain {
			return s.decideByReply(ctx, id, c, r, v)
		}
		if clock.Now().Add(pause).After(deadline) || !sleep(ctx, pause) {
			break
		}
	}
	// The home may have permitted the start and only the reply was lost.
	_ = s.finishAt(ctx, id.Daemon, FinishRequest{ID: c.ID, Token: c.token, Result: ResultWithdrawn})
	return s.decideByCopies(context.WithoutCancel(ctx), id, c)
}

func (s *Service) decideByReply(ctx context.Context, id ID, c *Claim, r BeginRequest, v vote) Decision {
	switch v.reply.Verdict {
	case Proceed:
		return s.proceedUnlessRefused(ctx, c, r, []vote{v})
	case Unknown:
		d := s.decideByCopies(ctx, id, c)
		d.Lost = v.reply.Lost
		return d
	default:
		return Decision{Verdict: v.reply.Verdict, Answer: v.reply.Answer}
	}
}

// decideByCopies looks for a copy of the answer when the home cannot decide. It
// never permits a start.
func (s *Service) decideByCopies(ctx context.Context, id ID, c *Claim) Decision {
	for _, daemon := range s.members.copyHolders(c.ID, id.Daemon, copyCount) {
		reply, err := s.lookup(ctx, daemon, LookupRequest{ID: c.ID, Digest: c.Digest})
		if err == nil && (reply.Verdict == Answered || reply.Verdict == Mismatch) {
			return Decision{Verdict: reply.Verdict, Answer: reply.Answer}
		}
	}
	return Decision{Verdict: Unknown}
}

// proceedUnlessRefused turns a permission into Superseded if the caller may
// have been told "not run" for the id after this attempt arrived, because the
// caller may rely on it.
func (s *Service) proceedUnlessRefused(ctx context.Context, c *Claim, r BeginRequest, votes []vote) Decision {
	if s.refusalCheckDisabled {
		return Decision{Verdict: Proceed}
	}
	for _, v := range votes {
		if v.err == nil && v.reply.Refused && !s.arrivedAfterRefusal(ctx, c, r, v) {
			s.Finish(ctx, c, ResultNotRun, nil)
			return Decision{Verdict: Superseded}
		}
	}
	return Decision{Verdict: Proceed}
}

// arrivedAfterRefusal reports whether an attempt certainly arrived after the
// refusal that a decider reported. The decider is asked again while the delay of
// its reply leaves the order open; repeating the request permits one start only.
func (s *Service) arrivedAfterRefusal(ctx context.Context, c *Claim, r BeginRequest, v vote) bool {
	for n := 1; v.err == nil && v.reply.Verdict == Proceed; n++ {
		earliest, latest := v.refusedBetween()
		if c.Received.After(latest) {
			return true
		}
		if !c.Received.After(earliest) || n == maxRefusalChecks {
			return false
		}
		v = s.begin(context.WithoutCancel(ctx), v.daemon, r)
	}
	return false
}

func (s *Service) begin(ctx context.Context, daemon string, r BeginRequest) vote {
	v := vote{daemon: daemon}
	if daemon == s.cfg.Self.Name {
		v.reply, v.sent = s.beginLocally(r)
		v.received = v.sent
		return v
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	v.sent = clock.Now()
	reply, err := s.cfg.Peers.Begin(ctx, daemon, r)
	v.reply, v.received, v.err = reply, clock.Now(), errors.Wrapf(err, "begin at %s", daemon)
	return v
}

func (s *Service) lookup(ctx context.Context, daemon string, r LookupRequest) (LookupReply, error) {
	if daemon == s.cfg.Self.Name {
		return s.HandleLookup(ctx, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout+r.Wait)
	defer cancel()
	reply, err := s.cfg.Peers.Lookup(ctx, daemon, r)
	return reply, errors.Wrapf(err, "lookup at %s", daemon)
}

func union(sets [][]string) []string {
	var all []string
	seen := make(map[string]bool)
	for _, set := range sets {
		for _, name := range set {
			if !seen[name] {
				seen[name] = true
				all = append(all, name)
			}
		}
	}
	return all
}
