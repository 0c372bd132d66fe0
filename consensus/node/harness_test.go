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

// entryRecorder is a state machine that stores all entries; Apply returns their
// number.
type entryRecorder struct {
	mu      sync.Mutex
	entries []string
	// unblock, if set, blocks Apply of the entry "pause" until it is closed, which
	// simulates a paused process.
	unblock chan struct{}
}

func (r *entryRecorder) Apply(e consensus.Entry) int {
	if r.unblock != nil && string(e.Data) == "pause" {
		<-r.unblock
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, string(e.Data))
	return len(r.entries)
}

func (r *entryRecorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.entries)
}

func (r *entryRecorder) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = nil
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, &r.entries)
}

func (r *entryRecorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.entries...)
}

// member is one simulated process of a test cluster.
type member struct {
	name     string
	store    storage.Storage
	former   *Former
	node     *Node[int]
	recorder *entryRecorder
}

// cluster connects members in memory. Messages from and to the members in
// isolatedNames are dropped.
type cluster struct {
	t               testing.TB
	mu              sync.Mutex
	members         map[string]*member
	isolatedNames   map[string]bool
	randSources     uint64
	coreConfig      consensus.Config
	repair          *RepairPolicy
	snapshotEntries uint64
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, members: make(map[string]*member), isolatedNames: make(map[string]bool)}
	c.coreConfig = consensus.DefaultConfig(0, 0, nil)
	return c
}

// memoryTransport is the Transport of one member.
type memoryTransport struct {
	c    *cluster
	from string
}

func (t memoryTransport) Send(to consensus.NodeID, m consensus.Message) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	for _, peer := range t.c.members {
		if peer.store.Node() != to || peer.node == nil || t.c.isolatedNames[t.from] || t.c.isolatedNames[peer.name] {
			continue
		}
		select {
		case peer.node.inbox <- m:
		default:
		}
	}
}

func (c *cluster) sendBootstrap(to string, m bootstrap.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer := c.members[to]; peer != nil && peer.former != nil && !c.isolatedNames[to] && !c.isolatedNames[m.From] {
		select {
		case peer.former.inbox <- m:
		default:
		}
	}
}

func (c *cluster) newRandSource() rand.Source {
	c.randSources++
	return rand.NewPCG(7, c.randSources)
}

// startFormer adds a member and starts its Former.
func (c *cluster) startFormer(name string, st storage.Storage, first, peers []string) *member {
	m := &member{name: name, store: st, recorder: &entryRecorder{}}
	f, err := StartFormer(FormConfig{
		Machine: bootstrap.Config{
			Self: consensus.Member{Name: name, Zone: "z" + name}, FirstVoters: first, Peers: peers,
			Rand: c.newRandSource(), RetryTicks: 2,
		},
		Storage: st, Send: c.sendBootstrap,
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

// startNode waits until a member is bound and starts its node.
func (c *cluster) startNode(m *member) {
	<-m.former.Bound()
	coreConfig := c.coreConfig
	recorder := &entryRecorder{}
	n, err := Start(Config[int]{
		Storage: m.store, Transport: memoryTransport{c, m.name}, Machine: recorder, Rand: c.newRandSource(),
		CoreConfig: &coreConfig, Repair: c.repair, SnapshotEntries: c.snapshotEntries,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	m.node, m.recorder = n, recorder
	c.mu.Unlock()
}

// running returns the node of a member and its state machine, or nil while the
// member is stopped.
func (c *cluster) running(m *member) (*Node[int], *entryRecorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.node, m.recorder
}

func (c *cluster) setIsolated(name string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolatedNames[name] = isolated
}

func (c *cluster) isolated(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolatedNames[name]
}

// stopNode stops the node of a member and keeps its storage.
func (c *cluster) stopNode(m *member) {
	c.mu.Lock()
	n := m.node
	m.node = nil
	c.mu.Unlock()
	if n != nil {
		n.Stop()
	}
}

// replaceStorage sets the storage that a stopped member opens at its next start.
func (c *cluster) replaceStorage(m *member, st storage.Storage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.store = st
}

func (c *cluster) stop() {
	for _, m := range c.members {
		c.stopNode(m)
		m.former.Stop()
	}
}

// waitForLeader waits up to 60 s for a leader that is not isolated.
func (c *cluster) waitForLeader() *member {
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

// startThreeNodes starts a cluster of the initial voters a, b and c with storage
// in memory.
func startThreeNodes(c *cluster) []*member {
	names := []string{"a", "b", "c"}
	var ms []*member
	for i, n := range names {
		ms = append(ms, c.startFormer(n, storage.NewMemory(consensus.NodeID(i+1), storage.Crash{}), names, nil))
	}
	for _, m := range ms {
		c.startNode(m)
	}
	return ms
}

// runWithFakeClock runs a test with a new cluster in a synctest bubble.
func runWithFakeClock(t *testing.T, f func(t *testing.T, ctx context.Context, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		c := newCluster(t)
		defer c.stop()
		f(t, ctx, c)
	})
}

func proposeRange(t testing.TB, ctx context.Context, m *member, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		if _, err := m.node.Propose(ctx, []byte(fmt.Sprint(i))); err != nil {
			t.Fatalf("proposal %d: %v", i, err)
		}
	}
}
