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

// TestCrashAtEachSync crashes the disk of the leader at each of its writes,
// with and without the write reaching the disk. What was answered stays.
func TestCrashAtEachSync(t *testing.T) {
	for at := 1; at <= 24; at++ {
		for _, durable := range []bool{false, true} {
			inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
				c.every = 8
				three(c)
				lead := c.leader()
				mem := lead.store.(*storage.Memory)
				mem.Plan(storage.Crash{AtSync: at, Durable: durable})
				var kept []string
				for i := range 30 {
					line := fmt.Sprint(i)
					if _, err := lead.node.Propose(ctx, []byte(line)); err == nil {
						kept = append(kept, line)
					}
				}
				<-lead.node.Done()
				if err := lead.node.Err(); !errors.Is(err, ErrStorage) {
					t.Fatalf("node ended with %v", err)
				}
				c.kill(lead)
				c.swap(lead, mem.Reopen(storage.Crash{}))
				c.start(lead)
				next := c.leader()
				propose(t, ctx, next, 100, 101)
				for _, line := range kept {
					if !slices.Contains(next.journal.all(), line) {
						t.Errorf("crash at sync %d, durable %v: lost %s", at, durable, line)
					}
				}
			})
		}
	}
}

// TestFrozenLeaderServesNothingOld freezes a leader until another one leads. A
// read that was waiting on the frozen one sees what the new one committed.
func TestFrozenLeaderServesNothingOld(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		three(c)
		old := c.leader()
		old.journal.hold = make(chan struct{})
		go func() { _, _ = old.node.Propose(ctx, []byte("freeze")) }()
		time.Sleep(time.Minute)
		if age := old.node.Status().QuorumAge; age < time.Minute {
			t.Errorf("quorum age %v after a minute", age)
		}
		read := make(chan error, 1)
		go func() { read <- old.node.ReadIndex(ctx) }()
		c.isolate(old.name, true)
		next := c.leader()
		c.isolate(old.name, false)
		propose(t, ctx, next, 0, 5)
		close(old.journal.hold)
		if err := <-read; err != nil {
			t.Fatal(err)
		}
		if got := len(old.journal.all()); got != 6 {
			t.Errorf("%d entries read on the frozen leader, want 6", got)
		}
		if s := old.node.Status(); s.Role == consensus.Leader {
			t.Error("the frozen leader still leads")
		}
	})
}

func TestQuorumAgeGrowsWithIsolation(t *testing.T) {
	inBubble(t, func(t *testing.T, _ context.Context, c *cluster) {
		three(c)
		lead := c.leader()
		if s := lead.node.Status(); !s.QuorumKnown || s.QuorumAge > 300*time.Millisecond {
			t.Fatalf("quorum known %v, age %v", s.QuorumKnown, s.QuorumAge)
		}
		c.isolate(lead.name, true)
		since := time.Now()
		for range 30 {
			time.Sleep(50 * time.Millisecond)
			if s := lead.node.Status(); s.QuorumKnown && s.QuorumAge < time.Since(since)-time.Millisecond {
				t.Fatalf("age %v, isolated for %v", s.QuorumAge, time.Since(since))
			}
		}
		if lead.node.Status().QuorumKnown {
			t.Error("an isolated leader still knows a quorum")
		}
	})
}

// TestBoundsAndStop fills the queues of an isolated leader with reads and
// proposals, then stops it: every caller gets a true answer.
func TestBoundsAndStop(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		c.tuning.MaxPending = 4
		three(c)
		lead := c.leader()
		c.isolate(lead.name, true)
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

func TestStartRefusesBadSettings(t *testing.T) {
	good := Config[int]{
		Storage: storage.NewMemory(1, storage.Crash{}), Transport: link{}, Machine: &journal{}, Rand: rand.NewPCG(1, 1),
	}
	if _, err := Start(good); !errors.Is(err, ErrNotBound) {
		t.Errorf("unbound disk: %v", err)
	}
	for name, change := range map[string]func(*Config[int]){
		"storage": func(c *Config[int]) { c.Storage = nil }, "transport": func(c *Config[int]) { c.Transport = nil },
		"machine": func(c *Config[int]) { c.Machine = nil }, "random source": func(c *Config[int]) { c.Rand = nil },
		"inbox": func(c *Config[int]) { c.Inbox = -1 },
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
	torn := storage.NewMemory(1, storage.Crash{})
	_ = torn.SaveBinding(bootstrap.Binding{Phase: bootstrap.Joined, Cluster: 3})
	_ = torn.Save(consensus.Update{Entries: []consensus.Entry{{Index: 5, Term: 1, Kind: consensus.EntryData}}})
	good.Storage = torn
	if _, err := Start(good); !errors.Is(err, consensus.ErrBadState) {
		t.Errorf("gap in the log: %v", err)
	}
}

// op is one call on the list of lines: a write appends, a read returns all.
type op struct {
	write string
}

// listModel is a list that grows by writes; a read returns its length, a write
// the length after it. A write of unknown outcome returns zero.
var listModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		n, got := state.(int), output.(int)
		if input.(op).write == "" {
			return got == n, n
		}
		return got == 0 || got == n+1, n + 1
	},
}

// TestHistoriesAreLinearizable lets clients write and read on all nodes while
// nodes are isolated, and checks the histories. Reads that skip ReadIndex must
// show.
func TestHistoriesAreLinearizable(t *testing.T) {
	calls, stale := 0, 0
	for seed := range uint64(40) {
		h := runHistory(t, seed, false)
		calls += len(h.ops)
		if !porcupine.CheckOperations(listModel, h.ops) {
			t.Errorf("seed %d: history of %d calls is not linearizable", seed, len(h.ops))
		}
		if !porcupine.CheckOperations(listModel, runHistory(t, seed, true).ops) {
			stale++
		}
	}
	t.Logf("%d calls; %d of 40 histories caught without ReadIndex", calls, stale)
	if stale == 0 {
		t.Error("reads without ReadIndex were not caught")
	}
}

func runHistory(t *testing.T, seed uint64, skipRead bool) *history {
	h := &history{skipRead: skipRead}
	inBubble(t, func(_ *testing.T, ctx context.Context, c *cluster) {
		c.every = 8
		ms := three(c)
		c.leader()
		done := make(chan struct{})
		var wg sync.WaitGroup
		for client := range 4 {
			wg.Go(func() { h.client(ctx, ms, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
		}
		wg.Go(func() { c.shake(ms, rand.New(rand.NewPCG(seed, 99)), done) })
		time.Sleep(30 * time.Second)
		close(done)
		wg.Wait()
	})
	return h
}

// shake isolates nodes and heals them until done.
func (c *cluster) shake(ms []*member, rnd *rand.Rand, done <-chan struct{}) {
	for {
		m := ms[rnd.IntN(len(ms))]
		c.isolate(m.name, rnd.IntN(2) == 0)
		select {
		case <-done:
			for _, m := range ms {
				c.isolate(m.name, false)
			}
			return
		case <-time.After(time.Duration(rnd.IntN(2000)) * time.Millisecond):
		}
	}
}

// history collects the calls of all clients.
type history struct {
	mu       sync.Mutex
	ops      []porcupine.Operation
	skipRead bool
}

func (h *history) client(ctx context.Context, ms []*member, id int, rnd *rand.Rand) {
	for i := range 12 {
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		m := ms[rnd.IntN(len(ms))]
		call := time.Now().UnixNano()
		in, out, ok := op{}, 0, false
		limit, cancel := context.WithTimeout(ctx, 3*time.Second)
		if rnd.IntN(2) == 0 {
			in.write = fmt.Sprint(id, "/", i)
			n, err := m.node.Propose(limit, []byte(in.write))
			out, ok = n, err == nil || errors.Is(err, ErrOutcomeUnknown)
		} else if h.skipRead || m.node.ReadIndex(limit) == nil {
			out, ok = len(m.journal.all()), true
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
