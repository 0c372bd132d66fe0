package node

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"magnoliastand.example/consensus/storage"
)

// BenchmarkDiskCluster measures proposals to a cluster of three nodes with disk
// storage in one process, by number of concurrent callers.
func BenchmarkDiskCluster(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := newCluster(b)
			names := []string{"a", "b", "c"}
			var ms []*member
			for _, n := range names {
				d, err := storage.Open(b.TempDir())
				if err != nil {
					b.Fatal(err)
				}
				defer d.Close()
				ms = append(ms, c.startFormer(n, d, names, nil))
			}
			for _, m := range ms {
				c.startNode(m)
			}
			defer c.stop()
			lead := c.waitForLeader()
			syncs := lead.node.Status().Syncs
			data := make([]byte, 512)
			var wg sync.WaitGroup
			work := make(chan struct{})
			for range callers {
				wg.Go(func() {
					for range work {
						if _, err := lead.node.Propose(context.Background(), data); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "entries/s")
			b.ReportMetric(float64(lead.node.Status().Syncs-syncs)/float64(b.N), "syncs/entry")
		})
	}
}

// BenchmarkReadIndex measures linearizable reads on the leader of three nodes
// with storage in memory.
func BenchmarkReadIndex(b *testing.B) {
	c := newCluster(b)
	startThreeNodes(c)
	defer c.stop()
	lead := c.waitForLeader()
	for b.Loop() {
		if err := lead.node.ReadIndex(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
