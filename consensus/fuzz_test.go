package consensus_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"magnoliastand.example/consensus"
)

func FuzzUnmarshalMessage(f *testing.F) {
	for _, m := range []consensus.Message{
		{Type: consensus.MsgHeartbeat, Cluster: 7, From: 1, To: 2, Term: 3, Commit: 4, Round: 5, Tick: 6},
		{Type: consensus.MsgAppend, Cluster: 7, From: 1, To: 2, Term: 3, Index: 1, LogTerm: 1, Entries: []consensus.Entry{
			{Index: 2, Term: 3, Kind: consensus.EntryData, Data: []byte("x")},
			{Index: 3, Term: 3, Kind: consensus.EntryMembership, Members: []consensus.Member{{ID: 1, Voter: true}}},
		}},
		{Type: consensus.MsgSnapshot, Cluster: 7, From: 1, To: 2, Term: 3, Index: 9, Chunk: &consensus.Chunk{
			Meta: consensus.SnapshotMeta{Index: 9, Term: 2, Size: 3}, Data: []byte("abc"),
		}},
	} {
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
		if back, err := consensus.UnmarshalMessage(again); err != nil || back.Type != m.Type || len(back.Entries) != len(m.Entries) {
			t.Fatalf("%+v became %+v, %v", m, back, err)
		}
	})
}

// FuzzStep feeds any message that decodes to a follower; it must not panic, nor
// breach an invariant with messages of a single sender in one term.
func FuzzStep(f *testing.F) {
	for _, typ := range []consensus.MessageType{consensus.MsgVote, consensus.MsgPreVote, consensus.MsgRead, consensus.MsgAppend} {
		m := consensus.Message{Type: typ, Cluster: simCluster, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1}
		b, err := m.Marshal()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := consensus.UnmarshalMessage(b)
		if err != nil || m.Type == consensus.MsgHeartbeat {
			return
		}
		m.Cluster, m.From, m.To = simCluster, 2, 1
		members := []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}}
		c, err := consensus.New(consensus.DefaultConfig(1, simCluster, rand.NewPCG(1, 1)), consensus.InitialState(members))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Step(m); err != nil {
			return
		}
		if rd := c.Ready(); !rd.Empty() {
			c.Advance()
		}
		if got := c.Status(); got.Commit > got.Last {
			t.Fatalf("commit %d past the last entry %d", got.Commit, got.Last)
		}
	})
}

func FuzzUnmarshalEntry(f *testing.F) {
	e := consensus.Entry{Index: 2, Term: 3, Kind: consensus.EntryData, Data: []byte("x")}
	b, err := consensus.MarshalEntry(&e)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := consensus.UnmarshalEntry(b)
		if err != nil {
			return
		}
		again, err := consensus.MarshalEntry(&e)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := consensus.UnmarshalEntry(again); err != nil || !bytes.Equal(back.Data, e.Data) {
			t.Fatalf("%+v became %+v, %v", e, back, err)
		}
	})
}
