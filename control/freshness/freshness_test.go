package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chain is a leader, relays and a daemon whose clocks drift within the bound.
// The version in force rises; questions and answers are delayed on each hop.
type chain struct {
	rng     *rand.Rand
	now     time.Duration // real time
	version uint64
	risen   []time.Duration // real time at which each version was committed
	leases  []*Lease
}

func newChain(seed uint64) *chain {
	c := &chain{rng: rand.New(rand.NewPCG(seed, 0)), risen: []time.Duration{0}}
	c.now = time.Minute
	for range 4 {
		rate := 1 + float64(c.rng.IntN(3)-1)/DriftDivisor
		c.leases = append(c.leases, NewLease("c", Window, func() time.Duration {
			return time.Duration(float64(c.now) * rate)
		}))
	}
	return c
}

func (c *chain) pause() {
	c.now += []time.Duration{0, time.Millisecond, 40 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second}[c.rng.IntN(5)]
}

// step performs one random action: a commit, a confirmation, or one hop.
func (c *chain) step() {
	if c.rng.IntN(4) == 0 {
		c.version++
		c.risen = append(c.risen, c.now)
	}
	i := c.rng.IntN(len(c.leases))
	asked := c.leases[i].clock()
	if c.rng.IntN(2) == 0 {
		c.pause()
	}
	if i == 0 {
		version := c.version // read at the end of the round's start
		c.leases[0].Confirm(version, asked)
		return
	}
	v, ok := c.leases[i-1].Vouch()
	c.pause()
	if ok {
		c.leases[i].Learn(v, asked)
	}
}

// check reports whether every fresh lease is right: the version that a daemon
// has was in force at some time within the window.
func (c *chain) check() bool {
	for have := range c.version + 1 {
		if have == c.version {
			return true
		}
		superseded := c.risen[have+1]
		for _, l := range c.leases {
			if l.Fresh(have) && c.now-superseded > Window {
				return false
			}
		}
	}
	return true
}

func (c *chain) run(steps int) bool {
	for range steps {
		c.step()
		if !c.check() {
			return false
		}
		if c.rng.IntN(3) == 0 {
			c.now += Window - time.Duration(c.rng.IntN(8))*time.Millisecond
			if !c.check() {
				return false
			}
		}
	}
	return true
}

func TestFreshIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChain(rapid.Uint64().Draw(t, "seed"))
		if !c.run(rapid.IntRange(10, 300).Draw(t, "steps")) {
			t.Fatalf("a daemon is fresh at %s with a version superseded longer ago than the window", c.now)
		}
	})
}

func TestCheckerCatchesEachBreach(t *testing.T) {
	for name, off := range map[string]func(*Lease){
		"transit": func(l *Lease) { l.ignoreTransit = true },
		"drift":   func(l *Lease) { l.ignoreDrift = true },
	} {
		caught := -1
		for seed := range 2_000 {
			c := newChain(uint64(seed))
			for _, l := range c.leases {
				off(l)
			}
			if !c.run(300) {
				caught = seed
				break
			}
		}
		t.Logf("%s off: breach with seed %d", name, caught)
		if caught < 0 {
			t.Errorf("%s off: no breach found", name)
		}
	}
}

func TestPausedProcessIsStaleUntilItLearnsAgain(t *testing.T) {
	now := time.Duration(0)
	l := NewLease("c", 0, func() time.Duration { return now })
	if l.Fresh(9) {
		t.Fatal("fresh without a vouch")
	}
	v := Vouch{Cluster: "c", Version: 3, Age: 300 * time.Millisecond}
	if !l.Learn(v, 0) || !l.Fresh(3) || l.Fresh(2) {
		t.Fatal("a vouch for version 3 does not cover just versions from 3 on")
	}
	now = time.Second
	l.Learn(Vouch{Cluster: "c", Version: 4}, now)
	if !l.Fresh(3) || !l.Fresh(4) {
		t.Fatal("a newer version ends an older vouch at once")
	}
	if got, ok := l.Vouch(); !ok || got.Version != 4 || got.Age <= 0 {
		t.Fatalf("passed on %+v", got)
	}
	now = time.Minute
	if l.Fresh(4) {
		t.Fatal("fresh after a pause")
	}
	if l.Learn(v, time.Second) || l.Learn(Vouch{Cluster: "d"}, now) || l.Learn(Vouch{Cluster: "c", Age: -1}, now) || l.Learn(v, now+1) {
		t.Fatal("a useless vouch was learned")
	}
	if _, ok := l.Vouch(); ok {
		t.Fatal("an old vouch was passed on")
	}
}

func TestVouchesAreBounded(t *testing.T) {
	l := NewLease("c", 0, func() time.Duration { return time.Second })
	for i := range 100 {
		l.Learn(Vouch{Cluster: "c", Version: uint64(i), Age: time.Duration(200-i) * time.Millisecond}, time.Second)
	}
	if len(l.vouches) > maxVouches || !l.Fresh(99) {
		t.Fatalf("%d vouches kept", len(l.vouches))
	}
}
