// Package httpapi implements the HTTP API with which operators manage the control
// state: documents, their history, team keys and evacuations of availability zones. Every request requires an
// operator key in the "Authorization: Bearer" header. Errors are returned as
// problem documents (api.Problem).
//
// Requests that change the state carry an operation id, in the "Operation-Id"
// header or the "operation" query parameter. If the response is lost or is a
// problem with run "unknown", the operator repeats the request with the same id and
// receives the first result.
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

// Headers and query parameters of the operator API.
const (
	HeaderOperationID     = "Operation-Id"
	HeaderBaseVersion     = "Base-Version"
	HeaderDocumentVersion = "Document-Version"
	paramOperation        = "operation"
	paramBase             = "base"
	paramWait             = "wait"
	paramTeam             = "team"
	paramKey              = "key"
	paramZone             = "zone"
	paramFormat           = "format"
)

const (
	// MaxWait is the maximum time for which a request may wait until its change is in
	// force on every daemon.
	MaxWait = 30 * time.Second
	// maxKeyRequestBytes is the maximum size of the body of a key grant.
	maxKeyRequestBytes = 4 << 10
	// pollInterval is the interval between checks of which daemons run a version.
	pollInterval = 20 * time.Millisecond
	// retryAfter is the retry delay sent with responses of status 503.
	retryAfter = time.Second
)

// ErrNotProposed is wrapped by errors of Service.Propose if the command was not
// added to the log and will not be added by this call.
var ErrNotProposed = errors.New("the command was not proposed")

// Service gives the handlers access to the control state of a daemon.
type Service interface {
	// Propose stamps a command, commits it and returns its result. An error that
	// does not wrap ErrNotProposed leaves the outcome unknown.
	Propose(ctx context.Context, cmd *control.Command) (control.Result, error)
	// View returns the current configuration of this daemon.
	View() *control.View
	// Barrier blocks until View includes every change committed before the call.
	Barrier(ctx context.Context) error
	// InForce returns the daemons that run at least the given version, and the others.
	InForce(version uint64) (reached, missing []string)
	// History returns the documents that came into force, oldest first.
	History(ctx context.Context) ([]control.HistoryEntry, error)
}

// Operator is the key of an operator. Keys have 256 random bits (control.NewKey), so
// a fast hash is sufficient.
type Operator struct {
	// Name is recorded as the actor in the document history.
	Name string
	Hash control.KeyHash
}

// handlers implements the routes of the API.
type handlers struct {
	service   Service
	operators []Operator
}

// Register adds the routes to e. If operators is empty, every request is refused.
func Register(e *echo.Echo, s Service, operators []Operator) {
	h := &handlers{service: s, operators: operators}
	e.POST("/v1/document", h.requireOperator(h.applyDocument))
	e.POST("/v1/document/check", h.requireOperator(h.checkDocument))
	e.GET("/v1/document", h.requireOperator(h.getDocument))
	e.GET("/v1/document/history", h.requireOperator(h.getHistory))
	e.POST("/v1/teams/:team/keys", h.requireOperator(h.grantKey))
	e.GET("/v1/teams/:team/keys", h.requireOperator(h.listKeys))
	e.GET("/v1/keys", h.requireOperator(h.listKeys))
	e.DELETE("/v1/keys/:key", h.requireOperator(h.withdrawKey))
	e.POST("/v1/availability-zones/:zone/evacuate", h.requireOperator(h.evacuateZone))
	e.POST("/v1/availability-zones/:zone/restore", h.requireOperator(h.restoreZone))
}

// handler handles a request of the given operator. Errors other than *api.Problem
// are reported as internal errors.
type handler func(c *echo.Context, operator string) error

// requireOperator calls next only if the request has a valid operator key. It
// writes errors as problem documents.
func (h *handlers) requireOperator(next handler) echo.HandlerFunc {
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

// authenticate returns the name of the operator whose key the request presents. It
// compares the key with that of every operator, in constant time.
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

// writeProblem writes a problem document, with a Retry-After header in whole seconds
// if the problem has a retry delay.
func writeProblem(c *echo.Context, p *api.Problem) error {
	header := c.Response().Header()
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	header.Set(echo.HeaderContentType, api.ProblemMediaType)
	return c.JSON(p.Status, p)
}

// operationID returns the operation id of a request, or a problem if it is invalid.
func operationID(c *echo.Context) (string, error) {
	id := headerOrQuery(c, HeaderOperationID, paramOperation)
	if !control.ValidOperationID(id) {
		return "", fieldProblem(HeaderOperationID, "an operation id of 1 to %d visible ASCII characters is required", control.MaxOperationIDLen)
	}
	return id, nil
}

// headerOrQuery returns the value of a header, or of a query parameter if the header
// is absent.
func headerOrQuery(c *echo.Context, header, param string) string {
	if v := c.Request().Header.Get(header); v != "" {
		return v
	}
	return c.QueryParam(param)
}

// waitTime returns the requested time to wait until a change is in force.
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

// propose commits a command and converts refusals and errors to problems.
func (h *handlers) propose(c *echo.Context, cmd *control.Command) (control.Result, error) {
	if cmd.ApplyDocument == nil { // a document has been decoded from text and is large
		if _, err := control.EncodeCommand(cmd); err != nil {
			return control.Result{}, fieldProblem("path", "the path or the body can't be stored: %s", err)
		}
	}
	r, err := h.service.Propose(c.Request().Context(), cmd)
	if err != nil {
		return r, proposeProblem(err)
	}
	if r.Refusal != nil {
		if r.Refusal.Code == control.RefusedConflict {
			setDocumentVersion(c, r.Refusal.CurrentVersion)
		}
		return r, refusalProblem(r.Refusal)
	}
	return r, nil
}

// changeReply is the response to an accepted change.
type changeReply struct {
	Version         uint64 `json:"version"`
	DocumentVersion uint64 `json:"document_version"`
	// Repeated reports that the operation had already been executed.
	Repeated bool `json:"repeated,omitempty"`
	// Reached lists the daemons that run the version, Missing the others.
	Reached []string `json:"reached"`
	Missing []string `json:"missing"`
}

// awaitInForce waits until every daemon runs the result's version, for at most the
// given time.
func (h *handlers) awaitInForce(ctx context.Context, r *control.Result, wait time.Duration) changeReply {
	out := changeReply{Version: r.Version, DocumentVersion: r.DocumentVersion, Repeated: r.Repeated}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
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

func setDocumentVersion(c *echo.Context, version uint64) {
	c.Response().Header().Set(HeaderDocumentVersion, strconv.FormatUint(version, 10))
}
