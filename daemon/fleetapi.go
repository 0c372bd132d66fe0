package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
	"magnoliastand.example/fleet"
	"magnoliastand.example/peerlink"
)

// maxFleetBytes bounds the body of a call on instances and waves.
const maxFleetBytes = 16 << 10

// instanceBody is the body of PUT /v1/instances/{id}.
type instanceBody struct {
	Zone         string `json:"availability_zone"`
	Rack         string `json:"rack"`
	Pool         string `json:"pool,omitempty"`
	Boot         string `json:"boot,omitempty"`
	Processors   int    `json:"processors,omitempty"`
	MemoryMB     int    `json:"memory_mb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
}

// actionBody is the body of POST /v1/instances/{id}/{action}. Which fields an
// action uses is listed in docs/API.md.
type actionBody struct {
	Health   fleet.Health  `json:"health,omitempty"`
	Boot     string        `json:"boot,omitempty"`
	Purpose  fleet.Purpose `json:"purpose,omitempty"`
	Pool     string        `json:"pool,omitempty"`
	From     string        `json:"from,omitempty"`
	Revision uint64        `json:"revision,omitempty"`
	Reason   string        `json:"reason,omitempty"`
}

// InstanceStatus is one instance as operators and the platform see it.
type InstanceStatus struct {
	ID       string            `json:"id" cbor:"1,keyasint"`
	Zone     string            `json:"availability_zone" cbor:"2,keyasint"`
	Rack     string            `json:"rack" cbor:"3,keyasint"`
	Pool     string            `json:"pool" cbor:"4,keyasint"`
	State    fleet.Lifecycle   `json:"state" cbor:"5,keyasint"`
	Since    int64             `json:"since_unix_ms" cbor:"6,keyasint"`
	Purpose  fleet.Purpose     `json:"purpose,omitempty" cbor:"7,keyasint,omitempty"`
	Target   string            `json:"target_pool,omitempty" cbor:"8,keyasint,omitempty"`
	Wave     string            `json:"wave,omitempty" cbor:"9,keyasint,omitempty"`
	Pinned   bool              `json:"pinned,omitempty" cbor:"10,keyasint,omitempty"`
	Revision uint64            `json:"revision" cbor:"11,keyasint"`
	History  []InstanceHistory `json:"history,omitempty" cbor:"12,keyasint,omitempty"`
}

// InstanceHistory is one line of an instance's history, the newest last.
type InstanceHistory struct {
	At     int64           `json:"at_unix_ms" cbor:"1,keyasint"`
	Actor  string          `json:"actor" cbor:"2,keyasint"`
	Event  fleet.Event     `json:"event" cbor:"3,keyasint"`
	To     fleet.Lifecycle `json:"to" cbor:"4,keyasint"`
	Pool   string          `json:"pool" cbor:"5,keyasint"`
	Reason string          `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`
}

// WaveStatus is a wave's progress.
type WaveStatus struct {
	Name    string          `json:"name" cbor:"1,keyasint"`
	State   fleet.WaveState `json:"state" cbor:"2,keyasint"`
	Round   uint64          `json:"round" cbor:"3,keyasint"`
	Done    int             `json:"done" cbor:"4,keyasint"`
	Started int64           `json:"started_unix_ms" cbor:"5,keyasint"`
	Reason  string          `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`
}

// FleetStatus lists instances and waves.
type FleetStatus struct {
	Instances []InstanceStatus `json:"instances" cbor:"1,keyasint"`
	Waves     []WaveStatus     `json:"waves" cbor:"2,keyasint"`
}

// fleetRoutes adds the calls on instances and waves to the operators' group.
func (d *Daemon) fleetRoutes(g *echo.Group) {
	g.GET("/instances", d.serveFleet)
	g.GET("/instances/:id", d.serveInstance)
	g.PUT("/instances/:id", d.registerInstance)
	g.POST("/instances/:id/:action", d.actOnInstance)
	g.POST("/waves/:name/:action", d.actOnWave)
}

func (d *Daemon) serveFleet(c *echo.Context) error {
	st, err := d.fleetStatus(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, st)
}

func (d *Daemon) serveInstance(c *echo.Context) error {
	st, err := d.fleetStatus(c.Request().Context())
	if err != nil {
		return err
	}
	for _, i := range st.Instances {
		if i.ID == c.Param("id") {
			return c.JSON(http.StatusOK, i)
		}
	}
	return api.NewProblem(http.StatusNotFound, api.CodeNotFound, "", "there is no instance "+c.Param("id"))
}

// fleetStatus reads the fleet from the leader, so that it holds every accepted
// command.
func (d *Daemon) fleetStatus(ctx context.Context) (FleetStatus, error) {
	if d.control.leads() {
		return d.control.fleetStatus(ctx)
	}
	var st FleetStatus
	for _, peer := range d.control.leaderCandidates() {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		err := d.link.Call(callCtx, peer, methodFleet, struct{}{}, &st)
		cancel()
		if err == nil {
			return st, nil
		}
	}
	return st, noControl()
}

func noControl() *api.Problem {
	return api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, "", "the control quorum can't be reached from here")
}

func (c *controlPlane) handleFleet(ctx context.Context, _ peerlink.Identity, _ []byte) (any, error) {
	if !c.leads() {
		return nil, errNotLeader
	}
	return c.fleetStatus(ctx)
}

// fleetStatus returns the fleet as committed before the call.
func (c *controlPlane) fleetStatus(ctx context.Context) (FleetStatus, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := c.node.running().ReadIndex(readCtx); err != nil {
		return FleetStatus{}, noControl()
	}
	v, _ := c.machine.fleetView()
	st := FleetStatus{Instances: []InstanceStatus{}, Waves: []WaveStatus{}}
	for _, i := range v.Instances {
		st.Instances = append(st.Instances, instanceStatus(i))
	}
	for _, w := range v.Config.Waves {
		if run, ok := v.Waves[w.Name]; ok {
			st.Waves = append(st.Waves, WaveStatus{
				Name: w.Name, State: run.State, Round: run.Round, Done: run.Done, Started: int64(run.Started), Reason: run.Reason,
			})
		}
	}
	return st, nil
}

func instanceStatus(i *fleet.Instance) InstanceStatus {
	st := InstanceStatus{
		ID: i.ID, Zone: i.Zone, Rack: i.Rack, Pool: i.Pool, State: i.State,
		Since: int64(i.Since), Pinned: i.Pinned, Revision: i.Revision,
	}
	if i.Permit != nil {
		st.Purpose, st.Target, st.Wave = i.Permit.Purpose, i.Permit.Target, i.Permit.Wave
	}
	for _, e := range i.History {
		st.History = append(st.History, InstanceHistory{
			At: int64(e.At), Actor: string(e.Actor.Role), Event: e.Event, To: e.To, Pool: e.Pool, Reason: e.Reason,
		})
	}
	return st
}

func (d *Daemon) registerInstance(c *echo.Context) error {
	var b instanceBody
	if p := decodeBody(c, maxFleetBytes, &b); p != nil {
		return p
	}
	return d.commandFleet(c, fleet.RolePlatform, fleet.Command{Register: &fleet.Register{
		Instance:  c.Param("id"),
		Zone:      b.Zone,
		Rack:      b.Rack,
		Pool:      b.Pool,
		Boot:      b.Boot,
		Resources: fleet.Resources{Processors: b.Processors, MemoryMB: b.MemoryMB, Accelerators: b.Accelerators},
	}})
}

func (d *Daemon) actOnInstance(c *echo.Context) error {
	var b actionBody
	if p := decodeBody(c, maxFleetBytes, &b); p != nil {
		return p
	}
	cmd, role, ok := instanceCommand(c.Param("id"), c.Param("action"), b)
	if !ok {
		return api.NewProblem(http.StatusNotFound, api.CodeNotFound, "", "there is no action "+c.Param("action")+"; see docs/API.md")
	}
	cmd.Reason = b.Reason
	return d.commandFleet(c, role, cmd)
}

// instanceCommand returns the command of an action and the role that issues it.
func instanceCommand(id, action string, b actionBody) (fleet.Command, fleet.Role, bool) {
	on := &fleet.InstanceCommand{Instance: id, IfRevision: b.Revision}
	switch action {
	case "report":
		return fleet.Command{Report: &fleet.Report{Instance: id, Health: b.Health, Boot: b.Boot}}, fleet.RolePlatform, true
	case "begin-drain":
		return fleet.Command{BeginDrain: on}, fleet.RolePlatform, true
	case "confirm-drained":
		return fleet.Command{ConfirmDrained: on}, fleet.RolePlatform, true
	case "begin-reboot":
		return fleet.Command{BeginReboot: on}, fleet.RolePlatform, true
	case "confirm-reboot":
		return fleet.Command{ConfirmReboot: &fleet.ConfirmReboot{Instance: id, Boot: b.Boot}}, fleet.RolePlatform, true
	case "change-pool":
		return fleet.Command{ChangePool: &fleet.ChangePool{Instance: id, From: b.From, To: b.Pool}}, fleet.RolePlatform, true
	case "join":
		return fleet.Command{Join: &fleet.Join{Instance: id, Pool: b.Pool}}, fleet.RolePlatform, true
	case "drain":
		purpose := b.Purpose
		if purpose == "" {
			purpose = fleet.PurposeMaintenance
		}
		return fleet.Command{PermitDrain: &fleet.PermitDrain{Instance: id, IfRevision: b.Revision, Purpose: purpose, Target: b.Pool}}, fleet.RoleOperator, true
	case "cancel":
		return fleet.Command{CancelPermit: on}, fleet.RoleOperator, true
	case "quarantine":
		return fleet.Command{Quarantine: on}, fleet.RoleOperator, true
	case "release":
		return fleet.Command{Release: on}, fleet.RoleOperator, true
	case "pin", "unpin":
		return fleet.Command{Pin: &fleet.Pin{Instance: id, Pinned: action == "pin"}}, fleet.RoleOperator, true
	case "deregister":
		return fleet.Command{Deregister: on}, fleet.RoleOperator, true
	default:
		return fleet.Command{}, "", false
	}
}

func (d *Daemon) actOnWave(c *echo.Context) error {
	cmd, p := waveCommand(c.Param("name"), c.Param("action"))
	if p != nil {
		return p
	}
	return d.commandFleet(c, fleet.RoleOperator, cmd)
}

// waveCommand returns the command of an action on a wave.
func waveCommand(wave, action string) (fleet.Command, *api.Problem) {
	on := &fleet.WaveCommand{Wave: wave}
	switch action {
	case "start":
		return fleet.Command{StartWave: on}, nil
	case "pause":
		return fleet.Command{PauseWave: on}, nil
	case "resume":
		return fleet.Command{ResumeWave: on}, nil
	case "abort":
		return fleet.Command{AbortWave: on}, nil
	default:
		return fleet.Command{}, api.NewProblem(http.StatusNotFound, api.CodeNotFound, "", "an action is start, pause, resume or abort")
	}
}

// commandResult is the answer to a call that changed the fleet.
type commandResult struct {
	Instance string          `json:"instance,omitempty"`
	State    fleet.Lifecycle `json:"state,omitempty"`
	Pool     string          `json:"pool,omitempty"`
	Revision uint64          `json:"revision,omitempty"`
	Wave     fleet.WaveState `json:"wave,omitempty"`
}

// commandFleet commits a fleet command and answers with its result.
func (d *Daemon) commandFleet(c *echo.Context, role fleet.Role, cmd fleet.Command) error {
	cmd.At = fleet.Millis(time.Now().UnixMilli())
	cmd.Actor = fleet.Actor{Role: role}
	ctx, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	r, err := d.control.proposeFleet(ctx, cmd)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, commandResult{Instance: r.Instance, State: r.State, Pool: r.Pool, Revision: r.Revision, Wave: r.Wave})
}

// proposeFleet commits a fleet command. Errors are problem documents.
func (c *controlPlane) proposeFleet(ctx context.Context, cmd fleet.Command) (fleet.Result, error) {
	b, err := fleet.EncodeCommand(cmd)
	if err != nil {
		return fleet.Result{}, api.NewProblem(http.StatusBadRequest, api.CodeInvalidField, "", err.Error())
	}
	result, err := c.propose(ctx, &control.Command{Fleet: b})
	if err != nil {
		return fleet.Result{}, noControl()
	}
	if result.Refusal != nil {
		return fleet.Result{}, fleetProblem(fleet.CodeInvalid, result.Refusal.Detail)
	}
	r, err := fleet.DecodeResult(result.Fleet)
	if err != nil {
		return r, errors.Wrap(err, "result of a fleet command")
	}
	if r.Refused != "" {
		return r, fleetProblem(r.Refused, r.Detail)
	}
	return r, nil
}

func fleetProblem(code fleet.Code, detail string) *api.Problem {
	status := http.StatusConflict
	switch code {
	case fleet.CodeInvalid:
		status = http.StatusBadRequest
	case fleet.CodeNotFound:
		status = http.StatusNotFound
	}
	return api.NewProblem(status, api.Code(code), "", detail)
}
