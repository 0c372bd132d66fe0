package system

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/cluster"
	"magnoliastand.example/driver"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/relay"
	"magnoliastand.example/workload"
)

const (
	// leadershipTransferTimeout bounds the transfer of leadership at shutdown, and
	// after it the wait for requests in progress.
	leadershipTransferTimeout = 700 * time.Millisecond
	// ordersDrainTimeout bounds the wait at shutdown for the agent's orders in
	// progress: a hold may take 750 ms.
	ordersDrainTimeout = time.Second
	// forwardTimeout bounds an operator call, forwarded to the leader or not:
	// clients of the operators' interface give up after one second.
	forwardTimeout = 900 * time.Millisecond
)

// core is a daemon with persistent storage.
type core struct {
	settings Settings
	log      zerolog.Logger
	link     *peerlink.Node
	member   *cluster.Member[[]error]
	leader   *leader
	agent    *relay.Agent
	// unreadable records input of others that is left out.
	unreadable *unreadableLog
}

// RunCore runs a core daemon until ctx ends. It registers its metrics with
// registry and serves all of them.
func RunCore(ctx context.Context, settings Settings, registry *prometheus.Registry, log zerolog.Logger) error {
	link, err := newPeerNode(&settings, registry, log)
	if err != nil {
		return err
	}
	defer link.Close()
	replica := newReplica(platform.DecodeDocument)
	member, err := cluster.Open(cluster.Config[[]error]{
		Self: settings.peerAddress(), Zone: settings.Zone, DataFolder: settings.DataFolder,
		Seeds: settings.seedPeerAddresses(), Form: settings.FormCluster, Voters: 2*settings.LostDisks + 1, Silence: seconds(settings.CatchUpS),
		Machine: replica, MaxEntryBytes: workload.MaxEntryBytes, Link: link, Metrics: cluster.NewMetrics(registry), Log: log,
	})
	if err != nil {
		return err
	}
	unreadable := newUnreadableLog(registry, log)
	client := platform.NewClient()
	client.Unreadable = unreadable.add
	defer client.Close()
	agent := relay.NewAgent(link, client, log)
	defer agent.Close()
	orders := relay.New(relay.Config{
		Link: link, Direct: client, Self: relay.Peer{Name: settings.peerAddress(), Zone: settings.Zone}, Log: log,
		Metrics: relay.NewMetrics(registry),
		Peers:   func() []relay.Peer { return agentPeers(member.Peers()) },
	})
	c := &core{settings: settings, log: log, link: link, member: member, agent: agent, unreadable: unreadable}
	c.leader = &leader{member: member, replica: replica, log: log, relay: orders, driverConfig: driver.Config{
		Name: settings.Name, Workers: orders, Advisor: client, Instances: client, AdviceAddress: settings.AdviceAddress,
		MachineAddress: settings.InstancesAddress, InstanceOrdersPerS: settings.InstanceOrdersPerS,
		RemoteFactor: settings.RemoteFactor, Timing: settings.timing(), ReportTo: settings.OperatorsListen,
		Metrics: driver.NewMetrics(registry), Logger: log, Zones: settings.AvailabilityZones,
	}}
	registry.MustRegister(evacuatedZones(replica))
	c.registerHandlers()
	return c.serve(ctx, registry)
}

// agentPeers returns the peers whose agents deliver orders: every member runs an
// agent.
func agentPeers(members []cluster.Peer) []relay.Peer {
	peers := make([]relay.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, relay.Peer(m))
	}
	return peers
}

// registerHandlers registers the handlers of the calls that other daemons make to
// the leader.
func (c *core) registerHandlers() {
	c.link.Handle(methodRequest, handler(c.leader.request))
	c.link.Handle(methodAnnounce, handler(c.leader.announce))
	c.link.Handle(methodDepart, handler(c.leader.depart))
	c.link.Handle(methodPutDocument, handler(c.leader.putDocument))
	c.link.Handle(methodDocument, handler(c.leader.document))
	c.link.Handle(methodStartWave, handler(c.leader.startWave))
	c.link.Handle(methodWaveStatus, handler(c.leader.waveStatus))
	c.link.Handle(methodZoneTime, handler(c.leader.zoneTime))
	c.link.Handle(methodZone, handler(c.leader.evacuateZone))
}

// serve runs the servers, the log member and the leader until ctx ends or the
// member fails. When ctx ends, leadership is transferred before anything stops.
func (c *core) serve(ctx context.Context, registry *prometheus.Registry) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers := newServers(c.log, registry)
	servers.add("peers", c.settings.peerListenAddress(), c.link.Handler())
	servers.add("operators", c.settings.OperatorsListen, platform.NewControl(c, platform.WithUnreadable(c.unreadable.add)))
	servers.addMetrics(&c.settings, registry)
	if err := servers.start(); err != nil {
		return err
	}
	memberErr := make(chan error, 1)
	go func() { memberErr <- c.member.Run(runCtx) }()
	leaderDone := make(chan struct{})
	go func() {
		defer close(leaderDone)
		for c.member.Node() == nil {
			select {
			case <-time.After(leadershipPollInterval):
			case <-runCtx.Done():
				return
			}
		}
		c.leader.run(runCtx)
	}()
	c.log.Info().Str("role", "core").Str("zone", c.settings.Zone).Str("peer", c.settings.peerAddress()).
		Bool("form", c.settings.FormCluster).Strs("seeds", c.settings.Seeds).Msg("started")
	var err error
	select {
	case err = <-memberErr:
	case <-ctx.Done():
		c.log.Info().Msg("stopping")
		c.drain()
	}
	stop()
	<-leaderDone
	servers.stop(leadershipTransferTimeout)
	c.log.Info().Err(err).Msg("stopped")
	return err
}

// drain transfers leadership and waits for the agent to finish its orders.
func (c *core) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	c.member.TransferLeadership(ctx)
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), min(ordersDrainTimeout, seconds(c.settings.GraceS)/4))
	defer cancelDrain()
	c.agent.Drain(drainCtx)
}

// callLeader serves a call locally if this daemon is the leader, and otherwise
// calls the leader.
func callLeader[Q, R any](ctx context.Context, c *core, method string, q *Q, local func(context.Context, *Q) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if _, err := c.leader.currentDriver(); err == nil {
		return local(ctx, q)
	}
	var r R
	name := c.member.Leader()
	if name == "" || name == c.settings.peerAddress() {
		return r, platform.ErrUnavailable
	}
	if err := c.link.Call(ctx, name, method, q, &r); err != nil {
		return r, fromRemoteError(err)
	}
	return r, nil
}

// Announce implements platform.ControlPlane.
func (c *core) Announce(ctx context.Context, a *platform.Announcement) (platform.Acknowledgement, error) {
	return callLeader(ctx, c, methodAnnounce, a, c.leader.announce)
}

// Depart implements platform.ControlPlane.
func (c *core) Depart(ctx context.Context, d *platform.Departure) error {
	_, err := callLeader(ctx, c, methodDepart, d, c.leader.depart)
	return err
}

// PutDocument implements platform.ControlPlane.
func (c *core) PutDocument(ctx context.Context, raw []byte) error {
	_, err := callLeader(ctx, c, methodPutDocument, &documentMessage{Raw: raw}, c.leader.putDocument)
	c.log.Info().Err(err).Int("bytes", len(raw)).Msg("document submitted")
	return err
}

// Document implements platform.ControlPlane.
func (c *core) Document(ctx context.Context) ([]byte, error) {
	m, err := callLeader(ctx, c, methodDocument, &emptyMessage{}, c.leader.document)
	return m.Raw, err
}

// StartWave implements platform.ControlPlane.
func (c *core) StartWave(ctx context.Context, w *workload.Wave, within workload.Millis) error {
	_, err := callLeader(ctx, c, methodStartWave, &waveMessage{Wave: *w, Within: within}, c.leader.startWave)
	c.log.Info().Err(err).Int64("wave", w.ID).Int("instances", len(w.Instances)).Int64("within_ms", within).
		Int("max_down", w.MaxDown).Msg("wave requested")
	return err
}

// WaveCompleted implements platform.ControlPlane.
func (c *core) WaveCompleted(ctx context.Context, id int64) (bool, error) {
	r, err := callLeader(ctx, c, methodWaveStatus, &waveQuery{Wave: id}, c.leader.waveStatus)
	return r.Completed, err
}
