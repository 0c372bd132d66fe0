package consensus_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"

	"magnoliastand.example/consensus"
)

// newVoter returns node 1 of a cluster of three voters, and a function that feeds
// it a message and returns the resulting Ready.
func newVoter(t *testing.T) (*consensus.Core, func(consensus.Message) consensus.Ready) {
	members := []consensus.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	c, err := consensus.New(consensus.DefaultConfig(1, simCluster, rand.NewPCG(1, 1)), consensus.InitialState(members))
	if err != nil {
		t.Fatal(err)
	}
	return c, func(m consensus.Message) consensus.Ready {
		m.Cluster, m.To = simCluster, 1
		if err := c.Step(m); err != nil {
			t.Fatal(err)
		}
		rd := c.Ready()
		c.Advance()
		return rd
	}
}

// TestVoteAloneIsDurable verifies that a vote is persisted even if the term is
// already durable and nothing else has changed.
func TestVoteAloneIsDurable(t *testing.T) {
	_, feed := newVoter(t)
	if rd := feed(consensus.Message{Type: consensus.MsgVote, From: 2, Term: 5}); !rd.Messages[0].Reject || rd.Update.HardState.Term != 5 {
		t.Fatalf("vote granted to a candidate with an empty log, or term not durable: %+v", rd)
	}
	rd := feed(consensus.Message{Type: consensus.MsgVote, From: 3, Term: 5, Index: 1, LogTerm: 1})
	if rd.Messages[0].Reject || rd.Update.HardState == nil || rd.Update.HardState.Vote != 3 {
		t.Errorf("vote rejected or not durable: %+v", rd)
	}
}

// TestDamagedSnapshotIsNotInstalled sends a snapshot whose data does not match its
// checksum, followed by the intact snapshot.
func TestDamagedSnapshotIsNotInstalled(t *testing.T) {
	_, feed := newVoter(t)
	data := []byte("state")
	send := func(b []byte) consensus.Ready {
		meta := consensus.SnapshotMeta{Index: 9, Term: 2, Size: 5, Sum: xxhash.Sum64(data), Members: []consensus.Member{{ID: 2, Voter: true}}}
		return feed(consensus.Message{Type: consensus.MsgSnapshot, From: 2, Term: 2, Index: 9, Chunk: &consensus.Chunk{Meta: meta, Data: b}})
	}
	if rd := send([]byte("stale")); rd.Install != nil || rd.Messages[0].Type != consensus.MsgSnapshotResp || rd.Messages[0].Offset != 0 {
		t.Errorf("damaged snapshot installed or transfer not restarted: %+v", rd)
	}
	if rd := send(data); rd.Install == nil || string(rd.Install.Data) != "state" || !rd.Update.Reset {
		t.Errorf("intact snapshot not installed: %+v", rd)
	}
}

func TestForeignMessagesAreRefused(t *testing.T) {
	c, _ := newVoter(t)
	good := consensus.Message{Type: consensus.MsgHeartbeat, Cluster: simCluster, From: 2, To: 1, Term: 2}
	for want, change := range map[error]func(*consensus.Message){
		consensus.ErrForeignCluster: func(m *consensus.Message) { m.Cluster++ },
		consensus.ErrWrongNode:      func(m *consensus.Message) { m.To = 4 },
		consensus.ErrBadMessage:     func(m *consensus.Message) { m.Type = 0 },
	} {
		m := good
		change(&m)
		if err := c.Step(m); !errors.Is(err, want) || c.Status().Term != 1 {
			t.Errorf("error %v, want %v; term %d", err, want, c.Status().Term)
		}
	}
}
