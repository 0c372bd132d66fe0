// Package httpapi serves the operators' interface to the control state over
// HTTP: documents, their history, and team keys. Every call needs an operator
// key in "Authorization: Bearer". Errors are problem documents (api.Problem).
//
// Changes carry an operation id ("Operation-Id" header or "operation" query
// parameter). After a lost answer or a problem with run "unknown", the operator
// repeats the call with the same id and gets the first result.
package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

// Headers and query parameters of the operators' interface.
const (
	HeaderOperationID     = "Operation-Id"
	HeaderBaseVersion     = "Base-Version"
	HeaderDocumentVersion = "Document-Version"
	paramOperation        = "operation"
	paramBase             = "base"
	paramWait             = "wait"
	paramTeam             = "team"
	paramKey              = "key"
	paramFormat           = "format"
)

const (
	// MaxWait bounds how long a change waits to be in force everywhere.
	MaxWait = 30 * time.Second
	// maxKeyRequestBytes bounds the body of a key grant.
	maxKeyRequestBytes = 4 << 10
	// waitInterval is the time between two looks at who runs a version.
	waitInterval = 20 * time.Millisecond
	// retryAfter is what a caller waits before it repeats a call.
	retryAfter = time.Second
)

// ErrNotProposed is wrapped by errors of Service.Propose when the command has
// not entered the log and never will through this call.
var ErrNotProposed = errors.New("the command was not proposed")

// Service is what the handlers need of a daemon.
type Service interface {
	// Propose stamps a command, commits it and returns its result. An error that
	// does not wrap ErrNotProposed leaves the outcome unknown.
	Propose(ctx context.Context, cmd *control.Command) (control.Result, error)
	// View returns the configuration that this daemon runs.
	View() *control.View
	// Barrier returns once View shows everything that was committed before the call.
	Barrier(ctx context.Context) error
	// InForce lists the daemons that run at least version, and the others.
	InForce(version uint64) (reached, missing []string)
	// History lists the documents that came into force, the newest last.
	History(ctx context.Context) ([]control.HistoryEntry, error)
}

// Operator is one operator key. Keys hold 256 random bits (control.NewKey), so
// a plain hash suffices.
type Operator struct {
	// Name appears as the actor in the history.
	Name string
	Hash control.KeyHash
}

// handlers serves the interface.
type handlers struct {
	service   Service
	operators []Operator
}

// Register adds the routes to e. Without operators every call is refused.
func Register(e *echo.Echo, s Service, operators []Operator) {
	h := &handlers{service: s, operators: operators}
	e.POST("/v1/document", h.operator(h.applyDocument))
	e.POST("/v1/document/check", h.operator(h.checkDocument))
	e.GET("/v1/document", h.operator(h.getDocument))
	e.GET("/v1/document/history", h.operator(h.getHistory))
	e.POST("/v1/teams/:team/keys", h.operator(h.grantKey))
	e.GET("/v1/teams/:team/keys", h.operator(h.listKeys))
	e.GET("/v1/keys", h.operator(h.listKeys))
	e.DELETE("/v1/keys/:key", h.operator(h.withdrawKey))
}

// handler handles a call of the named operator. Its error is an *api.Problem or
// an internal error.
type handler func(c *echo.Context, operator string) error

// operator lets a call through if its operator key is valid, and writes errors
// as problem documents.
func (h *handlers) operator(next handler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		name, ok := h.authenticate(c.Request())
		if !ok {
			c.Response().Header().Set("WWW-Authenticate", "Bearer")
			return writeProblem(c, api.NewProblem(http.StatusUnauthorized, api.CodeOperatorRequired, api.RunNot, "a valid operator key is required"))
		}
		err := next(c, name)
		if err == nil {
			return nil
		}
		var p *api.Problem
		if !errors.As(err, &p) {
			p = api.NewProblem(http.StatusInternalServerError, api.CodeInternal, api.RunUnknown, err.Error())
		}
		return writeProblem(c, p)
	}
}

// authenticate compares the presented key with every operator's in constant time.
func (h *handlers) authenticate(r *http.Request) (string, bool) {
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || text == "" {
		return "", false
	}
	hash := control.HashKey(text)
	name, found := "", false
	for _, o := range h.operators {
		if o.Hash.Equal(hash) {
			name, found = o.Name, true
		}
	}
	return name, found
}

// writeProblem writes a problem document.
func writeProblem(c *echo.Context, p *api.Problem) error {
	header := c.Response().Header()
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	header.Set(echo.HeaderContentType, api.ProblemMediaType)
	return c.JSON(p.Status, p)
}

// operationID returns the operation id of a call.
func operationID(c *echo.Context) (string, error) {
	id := headerOr(c, HeaderOperationID, paramOperation)
	if !control.ValidOperationID(id) {
		return "", fieldProblem(HeaderOperationID, "an operation id of 1 to %d visible ASCII characters is required", control.MaxOperationIDLen)
	}
	return id, nil
}

// headerOr returns a header, or the query parameter if the header is absent.
func headerOr(c *echo.Context, header, param string) string {
	if v := c.Request().Header.Get(header); v != "" {
		return v
	}
	return c.QueryParam(param)
}

// waitTime returns how long the caller wants to wait for a change to be in force.
func waitTime(c *echo.Context) (time.Duration, error) {
	text := c.QueryParam(paramWait)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > MaxWait {
		return 0, fieldProblem(paramWait, "%q is not a duration from 0s to %s", text, MaxWait)
	}
	return d, nil
}

// propose commits a command and turns refusals and errors into problems.
func (h *handlers) propose(c *echo.Context, cmd *control.Command) (control.Result, error) {
	r, err := h.service.Propose(c.Request().Context(), cmd)
	if err != nil {
		return r, proposeProblem(err)
	}
	if r.Refusal != nil {
		if r.Refusal.Code == control.RefusedConflict {
			setVersion(c, r.Refusal.CurrentVersion)
		}
		return r, refusalProblem(r.Refusal)
	}
	return r, nil
}

// change is the answer to an accepted change.
type change struct {
	Version         uint64 `json:"version"`
	DocumentVersion uint64 `json:"document_version"`
	// Repeated tells that the operation had been carried out before.
	Repeated bool `json:"repeated,omitempty"`
	// Reached lists the daemons that run the version, Missing the others.
	Reached []string `json:"reached"`
	Missing []string `json:"missing"`
}

// spread waits until every daemon runs the result's version, or the time is up.
func (h *handlers) spread(ctx context.Context, r *control.Result, wait time.Duration) change {
	out := change{Version: r.Version, DocumentVersion: r.DocumentVersion, Repeated: r.Repeated}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		out.Reached, out.Missing = h.service.InForce(r.Version)
		if len(out.Missing) == 0 {
			return out
		}
		select {
		case <-ctx.Done():
			return out
		case <-ticker.C:
		}
	}
}

func setVersion(c *echo.Context, version uint64) {
	c.Response().Header().Set(HeaderDocumentVersion, strconv.FormatUint(version, 10))
}
