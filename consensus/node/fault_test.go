package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/storage"
)

// TestCrashAtEachSync crashes the disk of the leader at each of its first 24
// syncs, with and without the write being durable. Acknowledged entries must
// survive.
func TestCrashAtEachSync(t *testing.T) {
	for at := 1; at <= 24; at++ {
		for _, durable := range []bool{false, true} {
			runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
				c.snapshotEntries = 8
				startThreeNodes(c)
				lead := c.waitForLeader()
				mem := lead.store.(*storage.Memory)
				mem.Plan(storage.Crash{AtSync: at, Durable: durable})
				var acknowledged []string
				for i := range 30 {
					data := fmt.Sprint(i)
					if _, err := lead.node.Propose(ctx, []byte(data)); err == nil {
						acknowledged = append(acknowledged, data)
					}
				}
				<-lead.node.Done()
				if err := lead.node.Err(); !errors.Is(err, ErrStorage) {
					t.Fatalf("node terminated with error %v, want ErrStorage", err)
				}
				c.stopNode(lead)
				c.replaceStorage(lead, mem.Reopen(storage.Crash{}))
				c.startNode(lead)
				next := c.waitForLeader()
				proposeRange(t, ctx, next, 100, 101)
				for _, data := range acknowledged {
					if !slices.Contains(next.recorder.list(), data) {
						t.Errorf("crash at sync %d, durable %v: lost %s", at, durable, data)
					}
				}
			})
		}
	}
}

// TestPausedLeaderServesNoStaleReads pauses a leader until another node has been
// elected. A read that was queued on the paused node must include the entries
// that the new leader committed.
func TestPausedLeaderServesNoStaleReads(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
		startThreeNodes(c)
		old := c.waitForLeader()
		old.recorder.unblock = make(chan struct{})
		go func() { _, _ = old.node.Propose(ctx, []byte("pause")) }()
		time.Sleep(time.Minute)
		if age := old.node.Status().QuorumAge; age < time.Minute {
			t.Errorf("quorum age %v after a minute", age)
		}
		read := make(chan error, 1)
		go func() { read <- old.node.ReadIndex(ctx) }()
		c.setIsolated(old.name, true)
		next := c.waitForLeader()
		c.setIsolated(old.name, false)
		proposeRange(t, ctx, next, 0, 5)
		close(old.recorder.unblock)
		if err := <-read; err != nil {
			t.Fatal(err)
		}
		if got := len(old.recorder.list()); got != 6 {
			t.Errorf("%d entries read on the paused leader, want 6", got)
		}
		if s := old.node.Status(); s.Role == consensus.Leader {
			t.Error("the paused node is still leader")
		}
	})
}

func TestQuorumAgeGrowsWithIsolation(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, _ context.Context, c *cluster) {
		startThreeNodes(c)
		lead := c.waitForLeader()
		if s := lead.node.Status(); !s.QuorumKnown || s.QuorumAge > 300*time.Millisecond {
			t.Fatalf("quorum known %v, age %v", s.QuorumKnown, s.QuorumAge)
		}
		c.setIsolated(lead.name, true)
		since := time.Now()
		for range 30 {
			time.Sleep(50 * time.Millisecond)
			if s := lead.node.Status(); s.QuorumKnown && s.QuorumAge < time.Since(since)-time.Millisecond {
				t.Fatalf("age %v, isolated for %v", s.QuorumAge, time.Since(since))
			}
		}
		if lead.node.Status().QuorumKnown {
			t.Error("an isolated leader still reports a known quorum")
		}
	})
}

// TestQueueLimitsAndStop fills the queues of an isolated leader with reads and
// proposals, then stops it. Every caller must get the error that matches the
// state of its call.
func TestQueueLimitsAndStop(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T, ctx context.Context, c *cluster) {
		c.coreConfig.MaxPending = 4
		startThreeNodes(c)
		lead := c.waitForLeader()
		c.setIsolated(lead.name, true)
		errs := make(chan error, 40)
		for i := range cap(errs) {
			go func() {
				if i%2 == 0 {
					errs <- lead.node.ReadIndex(ctx)
					return
				}
				_, err := lead.node.Propose(ctx, []byte("x"))
				errs <- err
			}()
			time.Sleep(time.Millisecond)
		}
		go lead.node.Stop()
		got := make(map[error]int)
		for range cap(errs) {
			err := <-errs
			for _, kind := range []error{consensus.ErrQueueFull, ErrOutcomeUnknown, ErrStopped} {
				if errors.Is(err, kind) {
					got[kind]++
				}
			}
		}
		if got[consensus.ErrQueueFull] != 32 || got[ErrOutcomeUnknown] != 4 || got[ErrStopped] != 4 {
			t.Errorf("outcomes %v, want 32 full, 4 unknown and 4 stopped", got)
		}
		if err := lead.node.ReadIndex(ctx); !errors.Is(err, ErrStopped) {
			t.Errorf("error after Stop: %v", err)
		}
	})
}

func TestStartRejectsInvalidConfig(t *testing.T) {
	good := Config[int]{
		Storage: storage.NewMemory(1, storage.Crash{}), Transport: memoryTransport{}, Machine: &entryRecorder{}, Rand: rand.NewPCG(1, 1),
	}
	if _, err := Start(good); !errors.Is(err, ErrNotBound) {
		t.Errorf("unbound disk: %v", err)
	}
	for name, change := range map[string]func(*Config[int]){
		"storage": func(c *Config[int]) { c.Storage = nil }, "transport": func(c *Config[int]) { c.Transport = nil },
		"machine": func(c *Config[int]) { c.Machine = nil }, "random source": func(c *Config[int]) { c.Rand = nil },
		"inbox": func(c *Config[int]) { c.InboxSize = -1 },
	} {
		bad := good
		change(&bad)
		if _, err := Start(bad); !errors.Is(err, ErrBadConfig) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := StartFormer(FormConfig{}); !errors.Is(err, ErrBadConfig) {
		t.Errorf("former: %v", err)
	}
	gapped := storage.NewMemory(1, storage.Crash{})
	_ = gapped.SaveBinding(bootstrap.Binding{Phase: bootstrap.Joined, Cluster: 3})
	_ = gapped.Save(consensus.Update{Entries: []consensus.Entry{{Index: 5, Term: 1, Kind: consensus.EntryData}}})
	good.Storage = gapped
	if _, err := Start(good); !errors.Is(err, consensus.ErrBadState) {
		t.Errorf("gap in the log: %v", err)
	}
}

// listOp is one operation on the replicated list: a write appends an entry, an
// empty write stands for a read.
type listOp struct {
	write string
}

// listModel models an append-only list. A read returns its length, a write the
// length after the append. A write with an unknown outcome returns zero.
var listModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		n, got := state.(int), output.(int)
		if input.(listOp).write == "" {
			return got == n, n
		}
		return got == 0 || got == n+1, n + 1
	},
}

// TestHistoriesAreLinearizable lets clients write and read on all nodes while
// random nodes are isolated, and checks that the histories are linearizable. As a
// check of the test itself, some histories without ReadIndex must not be.
func TestHistoriesAreLinearizable(t *testing.T) {
	calls, stale := 0, 0
	for seed := range uint64(40) {
		h := runHistory(t, seed, false, (*cluster).isolateRandomly)
		calls += len(h.ops)
		if !porcupine.CheckOperations(listModel, h.ops) {
			t.Errorf("seed %d: history of %d calls is not linearizable", seed, len(h.ops))
		}
		if !porcupine.CheckOperations(listModel, runHistory(t, seed, true, (*cluster).isolateRandomly).ops) {
			stale++
		}
	}
	t.Logf("%d calls; %d of 40 histories without ReadIndex are not linearizable", calls, stale)
	if stale == 0 {
		t.Error("all histories without ReadIndex are linearizable, want some stale reads")
	}
}

// TestFailingDisksKeepHistoriesLinearizable makes writes of random nodes fail,
// some of them after they took effect, while other nodes are isolated. A node
// whose write failed is started again from its disk, as after a full disk.
func TestFailingDisksKeepHistoriesLinearizable(t *testing.T) {
	failures := 0
	for seed := range uint64(60) {
		h := runHistory(t, seed, false, func(c *cluster, ms []*member, rnd *rand.Rand, done <-chan struct{}) {
			failures += c.failDisksRandomly(ms, rnd, done)
		})
		if !porcupine.CheckOperations(listModel, h.ops) {
			t.Errorf("seed %d: history of %d calls is not linearizable", seed, len(h.ops))
		}
	}
	if failures < 100 {
		t.Errorf("%d failed writes, want 100 or more", failures)
	}
}

// failDisksRandomly makes a write of random nodes fail until done is closed, and
// starts these nodes again. It returns the number of failed writes.
func (c *cluster) failDisksRandomly(ms []*member, rnd *rand.Rand, done <-chan struct{}) int {
	failures := 0
	for {
		m := ms[rnd.IntN(len(ms))]
		isolated := ms[rnd.IntN(len(ms))]
		c.setIsolated(isolated.name, rnd.IntN(3) == 0)
		mem := m.store.(*storage.Memory)
		mem.Plan(storage.Crash{AtSync: 1 + rnd.IntN(4), Durable: rnd.IntN(2) == 0})
		n, _ := c.running(m)
		select {
		case <-n.Done():
			failures++
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			c.stopNode(m)
			c.replaceStorage(m, mem.Reopen(storage.Crash{}))
			c.startNode(m)
		case <-time.After(time.Duration(rnd.IntN(2000)) * time.Millisecond):
			mem.Plan(storage.Crash{})
		case <-done:
			mem.Plan(storage.Crash{})
			for _, m := range ms {
				c.setIsolated(m.name, false)
			}
			return failures
		}
	}
}

func runHistory(t *testing.T, seed uint64, skipReadIndex bool, disturb func(*cluster, []*member, *rand.Rand, <-chan struct{})) *history {
	h := &history{skipReadIndex: skipReadIndex}
	runWithFakeClock(t, func(_ *testing.T, ctx context.Context, c *cluster) {
		c.snapshotEntries = 8
		ms := startThreeNodes(c)
		c.waitForLeader()
		done := make(chan struct{})
		var wg sync.WaitGroup
		for client := range 4 {
			wg.Go(func() { h.client(ctx, c, ms, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
		}
		wg.Go(func() { disturb(c, ms, rand.New(rand.NewPCG(seed, 99)), done) })
		time.Sleep(30 * time.Second)
		close(done)
		wg.Wait()
	})
	return h
}

// isolateRandomly isolates and reconnects random nodes until done is closed.
func (c *cluster) isolateRandomly(ms []*member, rnd *rand.Rand, done <-chan struct{}) {
	for {
		m := ms[rnd.IntN(len(ms))]
		c.setIsolated(m.name, rnd.IntN(2) == 0)
		select {
		case <-done:
			for _, m := range ms {
				c.setIsolated(m.name, false)
			}
			return
		case <-time.After(time.Duration(rnd.IntN(2000)) * time.Millisecond):
		}
	}
}

// history records the operations of all clients.
type history struct {
	mu            sync.Mutex
	ops           []porcupine.Operation
	skipReadIndex bool
}

func (h *history) client(ctx context.Context, c *cluster, ms []*member, id int, rnd *rand.Rand) {
	for i := range 12 {
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		n, recorder := c.running(ms[rnd.IntN(len(ms))])
		if n == nil {
			continue
		}
		call := time.Now().UnixNano()
		in, out, ok := listOp{}, 0, false
		limit, cancel := context.WithTimeout(ctx, 3*time.Second)
		if rnd.IntN(2) == 0 {
			in.write = fmt.Sprint(id, "/", i)
			length, err := n.Propose(limit, []byte(in.write))
			out, ok = length, err == nil || errors.Is(err, ErrOutcomeUnknown)
		} else if h.skipReadIndex || n.ReadIndex(limit) == nil {
			out, ok = len(recorder.list()), true
		}
		cancel()
		end := time.Now().UnixNano()
		if in.write != "" && out == 0 {
			end = 1 << 62
		}
		if ok {
			h.mu.Lock()
			h.ops = append(h.ops, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
			h.mu.Unlock()
		}
	}
}
