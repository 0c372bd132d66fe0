package node_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/node"
	"magnoliastand.example/consensus/storage"
)

// counter is a state machine that sums the lengths of its entries.
type counter struct{ total int }

func (c *counter) Apply(e consensus.Entry) int {
	c.total += len(e.Data)
	return c.total
}

func (c *counter) Snapshot() ([]byte, error) { return fmt.Append(nil, c.total), nil }

func (c *counter) Restore(data []byte) error {
	c.total = 0
	if len(data) == 0 {
		return nil
	}
	_, err := fmt.Sscan(string(data), &c.total)
	return err
}

// discardTransport is a Transport that drops all messages, for a cluster with a
// single node.
type discardTransport struct{}

func (discardTransport) Send(consensus.NodeID, consensus.Message) {}

// A cluster with a single voter and storage in memory.
func Example() {
	disk := storage.NewMemory(11, storage.Crash{})
	former, err := node.StartFormer(node.FormConfig{
		Machine: bootstrap.Config{
			Self: consensus.Member{Name: "oita-1"}, FirstVoters: []string{"oita-1"},
			Rand: rand.NewPCG(1, 2), RetryTicks: 1,
		},
		Storage: disk, Send: func(string, bootstrap.Message) {}, TickPeriod: time.Millisecond,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer former.Stop()
	<-former.Bound()
	n, err := node.Start(node.Config[int]{
		Storage: disk, Transport: discardTransport{}, Machine: &counter{}, Rand: rand.NewPCG(3, 4), TickPeriod: time.Millisecond,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer n.Stop()
	total, err := n.Propose(context.Background(), []byte("four"))
	for errors.Is(err, consensus.ErrNotLeader) {
		time.Sleep(time.Millisecond)
		total, err = n.Propose(context.Background(), []byte("four"))
	}
	fmt.Println(total, err)
	// Output: 4 <nil>
}
