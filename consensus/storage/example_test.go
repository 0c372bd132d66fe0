package storage_test

import (
	"fmt"
	"os"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/storage"
)

// A new folder gets an identity, which it keeps together with what is saved.
func Example() {
	dir, err := os.MkdirTemp("", "consensus")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	disk, err := storage.Open(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	node := disk.Node()
	_ = disk.SaveBinding(bootstrap.Binding{Phase: bootstrap.Joined, Cluster: 7})
	_ = disk.Save(consensus.Update{HardState: &consensus.HardState{Term: 3, Vote: node}})
	_ = disk.Close()

	disk, err = storage.Open(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer disk.Close()
	st, _ := disk.Load()
	fmt.Println(disk.Node() == node, disk.Binding().Phase, st.HardState.Term)
	// Output: true joined 3
}
