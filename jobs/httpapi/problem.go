package httpapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"unicode/utf8"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
)

// withProblems returns a handler that writes the errors of next as problem
// documents. A path that isn't UTF-8 is refused: a change with a part of it can't be
// decoded from the log, nor can the others in the same entry.
func withProblems(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		var err error
		if utf8.ValidString(c.Request().URL.Path) {
			err = next(c)
		} else {
			err = fieldProblem("path", "is not UTF-8")
		}
		if err == nil {
			return nil
		}
		var p *api.Problem
		if !errors.As(err, &p) {
			p = api.NewProblem(http.StatusInternalServerError, api.CodeInternal, api.RunUnknown, err.Error())
		}
		header := c.Response().Header()
		if p.Status == http.StatusUnauthorized {
			header.Set("WWW-Authenticate", "Bearer")
		}
		if p.RetryAfterMS > 0 {
			header.Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
		}
		header.Set(echo.HeaderContentType, api.ProblemMediaType)
		return c.JSON(p.Status, p)
	}
}

func unavailable(run api.Run, err error) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, run, "the control quorum does not answer: "+err.Error())
	p.RetryAfterMS = retryAfter.Milliseconds()
	return p
}

func fieldProblem(field, format string, args ...any) *api.Problem {
	p := api.NewProblem(http.StatusBadRequest, api.CodeInvalidField, api.RunNot, fmt.Sprintf(format, args...))
	p.Field = field
	return p
}

// refusalProblem converts a refused change to a problem. A refused change has no
// effect.
func refusalProblem(r *jobs.ChangeResult) *api.Problem {
	status, code := http.StatusConflict, api.Code(r.Refused)
	switch r.Refused {
	case jobs.CodeInvalid:
		p := fieldProblem(r.Field, "%s", r.Detail)
		return p
	case jobs.CodeNotFound:
		status, code = http.StatusNotFound, api.CodeNotFound
	case jobs.CodeUnknownTeam:
		status, code = http.StatusUnauthorized, api.CodeKeyInvalid
	case jobs.CodeFull:
		status, code = http.StatusTooManyRequests, api.CodeQueueFull
	}
	p := api.NewProblem(status, code, api.RunNot, r.Detail)
	if status == http.StatusTooManyRequests {
		p.RetryAfterMS = retryAfter.Milliseconds()
	}
	return p
}

// decodeBody decodes a JSON body of at most limit bytes into v. It rejects unknown
// fields.
func decodeBody(c *echo.Context, limit int64, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		_, err = d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("the body holds more than one value")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return api.NewProblem(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, api.RunNot,
			fmt.Sprintf("the body has more than %d bytes", limit))
	}
	field := ""
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		field = wrong.Field
	}
	return fieldProblem(field, "the body is not what is expected: %s", err)
}
