package daemon

import (
	"net/http"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch/endpoint"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// callerRoutes serves callers and endpoints.
func (d *Daemon) callerRoutes() http.Handler {
	e := echo.New()
	d.healthRoutes(e)
	e.PUT("/v1/endpoints/:id", d.announceEndpoint)
	mux := http.NewServeMux()
	d.origin.Register(mux)
	e.Any("/v1/queues/*", echo.WrapHandler(mux))
	e.Any("/v1/home", echo.WrapHandler(mux))
	d.jobRoutes(e)
	e.HTTPErrorHandler = writeHTTPError
	return e
}

// announceEndpoint serves PUT /v1/endpoints/{id}.
func (d *Daemon) announceEndpoint(c *echo.Context) error {
	var a api.Announcement
	if p := decodeBody(c, maxAnnouncementBytes, &a); p != nil {
		return p
	}
	if d.ready.stopping.Load() {
		return api.NewProblem(http.StatusServiceUnavailable, api.CodeShuttingDown, "", "announce to another daemon")
	}
	if p := d.checkService(a.Service); p != nil {
		return p
	}
	reply, err := d.host.announce(c.Param("id"), a)
	var field *endpoint.FieldError
	switch {
	case errors.As(err, &field):
		p := api.NewProblem(http.StatusBadRequest, api.CodeInvalidField, "", field.Message)
		p.Field = field.Field
		return p
	case err != nil:
		return api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, "", err.Error())
	}
	return c.JSON(http.StatusOK, reply)
}

// checkService refuses endpoints of services that the document lacks. An empty
// name is left to the registry, which names every faulty field.
func (d *Daemon) checkService(name string) *api.Problem {
	v := d.control.holder.View()
	if _, ok := v.Index().Service(name); ok || name == "" || v.DocumentVersion() == 0 {
		return nil
	}
	p := api.NewProblem(http.StatusUnprocessableEntity, api.CodeInvalidField, "", "the document has no service of this name")
	p.Field = "service"
	return p
}
