package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// relayChain simulates a leader, relays and a daemon, with clocks that drift within
// the bound, while the version in force increases. Requests and responses are
// delayed on each hop.
type relayChain struct {
	rng         *rand.Rand
	now         time.Duration // real time
	version     uint64
	committedAt []time.Duration // real time of the commit of each version
	leases      []*Lease
}

func newRelayChain(seed uint64) *relayChain {
	c := &relayChain{rng: rand.New(rand.NewPCG(seed, 0)), committedAt: []time.Duration{0}}
	c.now = time.Minute
	for range 4 {
		rate := 1 + float64(c.rng.IntN(3)-1)/DriftDivisor
		c.leases = append(c.leases, NewLease("c", Window, func() time.Duration {
			return time.Duration(float64(c.now) * rate)
		}))
	}
	return c
}

func (c *relayChain) delay() {
	c.now += []time.Duration{0, time.Millisecond, 40 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second}[c.rng.IntN(5)]
}

// step performs one random action: a confirmation on the leader or a transfer to the
// next node. It may commit a new version first.
func (c *relayChain) step() {
	if c.rng.IntN(4) == 0 {
		c.version++
		c.committedAt = append(c.committedAt, c.now)
	}
	i := c.rng.IntN(len(c.leases))
	asked := c.leases[i].clock()
	if c.rng.IntN(2) == 0 {
		c.delay()
	}
	if i == 0 {
		version := c.version // read after the round has started
		c.leases[0].Confirm(version, asked)
		return
	}
	v, ok := c.leases[i-1].Vouch()
	c.delay()
	if ok {
		c.leases[i].Learn(v, asked)
	}
}

// check reports whether every fresh lease is correct: the version of a daemon with a
// fresh lease was in force at some time within the window.
func (c *relayChain) check() bool {
	for version := range c.version + 1 {
		if version == c.version {
			return true
		}
		superseded := c.committedAt[version+1]
		for _, l := range c.leases {
			if l.Fresh(version) && c.now-superseded > Window {
				return false
			}
		}
	}
	return true
}

func (c *relayChain) run(steps int) bool {
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

// TestFreshIsNeverWrong checks that no lease is fresh for a version that was
// superseded before the window, with random delays and clock drift.
func TestFreshIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRelayChain(rapid.Uint64().Draw(t, "seed"))
		if !c.run(rapid.IntRange(10, 300).Draw(t, "steps")) {
			t.Fatalf("at %s a daemon is fresh with a version that was superseded before the window", c.now)
		}
	})
}

// TestCheckerDetectsDisabledProtections checks that the simulation detects a lease
// that ignores the transit time or the clock drift.
func TestCheckerDetectsDisabledProtections(t *testing.T) {
	for name, disable := range map[string]func(*Lease){
		"transit": func(l *Lease) { l.ignoreTransit = true },
		"drift":   func(l *Lease) { l.ignoreDrift = true },
	} {
		detectedSeed := -1
		for seed := range 2_000 {
			c := newRelayChain(uint64(seed))
			for _, l := range c.leases {
				disable(l)
			}
			if !c.run(300) {
				detectedSeed = seed
				break
			}
		}
		t.Logf("%s disabled: violation detected with seed %d", name, detectedSeed)
		if detectedSeed < 0 {
			t.Errorf("%s disabled: no violation detected", name)
		}
	}
}

func TestPausedProcessIsStaleUntilNextConfirmation(t *testing.T) {
	now := time.Duration(0)
	l := NewLease("c", 0, func() time.Duration { return now })
	if l.Fresh(9) {
		t.Fatal("fresh without a confirmation")
	}
	v := Vouch{Cluster: "c", Version: 3, Age: 300 * time.Millisecond}
	if !l.Learn(v, 0) || !l.Fresh(3) || l.Fresh(2) {
		t.Fatal("a confirmation of version 3 must cover version 3 and newer ones only")
	}
	now = time.Second
	l.Learn(Vouch{Cluster: "c", Version: 4}, now)
	if !l.Fresh(3) || !l.Fresh(4) {
		t.Fatal("a confirmation of a newer version invalidated an older confirmation")
	}
	if got, ok := l.Vouch(); !ok || got.Version != 4 || got.Age <= 0 {
		t.Fatalf("forwarded confirmation %+v", got)
	}
	now = time.Minute
	if l.Fresh(4) {
		t.Fatal("fresh after the process was suspended")
	}
	if l.Learn(v, time.Second) || l.Learn(Vouch{Cluster: "d"}, now) || l.Learn(Vouch{Cluster: "c", Age: -1}, now) || l.Learn(v, now+1) {
		t.Fatal("an invalid or expired confirmation was accepted")
	}
	if _, ok := l.Vouch(); ok {
		t.Fatal("an expired confirmation was forwarded")
	}
}

func TestConfirmationsAreBounded(t *testing.T) {
	l := NewLease("c", 0, func() time.Duration { return time.Second })
	for i := range 100 {
		l.Learn(Vouch{Cluster: "c", Version: uint64(i), Age: time.Duration(200-i) * time.Millisecond}, time.Second)
	}
	if len(l.confirmations) > maxConfirmations || !l.Fresh(99) {
		t.Fatalf("%d confirmations kept", len(l.confirmations))
	}
}
