package driver

import (
	"context"
	"slices"
	"time"
)

const (
	// fullPace is the initial pace of a run, in percent.
	fullPace = 100
	// highTail and lowTail are percentages of a serving task's tail latency
	// target. Above highTail the filling runs on the same worker are slowed down;
	// below lowTail they are sped up again.
	highTail = 80
	lowTail  = 60
	// paceStep is the increment by which the pace is raised, in percent.
	paceStep = 20
	// lowTailTime is how long tail latencies must stay low before the pace is
	// raised. The tail is measured over half a second.
	lowTailTime = 700 * time.Millisecond
	// paceRepeat is the interval at which the pace in force is sent again while an earlier
	// order may change it. A raise that is carried out late is corrected within this time and
	// that of a call, which leaves the rest of a second for the pace to take effect and to
	// show in the tail, measured over half a second.
	paceRepeat = 200 * time.Millisecond
)

// paceOrder is an order to change the pace of a run that may yet be carried out.
type paceOrder struct {
	percent int
	sent    time.Time
}

// pace slows filling runs while a serving task on the same worker is close to its
// latency target. The pace is reduced by halving and raised in fixed steps.
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

// adjustPace computes the pace of a worker's filling runs.
func (s *session) adjustPace(serving bool, worst int64, now time.Time, settle time.Duration) {
	switch {
	case !serving:
		s.fillPace = fullPace
	case worst >= highTail:
		s.lowTailSince = time.Time{}
		if now.Sub(s.pacedAt) >= settle && s.fillPace > 0 {
			s.fillPace /= 2
			if s.fillPace < paceStep/2 {
				s.fillPace = 0
			}
			s.pacedAt = now
		}
	case worst >= lowTail:
		s.lowTailSince = time.Time{}
	case s.lowTailSince.IsZero():
		s.lowTailSince = now
	case now.Sub(s.lowTailSince) >= lowTailTime && s.fillPace < fullPace:
		s.fillPace = min(fullPace, s.fillPace+paceStep)
		s.lowTailSince, s.pacedAt = now, now
	}
}

// sendPace orders the pace of a run.
func (d *Driver) sendPace(s *session, r *run, percent int) {
	o := &paceOrder{percent: percent, sent: time.Now()}
	r.pace, r.pacedAt = percent, o.sent
	r.paceOrders = append(r.paceOrders, o)
	endpoint := s.endpoint()
	d.async(func() {
		err := d.call(callTimeout, func(ctx context.Context) error {
			return d.cfg.Workers.Pace(ctx, endpoint, r.ref, r.number, percent, s.fence)
		})
		d.postReply(func() { d.paceAnswered(s, r, o, err) })
	})
}

// paceAnswered handles the result of a pace order. An order without an answer may be carried
// out after newer ones, and so may one that is answered after a newer one was sent.
func (d *Driver) paceAnswered(s *session, r *run, o *paceOrder, err error) {
	d.cfg.Metrics.Orders.WithLabelValues("pace", outcomeOf(err)).Inc()
	if isAnswer(err) {
		r.paceOrders = slices.DeleteFunc(r.paceOrders, func(other *paceOrder) bool { return other == o })
	}
	if err != nil && r.pace == o.percent {
		r.pace = -1 // resent when the next list arrives
	}
	if err == nil && r.pacedAt.After(o.sent) && o.percent != s.fillPace && d.isCurrent(s, r) {
		d.sendPace(s, r, s.fillPace)
	}
}

// isCurrent reports whether a run is tracked on the incarnation of its worker that the session
// is of.
func (d *Driver) isCurrent(s *session, r *run) bool {
	return d.runs[r.ref] == r && d.sessions[r.worker] == s && s.worker.Incarnation == r.incarnation
}

// repeatPace sends the pace in force of a filling run again while an earlier order for another
// pace may yet be carried out.
func (d *Driver) repeatPace(r *run, now time.Time) {
	if len(r.paceOrders) == 0 || now.Sub(r.pacedAt) < paceRepeat {
		return
	}
	r.paceOrders = slices.DeleteFunc(r.paceOrders, func(o *paceOrder) bool { return now.Sub(o.sent) > lateOrderTime+paceRepeat })
	s := d.sessions[r.worker]
	if s == nil || r.phase != phaseStarted || !d.isCurrent(s, r) {
		return
	}
	if slices.ContainsFunc(r.paceOrders, func(o *paceOrder) bool { return o.percent != s.fillPace }) {
		d.sendPace(s, r, s.fillPace)
	}
}
