package driver

import (
	"context"
	"time"
)

const (
	// fullPace is the pace of a run at its start, in percent.
	fullPace = 100
	// slowTail and calmTail are the shares of its target, in percent, above which
	// a serving task's tail slows the filling runs beside it, and below which
	// these speed up again.
	slowTail = 80
	calmTail = 60
	// paceStep is how much the pace rises at a time, in percent.
	paceStep = 20
	// calmTime is how long the tails stay low before the pace rises: the tail is
	// measured over half a second.
	calmTime = 700 * time.Millisecond
)

// pace slows filling runs while a serving task beside them is near its target.
// The pace falls by halves and rises in steps.
func (d *Driver) pace(s *session, now time.Time) {
	var worst int64
	serving, filling := false, []*run(nil)
	for _, r := range d.runsOn(s.worker.ID, s.worker.Incarnation) {
		step := r.step()
		if step.TailTarget > 0 && r.phase == phaseStarted {
			serving = true
			worst = max(worst, r.tail*100/step.TailTarget)
		}
		if step.Fills && r.phase == phaseStarted {
			filling = append(filling, r)
		}
	}
	if len(filling) == 0 {
		s.fillPace = fullPace
		return
	}
	s.adjustPace(serving, worst, now, d.cfg.Timing.Pace)
	for _, r := range filling {
		if r.pace != s.fillPace {
			d.sendPace(s, r, s.fillPace)
		}
	}
}

// adjustPace decides the pace of the filling runs of a worker.
func (s *session) adjustPace(serving bool, worst int64, now time.Time, settle time.Duration) {
	switch {
	case !serving:
		s.fillPace = fullPace
	case worst >= slowTail:
		s.calmSince = time.Time{}
		if now.Sub(s.pacedAt) >= settle && s.fillPace > 0 {
			s.fillPace /= 2
			if s.fillPace < paceStep/2 {
				s.fillPace = 0
			}
			s.pacedAt = now
		}
	case worst >= calmTail:
		s.calmSince = time.Time{}
	case s.calmSince.IsZero():
		s.calmSince = now
	case now.Sub(s.calmSince) >= calmTime && s.fillPace < fullPace:
		s.fillPace = min(fullPace, s.fillPace+paceStep)
		s.calmSince, s.pacedAt = now, now
	}
}

func (d *Driver) sendPace(s *session, r *run, percent int) {
	r.pace = percent
	endpoint := s.endpoint()
	d.async(func() {
		err := d.call(callTimeout, func(ctx context.Context) error {
			return d.cfg.Workers.Pace(ctx, endpoint, r.ref, r.number, percent, d.cfg.Term)
		})
		d.reply(func() {
			d.cfg.Metrics.Orders.WithLabelValues("pace", outcomeOf(err)).Inc()
			if err != nil && r.pace == percent {
				r.pace = -1 // the next list sends it again
			}
		})
	})
}
