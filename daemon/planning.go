package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"magnoliastand.example/clock"
	"magnoliastand.example/control"
	"magnoliastand.example/dispatch/endpoint"
	"magnoliastand.example/fleet"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/planner"
)

const (
	// planInterval is the time between two plans of the fleet.
	planInterval = 2 * time.Second
	// loadExpiry is the age from which on a zone's load no longer counts.
	loadExpiry = 10 * time.Second
	// maxCommandsPerPlan bounds what one plan proposes; the next plan goes on.
	maxCommandsPerPlan = 200
)

// zoneLoad is the latest load that a zone's arbiter reported.
type zoneLoad struct {
	summary endpoint.Summary
	at      time.Time
}

// fleetPlanner plans moves and maintenance while this daemon leads.
type fleetPlanner struct {
	plane *controlPlane
	log   zerolog.Logger

	mu    sync.Mutex
	loads map[string]zoneLoad

	// The rest is used by run only.
	forecast *planner.Forecast
	term     uint64
}

func newFleetPlanner(c *controlPlane) *fleetPlanner {
	p := &fleetPlanner{plane: c, log: c.log, loads: make(map[string]zoneLoad)}
	c.link.HandleNotify(methodLoad, p.handleLoad)
	return p
}

func (p *fleetPlanner) handleLoad(from peerlink.Identity, payload []byte) {
	var n summaryNotice
	if decodeMessage(payload, &n) == nil && n.Summary.Zone == from.Zone {
		p.note(n.Summary)
	}
}

func (p *fleetPlanner) note(s endpoint.Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[s.Zone] = zoneLoad{summary: s, at: clock.Now()}
}

// run plans at each interval while this daemon leads, until ctx ends.
func (p *fleetPlanner) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if p.plane.leads() {
			p.round(ctx)
		}
	}
}

// round makes one plan and commits its commands, each of which the state
// checks again.
func (p *fleetPlanner) round(ctx context.Context) {
	view, evacuated := p.plane.machine.fleetView()
	if len(view.Instances) == 0 {
		return
	}
	p.observe(view)
	snapshot := planner.Snapshot{Now: nowMillis(), Fleet: view, Demand: p.forecast.Demand(), EvacuatedZones: evacuated}
	commands := planner.Plan(snapshot, view.Config.Objective)
	for _, cmd := range commands[:min(len(commands), maxCommandsPerPlan)] {
		p.commit(ctx, cmd)
	}
}

func nowMillis() fleet.Millis { return fleet.Millis(time.Now().UnixMilli()) }

// observe feeds the loads of the zones into the forecast. A new leadership
// starts with an empty forecast, so it moves nothing before it has seen a
// whole hold time.
func (p *fleetPlanner) observe(view fleet.View) {
	term := p.plane.node.running().Status().Term
	if p.forecast == nil || p.term != term {
		p.forecast = planner.NewForecast(planner.TuningOf(view.Config.Objective).Hold)
		p.term = term
	}
	p.forecast.Observe(nowMillis(), p.poolLoads())
}

// poolLoads sums the zones' loads by pool, in busy instances: each endpoint
// stands for one instance.
func (p *fleetPlanner) poolLoads() []planner.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	byPool := make(map[string]float64)
	doc := p.plane.holder.View().Document()
	for _, svc := range doc.Services {
		byPool[svc.Pool] += p.busySlots(svc.Name) / float64(svc.SlotsPerEndpoint)
	}
	loads := make([]planner.Load, 0, len(byPool))
	for _, pool := range doc.Pools {
		if busy, ok := byPool[pool.Name]; ok {
			loads = append(loads, planner.Load{Pool: pool.Name, Instances: busy})
		}
	}
	return loads
}

// busySlots returns the slots that a service uses or waits for. The lock is held.
func (p *fleetPlanner) busySlots(service string) float64 {
	busy := 0
	for _, l := range p.loads {
		if clock.Since(l.at) > loadExpiry {
			continue
		}
		for _, s := range l.summary.Services {
			if s.Service == service {
				busy += s.Slots - s.Free + s.Waiting
			}
		}
	}
	return float64(busy)
}

func (p *fleetPlanner) commit(ctx context.Context, cmd fleet.Command) {
	b, err := fleet.EncodeCommand(cmd)
	if err != nil {
		p.log.Error().Err(err).Msg("planned command not encoded")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := p.plane.proposeHere(callCtx, &control.Command{Fleet: b})
	if err != nil {
		p.log.Debug().Err(err).Msg("planned command not committed")
		return
	}
	r, err := fleet.DecodeResult(result.Fleet)
	if err != nil || r.Refused != "" {
		p.log.Debug().Err(err).Str("code", string(r.Refused)).Str("detail", r.Detail).Msg("planned command refused")
		return
	}
	p.log.Info().Str("instance", r.Instance).Str("state", string(r.State)).Str("pool", r.Pool).
		Str("wave", string(r.Wave)).Str("reason", cmd.Reason).Msg("planned")
}
