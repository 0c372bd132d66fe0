package origin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
)

// Paths of the caller interface.
const (
	// RequestPattern is the http.ServeMux pattern for requests.
	RequestPattern = "POST /v1/queues/{queue}/requests"
	// HomePattern is the http.ServeMux pattern of the call that issues request IDs.
	HomePattern = "GET /v1/home"

	bearerPrefix = "Bearer "
	// maxTimeout is the longest allowed value of Request-Timeout.
	maxTimeout = 24 * time.Hour
)

// HomeReply is the body of GET /v1/home.
type HomeReply struct {
	// RequestID may be used for one request, sent to any daemon.
	RequestID string `json:"request_id"`
}

// Register adds the caller interface to mux.
func (o *Origin) Register(mux *http.ServeMux) {
	mux.HandleFunc(RequestPattern, o.ServeRequest)
	mux.HandleFunc(HomePattern, o.ServeHome)
}

// ServeHome answers GET /v1/home.
func (o *Origin) ServeHome(w http.ResponseWriter, _ *http.Request) {
	id := o.FreshID()
	h := w.Header()
	h.Set(api.HeaderRequestID, id)
	h.Set(api.HeaderHome, o.cfg.Records.HomeOf(id))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	// An error means that the caller disconnected; the status is already sent.
	_ = json.NewEncoder(w).Encode(HomeReply{RequestID: id})
}

// ServeRequest answers POST /v1/queues/{queue}/requests. The request must have
// the path value "queue".
func (o *Origin) ServeRequest(w http.ResponseWriter, req *http.Request) {
	rc := http.NewResponseController(w)
	r, p := parseRequest(req)
	if r.Length != 0 {
		// Some writers, such as those in tests, do not support deadlines.
		_ = rc.SetReadDeadline(time.Now().Add(o.cfg.Limits.BodyTimeout))
		r.BodyDone = func() { _ = rc.SetReadDeadline(time.Time{}) }
	}
	var result *Result
	if p != nil {
		result = o.refuse(req, r, p)
	} else {
		result = o.Handle(req.Context(), r)
	}
	_ = rc.SetWriteDeadline(time.Now().Add(o.cfg.Limits.WriteTimeout))
	// The server reads the rest of a rejected body after the response.
	_ = rc.SetReadDeadline(time.Now().Add(o.cfg.Limits.BodyTimeout))
	WriteResult(w, result)
	// The connection is reused, so the deadline must not outlive this response.
	_ = rc.Flush()
	_ = rc.SetWriteDeadline(time.Time{})
}

func (o *Origin) refuse(req *http.Request, r *Request, p *api.Problem) *Result {
	c := &call{o: o, r: r}
	c.assignID()
	return c.rejectUnadmitted(req.Context(), p)
}

// parseRequest parses the header. If a field is invalid, it returns a problem
// and the request as parsed so far.
func parseRequest(req *http.Request) (*Request, *api.Problem) {
	r := &Request{
		Queue:       req.PathValue("queue"),
		ContentType: req.Header.Get("Content-Type"),
		Source:      req.Body,
		Length:      req.ContentLength,
		Received:    clock.Now(),
	}
	ids := req.Header.Values(api.HeaderRequestID)
	if len(ids) > 1 {
		return r, invalidField(api.HeaderRequestID, "given more than once")
	}
	if len(ids) == 1 {
		r.ID = ids[0]
	}
	key, p := parseKey(req.Header.Values("Authorization"))
	if p != nil {
		return r, p
	}
	r.Key = key
	r.Timeout, p = parseTimeout(req.Header.Values(api.HeaderDeadline))
	return r, p
}

func parseKey(values []string) (string, *api.Problem) {
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", invalidField("Authorization", "given more than once")
	}
	v := values[0]
	if len(v) <= len(bearerPrefix) || !strings.EqualFold(v[:len(bearerPrefix)], bearerPrefix) {
		return "", invalidField("Authorization", "must be \"Bearer <key>\"")
	}
	return strings.TrimSpace(v[len(bearerPrefix):]), nil
}

func parseTimeout(values []string) (time.Duration, *api.Problem) {
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) > 1 {
		return 0, invalidField(api.HeaderDeadline, "given more than once")
	}
	d, err := time.ParseDuration(values[0])
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, invalidField(api.HeaderDeadline, "must be a duration such as \"800ms\", of at most "+maxTimeout.String())
	}
	return d, nil
}

// WriteResult writes a result to a caller.
func WriteResult(w http.ResponseWriter, r *Result) {
	h := w.Header()
	if r.Answer != nil {
		for _, f := range r.Answer.Fields {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(api.HeaderRequestID, r.ID)
	h.Set(api.HeaderRun, string(r.Run))
	if r.Home != "" {
		h.Set(api.HeaderHome, r.Home)
	}
	if r.Problem != nil {
		writeProblem(w, r.Problem)
		return
	}
	if bodyAllowed(r.Answer.Status) {
		h.Set("Content-Length", strconv.Itoa(len(r.Answer.Body)))
	}
	w.WriteHeader(r.Answer.Status)
	// An error means that the caller disconnected; the response is stored and can
	// be fetched by a resend.
	_, _ = w.Write(r.Answer.Body)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func writeProblem(w http.ResponseWriter, p *api.Problem) {
	h := w.Header()
	h.Set("Content-Type", api.ProblemMediaType)
	if p.Code == api.CodeShuttingDown {
		// Closing the connection lets the caller reconnect to another daemon.
		h.Set("Connection", "close")
	}
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body, err := json.Marshal(p)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
