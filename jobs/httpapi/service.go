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

// Headers of the submitters' interface.
const (
	// HeaderOperationID carries the submitter's own id of a job.
	HeaderOperationID = "Operation-Id"
)

const (
	// MaxWait bounds how long a heartbeat waits for commands. A worker whose lease
	// is nearly RenewAfter old waits this long before its next heartbeat renews it.
	MaxWait = 5 * time.Second
	// maxHeartbeatBytes bounds the body of a heartbeat.
	maxHeartbeatBytes = 512 << 10
	// maxBodyBytes bounds other bodies.
	maxBodyBytes = 32 << 10
	// settleTime is how long a waiting heartbeat gathers changes before it looks again.
	settleTime = 50 * time.Millisecond
	// retryAfter is what a client waits before it repeats a call.
	retryAfter = time.Second
	// maxListed bounds the jobs of one page of a list.
	maxListed = 500
	// maxCancelled bounds the jobs of one call that cancels several.
	maxCancelled = 1_000
	// maxCancelBytes bounds the body of that call.
	maxCancelBytes = 128 << 10
)

// ErrNotProposed is wrapped by errors of Service.Propose when the changes have
// not entered the log and never will through this call.
var ErrNotProposed = errors.New("the changes were not proposed")

// ErrKey is wrapped by errors of Service.Authorize for a key that is unknown
// or withdrawn, and ErrKeyRequired where a key is missing.
var (
	ErrKey         = errors.New("the key is unknown or withdrawn")
	ErrKeyRequired = errors.New("a team key is required")
)

// Service is what the handlers need of a daemon.
type Service interface {
	// Propose stamps the changes with the control clock, commits them and returns
	// one result for each. An error that does not wrap ErrNotProposed leaves the
	// outcome unknown. Concurrent proposals may share an entry.
	Propose(ctx context.Context, changes ...jobs.Change) (jobs.Result, error)
	// Read returns a view that holds everything committed before the call. Its
	// Now is the control clock during the call.
	Read(ctx context.Context) (*jobs.View, error)
	// Watch returns the view that this daemon holds, never an older one than
	// Read returned, and a channel that is closed once there is a newer one.
	Watch() (*jobs.View, <-chan struct{})
	// Authorize returns the team of a key. Without a key it returns the empty
	// team if the queue is open, else ErrKeyRequired. An empty queue stands for
	// the jobs of all open queues.
	Authorize(ctx context.Context, key, queue string) (team string, err error)
}

// handlers serves the interface.
type handlers struct{ service Service }

// RegisterWorkers adds the routes of workers to e. They carry no team key; the
// caller decides who reaches the listener.
func RegisterWorkers(e *echo.Echo, s Service) {
	h := &handlers{service: s}
	e.PUT("/v1/workers/:worker", problems(h.heartbeat))
	e.POST("/v1/workers/:worker/tasks/:task", problems(h.outcome))
}

// RegisterSubmitters adds the routes of submitters to e.
func RegisterSubmitters(e *echo.Echo, s Service) {
	h := &handlers{service: s}
	e.POST("/v1/jobs", problems(h.submit))
	e.POST("/v1/jobs/cancel", problems(h.cancelMany))
	e.GET("/v1/jobs", problems(h.list))
	e.GET("/v1/jobs/:job", problems(h.get))
	e.DELETE("/v1/jobs/:job", problems(h.cancel))
}

// propose commits one change and returns its result; a refusal is a problem.
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

// read returns the newest view.
func (h *handlers) read(c *echo.Context) (*jobs.View, error) {
	v, err := h.service.Read(c.Request().Context())
	if err != nil {
		return nil, unavailable("", err)
	}
	return v, nil
}

// authorize returns the team of the key in the call.
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
