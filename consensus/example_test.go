package consensus_test

import (
	"fmt"
	"math/rand/v2"

	"magnoliastand.example/consensus"
)

// A cluster of one voter: tick until it leads, propose, and carry out Readys.
func Example() {
	members := []consensus.Member{{ID: 1, Name: "fukuoka-1", Voter: true}}
	core, err := consensus.New(consensus.DefaultConfig(1, 7, rand.NewPCG(1, 2)), consensus.InitialState(members))
	if err != nil {
		fmt.Println(err)
		return
	}
	carryOut := func() {
		for rd := core.Ready(); !rd.Empty(); rd = core.Ready() {
			// Here a caller persists rd.Update and then sends rd.Messages.
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
		carryOut()
	}
	if _, _, err := core.Propose([]byte("pool A: 12 instances")); err != nil {
		fmt.Println(err)
	}
	carryOut()
	// Output: apply "pool A: 12 instances"
}
