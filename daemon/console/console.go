// Package console serves the operators' forms: pools, teams, waves and keys as
// server-rendered pages that work without scripts. The forms' output is one
// document, which is validated, shown as a difference, and applied in full or
// refused. Pages never hold a key but the one just granted.
package console

import (
	"context"
	"html/template"
	"net/http"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/control"
	"magnoliastand.example/control/httpapi"
)

// Service is what the console needs of a daemon.
type Service interface {
	// Propose commits a command, as httpapi.Service.
	Propose(ctx context.Context, cmd *control.Command) (control.Result, error)
	// View returns the configuration in force at this daemon.
	View() *control.View
	// Barrier returns once View shows everything committed before the call.
	Barrier(ctx context.Context) error
	// Wave carries out start, pause, resume or abort.
	Wave(ctx context.Context, wave, action string) error
	// Waves lists the waves' progress.
	Waves(ctx context.Context) ([]WaveRow, error)
}

// WaveRow is one wave with its progress.
type WaveRow struct {
	Name, State, Reason string
	Done                int
}

// console serves the pages.
type console struct {
	service   Service
	operators []httpapi.Operator
	sessions  *sessions
}

// Register adds the console under /console.
func Register(e *echo.Echo, s Service, operators []httpapi.Operator) {
	c := &console{service: s, operators: operators, sessions: newSessions()}
	e.GET("/console/login", c.showLogin)
	e.POST("/console/login", c.login)
	g := e.Group("/console", c.requireSession)
	g.GET("", c.showEdit)
	g.POST("/review", c.review)
	g.POST("/apply", c.apply)
	g.GET("/keys", c.showKeys)
	g.POST("/keys/grant", c.grantKey)
	g.POST("/keys/withdraw", c.withdrawKey)
	g.GET("/waves", c.showWaves)
	g.POST("/waves", c.actOnWave)
	g.POST("/logout", c.logout)
}

// page is what every template gets.
type page struct {
	Title    string
	Operator string
	CSRF     string
	// Notice stands above the content; Fault marks it as a failure.
	Notice string
	Fault  bool
	Data   any
}

// render writes a page that must not be cached, framed or scripted.
func (c *console) render(ec *echo.Context, status int, name string, p page) error {
	if s, ok := ec.Get(sessionKey).(*session); ok {
		p.Operator, p.CSRF = s.operator, s.csrf
	}
	h := ec.Response().Header()
	h.Set(echo.HeaderContentType, "text/html; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	h.Set(echo.HeaderXFrameOptions, "DENY")
	h.Set(echo.HeaderContentSecurityPolicy, "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	ec.Response().WriteHeader(status)
	return errors.Wrap(templates.ExecuteTemplate(ec.Response(), name, p), "render page")
}

// templates holds the pages.
var templates = template.Must(template.New("console").Parse(pages))

func (c *console) showWaves(ec *echo.Context) error {
	rows, err := c.service.Waves(ec.Request().Context())
	if err != nil {
		return c.render(ec, http.StatusServiceUnavailable, "waves", page{Title: "Waves", Notice: err.Error(), Fault: true})
	}
	return c.render(ec, http.StatusOK, "waves", page{Title: "Waves", Data: rows})
}

func (c *console) actOnWave(ec *echo.Context) error {
	err := c.service.Wave(ec.Request().Context(), ec.FormValue("wave"), ec.FormValue("action"))
	rows, listErr := c.service.Waves(ec.Request().Context())
	p := page{Title: "Waves", Data: rows, Notice: "done"}
	for _, e := range []error{err, listErr} {
		if e != nil {
			p.Notice, p.Fault = e.Error(), true
			return c.render(ec, http.StatusConflict, "waves", p)
		}
	}
	return c.render(ec, http.StatusOK, "waves", p)
}
