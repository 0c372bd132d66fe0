package httpapi

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

func (h *handlers) evacuateZone(c *echo.Context, operator string) error {
	return h.orderZone(c, func(operation, zone string, base uint64) *control.Command {
		return &control.Command{EvacuateZone: &control.EvacuateZone{
			OperationID: operation, Actor: operator, Zone: zone, BaseVersion: base,
		}}
	})
}

func (h *handlers) restoreZone(c *echo.Context, operator string) error {
	return h.orderZone(c, func(operation, zone string, base uint64) *control.Command {
		return &control.Command{RestoreZone: &control.RestoreZone{
			OperationID: operation, Actor: operator, Zone: zone, BaseVersion: base,
		}}
	})
}

// orderZone commits an order for the zone of the request. The version read first
// makes the state refuse the order if it is delayed until a newer one for the zone has
// been committed: the operator may have given up waiting for it.
func (h *handlers) orderZone(c *echo.Context, command func(operation, zone string, base uint64) *control.Command) error {
	op, err := operationID(c)
	if err != nil {
		return err
	}
	wait, err := waitTime(c)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	if err := h.service.Barrier(ctx); err != nil {
		return unavailableProblem(api.RunNot, "the control quorum does not answer: "+err.Error())
	}
	base := h.service.View().Version()
	if err := ctx.Err(); err != nil {
		return unavailableProblem(api.RunNot, "the caller has gone: "+err.Error())
	}
	r, err := h.propose(c, command(op, c.Param(paramZone), base))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, h.awaitInForce(ctx, &r, wait))
}
