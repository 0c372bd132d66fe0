// Package peerlinktest provides peer link nodes on loopback addresses for tests.
package peerlinktest

import (
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"magnoliastand.example/peerlink"
)

// NewNode returns a node in the given availability zone that accepts links until
// the test ends. Its name is its address. All nodes share a secret.
func NewNode(t testing.TB, zone string) *peerlink.Node {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	node, err := peerlink.New(peerlink.Config{
		Self:   peerlink.Identity{Cluster: "c", Name: server.Listener.Addr().String(), Incarnation: "1", Zone: zone},
		Secret: []byte("a secret of the test"), NamesAreAddresses: true, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	server.Config.Handler = node.Handler()
	server.Start()
	t.Cleanup(func() { node.Close(); server.Close() })
	return node
}
