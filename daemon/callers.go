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
	if known, p := d.checkAnnouncement(c.Param("id"), a); !known {
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

// checkAnnouncement refuses endpoints of services that the document lacks.
func (d *Daemon) checkAnnouncement(id string, a api.Announcement) (bool, *api.Problem) {
	if err := endpoint.Validate(id, a); err != nil {
		return true, nil // the registry names the field
	}
	v := d.control.holder.View()
	if v.DocumentVersion() == 0 {
		return true, nil
	}
	if _, ok := v.Index().Service(a.Service); !ok {
		p := api.NewProblem(http.StatusUnprocessableEntity, api.CodeInvalidField, "", "the document has no service of this name")
		p.Field = "service"
		return false, p
	}
	return true, nil
}
