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

	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/invariant"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	// Tests that disable protections cause violations on purpose; the others
	// compare counts.
	invariant.SetSink(func(invariant.Breach) {})
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	if err := goleak.Find(); err != nil {
		panic(err)
	}
}

// variant changes the simulation, mostly by disabling one protection.
type variant struct {
	abstentionDisabled   bool
	watermarkDisabled    bool
	refusalCheckDisabled bool
	maxEntries           int
	faultFree            bool
	// churn runs three daemons that are killed or restarted about twice a
	// second and never isolated.
	churn bool
	// decidesAfterHandOver lets a daemon continue to decide after its
	// hand-over.
	decidesAfterHandOver bool
	// endsAbstention lets a claimed hand-over end the abstention of the daemon
	// that handed over.
	endsAbstention bool
}

// simNode is one simulated daemon. Each new incarnation replaces its service.
type simNode struct {
	name, zone string
	generation int
	service    *Service
}

// sim runs services on a network that delays, drops and reorders messages, and
// counts the actual runs. Time is that of the synctest bubble.
type sim struct {
	// faultFree means that no message is delayed or lost and every run is
	// answered.
	faultFree bool
	variant   variant
	mu        sync.Mutex
	rng       *rand.Rand
	nodes     []*simNode
	members   []Member
	isolated  map[string]bool // by zone
	runs      map[string]int
	// runArrival is when the attempt that ran an id arrived.
	runArrival map[string]time.Time
	// notRunUntil is the latest arrival of attempts that a "not run" told to a
	// caller applies to, by id.
	notRunUntil map[string]time.Time
	violations  []string
	answered    int
	notRun      int
	unknown     int
	// inherited counts successful hand-overs.
	inherited int
}

var simZones = []string{"za", "zb", "zc"}

func newSim(seed uint64, v variant) *sim {
	s := &sim{
		variant: v, rng: rand.New(rand.NewPCG(seed, seed)), isolated: map[string]bool{},
		runs: map[string]int{}, runArrival: map[string]time.Time{}, notRunUntil: map[string]time.Time{},
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
	n.generation++
	cfg := DefaultStoreConfig()
	if s.variant.maxEntries > 0 {
		cfg.MaxEntries = s.variant.maxEntries
	}
	n.service = New(Config{
		Self: dispatch.DaemonID{Name: n.name, Incarnation: fmt.Sprintf("i%d", n.generation)}, Zone: n.zone,
		FirstIncarnation: n.generation == 1, Store: cfg, Peers: simPeers{sim: s, from: n},
	})
	n.service.acceptor.abstentionDisabled = s.variant.abstentionDisabled
	n.service.home.watermarkDisabled = s.variant.watermarkDisabled
	n.service.refusalCheckDisabled = s.variant.refusalCheckDisabled
	n.service.SetMembers(s.members)
}

// kill replaces a daemon by a new incarnation without records.
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

func (s *sim) randomDuration(d time.Duration) time.Duration { return time.Duration(s.intn(int(d))) }

func (s *sim) current(n *simNode) (*Service, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.service, n.generation
}

// transit sleeps for the delay of a message and reports whether it arrives.
func (s *sim) transit(from, to *simNode) bool {
	if s.faultFree {
		time.Sleep(time.Millisecond)
		return true
	}
	delay := s.randomDuration(20 * time.Millisecond)
	if s.intn(10) == 0 {
		delay = s.randomDuration(3 * time.Second)
	}
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return from.zone == to.zone || !s.isolated[from.zone] && !s.isolated[to.zone] && s.rng.IntN(50) != 0
}

type simPeers struct {
	sim  *sim
	from *simNode
}

var errNoReply = errors.New("no reply")

// call delivers a message even if its sender has given up waiting.
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

// restart shuts a daemon down gracefully: it hands over its records, and its
// next incarnation claims them while it already serves.
func (s *sim) restart(n *simNode) {
	peers := simPeers{sim: s, from: n}
	old, generation := s.current(n)
	// After a failed hand-over the successor abstains.
	_ = old.HandOver(context.Background(), peers)
	s.mu.Lock()
	if n.generation != generation {
		s.mu.Unlock()
		return
	}
	s.start(n)
	service := n.service
	s.mu.Unlock()
	if s.variant.decidesAfterHandOver {
		old.mu.Lock()
		old.sealed = false
		old.mu.Unlock()
		s.mu.Lock()
		n.service = old
		s.mu.Unlock()
		time.Sleep(s.randomDuration(3 * time.Second))
		s.mu.Lock()
		n.service = service
		s.mu.Unlock()
	}
	if service.Inherit(context.Background(), peers) == nil {
		if s.variant.endsAbstention {
			service.mu.Lock()
			service.acceptor.abstainUntil = time.Time{}
			service.mu.Unlock()
		}
		s.mu.Lock()
		s.inherited++
		s.mu.Unlock()
	}
}

func (s *sim) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *sim) recordRun(id string, received time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.runArrival[id] = received
	if s.runs[id] > 1 {
		s.violation("%s ran %d times", id, s.runs[id])
	}
	if coveredUntil := s.notRunUntil[id]; !coveredUntil.IsZero() && !received.After(coveredUntil) {
		s.violation("%s ran after \"not run\" was told, by an attempt that arrived %s earlier", id, coveredUntil.Sub(received))
	}
}

func (s *sim) recordNotRun(id string, coveredUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notRun++
	if s.runs[id] > 0 && !s.runArrival[id].After(coveredUntil) {
		s.violation("%s was told \"not run\" after it ran", id)
	}
	s.notRunUntil[id] = coveredUntil
}

// attempt sends an id to one daemon.
func (s *sim) attempt(n *simNode, id string) {
	service, generation := s.current(n)
	alive := func() bool {
		_, now := s.current(n)
		return now == generation
	}
	c := &Claim{ID: id, Digest: NewDigest("t", "q", []byte(id)), Hold: time.Minute, Received: clock.Now()}
	if s.intn(4) == 0 {
		time.Sleep(s.randomDuration(5 * time.Second)) // the origin is suspended
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
			s.recordNotRun(id, before)
		}
		return
	}
	d := beginAndAwait(service, c)
	if !alive() {
		return
	}
	switch d.Verdict {
	case Proceed:
		s.proceed(service, c, alive)
	case Superseded:
		s.recordNotRun(id, c.Received)
	default:
		s.recordReply(id, d.Answer)
	}
}

// beginAndAwait begins, and waits for other attempts in the same way as an
// origin.
func beginAndAwait(service *Service, c *Claim) Decision {
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

func (s *sim) recordReply(id string, a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a == nil {
		s.unknown++
		return
	}
	s.answered++
	if string(a.Body) != id || s.runs[id] != 1 {
		s.violation("%s got the answer %q after %d runs", id, a.Body, s.runs[id])
	}
}

func (s *sim) proceed(service *Service, c *Claim, alive func() bool) {
	time.Sleep(s.randomDuration(2 * time.Second)) // the wait for a slot
	if !alive() {
		return
	}
	ctx := context.Background()
	if s.intn(3) == 0 {
		before := time.Now()
		service.Finish(ctx, c, ResultNotRun, nil)
		if alive() {
			s.recordNotRun(c.ID, before)
		}
		return
	}
	s.recordRun(c.ID, c.Received)
	time.Sleep(s.randomDuration(2 * time.Second)) // the run
	if !alive() {
		return
	}
	if !s.faultFree && s.intn(5) == 0 {
		service.Finish(ctx, c, ResultUnknown, nil)
		return
	}
	service.Finish(ctx, c, ResultAnswered, &Answer{Status: 200, Body: []byte(c.ID)})
	s.recordReply(c.ID, &Answer{Body: []byte(c.ID)})
}

// faults kills and restarts daemons and isolates zones until the given time.
func (s *sim) faults(until time.Time) {
	pause, kinds := 4*time.Second, 4
	if s.variant.churn {
		pause, kinds = time.Second, 2
	}
	for time.Now().Before(until) {
		time.Sleep(s.randomDuration(pause))
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
		s.isolated[n.zone] = !s.isolated[n.zone]
		s.mu.Unlock()
	}
}
