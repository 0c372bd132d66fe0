package driver

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
	"magnoliastand.example/workload/plan"
)

const (
	// admissionInterval is the longest time for which an estimate of a pool's backlog is used.
	// Its cost is proportional to the number of unfinished jobs.
	admissionInterval = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a caller whose job was
	// rejected for load should come back.
	minRetryAfter, maxRetryAfter workload.Millis = 1000, 10_000
	// maxUnproven bounds the rejections that are checked for having been possible.
	maxUnproven = 1000
	// admissionLogInterval is the interval between log lines on rejections for load.
	admissionLogInterval = time.Second
)

// admissions holds the estimates by pool and what they have rejected.
type admissions struct {
	pools map[string]*poolAdmission
	// rejected counts rejections since loggedAt.
	rejected int
	loggedAt time.Time
	// unproven are the latest rejections of jobs that might still have been done.
	unproven []unproven
	// checked is the time until which accepted jobs were checked for having lost their value.
	checked workload.Millis
}

// unproven is a rejected job of a pool that would have to start by a time.
type unproven struct {
	pool, reason string
	startBy      workload.Millis
}

type poolAdmission struct {
	*plan.Admission
	at time.Time
}

// admit returns the response to a submission that certainly cannot be done before it loses
// its value, or nil. While every task of the pool has found a worker, no job is rejected.
func (d *Driver) admit(t workload.Target, spec *workload.Spec) *workload.Response {
	pool := t.Queue.Pool
	if d.waiting[pool] == (workload.Size{}) || spec.StartAt != 0 || spec.LongRunning() {
		return nil
	}
	now := time.Now()
	a := d.admissions.pools[pool]
	if a == nil || now.Sub(a.at) >= admissionInterval {
		a = &poolAdmission{at: now, Admission: plan.NewAdmission(&plan.AdmissionInput{
			State: d.state, Now: now.UnixMilli(), Pool: pool, Supply: d.fleet.supply(pool, now), Beyond: d.rates.Beyond,
			Factor: func(queue string) float64 { return d.fleet.runTimes[queue].factor() },
		})}
		if d.admissions.pools == nil {
			d.admissions.pools = map[string]*poolAdmission{}
		}
		d.admissions.pools[pool] = a
	}
	rejection := a.Check(&plan.Request{
		Queue: t.Queue, Team: t.Team, Spec: spec, Beyond: d.rates.Exceeds(d.state, t.Team, now.UnixMilli()),
	}, now.UnixMilli())
	if rejection == nil {
		return nil
	}
	d.cfg.Metrics.Decisions.WithLabelValues("rejected", rejection.Reason).Inc()
	d.admissions.rejected++
	if len(d.admissions.unproven) < maxUnproven {
		d.admissions.unproven = append(d.admissions.unproven, unproven{pool, rejection.Reason, rejection.StartBy})
	}
	after := retryAfter(rejection)
	if now.Sub(d.admissions.loggedAt) >= admissionLogInterval {
		d.cfg.Logger.Warn().Str("job", t.Job).Str("queue", t.Queue.Name).Str("team", t.Team).Str("pool", pool).
			Str("reason", rejection.Reason).Int64("late_ms", rejection.Done-rejection.Expires).Int64("retry_after_ms", after).
			Int("rejected", d.admissions.rejected).Uint64("term", d.cfg.Term).Msg("jobs rejected for load")
		d.admissions.rejected, d.admissions.loggedAt = 0, now
	}
	return &workload.Response{
		Answer: workload.AnswerNotRun, Verb: workload.VerbSubmit, Version: d.state.Version(), RetryAfter: after,
		Reason: "overload: the job cannot be done before it loses its value (" + rejection.Reason + ")",
	}
}

// checkRejections counts the rejected jobs that would have been possible: every task of their
// pool has found a worker while they could have been started in time.
func (d *Driver) checkRejections(now workload.Millis) {
	d.admissions.unproven = slices.DeleteFunc(d.admissions.unproven, func(u unproven) bool {
		possible := now <= u.startBy && d.waiting[u.pool] == (workload.Size{})
		if possible {
			d.cfg.Metrics.Decisions.WithLabelValues("rejected_possible", u.reason).Inc()
		}
		return possible || now > u.startBy
	})
}

// countMissed counts the accepted jobs that lost their value since the last check.
func (d *Driver) countMissed(now workload.Millis) {
	missed := 0
	for _, j := range d.state.Jobs() {
		at, ok := plan.Expires(d.state, j)
		if ok && at > d.admissions.checked && at <= now && (!j.State.Finished() || j.Ended > at) {
			missed++
		}
	}
	d.admissions.checked = now
	if missed > 0 {
		d.cfg.Metrics.Decisions.WithLabelValues("missed", "accepted").Add(float64(missed))
		d.cfg.Logger.Warn().Int("jobs", missed).Uint64("term", d.cfg.Term).Msg("accepted jobs lost their value")
	}
}

// retryAfter returns a time by which the backlog may be short enough, spread over as long again.
func retryAfter(r *plan.Rejection) workload.Millis {
	least := min(max(r.Done-r.Expires, minRetryAfter), maxRetryAfter)
	return least + rand.Int64N(least)
}

// admitted records an accepted job in the estimate of its pool.
func (d *Driver) admitted(j *workload.Job) {
	if a := d.admissions.pools[d.state.PoolOf(j)]; a != nil {
		a.Accepted(j)
	}
}

// supply returns the most that a pool may have: its workers and the instances on their way to it
// now and, after the time of a move, also those of the standby pools and of the pools in which
// nothing waits.
func (f *fleet) supply(pool string, now time.Time) plan.Supply {
	d := f.d
	s := plan.Supply{LaterAt: now.Add(d.cfg.Timing.Migrate + joinTime).UnixMilli()}
	for _, w := range d.state.PoolWorkers(pool) {
		if !w.Lost {
			s.Now = s.Now.Add(w.Capacity)
		}
	}
	for _, i := range f.instances {
		to := i.Pool
		if i.moveTo != "" {
			to = i.moveTo
		}
		registered := i.moveTo == "" && i.State == platform.InstanceUp && d.sessions[i.Worker] != nil
		switch {
		case to != pool && d.waiting[to] == (workload.Size{}):
			s.Later = s.Later.Add(i.full)
		case to == pool && !registered:
			s.Now = s.Now.Add(i.full)
		}
	}
	return s
}
