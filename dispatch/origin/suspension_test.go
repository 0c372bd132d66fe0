package origin

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/clock/clocktest"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/standin"
)

// TestRequestIsNotSentAfterSuspension guards against a request that is sent to an endpoint when
// the machine of its origin wakes up, after the caller's deadline.
func TestRequestIsNotSentAfterSuspension(t *testing.T) {
	b := newTestBed(t, standin.EndpointConfig{})
	b.slots.beforeGrant = func(int) error {
		clocktest.Suspend(time.Minute)
		return nil
	}
	r := b.post("book", "x", header(api.HeaderDeadline, "1500ms"))
	if r.status != http.StatusGatewayTimeout || r.run() != api.RunNot || !r.hasCode(api.CodeDeadline) {
		t.Errorf("%d, run %q: %s", r.status, r.run(), r.body)
	}
	if n := len(b.endpoint.Runs()); n > 0 {
		t.Errorf("the endpoint ran %d requests after their deadline", n)
	}
}

// TestGrantLapsesDuringSuspension guards against a start under a grant whose time to start has
// passed while the machine was suspended: its slot may serve another request.
func TestGrantLapsesDuringSuspension(t *testing.T) {
	granted := clock.Now()
	clocktest.Suspend(2 * time.Second)
	err := (&call{}).checkStart(t.Context(), dispatch.Grant{StartWithin: time.Second}, granted)
	if !errors.Is(err, errStartDenied) {
		t.Errorf("start under a grant of 1 s after a suspension of 2 s: %v", err)
	}
}
