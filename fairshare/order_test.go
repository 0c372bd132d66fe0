package fairshare

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// run is a run that occupies a slot of the simulated server.
type run struct {
	team  string
	ends  time.Duration
	began time.Duration
}

// server simulates identical slots that are assigned to the team returned by
// Order.Next.
type server struct {
	order    *Order
	slots    int
	now      time.Duration
	running  []run
	received map[string]time.Duration
	length   func(team string) time.Duration
	expected time.Duration
}

func newServer(slots int, length func(string) time.Duration) *server {
	return &server{
		order:    NewOrder(0),
		slots:    slots,
		received: make(map[string]time.Duration),
		length:   length,
		expected: 50 * time.Millisecond,
	}
}

// runUntil runs the server until the given time.
func (s *server) runUntil(end time.Duration) {
	for {
		for len(s.running) < s.slots {
			team, ok := s.order.Next()
			if !ok {
				break
			}
			s.order.Start(team, s.expected)
			s.running = append(s.running, run{team, s.now + s.length(team), s.now})
		}
		next := -1
		for i, r := range s.running {
			if next < 0 || r.ends < s.running[next].ends {
				next = i
			}
		}
		if next < 0 || s.running[next].ends > end {
			s.now = end
			return
		}
		r := s.running[next]
		s.running = append(s.running[:next], s.running[next+1:]...)
		s.now = r.ends
		s.received[r.team] += r.ends - r.began
		s.order.Finish(r.team, s.expected, r.ends-r.began)
	}
}

// shareError returns the fraction of all slot time that went to the wrong team: half
// the sum of the absolute differences between each team's received and weighted
// fraction.
func (s *server) shareError(weights map[string]float64) float64 {
	var sumTime, sumWeight float64
	for team, w := range weights {
		sumTime += s.received[team].Seconds()
		sumWeight += w
	}
	wrong := 0.0
	for team, w := range weights {
		wrong += math.Abs(s.received[team].Seconds()/sumTime - w/sumWeight)
	}
	return wrong / 2
}

// randomLength returns a source of run lengths from 10 to 89 ms.
func randomLength(seed uint64) func(string) time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return func(string) time.Duration {
		return time.Duration(10+rnd.IntN(80)) * time.Millisecond
	}
}

// TestOrderShares keeps all teams waiting and compares the slot time that they
// received with their weights.
func TestOrderShares(t *testing.T) {
	many := make(map[string]float64)
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range 190 {
		many[fmt.Sprint("team", i)] = float64(1 + rnd.IntN(20))
	}
	uneven := func(team string) time.Duration {
		if team == "slow" {
			return time.Second
		}
		return 10 * time.Millisecond
	}
	cases := []struct {
		name    string
		slots   int
		weights map[string]float64
		length  func(string) time.Duration
		most    float64 // share error
	}{
		{"190 teams", 96, many, randomLength(1), 0.02},
		{"runs 100 times as long", 8, map[string]float64{"slow": 1, "fast": 1}, uneven, 0.03},
		{"a tenth of a slot", 10, map[string]float64{"small": 1, "large": 100}, randomLength(7), 0.005},
	}
	for _, c := range cases {
		s := newServer(c.slots, c.length)
		for _, team := range slices.Sorted(maps.Keys(c.weights)) {
			s.order.SetWeight(team, c.weights[team])
			s.order.SetWaiting(team, true)
		}
		s.runUntil(2 * time.Minute)
		if e := s.shareError(c.weights); e > c.most {
			t.Errorf("%s: share error %.4f, want at most %.4f", c.name, e, c.most)
		}
	}
}

// TestOrderIdleEarnsNoCredit gives all slots to one team for two minutes. When the
// other team returns, it must reach its half of the slots and not exceed it to make
// up for its idle time.
func TestOrderIdleEarnsNoCredit(t *testing.T) {
	s := newServer(40, randomLength(3))
	s.order.SetWeight("busy", 1)
	s.order.SetWeight("idle", 1)
	s.order.SetWaiting("busy", true)
	s.runUntil(2 * time.Minute)
	s.order.SetWaiting("idle", true)
	clear(s.received)
	s.runUntil(2*time.Minute + time.Second)
	idle := s.received["idle"].Seconds() / (s.received["idle"] + s.received["busy"]).Seconds()
	if idle < 0.45 || idle > 0.55 {
		t.Fatalf("the returning team got %.3f of the first second, want about half", idle)
	}
}

func TestOrderWorkConserving(t *testing.T) {
	s := newServer(4, randomLength(5))
	s.order.SetWeight("only", 1)
	s.order.SetWeight("absent", 1000)
	s.order.SetWaiting("only", true)
	s.runUntil(10 * time.Second)
	if got := s.received["only"]; got < 39*time.Second {
		t.Fatalf("the only waiting team received %s of 40s", got)
	}
}

func TestOrderRemoveWhileOthersWait(t *testing.T) {
	o := NewOrder(0)
	for _, team := range []string{"a", "b", "c"} {
		o.SetWeight(team, 1)
		o.SetWaiting(team, true)
	}
	o.Remove("a")
	o.Remove("unknown")
	if next, ok := o.Next(); !ok || next != "b" || o.Len() != 2 || o.ActiveWeight() != 2 {
		t.Fatalf("next %q %v, %d teams of weight %g", next, ok, o.Len(), o.ActiveWeight())
	}
	o.SetWaiting("b", false)
	o.SetWaiting("c", false)
	if next, ok := o.Next(); ok || o.ActiveWeight() != 0 {
		t.Fatalf("next %q, weight %g, want nothing active", next, o.ActiveWeight())
	}
}

func BenchmarkOrder190Teams(b *testing.B) {
	o := NewOrder(0)
	for i := range 190 {
		team := fmt.Sprint("team", i)
		o.SetWeight(team, float64(1+i%20))
		o.SetWaiting(team, true)
	}
	b.ReportAllocs()
	for b.Loop() {
		team, _ := o.Next()
		o.Start(team, time.Millisecond)
		o.Finish(team, time.Millisecond, time.Millisecond)
	}
}

func BenchmarkMaxMin190Teams(b *testing.B) {
	demands := make([]Demand, 190)
	for i := range demands {
		demands[i] = Demand{Amount: float64(i % 40), Weight: float64(1 + i%20)}
	}
	b.ReportAllocs()
	for b.Loop() {
		MaxMin(1000, demands)
	}
}

func BenchmarkDominantMaxMin190Teams(b *testing.B) {
	demands := make([]TaskDemand, 190)
	for i := range demands {
		demands[i] = TaskDemand{
			Task:   Resources{Processors: float64(1 + i%8), Memory: float64(1 + i%5)},
			Tasks:  float64(i % 50),
			Weight: float64(1 + i%20),
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		DominantMaxMin(Resources{Processors: 3200, Memory: 6400}, demands)
	}
}
