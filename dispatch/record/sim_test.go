package record

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"magnoliastand.example/dispatch"
	"magnoliastand.example/invariant"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	// Tests that switch protections off breach on purpose; the others compare counts.
	invariant.SetSink(func(invariant.Breach) {})
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	if err := goleak.Find(); err != nil {
		panic(err)
	}
}

// variant switches one protection off.
type variant struct {
	votesWithoutMemory bool
	forgetsWatermark   bool
	ignoresRefusals    bool
	maxEntries         int
	calm               bool
	// churn runs three daemons that are killed or restarted about twice a
	// second, and never cut off.
	churn bool
	// unsealed lets a daemon go on deciding after it handed over.
	unsealed bool
	// endsAbstention lets a hand-over end the abstention of its giver.
	endsAbstention bool
}

// simNode is one daemon of the simulation; incarnations replace its service.
type simNode struct {
	name, zone string
	epoch      int
	service    *Service
}

// sim runs services on a network that delays, drops and reorders messages, and
// counts what really ran. Time is the bubble's.
type sim struct {
	// calm means that no message is late or lost and every run is answered.
	calm    bool
	variant variant
	mu      sync.Mutex
	rng     *rand.Rand
	nodes   []*simNode
	members []Member
	cut     map[string]bool // zones cut off
	runs    map[string]int
	// ranFor is when the attempt that ran an id arrived.
	ranFor map[string]time.Time
	// covered is up to when attempts of an id must have arrived to be covered
	// by a "not run" that was said.
	covered  map[string]time.Time
	breaches []string
	answered int
	notRun   int
	unknown  int
	// inherited counts successful hand-overs.
	inherited int
}

var simZones = []string{"za", "zb", "zc"}

func newSim(seed uint64, v variant) *sim {
	s := &sim{
		variant: v, rng: rand.New(rand.NewPCG(seed, seed)), cut: map[string]bool{},
		runs: map[string]int{}, ranFor: map[string]time.Time{}, covered: map[string]time.Time{},
	}
	count := 5
	if v.churn {
		count = 3
	}
	for i := range count {
		s.members = append(s.members, Member{Name: fmt.Sprintf("d%d", i), Zone: simZones[i%len(simZones)]})
	}
	for i := range count {
		n := &simNode{name: fmt.Sprintf("d%d", i), zone: simZones[i%len(simZones)]}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

func (s *sim) start(n *simNode) {
	n.epoch++
	cfg := DefaultKeeperConfig()
	if s.variant.maxEntries > 0 {
		cfg.MaxEntries = s.variant.maxEntries
	}
	n.service = New(Config{
		Self: dispatch.DaemonID{Name: n.name, Incarnation: fmt.Sprintf("i%d", n.epoch)}, Zone: n.zone,
		FirstIncarnation: n.epoch == 1, Keeper: cfg, Peers: simPeers{sim: s, from: n},
	})
	n.service.keeper.votesWithoutMemory = s.variant.votesWithoutMemory
	n.service.home.forgetsWatermark = s.variant.forgetsWatermark
	n.service.ignoresRefusals = s.variant.ignoresRefusals
	n.service.SetMembers(s.members)
}

// kill replaces a daemon by a new incarnation without memory.
func (s *sim) kill(n *simNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(n)
}

func (s *sim) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.intn(int(d))) }

func (s *sim) current(n *simNode) (*Service, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.service, n.epoch
}

// transit sleeps for a message's way and reports whether it arrives.
func (s *sim) transit(from, to *simNode) bool {
	if s.calm {
		time.Sleep(time.Millisecond)
		return true
	}
	delay := s.upTo(20 * time.Millisecond)
	if s.intn(10) == 0 {
		delay = s.upTo(3 * time.Second)
	}
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return from.zone == to.zone || !s.cut[from.zone] && !s.cut[to.zone] && s.rng.IntN(50) != 0
}

type simPeers struct {
	sim  *sim
	from *simNode
}

var errNoReply = errors.New("no reply")

// call delivers a message, also after its sender gave up.
func call[R any](ctx context.Context, p simPeers, daemon string, handle func(*Service) R) (R, error) {
	var to *simNode
	for _, n := range p.sim.nodes {
		if n.name == daemon {
			to = n
		}
	}
	ch := make(chan R, 1)
	go func() {
		if !p.sim.transit(p.from, to) {
			return
		}
		service, _ := p.sim.current(to)
		reply := handle(service)
		if p.sim.transit(to, p.from) {
			ch <- reply
		}
	}()
	select {
	case r := <-ch:
		return r, nil
	case <-ctx.Done():
		var none R
		return none, errNoReply
	}
}

func (p simPeers) Begin(ctx context.Context, daemon string, r BeginRequest) (BeginReply, error) {
	return call(ctx, p, daemon, func(s *Service) BeginReply { return s.HandleBegin(r) })
}

func (p simPeers) Finish(ctx context.Context, daemon string, r FinishRequest) error {
	_, err := call(ctx, p, daemon, func(s *Service) bool { s.HandleFinish(r); return true })
	return err
}

func (p simPeers) Lookup(ctx context.Context, daemon string, r LookupRequest) (LookupReply, error) {
	return call(ctx, p, daemon, func(s *Service) LookupReply { return s.HandleLookup(ctx, r) })
}

func (p simPeers) Hold(ctx context.Context, daemon string, r HoldRequest) error {
	err, lost := call(ctx, p, daemon, func(s *Service) error { return s.HandleHold(r) })
	if lost != nil {
		return lost
	}
	return err
}

func (p simPeers) Inherit(ctx context.Context, daemon string, r InheritRequest) (InheritReply, error) {
	return call(ctx, p, daemon, func(s *Service) InheritReply { return s.HandleInherit(r) })
}

// restart stops a daemon in order: it hands its records over, and its next
// incarnation claims them while it already works.
func (s *sim) restart(n *simNode) {
	peers := simPeers{sim: s, from: n}
	old, epoch := s.current(n)
	// A failed hand-over makes the successor abstain.
	_ = old.HandOver(context.Background(), peers)
	s.mu.Lock()
	if n.epoch != epoch {
		s.mu.Unlock()
		return
	}
	s.start(n)
	service := n.service
	s.mu.Unlock()
	if s.variant.unsealed {
		old.mu.Lock()
		old.sealed = false
		old.mu.Unlock()
		s.mu.Lock()
		n.service = old
		s.mu.Unlock()
		time.Sleep(s.upTo(3 * time.Second))
		s.mu.Lock()
		n.service = service
		s.mu.Unlock()
	}
	if service.Inherit(context.Background(), peers) == nil {
		if s.variant.endsAbstention {
			service.mu.Lock()
			service.keeper.abstainUntil = time.Time{}
			service.mu.Unlock()
		}
		s.mu.Lock()
		s.inherited++
		s.mu.Unlock()
	}
}

func (s *sim) breach(format string, args ...any) {
	s.breaches = append(s.breaches, fmt.Sprintf(format, args...))
}

func (s *sim) ran(id string, received time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.ranFor[id] = received
	if s.runs[id] > 1 {
		s.breach("%s ran %d times", id, s.runs[id])
	}
	if said := s.covered[id]; !said.IsZero() && !received.After(said) {
		s.breach("%s ran after not-run was said, by an attempt that arrived %s before", id, said.Sub(received))
	}
}

func (s *sim) saidNotRun(id string, coveredUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notRun++
	if s.runs[id] > 0 && !s.ranFor[id].After(coveredUntil) {
		s.breach("%s was said not to have run after it ran", id)
	}
	s.covered[id] = coveredUntil
}

// attempt is one send of an id to one daemon.
func (s *sim) attempt(n *simNode, id string) {
	service, epoch := s.current(n)
	alive := func() bool {
		_, now := s.current(n)
		return now == epoch
	}
	c := &Claim{ID: id, Digest: NewDigest("t", "q", []byte(id)), Hold: time.Minute, Received: time.Now()}
	if s.intn(4) == 0 {
		time.Sleep(s.upTo(5 * time.Second)) // the origin is frozen
	}
	if !alive() {
		return
	}
	if s.intn(12) == 0 {
		s.checkUnseen(service, c)
		return
	}
	if s.intn(8) == 0 {
		before := time.Now()
		if service.MayRefuse(context.Background(), c) && alive() {
			s.saidNotRun(id, before)
		}
		return
	}
	d := beginAndJoin(service, c)
	if !alive() {
		return
	}
	switch d.Verdict {
	case Proceed:
		s.proceed(service, c, alive)
	case Superseded:
		s.saidNotRun(id, c.Received)
	default:
		s.told(id, d.Answer)
	}
}

// beginAndJoin begins, and waits for other attempts as an origin does.
func beginAndJoin(service *Service, c *Claim) Decision {
	for range 4 {
		d := service.Begin(context.Background(), c)
		if d.Verdict != Running {
			return d
		}
		d = service.Await(context.Background(), c, 10*time.Second)
		if d.Verdict != Absent {
			return d
		}
	}
	return Decision{Verdict: Unknown}
}

func (s *sim) told(id string, a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a == nil {
		s.unknown++
		return
	}
	s.answered++
	if string(a.Body) != id || s.runs[id] != 1 {
		s.breach("%s was given the answer %q after %d runs", id, a.Body, s.runs[id])
	}
}

func (s *sim) proceed(service *Service, c *Claim, alive func() bool) {
	time.Sleep(s.upTo(2 * time.Second)) // the wait for a slot
	if !alive() {
		return
	}
	ctx := context.Background()
	if s.intn(3) == 0 {
		before := time.Now()
		service.Finish(ctx, c, ResultNotRun, nil)
		if alive() {
			s.saidNotRun(c.ID, before)
		}
		return
	}
	s.ran(c.ID, c.Received)
	time.Sleep(s.upTo(2 * time.Second)) // the run
	if !alive() {
		return
	}
	if !s.calm && s.intn(5) == 0 {
		service.Finish(ctx, c, ResultUnknown, nil)
		return
	}
	service.Finish(ctx, c, ResultAnswered, &Answer{Status: 200, Body: []byte(c.ID)})
	s.told(c.ID, &Answer{Body: []byte(c.ID)})
}

// faults kills daemons, which restart without memory, and cuts zones off.
func (s *sim) faults(until time.Time) {
	pause, kinds := 4*time.Second, 4
	if s.variant.churn {
		pause, kinds = time.Second, 2
	}
	for time.Now().Before(until) {
		time.Sleep(s.upTo(pause))
		n := s.nodes[s.intn(len(s.nodes))]
		switch s.intn(kinds) {
		case 0:
			s.kill(n)
			continue
		case 1:
			s.restart(n)
			continue
		}
		s.mu.Lock()
		s.cut[n.zone] = !s.cut[n.zone]
		s.mu.Unlock()
	}
}
