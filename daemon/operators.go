package daemon

import (
	"encoding/hex"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
	"magnoliastand.example/control/httpapi"
	"magnoliastand.example/daemon/settings"
	"magnoliastand.example/dispatch/arbiter"
)

// operatorRoutes serves operators, the platform and metrics.
func (d *Daemon) operatorRoutes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = writeHTTPError
	d.healthRoutes(e)
	e.GET("/metrics", echo.WrapHandler(d.metrics.handler()))
	httpapi.Register(e, operatorService{plane: d.control}, d.operators)
	g := e.Group("/v1", d.requireOperator)
	g.GET("/status", d.serveStatus)
	g.GET("/report", d.serveReport)
	g.GET("/endpoints", d.serveEndpoints)
	d.fleetRoutes(g)
	if d.set.TestFaults {
		g.POST("/test/cut", d.serveCut)
	}
	if d.set.Profiling {
		e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)), d.requireOperator)
		e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)), d.requireOperator)
	}
	return e
}

// requireOperator refuses calls without a valid operator key.
func (d *Daemon) requireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok || !d.isOperatorKey(key) {
			return api.NewProblem(http.StatusUnauthorized, api.CodeOperatorRequired, "", "a valid operator key is required")
		}
		return next(c)
	}
}

// isOperatorKey compares the key's hash with each configured one in constant time.
func (d *Daemon) isOperatorKey(key string) bool {
	hash := control.HashKey(key)
	found := false
	for _, o := range d.operators {
		found = o.Hash.Equal(hash) || found
	}
	return found
}

// operatorsOf returns the operators of the settings, whose hashes were checked.
func operatorsOf(s settings.Settings) []httpapi.Operator {
	list := make([]httpapi.Operator, 0, len(s.Operators))
	for _, o := range s.Operators {
		op := httpapi.Operator{Name: o.Name}
		if _, err := hex.Decode(op.Hash[:], []byte(o.KeySHA256)); err != nil {
			continue
		}
		list = append(list, op)
	}
	return list
}

// Status is the body of GET /v1/status.
type Status struct {
	Daemon   string `json:"daemon"`
	Zone     string `json:"availability_zone"`
	Version  uint64 `json:"version"`
	Document uint64 `json:"document_version"`
	// Fresh reports whether a control quorum vouched for the configuration lately.
	Fresh       bool         `json:"fresh"`
	VouchedAgo  api.Duration `json:"vouched_ago"`
	Leader      string       `json:"leader,omitempty"`
	Arbiter     string       `json:"arbiter,omitempty"`
	ArbiterTerm uint64       `json:"arbiter_term"`
	// Arbiters lists the zones' arbiters by the control log.
	Arbiters []ArbiterStatus `json:"arbiters"`
	Daemons  []MemberStatus  `json:"daemons"`
	InFlight int             `json:"requests_in_flight"`
	// Slots is set on a zone's arbiter.
	Slots *arbiter.Stats `json:"slots,omitempty"`
	Log   *LogStatus     `json:"log,omitempty"`
}

// ArbiterStatus names the arbiter of a zone.
type ArbiterStatus struct {
	Zone   string `json:"availability_zone"`
	Daemon string `json:"daemon"`
	Term   uint64 `json:"term"`
}

// MemberStatus is what is known of a registered daemon.
type MemberStatus struct {
	Name string `json:"name"`
	Zone string `json:"availability_zone"`
	// InForce is the version in force there as last heard here; absent when not heard lately.
	InForce *uint64 `json:"in_force,omitempty"`
}

// LogStatus describes this daemon's member of the control log.
type LogStatus struct {
	Role    string   `json:"role"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Voters  []string `json:"voters"`
	Spares  []string `json:"spares"`
}

func (d *Daemon) serveStatus(c *echo.Context) error { return c.JSON(http.StatusOK, d.status()) }

func (d *Daemon) status() Status {
	v := d.control.holder.View()
	ref, _ := d.zone.Arbiter()
	s := Status{
		Daemon:      d.self.Name,
		Zone:        d.set.AvailabilityZone,
		Version:     v.Version(),
		Document:    v.DocumentVersion(),
		Fresh:       d.control.Fresh(),
		Leader:      d.control.follower.Leader(),
		Arbiter:     ref.Name,
		ArbiterTerm: ref.Term,
		InFlight:    d.origin.InFlight(),
		Log:         d.logStatus(),
	}
	if v, ok := d.control.follower.lease.Vouch(); ok {
		s.VouchedAgo = api.Duration(v.Age.Round(time.Millisecond))
	}
	if st, ok := d.host.stats(); ok {
		s.Slots = &st
	}
	for _, a := range v.Arbiters() {
		s.Arbiters = append(s.Arbiters, ArbiterStatus{Zone: a.Zone, Daemon: a.Daemon, Term: a.Term})
	}
	versions := d.control.follower.versions()
	for _, dm := range v.Daemons() {
		ds := MemberStatus{Name: dm.Name, Zone: dm.Zone}
		if version, ok := versions[dm.Name]; ok {
			ds.InForce = &version
		}
		s.Daemons = append(s.Daemons, ds)
	}
	return s
}

func (d *Daemon) logStatus() *LogStatus {
	if d.control.node == nil {
		return nil
	}
	started := d.control.node.running()
	if started == nil {
		return &LogStatus{Role: "forming"}
	}
	st := started.Status()
	ls := &LogStatus{Role: st.Role.String(), Term: st.Term, Commit: st.Commit, Applied: st.Applied}
	for _, m := range st.Members {
		if m.Voter {
			ls.Voters = append(ls.Voters, m.Name)
		} else {
			ls.Spares = append(ls.Spares, m.Name)
		}
	}
	return ls
}

// EndpointStatus is one endpoint of the zone as this daemon knows it.
type EndpointStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	State   string `json:"state"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
}

func (d *Daemon) serveEndpoints(c *echo.Context) error {
	list := []EndpointStatus{}
	for _, e := range d.host.endpoints() {
		list = append(list, EndpointStatus{
			ID:      e.ID,
			Service: e.Announcement.Service,
			State:   string(e.State),
			Address: e.Announcement.Address,
			Slots:   e.Announcement.Slots,
			Running: e.Announcement.Running,
		})
	}
	return c.JSON(http.StatusOK, list)
}
