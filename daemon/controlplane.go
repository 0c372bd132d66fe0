package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/cluster"
	"magnoliastand.example/control"
	"magnoliastand.example/control/freshness"
	"magnoliastand.example/daemon/settings"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
	"magnoliastand.example/dispatch/origin"
	"magnoliastand.example/jobs/batch"
	"magnoliastand.example/peerlink"
)

// controlPlane is this daemon's part of the control state: the view in force,
// its freshness, and, with a data folder, a member of the replicated log.
type controlPlane struct {
	set      settings.Settings
	self     dispatch.DaemonID
	link     *peerlink.Node
	log      zerolog.Logger
	holder   *control.Holder
	follower *follower
	machine  *controlLog // nil without a data folder
	node     *logNode    // nil without a data folder
	start    time.Time   // by package clock
	leader   *leaderDuties
	planner  *fleetPlanner
	jobBatch *batch.Batcher
	metrics  *metrics
	// zoneArbiter returns the arbiter of this daemon's zone.
	zoneArbiter func() arbiterRef
	// ping asks a daemon whether it is alive and may stay arbiter.
	ping func(ctx context.Context, daemon string) (heartbeat, error)
	// onRegistered is called when the control log holds this incarnation; first
	// tells that it had no entry of this daemon's name before.
	onRegistered func(first bool)
	// ownHoldings answers a holdingRequest for this daemon.
	ownHoldings func(holdingRequest) holdingReply

	clockMu   sync.Mutex
	clock     *control.Clock
	clockTerm uint64
}

func newControlPlane(set settings.Settings, self dispatch.DaemonID, link *peerlink.Node, logMetrics *cluster.Metrics, log zerolog.Logger) (*controlPlane, error) {
	c := &controlPlane{
		set:    set,
		self:   self,
		link:   link,
		log:    log,
		holder: control.NewHolder(set.Cluster),
		start:  clock.Now(),
	}
	c.follower = &follower{
		self:     self.Name,
		inc:      self.Incarnation,
		link:     link,
		holder:   c.holder,
		log:      log,
		upstream: c.upstream,
		local:    func() *controlLog { return c.machine },
		vouched:  c.vouched,
		lease:    freshness.NewLease(set.Cluster, 0, c.mono),
		mono:     c.mono,
	}
	c.follower.register()
	c.leader = newLeaderDuties(c)
	c.planner = newFleetPlanner(c)
	c.jobBatch = batch.New(c.commitJobs)
	link.Handle(methodPropose, c.handlePropose)
	link.Handle(methodClaim, c.handleClaim)
	link.Handle(methodDemand, c.leader.handleDemand)
	link.Handle(methodFleet, c.handleFleet)
	link.Handle(methodReport, c.handleReport)
	if set.DataFolder == "" {
		return c, nil
	}
	c.machine = newControlLog(set.Cluster, c.holder, log)
	n, err := openLogNode(set.DataFolder, set.Name, set.AvailabilityZone, set.FirstVoters, c.peerNames(), link, c.machine, logMetrics, log)
	c.node = n
	return c, err
}

// mono returns the monotonic time since the daemon started. It counts while
// the process is stopped or the machine suspended.
func (c *controlPlane) mono() time.Duration { return clock.Since(c.start) }

func (c *controlPlane) peerNames() []string {
	var names []string
	for _, p := range c.set.Peers {
		if p.Name != c.set.Name {
			names = append(names, p.Name)
		}
	}
	return names
}

// run takes part in the control state until ctx ends. It returns an error when
// the log fails.
func (c *controlPlane) run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.follower.run(ctx) })
	wg.Go(func() { c.registerSelf(ctx) })
	wg.Go(func() { c.leader.run(ctx) })
	wg.Go(func() { c.planner.run(ctx) })
	wg.Go(func() { c.scheduleJobs(ctx) })
	wg.Go(func() { c.jobBatch.Run(ctx) })
	var err error
	if c.node != nil {
		err = c.node.run(ctx)
	}
	if err == nil {
		<-ctx.Done()
	}
	wg.Wait()
	return err
}

func (c *controlPlane) leads() bool { return c.node != nil && c.node.leads() }

// vouched returns the time since start at which a quorum is known to have
// confirmed this daemon's lead; false when it does not lead.
func (c *controlPlane) vouched() (time.Duration, bool) {
	if c.node == nil {
		return 0, false
	}
	at, ok := c.node.vouched()
	return at.Sub(c.start), ok
}

// leaderCandidates lists daemons that may lead the log, the likeliest first.
func (c *controlPlane) leaderCandidates() []string {
	var list []string
	if c.node != nil {
		list = appendNew(list, c.node.leaderName())
	}
	list = appendNew(list, c.follower.Leader())
	for _, v := range c.set.FirstVoters {
		list = appendNew(list, v)
	}
	return without(list, c.self.Name)
}

// upstream lists the daemons to poll, best first: the leader for members of
// the log and the zone's arbiter, the arbiter for the zone's other daemons,
// then any voter and any peer.
func (c *controlPlane) upstream(leader string) []string {
	var list []string
	if c.node != nil {
		list = appendNew(list, c.node.leaderName())
	}
	arb := c.zoneArbiter()
	if arb.Name != c.self.Name {
		list = appendNew(list, arb.Name)
	}
	list = appendNew(list, leader)
	for _, v := range c.set.FirstVoters {
		list = appendNew(list, v)
	}
	for _, p := range c.peerNames() {
		list = appendNew(list, p)
	}
	return without(list, c.self.Name)
}

func appendNew(list []string, name string) []string {
	if name == "" {
		return list
	}
	for _, have := range list {
		if have == name {
			return list
		}
	}
	return append(list, name)
}

func without(list []string, name string) []string {
	kept := list[:0]
	for _, have := range list {
		if have != name {
			kept = append(kept, have)
		}
	}
	return kept
}

// reportLoad tells the leader what this zone's services use and wait for.
func (c *controlPlane) reportLoad(s endpoint.Summary) {
	if c.leads() {
		c.planner.note(s)
		return
	}
	if leader := c.follower.Leader(); leader != "" {
		c.link.Notify(leader, methodLoad, summaryNotice{Summary: s})
	}
}

// registerSelf enters this incarnation into the control log, again whenever
// the view names another one.
func (c *controlPlane) registerSelf(ctx context.Context) {
	for ctx.Err() == nil {
		d, ok := c.holder.View().Daemon(c.self.Name)
		if ok && d.Incarnation == c.self.Incarnation {
			c.onRegistered(false)
		} else {
			c.proposeSelf(ctx)
		}
		sleepCtx(ctx, registerInterval)
	}
}

// registerInterval is the time between two checks of this daemon's registration.
const registerInterval = 300 * time.Millisecond

func (c *controlPlane) proposeSelf(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := c.propose(callCtx, &control.Command{RegisterDaemon: &control.RegisterDaemon{
		Name:        c.self.Name,
		Incarnation: c.self.Incarnation,
		Zone:        c.set.AvailabilityZone,
		Address:     c.ownAddress(),
	}})
	if err != nil {
		c.log.Debug().Err(err).Msg("daemon not registered yet")
		return
	}
	if result.Refusal == nil {
		c.onRegistered(result.First)
	}
}

func (c *controlPlane) ownAddress() string {
	for _, p := range c.set.Peers {
		if p.Name == c.set.Name {
			return p.Address
		}
	}
	return ""
}

// ArbiterOf implements arbiterSource.
func (c *controlPlane) ArbiterOf(zone string) (arbiterRef, bool) {
	a, ok := c.holder.View().Arbiter(zone)
	if !ok || a.Daemon == "" {
		return arbiterRef{}, false
	}
	return arbiterRef{Name: a.Daemon, Incarnation: a.Incarnation, Term: a.Term * provisionalTerms}, true
}

// Fresh implements arbiterSource and origin.Control.
func (c *controlPlane) Fresh() bool { return c.follower.Fresh() }

// Authorize implements origin.Control.
func (c *controlPlane) Authorize(key string) (string, error) {
	team, err := c.holder.View().Authorize(key)
	if err != nil {
		return "", errors.Wrap(origin.ErrKeyInvalid, err.Error())
	}
	return team, nil
}

// Queue implements origin.Control.
func (c *controlPlane) Queue(name string) (origin.QueueInfo, bool) {
	ref, ok := c.holder.View().Queue(name)
	if !ok {
		return origin.QueueInfo{}, false
	}
	return origin.QueueInfo{
		Queue:      *ref.Queue,
		Service:    ref.Service.Name,
		LongestRun: ref.Service.LongestRun.Std(),
	}, true
}

// objective returns the service-level objective of a queue; false when there
// is no such queue.
func (c *controlPlane) objective(queue string) (api.QueueObjective, bool) {
	ref, ok := c.holder.View().Queue(queue)
	if !ok {
		return api.QueueObjective{}, false
	}
	if ref.Queue.Objective == nil {
		return api.QueueObjective{}, true
	}
	return *ref.Queue.Objective, true
}
