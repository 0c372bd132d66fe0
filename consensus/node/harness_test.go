package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// journal is a state machine that keeps all entries; Apply returns their number.
type journal struct {
	mu    sync.Mutex
	lines []string
	// hold blocks the loop in Apply of "freeze", as a frozen process would be.
	hold chan struct{}
}

func (j *journal) Apply(e consensus.Entry) int {
	if j.hold != nil && string(e.Data) == "freeze" {
		<-j.hold
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, string(e.Data))
	return len(j.lines)
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return json.Marshal(j.lines)
}

func (j *journal) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = nil
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, &j.lines)
}

func (j *journal) all() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.lines...)
}

// member is one process of a test cluster.
type member struct {
	name    string
	store   storage.Storage
	former  *Former
	node    *Node[int]
	journal *journal
}

// cluster connects processes in memory; cut names those that are isolated.
type cluster struct {
	t       testing.TB
	mu      sync.Mutex
	members map[string]*member
	cut     map[string]bool
	starts  uint64
	tuning  consensus.Config
	repair  *RepairPolicy
	every   uint64
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, members: make(map[string]*member), cut: make(map[string]bool)}
	c.tuning = consensus.DefaultConfig(0, 0, nil)
	return c
}

// link sends on behalf of one member.
type link struct {
	c    *cluster
	from string
}

func (l link) Send(to consensus.NodeID, m consensus.Message) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	for _, peer := range l.c.members {
		if peer.store.Node() != to || peer.node == nil || l.c.cut[l.from] || l.c.cut[peer.name] {
			continue
		}
		select {
		case peer.node.inbox <- m:
		default:
		}
	}
}

func (c *cluster) sendForm(to string, m bootstrap.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer := c.members[to]; peer != nil && peer.former != nil && !c.cut[to] && !c.cut[m.From] {
		select {
		case peer.former.inbox <- m:
		default:
		}
	}
}

func (c *cluster) source() rand.Source {
	c.starts++
	return rand.NewPCG(7, c.starts)
}

// form starts a member up to its Former.
func (c *cluster) form(name string, st storage.Storage, first, peers []string) *member {
	m := &member{name: name, store: st, journal: &journal{}}
	f, err := StartFormer(FormConfig{
		Machine: bootstrap.Config{
			Self: consensus.Member{Name: name, Zone: "z" + name}, FirstVoters: first, Peers: peers,
			Rand: c.source(), RetryTicks: 2,
		},
		Storage: st, Send: c.sendForm,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	m.former = f
	c.mu.Lock()
	c.members[name] = m
	c.mu.Unlock()
	return m
}

// start starts the node of a bound member.
func (c *cluster) start(m *member) {
	<-m.former.Bound()
	tuning := c.tuning
	m.journal = &journal{}
	n, err := Start(Config[int]{
		Storage: m.store, Transport: link{c, m.name}, Machine: m.journal, Rand: c.source(),
		Tuning: &tuning, Repair: c.repair, SnapshotEntries: c.every,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	m.node = n
	c.mu.Unlock()
}

func (c *cluster) isolate(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = cut
}

func (c *cluster) isolated(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[name]
}

// kill stops the node of a member; its storage stays.
func (c *cluster) kill(m *member) {
	c.mu.Lock()
	n := m.node
	m.node = nil
	c.mu.Unlock()
	if n != nil {
		n.Stop()
	}
}

// swap gives a stopped member the disk that a restarted process finds.
func (c *cluster) swap(m *member, st storage.Storage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.store = st
}

func (c *cluster) stop() {
	for _, m := range c.members {
		c.kill(m)
		m.former.Stop()
	}
}

// leader waits for a leader that is not isolated.
func (c *cluster) leader() *member {
	for range 600 {
		time.Sleep(100 * time.Millisecond)
		for _, m := range c.members {
			if m.node == nil || c.isolated(m.name) {
				continue
			}
			if s := m.node.Status(); s.Role == consensus.Leader && s.QuorumKnown {
				return m
			}
		}
	}
	c.t.Fatal("no leader")
	return nil
}

// three forms and starts a cluster of first voters a, b and c in memory.
func three(c *cluster) []*member {
	names := []string{"a", "b", "c"}
	var ms []*member
	for i, n := range names {
		ms = append(ms, c.form(n, storage.NewMemory(consensus.NodeID(i+1), storage.Crash{}), names, nil))
	}
	for _, m := range ms {
		c.start(m)
	}
	return ms
}

// inBubble runs a test with a cluster under the fake clock of synctest.
func inBubble(t *testing.T, f func(t *testing.T, ctx context.Context, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		c := newCluster(t)
		defer c.stop()
		f(t, ctx, c)
	})
}

func propose(t testing.TB, ctx context.Context, m *member, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		if _, err := m.node.Propose(ctx, []byte(fmt.Sprint(i))); err != nil {
			t.Fatalf("proposal %d: %v", i, err)
		}
	}
}
