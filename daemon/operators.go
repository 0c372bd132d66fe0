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
	"magnoliastand.example/daemon/console"
	"magnoliastand.example/daemon/settings"
)

// operatorRoutes serves operators, the platform and metrics.
func (d *Daemon) operatorRoutes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = writeHTTPError
	d.healthRoutes(e)
	e.GET("/metrics", echo.WrapHandler(d.metrics.handler()))
	httpapi.Register(e, operatorService{plane: d.control}, d.operators)
	console.Register(e, consoleService{operatorService{plane: d.control}, d}, d.operators)
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
	hashes := make([]control.KeyHash, 0, len(d.operators))
	for _, o := range d.operators {
		hashes = append(hashes, o.Hash)
	}
	return isKeyOf(hashes, key)
}

// operatorsOf returns the operators of the settings, whose hashes were checked.
func operatorsOf(s settings.Settings) []httpapi.Operator {
	list := make([]httpapi.Operator, 0, len(s.Operators))
	for _, o := range s.Operators {
		if hash, ok := parseHash(o.KeySHA256); ok {
			list = append(list, httpapi.Operator{Name: o.Name, Hash: hash})
		}
	}
	return list
}

// workerKeysOf returns the workers' keys of the settings, which were checked.
func workerKeysOf(s settings.Settings) []control.KeyHash {
	list := make([]control.KeyHash, 0, len(s.WorkerKeySHA256))
	for _, text := range s.WorkerKeySHA256 {
		if hash, ok := parseHash(text); ok {
			list = append(list, hash)
		}
	}
	return list
}

func parseHash(text string) (control.KeyHash, bool) {
	var hash control.KeyHash
	n, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil && n == len(hash)
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
	// EvacuatedZones lists the evacuated zones by the configuration in force here.
	EvacuatedZones []EvacuationStatus `json:"evacuated_availability_zones"`
	// Arbiters lists the zones' arbiters by the control log.
	Arbiters []ArbiterStatus `json:"arbiters"`
	Daemons  []MemberStatus  `json:"daemons"`
	InFlight int             `json:"requests_in_flight"`
	// Slots is set on a zone's arbiter.
	Slots *SlotStatus `json:"slots,omitempty"`
	Log   *LogStatus  `json:"log,omitempty"`
}

// SlotStatus is what a zone's arbiter holds.
type SlotStatus struct {
	// Waiting and Forwarded count asks, Granted counts requests that may be running.
	Waiting   int `json:"waiting"`
	Forwarded int `json:"forwarded"`
	Granted   int `json:"granted"`
	// Unknown counts slots that an earlier term may have granted.
	Unknown int `json:"unknown"`
	// Leased tells whether keyed work may be started.
	Leased bool         `json:"leased"`
	Teams  []TeamStatus `json:"teams,omitempty"`
}

// TeamStatus is the zone's part of a team's limit.
type TeamStatus struct {
	Team    string `json:"team"`
	Running int64  `json:"running"`
	// Idle counts units that nothing uses.
	Idle    int64 `json:"idle"`
	Waiting int64 `json:"waiting"`
	// Frozen tells that the team holds more units than its limit.
	Frozen bool `json:"frozen,omitempty"`
}

// EvacuationStatus describes the evacuation of an availability zone.
type EvacuationStatus struct {
	Zone      string `json:"availability_zone"`
	Operator  string `json:"operator,omitempty"`
	Operation string `json:"operation,omitempty"`
	Since     int64  `json:"since_unix_ms"`
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
	s.Slots = d.host.status()
	s.EvacuatedZones = []EvacuationStatus{}
	for _, e := range v.Evacuations() {
		s.EvacuatedZones = append(s.EvacuatedZones, EvacuationStatus{
			Zone: e.Zone, Operator: e.Actor, Operation: e.OperationID, Since: e.UnixMilli,
		})
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
