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
	// handOverTimeout bounds the hand-over of the lead at a planned stop.
	handOverTimeout = 700 * time.Millisecond
	// agentDrainTimeout bounds the wait for orders under way: a hold may take 750 ms.
	agentDrainTimeout = time.Second
	// forwardTimeout bounds a call that is passed to the leader: callers of the
	// operators' interface move on after a second.
	forwardTimeout = 900 * time.Millisecond
)

// core is a daemon with a disk.
type core struct {
	set    Settings
	log    zerolog.Logger
	link   *peerlink.Node
	member *cluster.Member[[]error]
	leader *leader
	agent  *relay.Agent
}

// RunCore serves as a core daemon until ctx ends.
func RunCore(ctx context.Context, set Settings, log zerolog.Logger) error {
	registry := prometheus.NewRegistry()
	link, err := newLink(&set, log)
	if err != nil {
		return err
	}
	defer link.Close()
	committed := newReplica(platform.DecodeDocument)
	member, err := cluster.Open(cluster.Config[[]error]{
		Self: set.self(), Zone: set.Zone, DataFolder: set.DataFolder, Seeds: set.seedPeers(), Form: set.FormCluster,
		Voters: 2*set.LostDisks + 1, Silence: seconds(set.CatchUpS), Machine: committed, Link: link, Log: log,
	})
	if err != nil {
		return err
	}
	client := platform.NewClient()
	defer client.Close()
	agent := relay.NewAgent(link, client, log)
	defer agent.Close()
	orders := relay.New(relay.Config{
		Link: link, Direct: client, Self: relay.Peer{Name: set.self(), Zone: set.Zone}, Log: log, Metrics: relay.NewMetrics(registry),
		Peers: func() []relay.Peer { return agentPeers(member.Peers()) },
	})
	c := &core{set: set, log: log, link: link, member: member, agent: agent}
	c.leader = &leader{member: member, replica: committed, log: log, relay: orders, base: driver.Config{
		Name: set.Name, Workers: orders, Advisor: client, Instances: client, AdviceAddress: set.AdviceAddress,
		MachineAddress: set.InstancesAddress, Timing: set.timing(), ReportTo: set.OperatorsListen,
		Metrics: driver.NewMetrics(registry), Logger: log,
	}}
	c.handle()
	return c.serve(ctx, registry)
}

// agentPeers returns the members as agents for orders: every member runs one.
func agentPeers(members []cluster.Peer) []relay.Peer {
	peers := make([]relay.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, relay.Peer(m))
	}
	return peers
}

// handle registers what other daemons may ask of the leader.
func (c *core) handle() {
	c.link.Handle(methodRequest, handler(c.leader.request))
	c.link.Handle(methodAnnounce, handler(c.leader.announce))
	c.link.Handle(methodDepart, handler(c.leader.depart))
	c.link.Handle(methodPut, handler(c.leader.put))
	c.link.Handle(methodDocument, handler(c.leader.document))
	c.link.Handle(methodWave, handler(c.leader.startWave))
	c.link.Handle(methodWaveRead, handler(c.leader.wave))
}

// serve runs the servers, the log and the leader until ctx ends; then it hands
// the lead over before anything stops.
func (c *core) serve(ctx context.Context, registry *prometheus.Registry) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers := newServers(c.log)
	servers.add("peers", c.set.peerListen(), c.link.Handler())
	servers.add("operators", c.set.OperatorsListen, platform.NewControl(c))
	servers.addMetrics(&c.set, registry)
	if err := servers.start(); err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- c.member.Run(runCtx) }()
	led := make(chan struct{})
	go func() {
		defer close(led)
		for c.member.Node() == nil {
			select {
			case <-time.After(leadPoll):
			case <-runCtx.Done():
				return
			}
		}
		c.leader.run(runCtx)
	}()
	c.log.Info().Str("role", "core").Str("zone", c.set.Zone).Str("peer", c.set.self()).
		Bool("form", c.set.FormCluster).Strs("seeds", c.set.Seeds).Msg("started")
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		c.log.Info().Msg("stopping")
		c.handOver()
	}
	stop()
	<-led
	servers.stop(handOverTimeout)
	c.log.Info().Err(err).Msg("stopped")
	return err
}

// handOver passes the lead on and lets the agent finish its orders.
func (c *core) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	c.member.HandOver(ctx)
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), min(agentDrainTimeout, seconds(c.set.GraceS)/4))
	defer cancelDrain()
	c.agent.Drain(drainCtx)
}

// forward serves a call here when this daemon leads, else at the leader.
func forward[Q, R any](ctx context.Context, c *core, method string, q *Q, here func(context.Context, *Q) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if _, err := c.leader.current(); err == nil {
		return here(ctx, q)
	}
	var r R
	name := c.member.Leader()
	if name == "" || name == c.set.self() {
		return r, platform.ErrUnavailable
	}
	if err := c.link.Call(ctx, name, method, q, &r); err != nil {
		return r, fromRemote(err)
	}
	return r, nil
}

// Announce implements platform.ControlPlane.
func (c *core) Announce(ctx context.Context, a *platform.Announcement) (platform.Acknowledgement, error) {
	return forward(ctx, c, methodAnnounce, a, c.leader.announce)
}

// Depart implements platform.ControlPlane.
func (c *core) Depart(ctx context.Context, d *platform.Departure) error {
	_, err := forward(ctx, c, methodDepart, d, c.leader.depart)
	return err
}

// PutDocument implements platform.ControlPlane.
func (c *core) PutDocument(ctx context.Context, raw []byte) error {
	_, err := forward(ctx, c, methodPut, &documentMessage{Raw: raw}, c.leader.put)
	c.log.Info().Err(err).Int("bytes", len(raw)).Msg("document put")
	return err
}

// Document implements platform.ControlPlane.
func (c *core) Document(ctx context.Context) ([]byte, error) {
	m, err := forward(ctx, c, methodDocument, &empty{}, c.leader.document)
	return m.Raw, err
}

// StartWave implements platform.ControlPlane.
func (c *core) StartWave(ctx context.Context, w *workload.Wave, within workload.Millis) error {
	_, err := forward(ctx, c, methodWave, &waveMessage{Wave: *w, Within: within}, c.leader.startWave)
	c.log.Info().Err(err).Int64("wave", w.ID).Int("instances", len(w.Instances)).Int64("within_ms", within).
		Int("max_down", w.MaxDown).Msg("wave ordered")
	return err
}

// WaveCompleted implements platform.ControlPlane.
func (c *core) WaveCompleted(ctx context.Context, id int64) (bool, error) {
	r, err := forward(ctx, c, methodWaveRead, &waveQuery{Wave: id}, c.leader.wave)
	return r.Completed, err
}
