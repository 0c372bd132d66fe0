package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/burn"
	"magnoliastand.example/peerlink"
)

// reportTimeout bounds asking one daemon for its counts.
const reportTimeout = time.Second

func (d *Daemon) handleBurn(context.Context, peerlink.Identity, []byte) (any, error) {
	return d.metrics.burn.Snapshot(time.Now(), d.self.Name), nil
}

// serveReport answers GET /v1/report with the burn of all reachable daemons.
func (d *Daemon) serveReport(c *echo.Context) error {
	r := d.burnReport(c.Request().Context())
	if c.QueryParam("format") == "html" {
		c.Response().Header().Set(echo.HeaderContentType, "text/html; charset=utf-8")
		return r.WriteHTML(c.Response())
	}
	return c.JSON(http.StatusOK, r)
}

func (d *Daemon) burnReport(ctx context.Context) burn.Report {
	now := time.Now()
	snaps := []burn.Snapshot{d.metrics.burn.Snapshot(now, d.self.Name)}
	var missing []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, peer := range d.control.peerNames() {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			var s burn.Snapshot
			err := d.link.Call(callCtx, peer, methodBurn, struct{}{}, &s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, peer)
				return
			}
			snaps = append(snaps, s)
		})
	}
	wg.Wait()
	doc, _ := d.Document()
	return burn.NewReport(now, doc, snaps, missing)
}
