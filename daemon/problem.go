package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// bodyReadTimeout bounds reading the body of a call that is not a request.
const bodyReadTimeout = 10 * time.Second

// boundRead bounds the reading of a body, so that a slow peer holds no
// connection for ever, and returns what lifts the bound.
func boundRead(w http.ResponseWriter) (lift func()) {
	rc := http.NewResponseController(w)
	// An error means that the writer has no deadlines, as in a forwarded call.
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	return func() { _ = rc.SetReadDeadline(time.Time{}) }
}

// decodeBody decodes a bounded JSON body strictly.
func decodeBody(c *echo.Context, limit int64, v any) *api.Problem {
	lift := boundRead(c.Response())
	if p := decodeBounded(c, limit, v); p != nil {
		// The bound stays: the server still reads what is left of the body.
		return p
	}
	lift()
	return nil
}

func decodeBounded(c *echo.Context, limit int64, v any) *api.Problem {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return api.NewProblem(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, "",
			"the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return bodyFault(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return bodyFault(errors.New("the body holds more than one JSON value"))
	}
	return nil
}

func bodyFault(err error) *api.Problem {
	p := api.NewProblem(http.StatusBadRequest, api.CodeInvalidField, "", err.Error())
	p.Field = "body"
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		p.Field = typeErr.Field
	}
	return p
}

// writeHTTPError writes an error of a handler as a problem document.
func writeHTTPError(c *echo.Context, err error) {
	var p *api.Problem
	if !errors.As(err, &p) {
		p = problemOf(err)
	}
	writeProblem(c.Response(), p)
}

// writeProblem writes a problem document.
func writeProblem(w http.ResponseWriter, p *api.Problem) {
	h := w.Header()
	h.Set(echo.HeaderContentType, api.ProblemMediaType)
	if p.RetryAfterMS > 0 {
		h.Set(echo.HeaderRetryAfter, strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
	}
	b, err := json.Marshal(p)
	if err != nil {
		b = nil
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(b) // an error means that the caller is gone
}

// problemOf converts a router's error.
func problemOf(err error) *api.Problem {
	status := http.StatusInternalServerError
	var sc echo.HTTPStatusCoder
	if errors.As(err, &sc) {
		status = sc.StatusCode()
	}
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return api.NewProblem(status, api.CodeNotFound, "", "there is no such call; see docs/API.md")
	default:
		return api.NewProblem(status, api.CodeInternal, "", http.StatusText(status))
	}
}
