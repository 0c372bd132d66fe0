package relay_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
	"magnoliastand.example/peerlink/peerlinktest"
	"magnoliastand.example/platform"
	"magnoliastand.example/relay"
	"magnoliastand.example/workload"
)

// recorder answers orders and keeps an account of them.
type recorder struct {
	mu     sync.Mutex
	orders []string
	err    error
	lists  *platform.Lists
	block  chan struct{}
	under  int
	most   int
}

func (r *recorder) note(format string, args ...any) error {
	r.mu.Lock()
	r.orders = append(r.orders, fmt.Sprintf(format, args...))
	r.under++
	r.most = max(r.most, r.under)
	err, block := r.err, r.block
	r.mu.Unlock()
	if block != nil {
		<-block
	}
	r.mu.Lock()
	r.under--
	r.mu.Unlock()
	return err
}

func (r *recorder) set(err error) {
	r.mu.Lock()
	r.err = err
	r.mu.Unlock()
}

func (r *recorder) clear() {
	r.mu.Lock()
	r.orders = nil
	r.mu.Unlock()
}

func (r *recorder) account() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.orders...)
}

func (r *recorder) Start(_ context.Context, e platform.Endpoint, o *platform.StartOrder) (workload.Millis, error) {
	return 77, r.note("start %s %s run %d fence %d until %d payload %s checkpoint %s ticket %s",
		e.ID, o.Task, o.Run, o.Fence, o.Until, o.Payload, o.Checkpoint, o.Ticket)
}

func (r *recorder) Stop(_ context.Context, e platform.Endpoint, task workload.TaskRef, run int64, fence uint64) error {
	return r.note("stop %s %s run %d fence %d", e.ID, task, run, fence)
}

func (r *recorder) Pace(_ context.Context, e platform.Endpoint, task workload.TaskRef, run int64, percent int, fence uint64) error {
	return r.note("pace %s %s run %d percent %d fence %d", e.ID, task, run, percent, fence)
}

func (r *recorder) Hold(_ context.Context, e platform.Endpoint, o *platform.HoldOrder) (*platform.Lists, error) {
	return r.lists, r.note("hold %s fence %d until %d acked %d wait %d", e.ID, o.Fence, o.Until, o.Acked, o.Wait)
}

// fleet is a leader with agents on other daemons, connected by real links.
type fleet struct {
	t       *testing.T
	relay   *relay.Relay
	direct  *recorder
	leader  *peerlink.Node
	agents  map[string]*recorder // by availability zone
	names   map[string]string
	agentOf map[string]*relay.Agent
	nodes   map[string]*peerlink.Node
	mu      sync.Mutex
	peers   []relay.Peer
}

// newFleet makes a leader in zone "a" and an agent in each of the zones.
func newFleet(t *testing.T, zones ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, direct: &recorder{}, agents: map[string]*recorder{}, names: map[string]string{}, agentOf: map[string]*relay.Agent{}, nodes: map[string]*peerlink.Node{}}
	f.leader = peerlinktest.NewNode(t, "a")
	name := f.leader.Self().Name
	f.peers = append(f.peers, relay.Peer{Name: name, Zone: "a"})
	for _, zone := range zones {
		node := peerlinktest.NewNode(t, zone)
		agentName := node.Self().Name
		f.agents[zone], f.names[zone], f.nodes[zone] = &recorder{}, agentName, node
		agent := relay.NewAgent(node, f.agents[zone], zerolog.Nop())
		t.Cleanup(agent.Close)
		f.agentOf[zone] = agent
		f.peers = append(f.peers, relay.Peer{Name: agentName, Zone: zone})
	}
	f.relay = relay.New(relay.Config{
		Link: f.leader, Direct: f.direct, Self: relay.Peer{Name: name, Zone: "a"}, Log: zerolog.Nop(), Metrics: relay.NewMetrics(prometheus.NewRegistry()),
		Peers: func() []relay.Peer { f.mu.Lock(); defer f.mu.Unlock(); return append([]relay.Peer(nil), f.peers...) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.relay.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for zone := range f.agents {
		f.until("the agent of "+zone+" is used", func() bool {
			_ = f.stop("warm-up", zone)
			return len(f.agents[zone].account()) > 0
		})
	}
	f.direct.clear()
	for _, r := range f.agents {
		r.clear()
	}
	return f
}

func (f *fleet) until(what string, holds func() bool) {
	f.t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("not within 30 s: %s", what)
}

// callTime is far above what a call takes on a busy machine.
const callTime = time.Second

func (f *fleet) stop(worker, zone string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	return f.relay.Stop(ctx, platform.Endpoint{ID: worker, Address: "10.0.0.1:1", Zone: zone}, workload.TaskRef{Job: "j"}, 1, 3)
}

func TestOrdersGoThroughTheAgentOfTheZone(t *testing.T) {
	f := newFleet(t, "b", "c")
	ref := workload.TaskRef{Job: "j", Occurrence: 1, Step: 2, Index: 3}
	f.agents["c"].lists = &platform.Lists{
		Clock: 9, Incarnation: 8, Unreadable: 1,
		Running: []platform.RunningTask{{Task: ref, Run: 4, Percent: 50, Tail: 6}},
		Ended:   []platform.EndedTask{{Number: 5, Task: ref, Run: 3, Outcome: workload.OutcomeDone, Checkpoint: "x"}},
	}
	e := platform.Endpoint{ID: "w", Address: "10.0.0.1:1", Zone: "c"}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	clock, err := f.relay.Start(ctx, e, &platform.StartOrder{Task: ref, Run: 4, Payload: "p", Until: 6, Fence: 7, Checkpoint: "c", Ticket: "t"})
	if err != nil || clock != 77 {
		t.Errorf("start: %v, %v", clock, err)
	}
	if err := f.relay.Pace(ctx, e, ref, 4, 30, 7); err != nil {
		t.Error(err)
	}
	if err := f.relay.Stop(ctx, e, ref, 4, 7); err != nil {
		t.Error(err)
	}
	lists, err := f.relay.Hold(ctx, e, &platform.HoldOrder{Until: 1, Fence: 7, Acked: 2, Wait: 3})
	if err != nil {
		t.Fatal(err)
	}
	if lists.Clock != 9 || lists.Incarnation != 8 || lists.Unreadable != 1 || lists.Running[0] != f.agents["c"].lists.Running[0] || lists.Ended[0] != f.agents["c"].lists.Ended[0] {
		t.Errorf("lists changed on their way: %+v", lists)
	}
	want := "start w j.1.2.3 run 4 fence 7 until 6 payload p checkpoint c ticket t;pace w j.1.2.3 run 4 percent 30 fence 7;" +
		"stop w j.1.2.3 run 4 fence 7;hold w fence 7 until 1 acked 2 wait 3"
	if got := strings.Join(f.agents["c"].account(), ";"); got != want {
		t.Errorf("agent carried out\n%s\nwant\n%s", got, want)
	}
	if n := len(f.agents["b"].account()); n != 0 {
		t.Errorf("the agent of another zone carried out %d orders", n)
	}
}

func TestErrorsKeepTheirMeaning(t *testing.T) {
	f := newFleet(t, "b")
	for name, tc := range map[string]struct {
		err   error
		holds func(error) bool
	}{
		"refusal": {&platform.Refusal{Status: 409, Reason: platform.ReasonRoom}, func(err error) bool {
			var refusal *platform.Refusal
			return errors.As(err, &refusal) && refusal.Reason == platform.ReasonRoom && refusal.Status == 409
		}},
		"busy":              {errors.Wrap(platform.ErrBusy, "429"), func(err error) bool { return errors.Is(err, platform.ErrBusy) }},
		"other incarnation": {platform.ErrOtherIncarnation, func(err error) bool { return errors.Is(err, platform.ErrOtherIncarnation) }},
		"not sent":          {errors.Wrap(platform.ErrNotSent, "dial"), func(err error) bool { return errors.Is(err, platform.ErrNotSent) }},
		"no answer": {errors.New("connection reset"), func(err error) bool {
			return errors.Is(err, relay.ErrNoAnswer) && !errors.Is(err, platform.ErrNotSent) && !errors.Is(err, platform.ErrBusy)
		}},
	} {
		f.agents["b"].set(tc.err)
		if err := f.stop("worker of "+name, "b"); !tc.holds(err) {
			t.Errorf("%s arrives as %v", name, err)
		}
	}
}

func TestWithoutAgentsOrdersGoOutDirectly(t *testing.T) {
	f := newFleet(t)
	if err := f.stop("w", "b"); err != nil {
		t.Fatal(err)
	}
	if n := len(f.direct.account()); n != 1 {
		t.Errorf("%d direct orders, want 1", n)
	}
}

func TestTheLeadersOwnZoneIsServedDirectlyWithoutAnAgentThere(t *testing.T) {
	f := newFleet(t, "b")
	if err := f.stop("w", "a"); err != nil {
		t.Fatal(err)
	}
	if len(f.direct.account()) != 1 || len(f.agents["b"].account()) != 0 {
		t.Errorf("direct %v, agent %v", f.direct.account(), f.agents["b"].account())
	}
}

// TestAnOrderAtASilentAgentIsLeftOpen proves that a lost batch is never taken for
// an order that did not leave, and that the next order takes another path.
func TestAnOrderAtASilentAgentIsLeftOpen(t *testing.T) {
	f := newFleet(t, "b")
	f.nodes["b"].SetBlocked(func(peerlink.Identity) bool { return true })
	err := f.stop("w", "b")
	if !errors.Is(err, relay.ErrNoAnswer) || errors.Is(err, platform.ErrNotSent) {
		t.Errorf("order at a silent agent: %v", err)
	}
	if err := f.stop("w2", "b"); err != nil {
		t.Errorf("next order: %v", err)
	}
	if n := len(f.direct.account()); n != 1 {
		t.Errorf("%d direct orders, want 1", n)
	}
}

// TestAWorkerOutOfAnAgentsReachIsCalledOnAnotherPath covers partitions that cut an
// agent from a worker, but not the leader.
func TestAWorkerOutOfAnAgentsReachIsCalledOnAnotherPath(t *testing.T) {
	f := newFleet(t, "b")
	f.agents["b"].set(errors.Wrap(platform.ErrNotSent, "dial"))
	if err := f.stop("w", "b"); !errors.Is(err, platform.ErrNotSent) {
		t.Fatalf("first order: %v", err)
	}
	if err := f.stop("w", "b"); err != nil {
		t.Errorf("second order: %v", err)
	}
	if n := len(f.direct.account()); n != 1 {
		t.Errorf("%d direct orders, want 1", n)
	}
	if err := f.stop("other", "b"); !errors.Is(err, platform.ErrNotSent) {
		t.Errorf("another worker was led past the agent: %v", err)
	}
}

// TestACancelledOrderEndsAtOnce keeps a stopping leader from waiting for agents.
func TestACancelledOrderEndsAtOnce(t *testing.T) {
	f := newFleet(t, "b")
	f.agents["b"].block = make(chan struct{})
	t.Cleanup(func() { close(f.agents["b"].block) })
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	done := make(chan error, 1)
	go func() {
		done <- f.relay.Stop(ctx, platform.Endpoint{ID: "w", Zone: "b"}, workload.TaskRef{Job: "j"}, 1, 3)
	}()
	f.until("the agent has the order", func() bool { return len(f.agents["b"].account()) > 0 })
	cancel()
	if err := <-done; !errors.Is(err, relay.ErrNoAnswer) {
		t.Errorf("cancelled order: %v", err)
	}
}

// TestOrdersUnderWayAreBounded keeps a burst of starts from taking an agent's processor.
func TestOrdersUnderWayAreBounded(t *testing.T) {
	const orders, bound = 200, 48
	f := newFleet(t, "b")
	gate := make(chan struct{})
	f.agents["b"].block = gate
	var wg sync.WaitGroup
	failed := make(chan error, orders)
	for i := range orders {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if err := f.relay.Stop(ctx, platform.Endpoint{ID: fmt.Sprint(i), Zone: "b"}, workload.TaskRef{Job: "j"}, 1, 3); err != nil {
				failed <- err
			}
		})
	}
	f.until("the bound is reached", func() bool { return len(f.agents["b"].account()) == bound })
	close(gate)
	wg.Wait()
	close(failed)
	for err := range failed {
		t.Error(err)
	}
	f.agents["b"].mu.Lock()
	defer f.agents["b"].mu.Unlock()
	if f.agents["b"].most > bound || len(f.agents["b"].orders) != orders {
		t.Errorf("%d orders under way at most, %d carried out", f.agents["b"].most, len(f.agents["b"].orders))
	}
}

// TestADrainingAgentFinishesItsOrders keeps a planned stop from leaving orders open.
func TestADrainingAgentFinishesItsOrders(t *testing.T) {
	f := newFleet(t, "b")
	gate := make(chan struct{})
	f.agents["b"].block = gate
	under := make(chan error, 1)
	go func() { under <- f.stop("w1", "b") }()
	f.until("the agent has the order", func() bool { return len(f.agents["b"].account()) > 0 })
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		f.agentOf["b"].Drain(context.Background())
	}()
	f.until("the agent drains", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		return f.leader.Call(ctx, f.names["b"], "relay.probe", map[int]int64{1: 0}, nil) != nil
	})
	if err := f.stop("w2", "b"); err != nil && !errors.Is(err, platform.ErrNotSent) {
		t.Errorf("order to a draining agent: %v", err)
	}
	select {
	case <-drained:
		t.Error("drained with an order under way")
	default:
	}
	close(gate)
	<-drained
	if err := <-under; err != nil {
		t.Errorf("order under way: %v", err)
	}
	for _, o := range f.agents["b"].account()[1:] {
		t.Errorf("order taken while draining: %s", o)
	}
	f.until("orders go out directly", func() bool { return f.stop("w3", "b") == nil })
}

// TestAgentsComeAndGo follows the membership.
func TestAgentsComeAndGo(t *testing.T) {
	f := newFleet(t, "b")
	f.mu.Lock()
	f.peers = f.peers[:1]
	f.mu.Unlock()
	f.until("the removed agent gets no orders", func() bool {
		before := len(f.direct.account())
		_ = f.stop("w", "b")
		return len(f.direct.account()) > before
	})
}

// TestUnreadableBatchesAreDropped feeds the handlers what no daemon of ours sends.
func TestUnreadableBatchesAreDropped(t *testing.T) {
	f := newFleet(t, "b")
	f.leader.Notify(f.names["b"], "relay.orders", "no batch")
	f.nodes["b"].Notify(f.peers[0].Name, "relay.outcomes", 17)
	if err := f.stop("w", "b"); err != nil {
		t.Errorf("order after unreadable batches: %v", err)
	}
}
