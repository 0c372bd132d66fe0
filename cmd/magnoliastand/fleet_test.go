package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastand.example/daemon"
	"magnoliastand.example/fleet"
)

// platform is a stand-in for the platform: it carries out what the states of
// instances ask for, and watches the budget on its own.
type platform struct {
	c *cluster
	// budget is the largest number of instances of pool work that may be unavailable.
	budget int
	boots  map[string]int

	mu       sync.Mutex
	worst    int
	rebooted map[string]int
}

func newPlatform(c *cluster, budget int) *platform {
	return &platform{c: c, budget: budget, boots: map[string]int{}, rebooted: map[string]int{}}
}

func (p *platform) boot(id string) string { return fmt.Sprintf("%s-boot-%d", id, p.boots[id]) }

// run carries out one step for each instance at each turn until ctx ends.
func (p *platform) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		m := p.c.members[n%len(p.c.members)]
		var st daemon.FleetStatus
		code, b, err := p.c.operator(m, http.MethodGet, "/v1/instances", "")
		if err != nil || code != http.StatusOK || json.Unmarshal(b, &st) != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		p.watch(st)
		for _, i := range st.Instances {
			p.step(m, i)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *platform) watch(st daemon.FleetStatus) {
	unavailable := 0
	for _, i := range st.Instances {
		if i.Pool == "work" && i.State != fleet.Active {
			unavailable++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.worst = max(p.worst, unavailable)
}

// step does what the state of an instance asks of the platform. A refusal
// means that another step came first.
func (p *platform) step(m *member, i daemon.InstanceStatus) {
	act := func(action, body string) bool {
		code, _, err := p.c.operator(m, http.MethodPost, "/v1/instances/"+i.ID+"/"+action, body)
		return err == nil && code == http.StatusOK
	}
	switch i.State {
	case fleet.Permitted:
		act("begin-drain", "{}")
	case fleet.Draining:
		act("confirm-drained", "{}")
	case fleet.Rebooting:
		p.boots[i.ID]++
		if act("confirm-reboot", `{"boot":"`+p.boot(i.ID)+`"}`) {
			p.mu.Lock()
			p.rebooted[i.ID]++
			p.mu.Unlock()
		}
	case fleet.Joining:
		act("join", `{"pool":"`+i.Pool+`"}`)
	}
}

// TestWaveOverLeaderLoss runs a maintenance wave over all instances of a pool
// while the leader is killed: each instance is rebooted once, and the budget
// holds throughout, seen from outside as well as by the invariant inside.
func TestWaveOverLeaderLoss(t *testing.T) {
	const instances, budget = 9, 2
	c := newCluster(t, testZones, 1)
	c.setUp(20)
	doc := c.document(20) + fmt.Sprintf(`budgets: [{scope: pool, max_unavailable: %d}]
waves: [{name: kernel, pools: [work], canary: 1, max_batch: 4, drain_timeout: 1m, reboot_timeout: 1m, stop_after_failures: 2}]
`, budget)
	c.mustOperator(c.members[0], http.MethodPost, "/v1/document?operation=wave&base="+uintText(c.documentVersion()), doc)
	for n := range instances {
		body := fmt.Sprintf(`{"availability_zone":%q,"rack":"r%d","pool":"work","boot":"boot-0"}`, testZones[n%3], n/3)
		c.mustOperator(c.members[0], http.MethodPut, fmt.Sprintf("/v1/instances/i%d", n), body)
	}
	p := newPlatform(c, budget)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.run(ctx) })
	defer func() {
		cancel()
		wg.Wait()
	}()
	c.eventually("all instances joined", func() bool { return p.count(c, fleet.Active) == instances })
	p.mu.Lock()
	p.worst = 0
	p.mu.Unlock()
	c.mustOperator(c.members[1], http.MethodPost, "/v1/waves/kernel/start", "{}")
	c.eventually("the wave's canary is rebooted", func() bool { return p.total() >= 1 })
	s, _ := c.status(c.members[0])
	leader := c.member(s.Leader)
	c.kill(leader)
	time.Sleep(time.Second)
	c.start(leader)
	// The wave widens after the soak of its canary, which lasts two minutes, so
	// only the canary is waited for; an operator drains the rest.
	c.eventually("all instances active", func() bool { return p.count(c, fleet.Active) == instances })
	p.drainAll(c, instances)
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range instances {
		if got := p.rebooted[fmt.Sprintf("i%d", n)]; got != 1 {
			t.Errorf("instance i%d was rebooted %d times", n, got)
		}
	}
	if p.worst > budget {
		t.Errorf("%d instances of the pool were unavailable at once, the budget is %d", p.worst, budget)
	}
}

// drainAll asks for drains of all instances at once, again while they are
// refused, until each was rebooted.
func (p *platform) drainAll(c *cluster, instances int) {
	c.t.Helper()
	refused := 0
	c.eventually("all instances rebooted", func() bool {
		for n := range instances {
			id := fmt.Sprintf("i%d", n)
			p.mu.Lock()
			done := p.rebooted[id] > 0
			p.mu.Unlock()
			if done {
				continue
			}
			code, b, err := c.operator(c.members[n%3], http.MethodPost, "/v1/instances/"+id+"/drain", `{"reason":"test"}`)
			if err == nil && code == http.StatusConflict && strings.Contains(string(b), `"budget"`) {
				refused++
			}
		}
		return p.total() == instances && p.count(c, fleet.Active) == instances
	})
	if refused == 0 {
		c.t.Error("no drain was refused by the budget, so the test proved nothing")
	}
}

func (p *platform) total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.rebooted)
}

func (p *platform) count(c *cluster, state fleet.Lifecycle) int {
	var st daemon.FleetStatus
	for _, m := range c.members {
		if m.cmd == nil {
			continue
		}
		code, b, err := c.operator(m, http.MethodGet, "/v1/instances", "")
		if err == nil && code == http.StatusOK && json.Unmarshal(b, &st) == nil {
			break
		}
	}
	n := 0
	for _, i := range st.Instances {
		if i.State == state {
			n++
		}
	}
	return n
}
