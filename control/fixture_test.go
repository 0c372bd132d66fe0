package control

import (
	"fmt"
	"time"

	"magnoliastand.example/api"
)

const testCluster = "cluster-a"

// testDocument returns a document with the given number of teams, each with the
// given limit.
func testDocument(teams, limit int) api.Document {
	doc := api.Document{
		Name:              "office",
		AvailabilityZones: []api.AvailabilityZone{{Name: "z1"}, {Name: "z2"}},
		Pools:             []api.Pool{{Name: "quotes"}},
		Services: []api.Service{{
			Name: "quote", Pool: "quotes", SlotsPerEndpoint: 8, ConnectionsPerEndpoint: 64,
			LongestRun: api.Duration(30 * time.Second),
			Queues:     []api.Queue{{Name: "quick", Idempotent: true}, {Name: "open", Open: true}},
		}},
	}
	for i := range teams {
		doc.Teams = append(doc.Teams, api.Team{Name: fmt.Sprintf("team-%d", i), Share: 1, Limit: limit})
	}
	return doc
}

// testKey returns a deterministic key derived from n.
func testKey(n int) Key {
	id := fmt.Sprintf("%016x", n)
	text := fmt.Sprintf("mk_%s_%064x", id, n)
	return Key{ID: id, Text: text, Hash: HashKey(text)}
}

func applyDocumentCommand(op string, base uint64, doc api.Document) *Command {
	return &Command{ApplyDocument: &ApplyDocument{OperationID: op, Actor: "ops", BaseVersion: base, Document: doc}}
}

func grantKeyCommand(op, team string, k Key) *Command {
	return &Command{GrantKey: &GrantKey{OperationID: op, Team: team, KeyID: k.ID, Hash: k.Hash}}
}

func withdrawKeyCommand(op, id string) *Command {
	return &Command{WithdrawKey: &WithdrawKey{OperationID: op, KeyID: id}}
}
