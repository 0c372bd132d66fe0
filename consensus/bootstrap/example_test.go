package bootstrap_test

import (
	"fmt"
	"math/rand/v2"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
)

// A cluster of one first voter forms by itself.
func Example() {
	m, err := bootstrap.New(bootstrap.Config{
		Self: consensus.Member{ID: 11, Name: "osborne-1"}, FirstVoters: []string{"osborne-1"},
		Rand: rand.NewPCG(1, 2), RetryTicks: 1,
	}, bootstrap.Binding{})
	if err != nil {
		fmt.Println(err)
		return
	}
	for !m.Done() {
		m.Tick()
		rd := m.Ready()
		if rd.Binding != nil {
			// Here a caller persists rd.Binding and then sends rd.Messages.
			fmt.Println(rd.Binding.Phase)
		}
	}
	// Output: formed
}
