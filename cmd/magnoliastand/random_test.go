package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/standin"
)

// Environment of long random runs; CI uses the defaults.
const (
	envSeed  = "MAGNOLIASTAND_SEED"
	envSteps = "MAGNOLIASTAND_STEPS"
)

// randomLimit is the team's upper limit in random runs.
const randomLimit = 20

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// TestRandomFaults runs load of all kinds while a seeded sequence of faults
// hits the daemons: kills, freezes, graceful restarts, cuts of zones and of
// single daemons, endpoints that leave, fail or are killed, keys granted and
// withdrawn, limits changed. Invariants are asserted inside the daemons; what
// callers were told is compared with what the endpoints ran.
func TestRandomFaults(t *testing.T) {
	seed := uint64(envInt(envSeed, 1))
	steps := envInt(envSteps, 6)
	rng := rand.New(rand.NewPCG(seed, seed))
	c := newCluster(t, testZones, 2)
	key := c.setUp(randomLimit)
	c.startEndpoints(2, quickRun)
	duration := time.Duration(steps+1) * 3 * time.Second
	waits := []func() *standin.Report{
		c.mixedLoad(key, duration, standin.IDNone, seed),
		c.mixedLoad(key, duration, standin.IDHome, seed+1),
		c.mixedLoad(key, duration, standin.IDOwn, seed+2),
	}
	for step := range steps {
		time.Sleep(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
		c.randomFault(rng, step)
	}
	c.awaitControlledArbiters()
	reports := make([]*standin.Report, 0, len(waits))
	for _, wait := range waits {
		reports = append(reports, wait())
	}
	s := c.check(reports...)
	if s.Answered == 0 {
		t.Error("nothing was answered")
	}
	if peak := c.meter.Peak("schools"); peak > randomLimit {
		t.Errorf("team schools had %d requests running, its limit is %d", peak, randomLimit)
	}
	c.awaitReady(1)
	c.eventually("keyed work after the faults", func() bool {
		status, _, _ := post(t, c.members[len(c.members)-1].callers, "reserve", key)
		return status == http.StatusOK
	})
}

// randomFault brings about one fault and mends it.
func (c *cluster) randomFault(rng *rand.Rand, step int) {
	c.t.Helper()
	m := c.members[rng.IntN(len(c.members))]
	pause := time.Duration(200+rng.IntN(3000)) * time.Millisecond
	switch rng.IntN(8) {
	case 0:
		c.t.Logf("step %d: kill %s for %s", step, m.name, pause)
		c.kill(m)
		time.Sleep(pause)
		c.start(m)
	case 1:
		c.t.Logf("step %d: freeze %s for %s", step, m.name, pause)
		c.signal(m, syscall.SIGSTOP)
		time.Sleep(pause)
		c.signal(m, syscall.SIGCONT)
	case 2:
		c.t.Logf("step %d: restart %s", step, m.name)
		if err := c.stop(m); err != nil {
			c.t.Errorf("graceful shutdown of %s: %v", m.name, err)
		}
		c.start(m)
	case 3:
		c.t.Logf("step %d: cut zone %s for %s", step, m.zone, pause)
		mend := c.cutZone(m.zone)
		time.Sleep(pause)
		mend()
	case 4:
		other := c.members[rng.IntN(len(c.members))]
		c.t.Logf("step %d: cut %s from %s for %s", step, m.name, other.name, pause)
		c.cut(m, other.name)
		time.Sleep(pause)
		c.cut(m)
	case 5:
		e := c.endpoints[rng.IntN(len(c.endpoints))]
		c.t.Logf("step %d: faulty endpoint for %s", step, pause)
		e.SetFaults(standin.Faults{Refuse: 0.2, Crossed: 0.1, Short: 0.1, Doubled: 0.1, Late: 0.1, LateBy: api.Duration(time.Second), Cut: 0.1, Fail: 0.2})
		time.Sleep(pause)
		e.SetFaults(standin.Faults{})
	case 7:
		e := c.endpoints[rng.IntN(len(c.endpoints))]
		c.t.Logf("step %d: an endpoint leaves", step)
		if err := e.Leave(context.Background()); err != nil {
			c.t.Logf("leave: %v", err)
		}
	case 6:
		c.t.Logf("step %d: kill %s and cut zone of %s", step, m.name, m.name)
		other := c.members[rng.IntN(len(c.members))]
		mend := c.cutZone(other.zone)
		c.kill(m)
		time.Sleep(pause)
		c.start(m)
		time.Sleep(time.Second)
		mend()
	}
}
