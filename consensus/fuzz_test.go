package consensus_test

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"magnoliastand.example/consensus"
)

// FuzzMessage decodes arbitrary bytes. A message that decodes must survive another
// encoding and decoding unchanged. Fed to a new voter, it must neither panic nor
// raise the commit index above the last entry. Heartbeats are excluded from the
// latter, because a node trusts the commit index of its leader.
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
		encoded, err := m.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := consensus.UnmarshalMessage(encoded)
		if reencoded, _ := decoded.Marshal(); err != nil || !reflect.DeepEqual(encoded, reencoded) {
			t.Fatalf("message changed by re-encoding: %+v became %+v, error %v", m, decoded, err)
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
			t.Fatalf("commit index %d exceeds the last index %d", got.Commit, got.Last)
		}
	})
}
