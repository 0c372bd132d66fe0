package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
	"magnoliastand.example/consensus/node"
	"magnoliastand.example/control"
	"magnoliastand.example/peerlink"
)

// codeNotLeader is the fault of a call that only the leader can answer.
const codeNotLeader = "not-leader"

// codeOutcomeUnknown is the fault of a proposal that may have been committed.
const codeOutcomeUnknown = "outcome-unknown"

var errNotLeader = &peerlink.RemoteError{Code: codeNotLeader, Detail: "no leader of the control log is known"}

// proposeRequest carries a command to the leader, which stamps it.
type proposeRequest struct {
	Command []byte `cbor:"1,keyasint"`
	// Forwarded requests are not passed on again.
	Forwarded bool `cbor:"2,keyasint,omitempty"`
}

// propose has a command committed and returns its result. It may be called on
// any daemon. An error means that the outcome is unknown unless its code is
// codeNotLeader; commands that carry an operation id may then be sent again.
func (c *controlPlane) propose(ctx context.Context, cmd *control.Command) (control.Result, error) {
	if c.leads() {
		return c.proposeHere(ctx, cmd)
	}
	b, err := control.EncodeCommand(cmd)
	if err != nil {
		return control.Result{}, err
	}
	return c.proposeAway(ctx, proposeRequest{Command: b, Forwarded: true})
}

// proposeAway sends a command to the leader, or to voters that may know it.
func (c *controlPlane) proposeAway(ctx context.Context, r proposeRequest) (control.Result, error) {
	var result control.Result
	err := c.callLeader(ctx, methodPropose, r, &result)
	return result, err
}

// callLeader sends a call with an effect to the leader, or to daemons that may
// know it. Another daemon is tried only when the call surely had no effect.
func (c *controlPlane) callLeader(ctx context.Context, method string, req, resp any) error {
	err := error(errNotLeader)
	for _, peer := range c.leaderCandidates() {
		if err = c.link.Call(ctx, peer, method, req, resp); err == nil || !notSent(err) {
			return err
		}
	}
	return err
}

// notSent reports whether a failed call surely had no effect.
func notSent(err error) bool {
	var re *peerlink.RemoteError
	if errors.As(err, &re) {
		return re.Code == codeNotLeader
	}
	return errors.Is(err, peerlink.ErrUnreachable) || errors.Is(err, peerlink.ErrUnknownPeer) || errors.Is(err, peerlink.ErrBusy)
}

// proposeHere stamps a command with the leader's cluster time and commits it.
func (c *controlPlane) proposeHere(ctx context.Context, cmd *control.Command) (control.Result, error) {
	started := c.node.running()
	clock := c.clusterClock(ctx, started)
	if clock == nil {
		return control.Result{}, errNotLeader
	}
	_, applied := c.machine.position()
	stamped := *cmd
	stamped.At = clock.Now()
	stamped.Applied = applied
	stamped.UnixMilli = time.Now().UnixMilli()
	if err := stampJobs(&stamped, clock); err != nil {
		return control.Result{}, err
	}
	b, err := control.EncodeCommand(&stamped)
	if err != nil {
		return control.Result{}, err
	}
	result, err := started.Propose(ctx, b)
	switch {
	case err == nil:
		c.logZoneOrder(cmd, &result, started.Status().Term)
		return result, nil
	case errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrQueueFull),
		errors.Is(err, node.ErrStopped), errors.Is(err, node.ErrSuperseded):
		return result, &peerlink.RemoteError{Code: codeNotLeader, Detail: err.Error()}
	default:
		return result, &peerlink.RemoteError{Code: codeOutcomeUnknown, Detail: err.Error()}
	}
}

// logZoneOrder logs a committed order to evacuate or restore a zone.
func (c *controlPlane) logZoneOrder(cmd *control.Command, r *control.Result, term uint64) {
	var zone, operation, operator, message string
	switch {
	case cmd.EvacuateZone != nil:
		o := cmd.EvacuateZone
		zone, operation, operator, message = o.Zone, o.OperationID, o.Actor, "evacuation of availability zone committed"
	case cmd.RestoreZone != nil:
		o := cmd.RestoreZone
		zone, operation, operator, message = o.Zone, o.OperationID, o.Actor, "restore of availability zone committed"
	default:
		return
	}
	if r.Refusal != nil {
		message = "order for availability zone refused"
	}
	e := c.log.Info().Str("zone", zone).Str("operation", operation).Str("operator", operator).
		Uint64("term", term).Uint64("version", r.Version).Bool("repeated", r.Repeated)
	if r.Refusal != nil {
		e = e.Str("code", string(r.Refusal.Code)).Str("detail", r.Refusal.Detail)
	}
	e.Int("jobs", c.machine.jobsInZone(zone)).Msg(message)
}

// clusterClock returns the clock of the present leadership, or nil when this
// node does not lead. A new leader first applies all entries of earlier terms.
func (c *controlPlane) clusterClock(ctx context.Context, started *node.Node[control.Result]) *control.Clock {
	if started == nil {
		return nil
	}
	status := started.Status()
	if status.Role != consensus.Leader {
		return nil
	}
	c.clockMu.Lock()
	defer c.clockMu.Unlock()
	if c.clock != nil && c.clockTerm == status.Term {
		return c.clock
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := started.ReadIndex(readCtx); err != nil {
		return nil
	}
	now, _ := c.machine.position()
	c.clock = control.NewClock(now, c.mono)
	c.clockTerm = status.Term
	return c.clock
}

func (c *controlPlane) handlePropose(ctx context.Context, _ peerlink.Identity, payload []byte) (any, error) {
	var r proposeRequest
	if err := decodeMessage(payload, &r); err != nil {
		return nil, err
	}
	if !c.leads() {
		return nil, errNotLeader
	}
	cmd, err := control.DecodeCommand(r.Command)
	if err != nil {
		return nil, err
	}
	return c.proposeHere(ctx, cmd)
}
