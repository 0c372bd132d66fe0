package consensus_test

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"magnoliastand.example/consensus"
)

// FuzzMessage decodes any bytes. What decodes keeps its meaning when encoded
// again, and as the first message to a voter it neither panics nor commits what
// isn't there. A heartbeat is left out of the latter: its commit index is the
// word of the leader.
func FuzzMessage(f *testing.F) {
	entries := []consensus.Entry{
		{Index: 2, Term: 3, Kind: consensus.EntryData, Data: []byte("x")},
		{Index: 3, Term: 3, Kind: consensus.EntryMembership, Members: []consensus.Member{{ID: 1, Voter: true}}},
	}
	chunk := &consensus.Chunk{Meta: consensus.SnapshotMeta{Index: 9, Term: 2, Size: 3}, Data: []byte("abc")}
	for _, m := range []consensus.Message{
		{Type: consensus.MsgHeartbeat, Commit: 4, Round: 5, Tick: 6}, {Type: consensus.MsgVote, Index: 1, LogTerm: 1},
		{Type: consensus.MsgAppend, Index: 1, LogTerm: 1, Entries: entries}, {Type: consensus.MsgSnapshot, Index: 9, Chunk: chunk},
	} {
		m.Cluster, m.From, m.To, m.Term = simCluster, 2, 1, 3
		b, err := m.Marshal()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := consensus.UnmarshalMessage(b)
		if err != nil {
			return
		}
		again, err := m.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		back, err := consensus.UnmarshalMessage(again)
		if third, _ := back.Marshal(); err != nil || !reflect.DeepEqual(again, third) {
			t.Fatalf("%+v became %+v, %v", m, back, err)
		}
		if m.Type == consensus.MsgHeartbeat {
			return
		}
		m.Cluster, m.From, m.To = simCluster, 2, 1
		members := []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}}
		c, err := consensus.New(consensus.DefaultConfig(1, simCluster, rand.NewPCG(1, 1)), consensus.InitialState(members))
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Step(m)
		if rd := c.Ready(); !rd.Empty() {
			c.Advance()
		}
		if got := c.Status(); got.Commit > got.Last {
			t.Fatalf("commit %d past the last entry %d", got.Commit, got.Last)
		}
	})
}
