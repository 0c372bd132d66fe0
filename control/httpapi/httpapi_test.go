package httpapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

const operatorKey = "operator-key"

const document = `
name: office
availability_zones: [{name: fukuoka}]
pools: [{name: quotes}]
services:
- name: quote
  pool: quotes
  slots_per_endpoint: 8
  connections_per_endpoint: 64
  longest_run: 30s
  queues: [{name: quick, max_wait: 1500ms}]
teams: [{name: schools, share: 3, limit: 40}]
`

// fakeService is a Service with a local state.
type fakeService struct {
	state        *control.State
	err          error
	barrierErr   error
	pendingPolls int // remaining InForce calls that report a missing daemon
}

func (f *fakeService) Propose(_ context.Context, cmd *control.Command) (control.Result, error) {
	if f.err != nil {
		return control.Result{}, f.err
	}
	return f.state.Apply(f.state.Index()+1, cmd), nil
}
func (f *fakeService) View() *control.View           { return f.state.View() }
func (f *fakeService) Barrier(context.Context) error { return f.barrierErr }
func (f *fakeService) History(context.Context) ([]control.HistoryEntry, error) {
	return f.state.History(), f.barrierErr
}
func (f *fakeService) InForce(uint64) (reached, missing []string) {
	f.pendingPolls--
	if f.pendingPolls >= 0 {
		return []string{"d1"}, []string{"d2"}
	}
	return []string{"d1", "d2"}, []string{}
}

type fixture struct {
	t       *testing.T
	service *fakeService
	echo    *echo.Echo
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, service: &fakeService{state: control.New("c", control.Options{})}, echo: echo.New()}
	Register(f.echo, f.service, []Operator{{Name: "other", Hash: control.HashKey("x")}, {Name: "ops", Hash: control.HashKey(operatorKey)}})
	return f
}

// send sends a request with a valid operator key.
func (f *fixture) send(method, target, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, target, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	rec := httptest.NewRecorder()
	f.echo.ServeHTTP(rec, req)
	return rec
}

// call sends a request, checks status and content type, and decodes the JSON response.
func (f *fixture) call(method, target, body string, want int) (map[string]any, http.Header) {
	f.t.Helper()
	rec := f.send(method, target, body)
	if rec.Code != want {
		f.t.Fatalf("%s %s: status %d, want %d: %s", method, target, rec.Code, want, rec.Body)
	}
	if problem := rec.Header().Get("Content-Type") == api.ProblemMediaType; problem != (want >= 400) {
		f.t.Fatalf("content type %q", rec.Header().Get("Content-Type"))
	}
	out := map[string]any{}
	_ = json.Unmarshal(rec.Body.Bytes(), &out)
	return out, rec.Header()
}

func TestEveryRouteNeedsAnOperatorKey(t *testing.T) {
	f := newFixture(t)
	for _, route := range f.echo.Router().Routes() {
		for _, header := range []string{"", "Bearer ", "Bearer wrong", operatorKey} {
			req := httptest.NewRequest(route.Method, strings.ReplaceAll(route.Path, ":", ""), http.NoBody)
			req.Header.Set("Authorization", header)
			rec := httptest.NewRecorder()
			f.echo.ServeHTTP(rec, req)
			if rec.Code != http.StatusUnauthorized || !strings.Contains(rec.Body.String(), string(api.CodeOperatorRequired)) {
				t.Errorf("%s %s with %q: status %d", route.Method, route.Path, header, rec.Code)
			}
		}
	}
}

func TestDocumentRoundTrip(t *testing.T) {
	f := newFixture(t)
	f.call("POST", "/v1/document?operation=a&base=0&wait=1s", document, 200)
	got, header := f.call("GET", "/v1/document", "", 200)
	if header.Get(HeaderDocumentVersion) != "1" || got["document_version"] != 1.0 {
		t.Fatalf("got %v", got)
	}
	asJSON, _ := json.Marshal(got["document"])
	f.call("POST", "/v1/document/check", string(asJSON), 200)
	asYAML := f.send("GET", "/v1/document?format=yaml", "").Body.Bytes()
	for _, text := range [][]byte{asJSON, asYAML} {
		doc, err := api.LoadDocument(text)
		if err != nil || doc.Services[0].Queues[0].Patience() != 1500*time.Millisecond {
			t.Fatalf("%v of %s", err, text)
		}
	}
	history, _ := f.call("GET", "/v1/document/history", "", 200)
	entry := history["documents"].([]any)[0].(map[string]any)
	if entry["actor"] != "ops" || entry["version"] != 1.0 || len(entry["digest"].(string)) != 64 {
		t.Fatalf("history %v", history)
	}
}

func TestWaitEndsWhenInForceOrTimedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.service.pendingPolls = 3
		start := time.Now()
		got, _ := f.call("POST", "/v1/document?operation=a&base=0&wait=10s", document, 200)
		if len(got["missing"].([]any)) != 0 || time.Since(start) != 3*pollInterval {
			t.Fatalf("got %v after %s", got, time.Since(start))
		}
		f.service.pendingPolls = 1 << 30
		start = time.Now()
		got, _ = f.call("POST", "/v1/document?operation=b&base=1&wait=2s", document, 200)
		if len(got["missing"].([]any)) != 1 || time.Since(start) != 2*time.Second {
			t.Fatalf("got %v after %s", got, time.Since(start))
		}
	})
}

func TestKeysAreGrantedListedAndWithdrawn(t *testing.T) {
	f := newFixture(t)
	f.call("POST", "/v1/document?operation=a&base=0", document, 200)
	granted, header := f.call("POST", "/v1/teams/schools/keys?operation=k1", `{"label":"counter"}`, 201)
	text, id := granted["key"].(string), granted["key_id"].(string)
	if team, err := f.service.View().Authorize(text); err != nil || team != "schools" || header.Get("Cache-Control") != "no-store" {
		t.Fatalf("granted %v: %v", granted, err)
	}
	again, _ := f.call("POST", "/v1/teams/schools/keys?operation=k1", `{"label":"counter"}`, 201)
	if again["key_id"] != id || again["key"] != nil || again["repeated"] != true {
		t.Fatalf("repeated grant %v", again)
	}
	own := control.NewKey()
	body := fmt.Sprintf(`{"key_id":%q,"hash":%q}`, own.ID, hex.EncodeToString(own.Hash[:]))
	f.call("POST", "/v1/teams/schools/keys?operation=k2", body, 201)
	if _, err := f.service.View().Authorize(own.Text); err != nil {
		t.Fatal(err)
	}
	f.call("POST", "/v1/teams/schools/keys?operation=k3", "", 409)
	for _, target := range []string{"/v1/keys", "/v1/teams/schools/keys"} {
		list, _ := f.call("GET", target, "", 200)
		raw := fmt.Sprint(list)
		if len(list["keys"].([]any)) != 2 || strings.Contains(raw, text[30:]) || strings.Contains(raw, hex.EncodeToString(own.Hash[:])) {
			t.Fatalf("list %v", list)
		}
	}
	f.call("DELETE", "/v1/keys/"+id+"?operation=w1", "", 200)
	f.call("DELETE", "/v1/keys/"+id+"?operation=w1", "", 200)
	if _, err := f.service.View().Authorize(text); err == nil {
		t.Fatal("a withdrawn key is valid")
	}
}

// TestZoneOrders guards against orders for zones that are answered before they are in
// the state, rejected when repeated, or accepted for a zone that contains nothing.
func TestZoneOrders(t *testing.T) {
	f := newFixture(t)
	const path = "/v1/availability-zones/oita/"
	if got, _ := f.call("POST", path+"evacuate?operation=a", "", 404); got["code"] != "unknown-zone" || got["run"] != "not-run" {
		t.Fatalf("unknown zone: %v", got)
	}
	register := &control.Command{RegisterDaemon: &control.RegisterDaemon{Name: "oita-1", Incarnation: "i", Zone: "oita", Address: "10.0.0.1:1"}}
	if r := f.service.state.Apply(f.service.state.Index()+1, register); r.Refusal != nil {
		t.Fatal(r.Refusal)
	}
	f.call("POST", path+"evacuate", "", 400)
	for _, repeated := range []any{nil, true} {
		got, _ := f.call("POST", path+"evacuate?operation=b", "", 200)
		if got["repeated"] != repeated || got["version"] != 2.0 || !f.service.View().ZoneEvacuated("oita") {
			t.Fatalf("evacuate: %v", got)
		}
	}
	if e := f.service.View().Evacuations(); len(e) != 1 || e[0].Actor != "ops" || e[0].OperationID != "b" {
		t.Fatalf("evacuations %+v", e)
	}
	f.service.barrierErr = errors.New("no quorum")
	if got, _ := f.call("POST", path+"restore?operation=c", "", 503); got["run"] != "not-run" {
		t.Fatalf("without a quorum: %v", got)
	}
	f.service.barrierErr = nil
	f.call("POST", path+"restore?operation=c", "", 200)
	f.call("POST", path+"evacuate?operation=b", "", 200)
	if f.service.View().ZoneEvacuated("oita") {
		t.Fatal("a repeated operation undid a newer one")
	}
}

// TestPathOutsideUTF8IsRefused guards against a call that is answered as of unknown
// outcome, and so repeated for ever, although its command can't be stored.
func TestPathOutsideUTF8IsRefused(t *testing.T) {
	f := newFixture(t)
	f.service.err = errors.New("encode control command")
	for _, call := range []struct{ method, target string }{
		{"POST", "/v1/availability-zones/%FF/evacuate?operation=a"},
		{"POST", "/v1/availability-zones/%FF/restore?operation=b"},
		{"DELETE", "/v1/keys/%FF?operation=c"},
		{"POST", "/v1/teams/%FF/keys?operation=d"},
	} {
		got, _ := f.call(call.method, call.target, "", 400)
		if got["code"] != "invalid-field" || got["run"] != "not-run" {
			t.Errorf("%s %s: %v", call.method, call.target, got)
		}
	}
}

// TestProblems runs the request table in testdata/problems and compares the status,
// headers and body of each response.
func TestProblems(t *testing.T) {
	f := newFixture(t)
	datadriven.RunTest(t, "testdata/problems", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "service" { // sets the errors of the service
			f.service.err, f.service.barrierErr = nil, nil
			if d.HasArg("unreachable") {
				f.service.err, f.service.barrierErr = errors.New("timeout"), errors.New("cut off")
			}
			if d.HasArg("leaderless") {
				f.service.err = errors.Wrap(ErrNotProposed, "no leader")
			}
			return ""
		}
		method, target, body := d.Cmd, d.CmdArgs[0].String(), d.Input
		var replace []string
		if d.HasArg("replace") {
			d.ScanArgs(t, "replace", &replace)
			body = strings.Replace(document, replace[0], replace[1], 1)
		}
		if d.HasArg("size") {
			var n int
			d.ScanArgs(t, "size", &n)
			body = strings.Repeat("#", n)
		}
		rec := f.send(method, strings.ReplaceAll(target, "LONG", strings.Repeat("x", 200)), body)
		h := rec.Header()
		return fmt.Sprintf("%d version=%s retry=%s\n%s", rec.Code, h.Get(HeaderDocumentVersion), h.Get("Retry-After"), rec.Body)
	})
}
