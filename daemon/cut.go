package daemon

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/peerlink"
)

// CutRequest is the body of POST /v1/test/cut, which exists only with the
// setting test_faults. It cuts this daemon's links to the named daemons and
// zones silently, as a network partition does; empty lists mend all links.
type CutRequest struct {
	Daemons []string `json:"daemons"`
	Zones   []string `json:"availability_zones"`
}

// maxCutBytes bounds the body of a cut request.
const maxCutBytes = 64 << 10

func (d *Daemon) serveCut(c *echo.Context) error {
	var r CutRequest
	if p := decodeBody(c, maxCutBytes, &r); p != nil {
		return p
	}
	cut := slices.Clone(r.Daemons)
	for _, zone := range r.Zones {
		cut = append(cut, d.set.PeersOf(zone)...)
	}
	if len(cut) == 0 {
		d.link.SetBlocked(nil)
	} else {
		d.link.SetBlocked(func(p peerlink.Identity) bool { return slices.Contains(cut, p.Name) })
	}
	d.log.Warn().Strs("daemons", cut).Msg("test fault: links cut")
	return c.JSON(http.StatusOK, r)
}
