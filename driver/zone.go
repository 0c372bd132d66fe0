package driver

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// The evacuation of an availability zone keeps tasks from being started on its workers; what
// runs there goes on. The evacuation of an instance for a maintenance wave, which stops runs,
// is in wave.go.

// ErrOrderExpired is returned for an order that was not carried out because it arrived late
// or its caller has given up.
var ErrOrderExpired = errors.New("driver: order is too old")

// errZoneEvacuated means that a start was withheld because its worker is in an evacuated zone.
var errZoneEvacuated = errors.Wrap(platform.ErrNotSent, "zone evacuated")

// ZoneOrder starts or finishes the evacuation of an availability zone.
type ZoneOrder struct {
	Zone   string
	Finish bool
	// Expired reports whether the order is too old to be carried out. It is called on the
	// event loop, right before the order takes its place in the log: from then on it comes
	// before every newer one.
	Expired func() bool
}

// EvacuateZone commits an order for a zone. Errors wrap workload.ErrUnknownZone,
// ErrOrderExpired, ErrStopped, ErrBusy or ErrOutcomeUnknown.
func (d *Driver) EvacuateZone(ctx context.Context, o *ZoneOrder) error {
	_, err := await(ctx, d, func(answer func(struct{}, error)) {
		if ctx.Err() != nil || o.Expired() {
			answer(struct{}{}, ErrOrderExpired)
			return
		}
		if err := d.orderZone(o, func() { answer(struct{}{}, nil) }); err != nil {
			answer(struct{}{}, err)
		}
	})
	return err
}

// orderZone applies an order for a zone. then is called after the commit.
func (d *Driver) orderZone(o *ZoneOrder, then func()) error {
	repeated := d.state.IsEvacuated(o.Zone) != o.Finish
	if !o.Finish && !repeated && !d.isKnownZone(o.Zone) {
		return errors.Wrapf(workload.ErrUnknownZone, "%q is neither a zone of the deployment nor that of a known worker", o.Zone)
	}
	done, runs := "zone evacuation acknowledged", d.runsInZone(o.Zone)
	if o.Finish {
		done = "zone evacuation withdrawn"
	}
	err := d.apply(workload.Command{EvacuateZone: &workload.EvacuateZone{Zone: o.Zone, Finish: o.Finish}}, func() {
		d.cfg.Logger.Info().Str("zone", o.Zone).Bool("repeated", repeated).Int("runs", d.runsInZone(o.Zone)).
			Uint64("term", d.cfg.Term).Msg(done)
		then()
	})
	if err != nil || o.Finish || repeated {
		return err
	}
	d.cfg.Logger.Info().Str("zone", o.Zone).Int("runs", runs).Uint64("term", d.cfg.Term).Msg("zone evacuation ordered")
	for _, w := range d.state.Workers() {
		if w.Zone == o.Zone {
			d.withdrawRepeats(w)
		}
	}
	if d.allZonesEvacuated() {
		d.cfg.Logger.Warn().Str("zone", o.Zone).Uint64("term", d.cfg.Term).Msg("every zone is evacuated: jobs are accepted and wait")
	}
	return nil
}

// isKnownZone reports whether a zone may be evacuated: any may if the zones of the deployment
// are not set.
func (d *Driver) isKnownZone(zone string) bool {
	if len(d.cfg.Zones) == 0 || slices.Contains(d.cfg.Zones, zone) {
		return true
	}
	for _, w := range d.state.Workers() {
		if w.Zone == zone {
			return true
		}
	}
	return false
}

// allZonesEvacuated reports whether no zone is left in which tasks may start: neither one of
// the deployment nor that of a known worker.
func (d *Driver) allZonesEvacuated() bool {
	for _, zone := range d.cfg.Zones {
		if !d.state.IsEvacuated(zone) {
			return false
		}
	}
	for _, w := range d.state.Workers() {
		if !d.state.IsEvacuated(w.Zone) {
			return false
		}
	}
	return true
}

// runsInZone counts the current runs on workers of a zone.
func (d *Driver) runsInZone(zone string) int {
	n := 0
	for id, w := range d.state.Workers() {
		if w.Zone == zone {
			n += len(d.state.Runs(id))
		}
	}
	return n
}
