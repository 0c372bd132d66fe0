package system

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
)

// TestPanicEndsRequestOnly lets a handler panic. The caller must get no answer, as
// the request may have run, and the server must serve the next request.
func TestPanicEndsRequestOnly(t *testing.T) {
	s := newServers(zerolog.Nop(), prometheus.NewRegistry())
	first := true
	h := s.recoverPanics("callers", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if first {
			first = false
			panic("unexpected")
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	srv := httptest.NewServer(h)
	defer srv.Close()
	if resp, err := http.Post(srv.URL, "text/plain", http.NoBody); err == nil {
		_ = resp.Body.Close()
		t.Errorf("answer %d of a request whose handler panicked", resp.StatusCode)
	}
	resp, err := http.Post(srv.URL, "text/plain", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if n := testutil.ToFloat64(s.panics.WithLabelValues("callers")); resp.StatusCode != http.StatusNoContent || n != 1 {
		t.Errorf("status %d of the next request, %g panics counted", resp.StatusCode, n)
	}
}
