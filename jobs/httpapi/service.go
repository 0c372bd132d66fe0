package httpapi

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
)

// Headers of the submitter API.
const (
	// HeaderOperationID carries the submitter's id of a job.
	HeaderOperationID = "Operation-Id"
)

const (
	// MaxWait bounds how long a heartbeat waits for commands. A worker whose lease
	// is slightly younger than LeaseRenewalAge can wait this long before its next
	// heartbeat renews it.
	MaxWait = 5 * time.Second
	// maxHeartbeatBytes bounds the body of a heartbeat.
	maxHeartbeatBytes = 512 << 10
	// maxBodyBytes bounds other bodies.
	maxBodyBytes = 32 << 10
	// coalesceDelay is the delay after a change before a waiting heartbeat
	// checks for commands again, so that one check covers several changes.
	coalesceDelay = 50 * time.Millisecond
	// retryAfter is the delay after which a client should retry.
	retryAfter = time.Second
	// maxListed bounds the jobs on one page of a list.
	maxListed = 500
	// maxCancelled bounds the jobs of one POST /v1/jobs/cancel.
	maxCancelled = 1_000
	// maxCancelBytes bounds the body of POST /v1/jobs/cancel.
	maxCancelBytes = 128 << 10
)

// ErrNotProposed is wrapped by errors of Service.Propose if the changes were not
// written to the log and will not be by this call.
var ErrNotProposed = errors.New("the changes were not proposed")

// ErrKey is wrapped by errors of Service.Authorize for an unknown or withdrawn
// key, and ErrKeyRequired for a missing one.
var (
	ErrKey         = errors.New("the key is unknown or withdrawn")
	ErrKeyRequired = errors.New("a team key is required")
)

// Service is the part of a daemon that the handlers use.
type Service interface {
	// Propose commits the changes with the time of the control clock and returns
	// one result for each. After an error that does not wrap ErrNotProposed the
	// outcome is unknown. Concurrent proposals may share a log entry.
	Propose(ctx context.Context, changes ...jobs.Change) (jobs.Result, error)
	// Read returns a linearizable view: it includes every command committed before
	// the call. Its Now is the control clock during the call.
	Read(ctx context.Context) (*jobs.View, error)
	// Watch returns the local view of this daemon, which is never older than one
	// returned by Read, and a channel that is closed when a newer one exists.
	Watch() (*jobs.View, <-chan struct{})
	// Authorize returns the team of a key. Without a key it returns the empty
	// team if the queue is open, else ErrKeyRequired. An empty queue means the
	// jobs of all open queues.
	Authorize(ctx context.Context, key, queue string) (team string, err error)
}

// handlers implements the routes.
type handlers struct{ service Service }

// RegisterWorkers adds the routes for workers to e. They do not check a team key;
// the caller has to restrict access to the listener.
func RegisterWorkers(e *echo.Echo, s Service) {
	h := &handlers{service: s}
	e.PUT("/v1/workers/:worker", withProblems(h.heartbeat))
	e.POST("/v1/workers/:worker/tasks/:task", withProblems(h.outcome))
}

// RegisterSubmitters adds the routes for submitters to e.
func RegisterSubmitters(e *echo.Echo, s Service) {
	h := &handlers{service: s}
	e.POST("/v1/jobs", withProblems(h.submit))
	e.POST("/v1/jobs/cancel", withProblems(h.cancelMany))
	e.GET("/v1/jobs", withProblems(h.list))
	e.GET("/v1/jobs/:job", withProblems(h.get))
	e.DELETE("/v1/jobs/:job", withProblems(h.cancel))
}

// propose commits one change and returns its result. It returns a problem if the
// change is refused.
func (h *handlers) propose(c *echo.Context, change jobs.Change) (jobs.ChangeResult, error) {
	r, err := h.service.Propose(c.Request().Context(), change)
	if err != nil {
		return jobs.ChangeResult{}, proposalProblem(err)
	}
	if len(r.Changes) != 1 {
		return jobs.ChangeResult{}, errors.Errorf("one change had %d results", len(r.Changes))
	}
	if r.Changes[0].Refused != "" {
		return jobs.ChangeResult{}, refusalProblem(&r.Changes[0])
	}
	return r.Changes[0], nil
}

// read returns a linearizable view.
func (h *handlers) read(c *echo.Context) (*jobs.View, error) {
	v, err := h.service.Read(c.Request().Context())
	if err != nil {
		return nil, unavailable("", err)
	}
	return v, nil
}

// authorize returns the team of the key in the Authorization header.
func (h *handlers) authorize(c *echo.Context, queue string) (string, error) {
	key := ""
	if text := c.Request().Header.Get("Authorization"); text != "" {
		bearer, ok := strings.CutPrefix(text, "Bearer ")
		if !ok || bearer == "" {
			return "", api.NewProblem(http.StatusUnauthorized, api.CodeKeyInvalid, api.RunNot, "the Authorization header must be \"Bearer KEY\"")
		}
		key = bearer
	}
	team, err := h.service.Authorize(c.Request().Context(), key, queue)
	switch {
	case errors.Is(err, ErrKeyRequired):
		return "", api.NewProblem(http.StatusUnauthorized, api.CodeKeyRequired, api.RunNot, err.Error())
	case errors.Is(err, ErrKey):
		return "", api.NewProblem(http.StatusUnauthorized, api.CodeKeyInvalid, api.RunNot, err.Error())
	case err != nil:
		return "", unavailable(api.RunNot, err)
	}
	return team, nil
}
