package consensus_test

import (
	"fmt"
	"math/rand/v2"

	"magnoliastand.example/consensus"
)

// Runs a cluster of one voter: ticks until it is leader, proposes an entry and
// processes each Ready.
func Example() {
	members := []consensus.Member{{ID: 1, Name: "fukuoka-1", Voter: true}}
	core, err := consensus.New(consensus.DefaultConfig(1, 7, rand.NewPCG(1, 2)), consensus.InitialState(members))
	if err != nil {
		fmt.Println(err)
		return
	}
	processReady := func() {
		for rd := core.Ready(); !rd.Empty(); rd = core.Ready() {
			// A real caller persists rd.Update here and then sends rd.Messages.
			for _, e := range rd.Committed {
				if e.Kind == consensus.EntryData {
					fmt.Printf("apply %q\n", e.Data)
				}
			}
			core.Advance()
		}
	}
	for !core.Leads() {
		core.Tick()
		processReady()
	}
	if _, _, err := core.Propose([]byte("pool A: 12 instances")); err != nil {
		fmt.Println(err)
	}
	processReady()
	// Output: apply "pool A: 12 instances"
}
