package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
	"magnoliastand.example/control"
	"magnoliastand.example/control/httpapi"
	"magnoliastand.example/peerlink"
)

// leaderReport is what the leader tells other daemons for operators.
type leaderReport struct {
	// Version of the configuration, read after a quorum confirmed the leader.
	Version uint64                 `cbor:"1,keyasint"`
	InForce []inForce              `cbor:"2,keyasint,omitempty"`
	History []control.HistoryEntry `cbor:"3,keyasint,omitempty"`
}

// reportRequest selects the parts of a leaderReport.
type reportRequest struct {
	// Confirm asks for a version that holds everything committed before the call.
	Confirm bool `cbor:"1,keyasint,omitempty"`
	History bool `cbor:"2,keyasint,omitempty"`
}

// operatorService implements httpapi.Service on any daemon.
type operatorService struct {
	plane *controlPlane
}

// Propose implements httpapi.Service.
func (s operatorService) Propose(ctx context.Context, cmd *control.Command) (control.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := s.plane.propose(ctx, cmd)
	if err != nil && notSent(err) {
		return r, errors.Wrap(httpapi.ErrNotProposed, err.Error())
	}
	return r, err
}

// View implements httpapi.Service.
func (s operatorService) View() *control.View { return s.plane.holder.View() }

// Barrier implements httpapi.Service.
func (s operatorService) Barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := clock.Now()
	r, err := s.plane.askLeader(ctx, reportRequest{Confirm: true})
	if err != nil {
		return err
	}
	if err := s.plane.catchUp(ctx, r.Version); err != nil {
		return err
	}
	if waited := clock.Since(start); waited > readTimeout {
		// The timer of ctx stands still while the machine is suspended.
		return errors.Errorf("reading the version took %s", waited)
	}
	return nil
}

// InForce implements httpapi.Service.
func (s operatorService) InForce(version uint64) (reached, missing []string) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	versions := s.plane.follower.versions()
	if r, err := s.plane.askLeader(ctx, reportRequest{}); err == nil {
		for _, f := range r.InForce {
			versions[f.Daemon] = max(versions[f.Daemon], f.Version)
		}
	}
	for _, d := range s.plane.holder.View().Daemons() {
		if versions[d.Name] >= version {
			reached = append(reached, d.Name)
		} else {
			missing = append(missing, d.Name)
		}
	}
	return reached, missing
}

// inForceTimeout bounds asking the leader for the versions in force.
const inForceTimeout = 300 * time.Millisecond

// History implements httpapi.Service.
func (s operatorService) History(ctx context.Context) ([]control.HistoryEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := s.plane.askLeader(ctx, reportRequest{Confirm: true, History: true})
	return r.History, err
}

// catchUp polls until the view in force has at least the version.
func (c *controlPlane) catchUp(ctx context.Context, version uint64) error {
	if c.node != nil {
		if generation, _ := c.machine.hidden(); c.leads() {
			c.machine.show(generation)
		}
	}
	for c.holder.View().Version() < version {
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "wait for configuration version %d", version)
		}
		if !c.follower.pollOnce(ctx, 0) {
			sleepCtx(ctx, catchUpBackoff)
		}
	}
	return nil
}

// catchUpBackoff is the pause between polls for a version known to exist.
const catchUpBackoff = 10 * time.Millisecond

// askLeader returns the leader's report.
func (c *controlPlane) askLeader(ctx context.Context, r reportRequest) (leaderReport, error) {
	if c.leads() {
		return c.report(ctx, r)
	}
	err := error(errNotLeader)
	for _, peer := range c.leaderCandidates() {
		var reply leaderReport
		if err = c.link.Call(ctx, peer, methodReport, r, &reply); err == nil {
			return reply, nil
		}
	}
	return leaderReport{}, err
}

func (c *controlPlane) handleReport(ctx context.Context, _ peerlink.Identity, payload []byte) (any, error) {
	var r reportRequest
	if err := decodeMessage(payload, &r); err != nil {
		return nil, err
	}
	if !c.leads() {
		return nil, errNotLeader
	}
	return c.report(ctx, r)
}

// report makes the leader's report on this daemon, which leads.
func (c *controlPlane) report(ctx context.Context, r reportRequest) (leaderReport, error) {
	if r.Confirm {
		if err := c.node.running().ReadIndex(ctx); err != nil {
			return leaderReport{}, errNotLeader
		}
	}
	out := leaderReport{Version: c.machine.version(), InForce: c.follower.known(clock.Now())}
	if r.History {
		out.History = c.machine.history()
	}
	return out, nil
}
