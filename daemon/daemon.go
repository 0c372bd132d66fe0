package daemon

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/cluster"
	"magnoliastand.example/control"
	"magnoliastand.example/control/httpapi"
	"magnoliastand.example/daemon/settings"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/arbiter"
	"magnoliastand.example/dispatch/origin"
	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/invariant"
	"magnoliastand.example/peerlink"
)

// Daemon is one process of the system.
type Daemon struct {
	set     settings.Settings
	self    dispatch.DaemonID
	log     zerolog.Logger
	link    *peerlink.Node
	control *controlPlane
	zone    *zoneMonitor
	host    *arbiterHost
	slots   *slotClient
	records *record.Service
	origin  *origin.Origin
	metrics *metrics
	servers *servers
	// operators may use the operators' interface.
	operators []httpapi.Operator
	// workerKeys are the hashes of the keys that workers present.
	workerKeys []control.KeyHash
	// jobs serves workers and submitters while this daemon leads.
	jobs http.Handler

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	failed chan error
	ready  readiness
}

// incarnationLength is the length of a random incarnation, which is unique
// among the restarts of one daemon.
const incarnationLength = 10

// New returns a daemon that listens on its addresses and does not run yet.
func New(set settings.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		set:        set,
		self:       dispatch.DaemonID{Name: set.Name, Incarnation: rand.Text()[:incarnationLength]},
		log:        log.With().Str("daemon", set.Name).Logger(),
		failed:     make(chan error, 1),
		operators:  operatorsOf(set),
		workerKeys: workerKeysOf(set),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.connect(); err != nil {
		return nil, err
	}
	if err := d.assemble(); err != nil {
		d.link.Close()
		return nil, err
	}
	servers, err := d.listen()
	if err != nil {
		d.link.Close()
		return nil, err
	}
	d.servers = servers
	return d, nil
}

// connect makes the peer link node.
func (d *Daemon) connect() error {
	secret, err := d.set.Secret()
	if err != nil {
		return err
	}
	book := make(map[string]string, len(d.set.Peers))
	for _, p := range d.set.Peers {
		book[p.Name] = p.Address
	}
	cfg := peerlink.Config{
		Self: peerlink.Identity{
			Cluster:     d.set.Cluster,
			Name:        d.self.Name,
			Incarnation: d.self.Incarnation,
			Zone:        d.set.AvailabilityZone,
		},
		Secret:    secret,
		Addresses: book,
		Log:       d.log,
		OnDown: func(peer string) {
			d.zone.linkDown(peer)
		},
	}
	if d.set.PeerTLS != nil {
		if cfg.TLS, err = d.peerTLS(); err != nil {
			return err
		}
	}
	d.link, err = peerlink.New(cfg)
	return errors.Wrap(err, "peer_secret")
}

// assemble makes the parts and joins them.
func (d *Daemon) assemble() error {
	registry := prometheus.NewRegistry()
	plane, err := newControlPlane(d.set, d.self, d.link, cluster.NewMetrics(registry), d.log)
	if err != nil {
		return err
	}
	d.control = plane
	d.metrics = newMetrics(d.log, registry, plane.objective)
	plane.metrics = d.metrics
	d.metrics.watchLink(d.link)
	d.link.Handle(methodBurn, d.handleBurn)
	invariant.SetSink(d.metrics.sink(d.breachStop()))
	zone := d.set.AvailabilityZone
	d.host = newArbiterHost(zone, d.link, d.log)
	d.host.newLimiter = func(term uint64) limiterHandle {
		return plane.newLimiter(d.ctx, zone, term, func() { d.host.tick(clock.Now()) })
	}
	d.host.arbiterOf = plane.ArbiterOf
	d.host.evacuated = func() bool { return plane.holder.View().ZoneEvacuated(zone) }
	d.zone = newZoneMonitor(d.self, zone, d.set.ArbiterOrder(zone), d.link, plane, d.log)
	d.zone.onChange = d.arbiterChanged
	plane.zoneArbiter = func() arbiterRef {
		ref, _ := d.zone.Arbiter()
		return ref
	}
	plane.ping = d.ping
	d.slots = newSlotClient(d.ctx, d.self, zone, d.link, d.host)
	d.slots.arbiter = d.zone.Arbiter
	d.slots.arbiterOf = plane.ArbiterOf
	d.assembleOrigin()
	return nil
}

func (d *Daemon) assembleOrigin() {
	d.records = record.New(record.Config{
		Self:  d.self,
		Zone:  d.set.AvailabilityZone,
		Peers: recordPeers{link: d.link},
		// Without the registry a successor could count as the first incarnation.
		AwaitRegistration: true,
	})
	members := make([]record.Member, 0, len(d.set.Peers))
	for _, p := range d.set.Peers {
		members = append(members, record.Member{Name: p.Name, Zone: p.AvailabilityZone})
	}
	d.records.SetMembers(members)
	serveRecords(d.link, d.records)
	d.control.onRegistered = d.records.Registered
	d.origin = origin.New(origin.Config{
		Self:    d.self,
		Zone:    d.set.AvailabilityZone,
		Control: d.control,
		Records: d.records,
		Slots:   d.slots,
		Metrics: d.metrics,
		Limits: origin.Limits{
			MaxInFlight:          d.set.Limits.Requests,
			BodyTimeout:          d.set.Limits.BodyTimeout.Std(),
			WriteTimeout:         d.set.Limits.WriteTimeout.Std(),
			IdleConnsPerEndpoint: max(1, spareConnections/len(d.set.Peers)),
		},
	})
	d.slots.held = d.origin.Held
	d.link.Handle(methodHoldings, d.slots.handleHoldings)
	d.control.ownHoldings = d.slots.holdings
	d.metrics.gauge("requests_in_flight", "Requests being handled.", func() float64 { return float64(d.origin.InFlight()) })
	d.metrics.gauge("suspended_seconds", "Time for which the machine was suspended since the start.", func() float64 {
		return clock.Suspended().Seconds()
	})
	d.metrics.gauge("configuration_version", "Version of the configuration in force.", func() float64 {
		return float64(d.control.holder.View().Version())
	})
	d.metrics.gauge("evacuated_availability_zones", "Availability zones that are evacuated.", func() float64 {
		return float64(len(d.control.holder.View().Evacuations()))
	})
	d.metrics.counterFunc("withheld_asks_total", "Asks that got no slot of this zone because it was evacuated.", func() float64 {
		return float64(d.host.withheldAskCount())
	})
}

// spareConnections is the number of idle connections that all daemons together
// keep to one endpoint, so that those in use stay within the users' 64.
const spareConnections = 48

// breachStop returns what ends the process at a breach, or nil by the settings.
func (d *Daemon) breachStop() func(invariant.Breach) {
	if !d.set.StopOnBreach {
		return nil
	}
	return func(b invariant.Breach) {
		d.fail(errors.Errorf("invariant %s breached: %s", b.Invariant, b.Detail))
	}
}

func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

// arbiterChanged starts or ends this daemon's arbiter.
func (d *Daemon) arbiterChanged(ref arbiterRef) {
	if ref.Name == d.self.Name && ref.Incarnation == d.self.Incarnation {
		d.host.start(ref.Term, arbiter.Recovery{OriginsComplete: ref.Term == provisionalTerms})
	} else {
		d.host.follow()
	}
	d.slots.arbiterChanged()
}

// ping returns a daemon's heartbeat.
func (d *Daemon) ping(ctx context.Context, daemon string) (heartbeat, error) {
	if daemon == d.self.Name {
		return d.zone.own(), nil
	}
	var reply heartbeat
	err := d.link.Call(ctx, daemon, methodPing, struct{}{}, &reply)
	return reply, err
}

// Run serves until ctx ends or a second, harder stop is asked for through
// hard; then it shuts down gracefully within the grace period. It returns an
// error when a part failed or requests were cut.
func (d *Daemon) Run(ctx context.Context, hard <-chan struct{}) error {
	d.spawn(func() { d.zone.run(d.ctx) })
	d.spawn(func() { d.host.run(d.ctx) })
	d.spawn(d.followView)
	d.spawn(func() { d.host.sendSummaries(d.ctx, d.zoneNames, d.control.reportLoad) })
	for _, peer := range d.set.PeersOf(d.set.AvailabilityZone) {
		if peer != d.self.Name {
			d.spawn(func() { d.host.pullFeed(d.ctx, peer) })
		}
	}
	d.spawn(func() {
		if err := d.control.run(d.ctx); err != nil {
			d.fail(err)
		}
	})
	d.spawn(d.inheritRecords)
	d.servers.start(d.fail)
	d.log.Info().Str("incarnation", d.self.Incarnation).Str("callers", d.set.Listen.Callers).
		Str("operators", d.set.Listen.Operators).Msg("serving")
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
		d.log.Error().Err(err).Msg("daemon failed")
	}
	return d.shutDown(err, hard)
}

func (d *Daemon) spawn(f func()) { d.wg.Go(f) }

func (d *Daemon) zoneNames() []string {
	var names []string
	for _, a := range d.control.holder.View().Arbiters() {
		names = append(names, a.Zone)
	}
	return names
}

// followView hands each new document and the evacuation of the zone to the arbiter, and
// tells arbiter and records which daemon processes have ended.
func (d *Daemon) followView() {
	var have uint64
	var evacuations []control.ZoneEvacuation
	incarnations := make(map[string]string)
	for {
		changed := d.control.holder.Changed()
		v := d.control.holder.View()
		if v.DocumentVersion() != have {
			have = v.DocumentVersion()
			d.host.setDocument(*v.Document())
			d.log.Info().Uint64("version", v.Version()).Uint64("document", have).Msg("configuration in force")
		}
		d.host.updateEvacuation()
		d.logEvacuations(evacuations, v.Evacuations())
		evacuations = v.Evacuations()
		for _, dm := range v.Daemons() {
			d.noteIncarnation(incarnations, dm)
		}
		select {
		case <-changed:
		case <-d.ctx.Done():
			return
		}
	}
}

// logEvacuations logs which evacuations came into force on this daemon, and which ended.
func (d *Daemon) logEvacuations(before, after []control.ZoneEvacuation) {
	contains := func(list []control.ZoneEvacuation, zone string) bool {
		return slices.ContainsFunc(list, func(e control.ZoneEvacuation) bool { return e.Zone == zone })
	}
	for _, e := range after {
		if !contains(before, e.Zone) {
			d.log.Info().Str("zone", e.Zone).Str("operation", e.OperationID).Str("operator", e.Actor).Msg("availability zone evacuated")
		}
	}
	for _, e := range before {
		if !contains(after, e.Zone) {
			d.log.Info().Str("zone", e.Zone).Msg("availability zone restored")
		}
	}
}

// noteIncarnation handles a daemon that registered another incarnation than
// before: the process of the former one has ended.
func (d *Daemon) noteIncarnation(known map[string]string, dm control.Daemon) {
	old, ok := known[dm.Name]
	known[dm.Name] = dm.Incarnation
	if !ok || old == dm.Incarnation || dm.Name == d.self.Name {
		return
	}
	ended := dispatch.DaemonID{Name: dm.Name, Incarnation: old}
	d.host.originLost(ended)
	d.records.OriginGone(ended)
}

// shutDown refuses new requests, lets those in flight end, and stops the parts.
func (d *Daemon) shutDown(cause error, hard <-chan struct{}) error {
	d.ready.stop()
	d.zone.leave()
	graceCtx, cancel := context.WithTimeout(context.Background(), d.set.Grace.Std())
	defer cancel()
	go func() {
		select {
		case <-hard:
			cancel()
		case <-graceCtx.Done():
		}
	}()
	cuts := d.origin.Drain(graceCtx)
	for _, c := range cuts {
		d.log.Error().Str("request", c.ID).Str("queue", c.Queue).Str("state", c.State.String()).Msg("request cut by shutdown")
	}
	if len(cuts) == 0 {
		d.awaitSuccessor(graceCtx)
	}
	d.handOverRecords()
	d.handOverLead()
	d.servers.stop()
	d.cancel()
	d.link.Close()
	d.wg.Wait()
	d.slots.wg.Wait()
	d.records.Close()
	d.origin.Close()
	d.log.Info().Int("cut", len(cuts)).Msg("stopped")
	if cause == nil && len(cuts) > 0 {
		return errors.Errorf("%d requests were cut by the shutdown", len(cuts))
	}
	return cause
}

// successorTimeout bounds the wait for another arbiter at shutdown.
const successorTimeout = 2 * time.Second

// awaitSuccessor keeps serving asks until another daemon is arbiter of the zone.
func (d *Daemon) awaitSuccessor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	for {
		ref, changed := d.zone.Arbiter()
		if ref.Name != d.self.Name || len(d.zone.peersAlive(clock.Now())) == 1 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// inheritRecords takes over the request records that a former incarnation
// handed over. Without them this daemon abstains from deciding on ids of the
// callers' own form for the retention.
func (d *Daemon) inheritRecords() {
	err := d.records.Inherit(d.ctx, recordPeers{link: d.link})
	if err != nil {
		d.log.Info().Err(err).Msg("no request records inherited")
	}
}

// handOverTimeout bounds handing records to a peer at shutdown.
const handOverTimeout = 2 * time.Second

func (d *Daemon) handOverRecords() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := d.records.HandOver(ctx, recordPeers{link: d.link}); err != nil {
		d.log.Warn().Err(err).Msg("request records not handed over")
	}
}

// handOverLead passes the lead of the control log on before the daemon stops.
func (d *Daemon) handOverLead() {
	if d.control.node == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	d.control.node.handOver(ctx)
}

// Document returns the document in force and its version.
func (d *Daemon) Document() (api.Document, uint64) {
	v := d.control.holder.View()
	return *v.Document(), v.DocumentVersion()
}
