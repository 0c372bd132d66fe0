package daemon

import (
	"context"
	"time"

	"magnoliastand.example/control"
	"magnoliastand.example/peerlink"
)

// claimRequest asks the leader to make a daemon the arbiter of its zone.
type claimRequest struct {
	Zone string `cbor:"1,keyasint"`
	// Observed is the zone's log term that the claimant found without an arbiter.
	Observed uint64 `cbor:"2,keyasint"`
	Daemon   string `cbor:"3,keyasint"`
	// Incarnation of the claimant.
	Incarnation string `cbor:"4,keyasint"`
}

// claimReply names the version of the configuration that holds the assignment.
type claimReply struct {
	Version uint64 `cbor:"1,keyasint"`
}

const (
	codeClaimRefused = "claim-refused"
	// pingTimeout bounds the leader's check of the arbiter that a claim replaces.
	pingTimeout = 150 * time.Millisecond
)

// ClaimArbiter implements arbiterSource.
func (c *controlPlane) ClaimArbiter(ctx context.Context, zone string, observed uint64) error {
	r := claimRequest{Zone: zone, Observed: observed, Daemon: c.self.Name, Incarnation: c.self.Incarnation}
	reply, err := c.sendClaim(ctx, r)
	if err != nil {
		return err
	}
	return c.catchUp(ctx, reply.Version)
}

func (c *controlPlane) sendClaim(ctx context.Context, r claimRequest) (claimReply, error) {
	if c.leads() {
		return c.decideClaim(ctx, r)
	}
	var reply claimReply
	err := c.callLeader(ctx, methodClaim, r, &reply)
	return reply, err
}

func (c *controlPlane) handleClaim(ctx context.Context, from peerlink.Identity, payload []byte) (any, error) {
	var r claimRequest
	if err := decodeMessage(payload, &r); err != nil {
		return nil, err
	}
	if !c.leads() {
		return nil, errNotLeader
	}
	if r.Daemon != from.Name || r.Zone != from.Zone {
		return nil, &peerlink.RemoteError{Code: codeClaimRefused, Detail: "a daemon claims for itself only"}
	}
	return c.decideClaim(ctx, r)
}

// decideClaim assigns the zone to the claimant unless another daemon was
// assigned meanwhile or the present arbiter still answers.
func (c *controlPlane) decideClaim(ctx context.Context, r claimRequest) (claimReply, error) {
	a, _ := c.holder.View().Arbiter(r.Zone)
	if a.Term > r.Observed {
		return claimReply{Version: a.Version}, nil
	}
	// The assigned daemon itself claims a new term after a provisional one
	// replaced it within the zone.
	same := a.Daemon == r.Daemon && a.Incarnation == r.Incarnation
	if !same && a.Daemon != "" && c.arbiterAnswers(ctx, a) {
		return claimReply{}, &peerlink.RemoteError{Code: codeClaimRefused, Detail: "the present arbiter answers the leader"}
	}
	result, err := c.proposeHere(ctx, &control.Command{AssignArbiter: &control.AssignArbiter{
		Zone:        r.Zone,
		Daemon:      r.Daemon,
		Incarnation: r.Incarnation,
		Term:        max(a.Term, r.Observed) + 1,
	}})
	if err != nil {
		return claimReply{}, err
	}
	if result.Refusal != nil {
		return claimReply{}, &peerlink.RemoteError{Code: codeClaimRefused, Detail: result.Refusal.Error()}
	}
	return claimReply{Version: result.Version}, nil
}

func (c *controlPlane) arbiterAnswers(ctx context.Context, a control.Arbiter) bool {
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	hb, err := c.ping(pingCtx, a.Daemon)
	return err == nil && hb.Daemon.Incarnation == a.Incarnation && !hb.Leaving
}
