package record

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/dispatch"
)

// Peers carries messages to other daemons by their configured name.
// Implementations must be safe for concurrent use and must return when ctx ends.
type Peers interface {
	Begin(ctx context.Context, daemon string, r BeginRequest) (BeginReply, error)
	Finish(ctx context.Context, daemon string, r FinishRequest) error
	Lookup(ctx context.Context, daemon string, r LookupRequest) (LookupReply, error)
}

// Defaults of Config.
const (
	DefaultCallTimeout = 500 * time.Millisecond
	DefaultMaxWaiters  = 1024
	// DefaultPatience covers a restart.
	DefaultPatience = 3 * time.Second
	// inheritWindow bounds how long a new incarnation leaves open what became of
	// ids of the former one.
	inheritWindow = 5 * time.Second
	// homePause is the time between asking a home twice; it doubles up to maxHomePause.
	homePause    = 20 * time.Millisecond
	maxHomePause = 320 * time.Millisecond
	// copyCount is the number of peers that keep a copy of a small answer.
	copyCount = 2
	// finishLimit bounds the finish reports in flight; more are dropped, which
	// leaves ids running until their hold ends and then unknown.
	finishLimit = 1024
)

// Config configures a Service.
type Config struct {
	Self dispatch.DaemonID
	Zone string
	// FirstIncarnation tells that no former incarnation of this daemon existed.
	// Otherwise the daemon abstains as keeper for the retention.
	FirstIncarnation bool
	// AwaitRegistration makes the daemon abstain as keeper until Registered.
	AwaitRegistration bool
	Keeper            KeeperConfig
	// CallTimeout bounds one call to a peer.
	CallTimeout time.Duration
	// Patience bounds how long the home of an id is asked for its word on a
	// request that must not run twice.
	Patience time.Duration
	// MaxWaiters bounds lookups that wait for a running request.
	MaxWaiters int
	Peers      Peers
}

// Service is a daemon's part in deciding that every id starts at most once. It
// decides for its own origin and answers peers. It is safe for concurrent use.
type Service struct {
	cfg     Config
	members memberSets
	seq     atomic.Uint64

	mu     sync.Mutex
	home   *Home
	keeper *Keeper
	copies *Keeper
	// former holds the homes of earlier incarnations that handed over to this one.
	former map[string]*Home
	// inheritUntil is until when this daemon may still become the home of ids of
	// former incarnations; zero once Inherit returned.
	inheritUntil time.Time
	// sealed tells that this daemon handed over and permits no start any more.
	sealed bool
	// held holds what stopped daemons handed over, until their successors claim it.
	held map[string]*heldEstate
	// waiting holds the lookups that wait for an id to change.
	waiting map[string]*waiters
	// waiterCount is the number of lookups in waiting.
	waiterCount int

	finishing sync.WaitGroup
	slots     chan struct{}
	// ignoresRefusals switches the check against earlier refusals off. Tests only.
	ignoresRefusals bool
}

// waiters are the lookups that wait for one id.
type waiters struct {
	// changed is closed at the next change of the id.
	changed chan struct{}
	count   int
}

// New returns a service that knows no members; see SetMembers.
func New(cfg Config) *Service {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.Patience == 0 {
		cfg.Patience = DefaultPatience
	}
	if cfg.MaxWaiters == 0 {
		cfg.MaxWaiters = DefaultMaxWaiters
	}
	if cfg.Keeper == (KeeperConfig{}) {
		cfg.Keeper = DefaultKeeperConfig()
	}
	var abstain, inherit time.Time
	if !cfg.FirstIncarnation {
		abstain = time.Now().Add(cfg.Keeper.Retention)
		inherit = time.Now().Add(inheritWindow)
	}
	copies := NewKeeper(cfg.Keeper, time.Time{})
	// Copies permit no start, so old ones may make room for new ones.
	copies.evicted = func(string) {}
	s := &Service{
		cfg:          cfg,
		home:         NewHome(homeName(cfg.Zone, cfg.Self), cfg.Keeper),
		keeper:       NewKeeper(cfg.Keeper, abstain),
		copies:       copies,
		former:       make(map[string]*Home),
		inheritUntil: inherit,
		held:         make(map[string]*heldEstate),
		waiting:      make(map[string]*waiters),
		slots:        make(chan struct{}, finishLimit),
	}
	s.keeper.unregistered = cfg.AwaitRegistration
	return s
}

func homeName(zone string, d dispatch.DaemonID) string {
	return zone + "." + d.Name + "-" + d.Incarnation
}

// SetMembers installs the configured daemons, this one included. For the
// retention after a change, starts need a majority of the former keepers too.
func (s *Service) SetMembers(members []Member) {
	s.members.update(members, s.cfg.Keeper.Retention, time.Now())
}

// AddFormerMembers installs a set of daemons that was replaced some time before
// this daemon started. A daemon that does not learn of a change within the
// retention could decide with a majority that shares no keeper with another's.
func (s *Service) AddFormerMembers(members []Member, replacedAgo time.Duration) {
	s.members.addFormer(members, time.Now().Add(-replacedAgo))
}

// Stats counts what a Service remembers.
type Stats struct {
	// HomeIDs, KeeperIDs and Copies are numbers of ids.
	HomeIDs   int
	KeeperIDs int
	Copies    int
	// AnswerBytes is the memory of all kept answers.
	AnswerBytes int
	// Waiting is the number of lookups that wait for a running request.
	Waiting int
	// Abstaining tells that the daemon does not vote on ids of callers yet.
	Abstaining bool
}

// Stats returns what the service remembers now.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{
		KeeperIDs: s.keeper.Len(), Copies: s.copies.Len(), Waiting: s.waiterCount,
		AnswerBytes: s.keeper.AnswerBytes() + s.copies.AnswerBytes(),
		Abstaining:  s.sealed || s.keeper.abstains(time.Now()),
	}
	for _, h := range s.homes() {
		st.HomeIDs += h.keeper.Len()
		st.AnswerBytes += h.keeper.AnswerBytes()
	}
	return st
}

// homes returns the own home and those inherited. It must be called with the lock held.
func (s *Service) homes() []*Home {
	all := []*Home{s.home}
	for _, h := range s.former {
		all = append(all, h)
	}
	return all
}

// Close waits for the reports of finished requests, each bounded by CallTimeout.
func (s *Service) Close() { s.finishing.Wait() }

// Fresh returns a new id that a caller may use for one request.
func (s *Service) Fresh() string { return s.mint(KindHanded) }

// Own returns a new id for a request that came without one.
func (s *Service) Own() string { return s.mint(KindOwn) }

func (s *Service) mint(kind Kind) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Mint(kind)
}

// HomeOf returns the home that an id names, or "" for ids of other forms.
func (s *Service) HomeOf(id string) string {
	if p, ok := ParseID(id); ok {
		return p.Home()
	}
	return ""
}

// Claim is an origin's wish to start one request.
type Claim struct {
	ID string
	// Own marks an id that Own returned for this very call.
	Own    bool
	Digest Digest
	// Idempotent requests may start without permission when no decider is reached.
	Idempotent bool
	// Hold is how long the request may take from Begin to Finish. The origin
	// must not start it later than that.
	Hold time.Duration
	// Received is when the origin received the request from the caller.
	Received time.Time

	token Token
}

// Decision is what an origin may do with a claim.
type Decision struct {
	// Verdict is Proceed, Running, Answered, Unknown, Mismatch, NoQuorum or Superseded.
	Verdict Verdict
	Answer  *Answer
	// Earlier tells that an earlier attempt may have run, although the claim may proceed.
	Earlier bool
}

// Begin decides on c. After Proceed the origin must call Finish exactly once.
func (s *Service) Begin(ctx context.Context, c *Claim) Decision {
	if c.Own {
		return Decision{Verdict: Proceed}
	}
	if !c.Idempotent {
		return s.decide(ctx, c, s.cfg.Patience)
	}
	d := s.decide(ctx, c, 0)
	switch d.Verdict {
	case Unknown, NoQuorum:
		return Decision{Verdict: Proceed, Earlier: true}
	default:
		return d
	}
}

// decide decides on c. Patience bounds how long it tries to reach the home of an
// id, which may be restarting.
func (s *Service) decide(ctx context.Context, c *Claim, patience time.Duration) Decision {
	id, ok := ParseID(c.ID)
	if !ok {
		return s.decideByKeepers(ctx, c)
	}
	if id.Daemon != s.cfg.Self.Name && !s.members.known(id.Daemon) {
		return s.decideByCopies(ctx, id, c)
	}
	return s.decideByHome(ctx, id, c, patience)
}

func (s *Service) newToken(c *Claim) BeginRequest {
	c.token = Token{Origin: s.cfg.Self, Seq: s.seq.Add(1)}
	return BeginRequest{ID: c.ID, Token: c.token, Digest: c.Digest, Hold: c.Hold}
}

// decideByHome asks the home, again and again with the same token if it gives
// no word: asking twice permits one start only.
func (s *Service) decideByHome(ctx context.Context, id ID, c *Claim, patience time.Duration) Decision {
	r := s.newToken(c)
	ctx, cancel := context.WithTimeout(ctx, patience+s.cfg.CallTimeout)
	defer cancel()
	deadline := time.Now().Add(patience)
	for pause := homePause; ; pause = min(2*pause, maxHomePause) {
		reply, err := s.begin(ctx, id.Daemon, r)
		if err == nil && reply.Verdict != Abstain {
			return s.decideByReply(ctx, id, c, reply)
		}
		if time.Now().Add(pause).After(deadline) || !sleep(ctx, pause) {
			break
		}
	}
	// The start may have been permitted, with only the reply lost.
	_ = s.finishAt(ctx, id.Daemon, FinishRequest{ID: c.ID, Token: c.token, Result: ResultWithdrawn})
	return s.decideByCopies(context.WithoutCancel(ctx), id, c)
}

func (s *Service) decideByReply(ctx context.Context, id ID, c *Claim, reply BeginReply) Decision {
	switch reply.Verdict {
	case Proceed:
		return s.proceedUnlessRefused(ctx, c, time.Now(), []BeginReply{reply})
	case Unknown:
		return s.decideByCopies(ctx, id, c)
	default:
		return Decision{Verdict: reply.Verdict, Answer: reply.Answer}
	}
}

// decideByCopies looks for a copy of the answer when the home cannot tell. It
// never permits a start.
func (s *Service) decideByCopies(ctx context.Context, id ID, c *Claim) Decision {
	for _, daemon := range s.members.copies(c.ID, id.Daemon, copyCount) {
		reply, err := s.lookup(ctx, daemon, LookupRequest{ID: c.ID, Digest: c.Digest})
		if err == nil && (reply.Verdict == Answered || reply.Verdict == Mismatch) {
			return Decision{Verdict: reply.Verdict, Answer: reply.Answer}
		}
	}
	return Decision{Verdict: Unknown}
}

// proceedUnlessRefused turns a permission into Superseded if "not run" may have
// been said for the id after this attempt arrived: the caller may rely on it.
// The keeper's age of that word is measured from its reply, so by this daemon's
// clock the word was said no later than replied minus the age.
func (s *Service) proceedUnlessRefused(ctx context.Context, c *Claim, replied time.Time, replies []BeginReply) Decision {
	for _, r := range replies {
		if r.Refused && !s.ignoresRefusals && !c.Received.After(replied.Add(-r.RefusedAgo)) {
			s.Finish(ctx, c, ResultNotRun, nil)
			return Decision{Verdict: Superseded}
		}
	}
	return Decision{Verdict: Proceed}
}

func (s *Service) begin(ctx context.Context, daemon string, r BeginRequest) (BeginReply, error) {
	if daemon == s.cfg.Self.Name {
		return s.HandleBegin(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.Begin(ctx, daemon, r)
	return reply, errors.Wrapf(err, "begin at %s", daemon)
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
