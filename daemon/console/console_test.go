package console

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/api"
	"magnoliastand.example/clock/clocktest"
	"magnoliastand.example/control"
	"magnoliastand.example/control/httpapi"
)

const operatorKey = "the-operator-key-of-the-test"

// fakeService applies commands to a control state at once.
type fakeService struct {
	state *control.State
}

func (f *fakeService) Propose(_ context.Context, cmd *control.Command) (control.Result, error) {
	return f.state.Apply(f.state.Index()+1, cmd), nil
}
func (f *fakeService) View() *control.View                        { return f.state.View() }
func (f *fakeService) Barrier(context.Context) error              { return nil }
func (f *fakeService) Wave(context.Context, string, string) error { return nil }
func (f *fakeService) Waves(context.Context) ([]WaveRow, error) {
	return []WaveRow{{Name: "<b>wave</b>", State: "running"}}, nil
}

// browser keeps the cookie of one operator.
type browser struct {
	t      *testing.T
	e      *echo.Echo
	cookie *http.Cookie
}

func newBrowser(t *testing.T) (*browser, *fakeService) {
	t.Helper()
	f := &fakeService{state: control.New("test", control.Options{})}
	doc := api.Document{
		Name: "test", AvailabilityZones: []api.AvailabilityZone{{Name: "z1"}},
		Pools: []api.Pool{{Name: "work"}}, Teams: []api.Team{{Name: "schools", Share: 1, Limit: 5}},
	}
	if r, _ := f.Propose(t.Context(), &control.Command{ApplyDocument: &control.ApplyDocument{OperationID: "first", Document: doc}}); r.Refusal != nil {
		t.Fatal(r.Refusal)
	}
	e := echo.New()
	Register(e, f, []httpapi.Operator{{Name: "hana", Hash: control.HashKey(operatorKey)}})
	return &browser{t: t, e: e}, f
}

func (b *browser) do(method, path string, form url.Values) (int, string) {
	b.t.Helper()
	req := httptest.NewRequest(method, path, strings.NewReader(form.Encode()))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	if b.cookie != nil {
		req.AddCookie(b.cookie)
	}
	rec := httptest.NewRecorder()
	b.e.ServeHTTP(rec, req)
	for _, c := range rec.Result().Cookies() {
		b.cookie = c
	}
	return rec.Code, rec.Body.String()
}

func (b *browser) login() {
	b.t.Helper()
	if code, _ := b.do(http.MethodPost, "/console/login", url.Values{"key": {operatorKey}}); code != http.StatusSeeOther {
		b.t.Fatalf("login answered %d", code)
	}
}

var inputs = regexp.MustCompile(`<input (?:type="hidden" )?name="([^"]+)"[^>]*? value="([^"]*)"`)

// form returns the inputs of a page as a browser would send them.
func form(page string) url.Values {
	v := url.Values{}
	for _, m := range inputs.FindAllStringSubmatch(page, -1) {
		v.Set(m[1], unescape(m[2]))
	}
	return v
}

func unescape(s string) string {
	return strings.NewReplacer("&#34;", `"`, "&#43;", "+", "&amp;", "&", "&lt;", "<", "&gt;", ">", "&#39;", "'").Replace(s)
}

func TestEditReviewApply(t *testing.T) {
	b, f := newBrowser(t)
	b.login()
	_, page := b.do(http.MethodGet, "/console", nil)
	v := form(page)
	v.Set("teams[1].name", "homes")
	v.Set("teams[1].share", "2")
	v.Set("teams[1].limit", "9")
	code, page := b.do(http.MethodPost, "/console/review", v)
	if code != http.StatusOK || !strings.Contains(page, "homes") || f.View().DocumentVersion() != 1 {
		t.Fatalf("review answered %d, version %d:\n%s", code, f.View().DocumentVersion(), page)
	}
	code, page = b.do(http.MethodPost, "/console/apply", form(page))
	if code != http.StatusOK {
		t.Fatalf("apply answered %d:\n%s", code, page)
	}
	team, ok := f.View().Index().Team("homes")
	if !ok || team.Limit != 9 || f.state.History()[1].Actor != "hana" {
		t.Fatalf("team %+v, history %+v", team, f.state.History())
	}
}

func TestFaultsStandAtTheirFields(t *testing.T) {
	b, f := newBrowser(t)
	b.login()
	_, page := b.do(http.MethodGet, "/console", nil)
	v := form(page)
	v.Set("teams[0].share", "many")
	v.Set("pools[0].name", "Not A Name")
	code, page := b.do(http.MethodPost, "/console/review", v)
	if code != http.StatusUnprocessableEntity || f.View().DocumentVersion() != 1 {
		t.Fatalf("review answered %d", code)
	}
	for _, path := range []string{"teams[0].share", "pools[0].name"} {
		at := regexp.MustCompile(regexp.QuoteMeta(`name="`+path+`"`) + `[^>]*><span class="fault">`)
		if !at.MatchString(page) {
			t.Errorf("no fault stands at %s:\n%s", path, page)
		}
	}
}

func TestConflictIsShownAndOverwritesNothing(t *testing.T) {
	b, f := newBrowser(t)
	b.login()
	_, page := b.do(http.MethodGet, "/console", nil)
	_, review := b.do(http.MethodPost, "/console/review", form(page))
	other := *f.View().Document()
	other.Name = "changed"
	if r, _ := f.Propose(t.Context(), &control.Command{ApplyDocument: &control.ApplyDocument{OperationID: "other", BaseVersion: 1, Document: other}}); r.Refusal != nil {
		t.Fatal(r.Refusal)
	}
	for path, v := range map[string]url.Values{"/console/review": form(page), "/console/apply": form(review)} {
		if code, body := b.do(http.MethodPost, path, v); code != http.StatusConflict || !strings.Contains(body, "another operator") {
			t.Errorf("%s answered %d:\n%s", path, code, body)
		}
	}
	if f.View().Document().Name != "changed" {
		t.Error("the other operator's change was overwritten")
	}
}

func TestFormsNeedSessionAndToken(t *testing.T) {
	b, f := newBrowser(t)
	if code, _ := b.do(http.MethodGet, "/console", nil); code != http.StatusSeeOther {
		t.Errorf("without a session: %d", code)
	}
	if code, _ := b.do(http.MethodPost, "/console/login", url.Values{"key": {"wrong"}}); code != http.StatusUnauthorized {
		t.Errorf("wrong key: %d", code)
	}
	b.login()
	code, _ := b.do(http.MethodPost, "/console/keys/grant", url.Values{"team": {"schools"}, "csrf": {"wrong"}})
	if code != http.StatusForbidden || len(f.View().Keys("")) != 0 {
		t.Errorf("form of another session: %d", code)
	}
}

func TestKeyIsShownOnceAndValuesAreEscaped(t *testing.T) {
	b, f := newBrowser(t)
	b.login()
	_, page := b.do(http.MethodGet, "/console/keys", nil)
	_, page = b.do(http.MethodPost, "/console/keys/grant", url.Values{
		"team": {"schools"}, "label": {"<script>x</script>"}, "csrf": {form(page).Get("csrf")},
	})
	text := regexp.MustCompile(`mk_[0-9a-f]+_[0-9a-f]+`).FindString(page)
	if team, err := f.View().Authorize(text); err != nil || team != "schools" {
		t.Fatalf("granted key: %q, %v", team, err)
	}
	_, again := b.do(http.MethodGet, "/console/keys", nil)
	_, waves := b.do(http.MethodGet, "/console/waves", nil)
	for _, p := range []string{page, again, waves} {
		if strings.Contains(p, "<script>") || strings.Contains(p, "<b>wave") || strings.Contains(p, operatorKey) {
			t.Error("a page holds an unescaped value or the operator key")
		}
	}
	if strings.Contains(again, text) {
		t.Error("the key is shown again")
	}
}

func TestDiff(t *testing.T) {
	got := ""
	for _, l := range diff("a\nb\nc\nd\ne", "a\nb\nx\nd\ne\nf") {
		got += l.Mark + l.Text + ";"
	}
	if got != " a; b;-c;+x; d; e;+f;" {
		t.Errorf("got %s", got)
	}
}

// TestSessionExpiresOverSuspension guards against a session that outlives its eight hours by the
// time for which the daemon's machine was suspended.
func TestSessionExpiresOverSuspension(t *testing.T) {
	b, _ := newBrowser(t)
	b.login()
	if status, _ := b.do(http.MethodGet, "/console", nil); status != http.StatusOK {
		t.Fatalf("status %d in a session", status)
	}
	clocktest.Suspend(sessionLife)
	if status, _ := b.do(http.MethodGet, "/console", nil); status != http.StatusSeeOther {
		t.Errorf("status %d, want a redirect to the login after %s", status, sessionLife)
	}
}
