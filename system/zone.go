package system

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/clock"
	"magnoliastand.example/driver"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

const (
	// maxZoneOrderAge is the age, from its arrival at a core, up to which an order for a
	// zone is carried out. The operator gives up after one second and may send a newer
	// order to another core; half of that is left for the way of the order to this core.
	maxZoneOrderAge = 500 * time.Millisecond
	// hangUpTime is how long a core waits for the end of the connection before it passes an
	// order on: two round trips between zones. A core that was frozen or cut off receives
	// an order together with the end of its connection, or one round trip before it.
	hangUpTime = 25 * time.Millisecond
	// zoneOrderRetry is the pause before an order without a result is tried again.
	zoneOrderRetry = 30 * time.Millisecond
)

// zoneTime is a reading of the leader's clock, from which it tells the age of an order.
type zoneTime struct {
	// Term is the term in which the reading is valid.
	Term uint64 `cbor:"1,keyasint"`
	// Reading is a reading of clock.Boot.
	Reading time.Duration `cbor:"2,keyasint"`
}

// zoneMessage is an order for a zone.
type zoneMessage struct {
	Zone   string `cbor:"1,keyasint"`
	Finish bool   `cbor:"2,keyasint,omitempty"`
	// Time was received from the leader Elapsed after the order had arrived at the core that
	// forwards it.
	Time    zoneTime      `cbor:"3,keyasint"`
	Elapsed time.Duration `cbor:"4,keyasint"`
}

// expired reports whether the order is too old, given a reading of the clock from which its
// Time was read. The age is an upper bound: the time in which the reading was on its way to
// the forwarding core is counted twice.
func (m *zoneMessage) expired(now time.Duration) bool {
	age := now - m.Time.Reading + m.Elapsed
	return age < 0 || age > maxZoneOrderAge
}

// zoneTime returns a reading of the leader's clock.
func (l *leader) zoneTime(context.Context, *emptyMessage) (zoneTime, error) {
	_, t, err := l.current()
	if err != nil {
		return zoneTime{}, err
	}
	return zoneTime{Term: t.term, Reading: clock.Boot()}, nil
}

// evacuateZone commits an order for a zone.
func (l *leader) evacuateZone(ctx context.Context, m *zoneMessage) (emptyMessage, error) {
	d, t, err := l.current()
	if err != nil {
		return emptyMessage{}, err
	}
	if t.term != m.Time.Term {
		return emptyMessage{}, errors.Wrap(platform.ErrUnavailable, "the leader has changed")
	}
	return emptyMessage{}, d.EvacuateZone(ctx, &driver.ZoneOrder{
		Zone: m.Zone, Finish: m.Finish, Expired: func() bool { return m.expired(clock.Boot()) },
	})
}

// EvacuateZone implements platform.ControlPlane.
func (c *core) EvacuateZone(ctx context.Context, zone string, finish bool) error {
	arrived := clock.Now()
	err := waitUnlessDone(ctx, hangUpTime)
	for err == nil {
		err = c.forwardZoneOrder(ctx, arrived, zone, finish)
		if err == nil || isRefusal(err) || clock.Since(arrived)+zoneOrderRetry > maxZoneOrderAge || waitUnlessDone(ctx, zoneOrderRetry) != nil {
			break
		}
		err = nil
	}
	c.log.Info().Err(err).Str("zone", zone).Bool("finish", finish).Dur("took", clock.Since(arrived)).Msg("zone evacuation requested")
	return err
}

// isRefusal reports whether another attempt would have the same result.
func isRefusal(err error) bool {
	return errors.Is(err, workload.ErrUnknownZone) || errors.Is(err, workload.ErrMalformed)
}

// waitUnlessDone waits. It fails if ctx ends first.
func waitUnlessDone(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return errors.Wrap(platform.ErrUnavailable, "the caller has given up")
	}
	return nil
}

// forwardZoneOrder passes an order for a zone to the leader once.
func (c *core) forwardZoneOrder(ctx context.Context, arrived time.Time, zone string, finish bool) error {
	m := &zoneMessage{Zone: zone, Finish: finish}
	var err error
	if m.Time, err = callLeader(ctx, c, methodZoneTime, &emptyMessage{}, c.leader.zoneTime); err != nil {
		return err
	}
	m.Elapsed = clock.Since(arrived)
	if err := ctx.Err(); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	_, err = callLeader(ctx, c, methodZone, m, c.leader.evacuateZone)
	return err
}
