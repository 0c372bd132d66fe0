package daemon

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

// waitInForce bounds how long an apply waits for all reachable daemons.
const waitInForce = 4 * time.Second

func (d *Daemon) documentRoutes(g *echo.Group) {
	g.POST("/document", d.applyDocument)
	g.GET("/document", d.getDocument)
	g.POST("/teams/:team/keys", d.grantKey)
	g.DELETE("/keys/:id", d.withdrawKey)
}

// changeReply answers a change of the configuration.
type changeReply struct {
	Version uint64   `json:"version"`
	InForce []string `json:"in_force"`
	Missing []string `json:"missing"`
	KeyID   string   `json:"key_id,omitempty"`
	Key     string   `json:"key,omitempty"`
}

func (d *Daemon) applyDocument(c *echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, api.MaxDocumentBytes))
	if err != nil {
		return api.NewProblem(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, "", err.Error())
	}
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil {
		p := api.NewProblem(http.StatusBadRequest, api.CodeInvalidField, "", "a version number is required")
		p.Field = "base"
		return p
	}
	doc, err := api.LoadDocument(body)
	var de *api.DocumentError
	if errors.As(err, &de) {
		p := api.NewProblem(http.StatusUnprocessableEntity, api.CodeInvalidDocument, "", "the document has faults")
		p.Faults = de.Faults
		return p
	}
	cmd := &control.Command{ApplyDocument: &control.ApplyDocument{
		OperationID: c.QueryParam("operation_id"), BaseVersion: base, Document: doc,
	}}
	return d.change(c, cmd, "")
}

func (d *Daemon) grantKey(c *echo.Context) error {
	var b struct {
		OperationID string `json:"operation_id"`
		Label       string `json:"label"`
	}
	if p := decodeBody(c, maxFleetBytes, &b); p != nil {
		return p
	}
	k := control.NewKey()
	return d.change(c, &control.Command{GrantKey: &control.GrantKey{
		OperationID: b.OperationID, Team: c.Param("team"), Label: b.Label, KeyID: k.ID, Hash: k.Hash,
	}}, k.Text)
}

func (d *Daemon) withdrawKey(c *echo.Context) error {
	return d.change(c, &control.Command{WithdrawKey: &control.WithdrawKey{
		OperationID: c.QueryParam("operation_id"), KeyID: c.Param("id"),
	}}, "")
}

func (d *Daemon) getDocument(c *echo.Context) error {
	doc, version := d.Document()
	return c.JSON(http.StatusOK, struct {
		Version  uint64       `json:"version"`
		Document api.Document `json:"document"`
	}{version, doc})
}

func (d *Daemon) change(c *echo.Context, cmd *control.Command, key string) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	r, err := d.control.propose(ctx, cmd)
	if err != nil {
		return noControl()
	}
	if r.Refusal != nil {
		status := http.StatusUnprocessableEntity
		if r.Refusal.Code == control.RefusedConflict {
			status = http.StatusConflict
		}
		p := api.NewProblem(status, api.Code(r.Refusal.Code), "", r.Refusal.Detail)
		p.Faults = r.Refusal.Faults
		return p
	}
	reply := changeReply{Version: r.DocumentVersion, KeyID: r.KeyID}
	if !r.Repeated {
		reply.Key = key
	}
	return c.JSON(http.StatusOK, reply)
}
