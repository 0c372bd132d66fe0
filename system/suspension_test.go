package system

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock/clocktest"
	"magnoliastand.example/platform"
)

// document is a valid configuration document of the given version.
func document(version string) []byte {
	return []byte(`{"version":` + version + `,"routes":[],"services":[],"limits":{},"tenants":[]}`)
}

// TestDocumentIsNotReadAfterSuspension guards against a leader that answers a read with its own
// copy when its machine wakes up: another leader may have committed a newer document.
func TestDocumentIsNotReadAfterSuspension(t *testing.T) {
	m, _ := leading(t, formLog(t, 3, &heldWorkers{}))
	m.lead(t)
	waitFor(t, "document committed", func() bool {
		_, err := m.putDocument(t.Context(), &documentMessage{Raw: document("1")})
		return err == nil
	})
	d, err := m.currentDriver()
	if err != nil {
		t.Fatal(err)
	}
	clocktest.Suspend(t, 3*time.Second)
	_, err = m.document(t.Context(), &emptyMessage{})
	if now, _ := m.currentDriver(); !errors.Is(err, platform.ErrUnavailable) && (now == nil || now == d) {
		t.Errorf("read after a suspension of 3 s: %v, want %v", err, platform.ErrUnavailable)
	}
}
