package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliastand.example/consensus"
)

// Size of a benchmark entry in bytes, and number of entries in a batch.
const (
	benchEntryBytes = 512
	benchBatch      = 64
)

// benchCluster connects cores in memory and counts the encoded bytes of all messages.
type benchCluster struct {
	cores map[consensus.NodeID]*consensus.Core
	order []consensus.NodeID
	bytes int
	msgs  int
}

// newBench returns a cluster with an elected leader, and the leader.
func newBench(b *testing.B, voters, learners int) (*benchCluster, *consensus.Core) {
	c := &benchCluster{cores: make(map[consensus.NodeID]*consensus.Core)}
	var members []consensus.Member
	for i := range voters + learners {
		id := consensus.NodeID(1<<60 + uint64(i))
		members = append(members, consensus.Member{ID: id, Name: fmt.Sprint("entry-", i), Voter: i < voters})
		c.order = append(c.order, id)
	}
	for i, id := range c.order {
		core, err := consensus.New(consensus.DefaultConfig(id, 1<<61, rand.NewPCG(1, uint64(i))), consensus.InitialState(members))
		if err != nil {
			b.Fatal(err)
		}
		c.cores[id] = core
	}
	for range 100 {
		c.tick(b)
	}
	for _, id := range c.order {
		if c.cores[id].Leads() {
			c.bytes, c.msgs = 0, 0
			return c, c.cores[id]
		}
	}
	b.Fatal("no leader")
	return nil, nil
}

func (c *benchCluster) tick(b *testing.B) {
	for _, id := range c.order {
		c.cores[id].Tick()
		c.process(b, id)
	}
}

// process performs the pending work of a node and, recursively, of the receivers
// of its messages. Each message is encoded and decoded once.
func (c *benchCluster) process(b *testing.B, id consensus.NodeID) {
	core := c.cores[id]
	for rd := core.Ready(); !rd.Empty(); rd = core.Ready() {
		core.Advance()
		for i := range rd.Messages {
			raw, err := rd.Messages[i].Marshal()
			if err != nil {
				b.Fatal(err)
			}
			c.bytes += len(raw)
			c.msgs++
			m, err := consensus.UnmarshalMessage(raw)
			if err != nil {
				b.Fatal(err)
			}
			if err := c.cores[m.To].Step(m); err != nil {
				b.Fatal(err)
			}
			c.process(b, m.To)
		}
	}
}

// BenchmarkIdleTick measures one tick of all nodes of an idle cluster, including
// message encoding and decoding.
func BenchmarkIdleTick(b *testing.B) {
	forSizes(b, func(b *testing.B, c *benchCluster, _ *consensus.Core) {
		for b.Loop() {
			c.tick(b)
		}
		b.ReportMetric(float64(c.bytes)/float64(b.N), "wireB/op")
		b.ReportMetric(float64(c.msgs)/float64(b.N), "msgs/op")
	})
}

func forSizes(b *testing.B, run func(*testing.B, *benchCluster, *consensus.Core)) {
	for _, size := range [][2]int{{3, 0}, {3, 6}, {5, 0}, {5, 18}} {
		b.Run(fmt.Sprintf("voters=%d,learners=%d", size[0], size[1]), func(b *testing.B) {
			c, leader := newBench(b, size[0], size[1])
			b.ReportAllocs()
			run(b, c, leader)
		})
	}
}

// BenchmarkReplicate measures the replication and commit of a batch of entries in
// memory, including message encoding and decoding.
func BenchmarkReplicate(b *testing.B) {
	data := make([]byte, benchEntryBytes)
	forSizes(b, func(b *testing.B, c *benchCluster, leader *consensus.Core) {
		for b.Loop() {
			for range benchBatch {
				if _, _, err := leader.Propose(data); err != nil {
					b.Fatal(err)
				}
			}
			c.process(b, leader.Status().ID)
			for _, core := range c.cores {
				if s := core.Status(); s.Applied-s.Snapshot > 8192 {
					_ = core.Compact(s.Applied, nil)
				}
			}
		}
		entries := float64(b.N) * benchBatch
		b.ReportMetric(entries/b.Elapsed().Seconds(), "entries/s")
		b.ReportMetric(float64(c.bytes)/entries, "wireB/entry")
	})
}
