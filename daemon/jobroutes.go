package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
	"magnoliastand.example/jobs/httpapi"
	"magnoliastand.example/peerlink"
)

const (
	// maxForwardBytes bounds the body of a call that is passed on to the leader.
	maxForwardBytes = 512 << 10
	// forwardTimeout bounds a call that is passed on, a held heartbeat included.
	forwardTimeout = httpapi.MaxWait + 5*time.Second
)

// forwardedCall is a call on jobs or workers, passed on to the leader.
type forwardedCall struct {
	Method string `cbor:"1,keyasint"`
	// Target is the path with the query.
	Target      string `cbor:"2,keyasint"`
	Key         string `cbor:"3,keyasint,omitempty"`
	OperationID string `cbor:"4,keyasint,omitempty"`
	Body        []byte `cbor:"5,keyasint,omitempty"`
}

// forwardedReply is the leader's answer.
type forwardedReply struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	RetryAfter  string `cbor:"3,keyasint,omitempty"`
	Body        []byte `cbor:"4,keyasint"`
}

// jobHandler returns the interface of workers and submitters as the leader serves it.
func (d *Daemon) jobHandler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = writeHTTPError
	service := jobService{plane: d.control}
	httpapi.RegisterWorkers(e, service)
	httpapi.RegisterSubmitters(e, service)
	return e
}

// jobRoutes adds the interface of workers and submitters, served here or by the
// leader.
func (d *Daemon) jobRoutes(e *echo.Echo) {
	d.jobs = d.jobHandler()
	d.link.Handle(methodJobs, d.handleJobs)
	serve := echo.WrapHandler(http.HandlerFunc(d.serveJobs))
	e.Any("/v1/jobs", serve)
	e.Any("/v1/jobs/*", serve)
	e.Any("/v1/workers/*", serve, d.requireWorker)
}

// requireWorker refuses workers without one of the workers' keys.
func (d *Daemon) requireWorker(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok || !isKeyOf(d.workerKeys, key) {
			return api.NewProblem(http.StatusUnauthorized, api.CodeKeyRequired, "", "a valid worker key is required")
		}
		return next(c)
	}
}

func isKeyOf(hashes []control.KeyHash, key string) bool {
	hash := control.HashKey(key)
	found := false
	for _, h := range hashes {
		found = h.Equal(hash) || found
	}
	return found
}

func (d *Daemon) serveJobs(w http.ResponseWriter, r *http.Request) {
	lift := boundRead(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxForwardBytes))
	if err != nil {
		p := api.NewProblem(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, api.RunNot,
			"the body has more than "+strconv.Itoa(maxForwardBytes)+" bytes")
		writeProblem(w, p)
		return
	}
	lift()
	if d.control.leads() {
		r.Body = io.NopCloser(bytes.NewReader(body))
		d.jobs.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	var reply forwardedReply
	err = d.control.callLeader(ctx, methodJobs, forwardedCall{
		Method:      r.Method,
		Target:      r.URL.RequestURI(),
		Key:         r.Header.Get(echo.HeaderAuthorization),
		OperationID: r.Header.Get(httpapi.HeaderOperationID),
		Body:        body,
	}, &reply)
	if err != nil {
		writeProblem(w, jobsUnavailable(err))
		return
	}
	w.Header().Set(echo.HeaderContentType, reply.ContentType)
	if reply.RetryAfter != "" {
		w.Header().Set(echo.HeaderRetryAfter, reply.RetryAfter)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // an error means that the caller is gone
}

// jobsUnavailable tells truthfully whether the call had an effect.
func jobsUnavailable(err error) *api.Problem {
	run := api.RunUnknown
	if notSent(err) {
		run = api.RunNot
	}
	return api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, run, "the leader of the control log can't be reached from here")
}

// handleJobs serves a call that another daemon passed on.
func (d *Daemon) handleJobs(ctx context.Context, _ peerlink.Identity, payload []byte) (any, error) {
	var call forwardedCall
	if err := decodeMessage(payload, &call); err != nil {
		return nil, err
	}
	if !d.control.leads() {
		return nil, errNotLeader
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	if call.Key != "" {
		req.Header.Set(echo.HeaderAuthorization, call.Key)
	}
	if call.OperationID != "" {
		req.Header.Set(httpapi.HeaderOperationID, call.OperationID)
	}
	rec := &replyRecorder{header: make(http.Header), status: http.StatusOK}
	d.jobs.ServeHTTP(rec, req)
	return forwardedReply{
		Status:      rec.status,
		ContentType: rec.header.Get(echo.HeaderContentType),
		RetryAfter:  rec.header.Get(echo.HeaderRetryAfter),
		Body:        rec.body.Bytes(),
	}, nil
}

// replyRecorder keeps an answer in memory. It implements http.ResponseWriter.
type replyRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *replyRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *replyRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *replyRecorder) Write(b []byte) (int, error) { return r.body.Write(b) }
