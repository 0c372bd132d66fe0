package daemon

import (
	"context"
	"time"

	"magnoliastand.example/quota"
)

const (
	// demandInterval is the time between two reports of demand to the leader. It
	// is a fraction of the lease, so that lost reports do not end it.
	demandInterval = 500 * time.Millisecond
	// demandTimeout bounds one report.
	demandTimeout = time.Second
)

// noTeams is the limiter of a provisional arbiter: keyed work is not started
// without the control quorum.
type noTeams struct{}

// Acquire implements arbiter.Limiter.
func (noTeams) Acquire(string) bool { return false }

// Release implements arbiter.Limiter.
func (noTeams) Release(string) {}

// Adopt implements arbiter.Limiter.
func (noTeams) Adopt(string, int64) {}

// SetWaiting implements limiterHandle.
func (noTeams) SetWaiting(string, int64) {}

// End implements limiterHandle.
func (noTeams) End() {}

// allotment is the limiter of an arbiter term that the control log assigned.
// It reports demand to the leader and renews the lease of what it holds.
type allotment struct {
	*quota.Holder
	plane  *controlPlane
	cancel context.CancelFunc
	kick   chan struct{}
	// renewed is called after each renewal.
	renewed func()
}

// newLimiter returns the limiter of an arbiter term.
func (c *controlPlane) newLimiter(ctx context.Context, zone string, term uint64, renewed func()) limiterHandle {
	if term%provisionalTerms != 0 {
		return noTeams{}
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &allotment{
		Holder:  quota.NewHolder(zone, term/provisionalTerms, quota.DefaultBounds(), c.mono),
		plane:   c,
		cancel:  cancel,
		kick:    make(chan struct{}, 1),
		renewed: renewed,
	}
	go a.run(ctx)
	return a
}

// End implements limiterHandle.
func (a *allotment) End() {
	a.Holder.End()
	a.cancel()
}

// SetWaiting implements limiterHandle. Demand of a team that holds no idle unit
// is reported at once.
func (a *allotment) SetWaiting(team string, n int64) {
	a.Holder.SetWaiting(team, n)
	if n > 0 && a.Idle(team) == 0 {
		select {
		case a.kick <- struct{}{}:
		default:
		}
	}
}

func (a *allotment) run(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		a.report(ctx)
		select {
		case <-ticker.C:
		case <-a.kick:
			sleepCtx(ctx, kickDelay)
		case <-ctx.Done():
			return
		}
	}
}

// kickDelay gathers demand that arises at the same time into one report.
const kickDelay = 5 * time.Millisecond

// report sends the demand to the leader and applies its renewal.
func (a *allotment) report(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	asked := a.plane.mono()
	demand := a.Demand()
	r, err := a.plane.renewal(callCtx, demand)
	if err != nil {
		a.plane.log.Debug().Err(err).Msg("allotment not renewed")
		return
	}
	if a.Renew(r, asked) {
		a.renewed()
	}
}

// renewal asks the leader for a renewal.
func (c *controlPlane) renewal(ctx context.Context, d quota.Demand) (*quota.Renewal, error) {
	if c.leads() {
		return c.leader.renew(ctx, d)
	}
	err := error(errNotLeader)
	for _, peer := range c.leaderCandidates() {
		var r quota.Renewal
		if err = c.link.Call(ctx, peer, methodDemand, d, &r); err == nil {
			return &r, nil
		}
	}
	return nil, err
}

// teamStatus lists the teams with work or units in this zone.
func (a *allotment) teamStatus() []TeamStatus {
	var list []TeamStatus
	for _, t := range a.Teams() {
		list = append(list, TeamStatus(t))
	}
	return list
}
