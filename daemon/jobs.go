package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/control"
	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/batch"
	"magnoliastand.example/jobs/httpapi"
	"magnoliastand.example/jobs/scheduler"
)

const (
	// scheduleInterval is the longest time between two plans of jobs.
	scheduleInterval = time.Second
	// scheduleGap is the shortest time between two plans, which gathers changes.
	scheduleGap = 50 * time.Millisecond
	// maxChangesPerPlan bounds the changes of one entry; the next plan goes on.
	maxChangesPerPlan = 500
	// maxLoggedJobs bounds the jobs that one log line names.
	maxLoggedJobs = 16
)

func jobsMillis(d time.Duration) jobs.Millis { return jobs.Millis(d.Milliseconds()) }

// stampJobs sets the time of a command of the jobs' state to the cluster time.
func stampJobs(cmd *control.Command, clock *control.Clock) error {
	if len(cmd.Fleet) == 0 || cmd.Fleet[0] != jobsPrefix {
		return nil
	}
	c, err := jobs.DecodeCommand(cmd.Fleet[1:])
	if err != nil {
		return err
	}
	c.At = jobsMillis(clock.Now())
	cmd.Fleet, err = encodeJobs(c)
	return err
}

func encodeJobs(c jobs.Command) ([]byte, error) {
	b, err := jobs.EncodeCommand(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode job changes")
	}
	return append([]byte{jobsPrefix}, b...), nil
}

// jobService implements httpapi.Service on the leader. Reads elsewhere could
// show an older clock and so too long a lease.
type jobService struct {
	plane *controlPlane
}

// Propose implements httpapi.Service. Concurrent proposals share an entry.
func (s jobService) Propose(ctx context.Context, changes ...jobs.Change) (jobs.Result, error) {
	r, err := s.plane.jobBatch.Propose(ctx, changes...)
	if errors.Is(err, batch.ErrFull) {
		return r, errors.Wrap(httpapi.ErrNotProposed, err.Error())
	}
	return r, err
}

// commitJobs commits changes as one entry of the log.
func (c *controlPlane) commitJobs(ctx context.Context, changes []jobs.Change) (jobs.Result, error) {
	b, err := encodeJobs(jobs.Command{Rules: jobs.CurrentRules, Changes: changes})
	if err != nil {
		return jobs.Result{}, errors.Wrap(httpapi.ErrNotProposed, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := c.propose(ctx, &control.Command{Fleet: b})
	switch {
	case err != nil && notSent(err):
		return jobs.Result{}, errors.Wrap(httpapi.ErrNotProposed, err.Error())
	case err != nil:
		return jobs.Result{}, err
	case r.Refusal != nil:
		return jobs.Result{}, errors.Wrap(httpapi.ErrNotProposed, r.Refusal.Error())
	}
	result, err := jobs.DecodeResult(r.Fleet)
	if err == nil && len(result.Changes) == len(changes) {
		c.reportCrashes(changes, result)
	}
	return result, err
}

// reportCrashes logs and counts the crashes of workers under jobs and the jobs that
// are parked.
func (c *controlPlane) reportCrashes(changes []jobs.Change, result jobs.Result) {
	for n := range changes {
		r := &result.Changes[n]
		switch {
		case len(r.Crashed) > 0:
			c.metrics.workerCrashes.Inc()
			c.log.Warn().Str("worker", changes[n].Heartbeat.Worker).Int("count", len(r.Crashed)).
				Strs("jobs", r.Crashed[:min(len(r.Crashed), maxLoggedJobs)]).Msg("worker restarted with jobs on it")
		case changes[n].Park != nil && r.Refused == "":
			c.metrics.jobsParked.Inc()
			c.log.Warn().Str("job", r.Job).Str("reason", changes[n].Park.Reason).Msg("job parked")
		}
	}
}

// Read implements httpapi.Service.
func (s jobService) Read(ctx context.Context) (*jobs.View, error) {
	if !s.plane.leads() {
		return nil, errNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := s.plane.node.running()
	clock := s.plane.clusterClock(ctx, started)
	if clock == nil {
		return nil, errNotLeader
	}
	if err := started.ReadIndex(ctx); err != nil {
		return nil, errNotLeader
	}
	v, _ := s.plane.machine.jobsView()
	return v.At(jobsMillis(clock.Now())), nil
}

// Watch implements httpapi.Service.
func (s jobService) Watch() (*jobs.View, <-chan struct{}) { return s.plane.machine.jobsView() }

// Authorize implements httpapi.Service.
func (s jobService) Authorize(_ context.Context, key, queue string) (string, error) {
	if !s.plane.Fresh() {
		return "", errNotLeader
	}
	v := s.plane.holder.View()
	if key == "" {
		ref, ok := v.Queue(queue)
		if queue != "" && (!ok || !ref.Queue.Open) {
			return "", httpapi.ErrKeyRequired
		}
		return "", nil
	}
	team, err := v.Authorize(key)
	if err != nil {
		return "", errors.Wrap(httpapi.ErrKey, err.Error())
	}
	return team, nil
}

// scheduleJobs plans jobs while this daemon leads, until ctx ends.
func (c *controlPlane) scheduleJobs(ctx context.Context) {
	if c.machine == nil {
		return
	}
	for ctx.Err() == nil {
		_, news := c.machine.jobsView()
		timer := time.NewTimer(scheduleInterval)
		select {
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		sleepCtx(ctx, scheduleGap)
		if c.leads() {
			c.scheduleOnce(ctx)
		}
	}
}

// scheduleOnce makes one plan and commits it as one entry. The state checks
// each change again.
func (c *controlPlane) scheduleOnce(ctx context.Context) {
	service := jobService{plane: c}
	v, err := service.Read(ctx)
	if err != nil || len(v.Jobs) == 0 && len(v.Workers) == 0 {
		return
	}
	changes := scheduler.Plan(v)
	if len(changes) == 0 {
		return
	}
	if _, err := service.Propose(ctx, changes[:min(len(changes), maxChangesPerPlan)]...); err != nil {
		c.log.Debug().Err(err).Msg("plan of jobs not committed")
		return
	}
	c.log.Debug().Int("changes", len(changes)).Msg("jobs planned")
}
