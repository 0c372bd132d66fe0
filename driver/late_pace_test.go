package driver

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// paceRecorder passes on the paces it receives and answers with the results it is given.
type paceRecorder struct {
	platform.Workers
	paces   chan int
	results chan error
}

func (c paceRecorder) Pace(_ context.Context, _ platform.Endpoint, _ workload.TaskRef, _ int64, percent int, _ uint64) error {
	c.paces <- percent
	return <-c.results
}

// paceEnv is a driver without an event loop that tracks one filling run.
type paceEnv struct {
	*Driver
	paceRecorder
	s *session
	r *run
}

func newPaceEnv(t *testing.T) *paceEnv {
	t.Helper()
	e := &paceEnv{paceRecorder: paceRecorder{paces: make(chan int, 10), results: make(chan error, 10)}}
	e.Driver = New(Config{
		Term: 1, State: workload.New(platform.DecodeDocument), Log: leadingLog{}, Workers: e.paceRecorder,
		Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zerolog.Nop(),
	})
	t.Cleanup(func() { close(e.results); e.cancel(); e.wg.Wait() })
	e.s = e.newSession(&workload.Worker{ID: "w"})
	e.sessions["w"] = e.s
	job := &workload.Job{ID: "j", Spec: workload.Spec{Steps: []workload.Step{{Count: 1, Fills: true}}}}
	e.r = &run{ref: workload.TaskRef{Job: job.ID}, number: 1, worker: "w", job: job, phase: phaseStarted, pace: fullPace}
	e.runs[e.r.ref] = e.r
	return e
}

// order orders a pace as the one in force.
func (e *paceEnv) order(percent int) {
	e.s.fillPace = percent
	e.sendPace(e.s, e.r, percent)
	<-e.paces
}

// answer handles the result of an order that is under way.
func (e *paceEnv) answer(err error) {
	e.results <- err
	(<-e.inbox)()
}

// repeated returns the paces that are sent when the given time has passed since the last order,
// and lets them be carried out.
func (e *paceEnv) repeated(after time.Duration) (paces []int) {
	e.r.pacedAt = e.r.pacedAt.Add(-after)
	for _, o := range e.r.paceOrders {
		o.sent = o.sent.Add(-after)
	}
	before := e.r.pacedAt
	e.retryRuns(time.Now())
	if e.r.pacedAt != before {
		paces = append(paces, <-e.paces)
		e.answer(nil)
	}
	return paces
}

// HARM: a raise of the pace without an answer was carried out after the pace had been lowered,
// and nothing lowered it again.
func TestPaceIsRepeatedWhileEarlierOrderMayBeCarriedOut(t *testing.T) {
	e := newPaceEnv(t)
	e.order(70)
	e.answer(context.DeadlineExceeded)
	if got := e.repeated(paceRepeat); got != nil {
		t.Errorf("paces %v sent, the only order that may be carried out is for the pace in force", got)
	}
	e.order(35)
	e.answer(nil)
	if got := e.repeated(paceRepeat / 2); got != nil {
		t.Errorf("paces %v sent before the interval is over", got)
	}
	for range 3 {
		if got := e.repeated(paceRepeat); !slices.Equal(got, []int{35}) {
			t.Errorf("paces %v sent, want 35", got)
		}
	}
	if got := e.repeated(lateOrderTime + paceRepeat); got != nil {
		t.Errorf("paces %v sent, no earlier order can be carried out any more", got)
	}
}

// A pace that is answered needs no repetition: it would cost a call for each filling run.
func TestAnsweredPaceIsNotRepeated(t *testing.T) {
	e := newPaceEnv(t)
	e.order(70)
	e.answer(nil)
	e.order(35)
	e.answer(nil)
	if got := e.repeated(paceRepeat); got != nil {
		t.Errorf("paces %v sent", got)
	}
}

// HARM: an order that overtakes another one on its way is undone by it, although both are answered.
func TestOvertakenPaceIsCorrected(t *testing.T) {
	e := newPaceEnv(t)
	e.order(70)
	first := e.r.paceOrders[0]
	e.order(35)
	second := e.r.paceOrders[1]
	e.paceAnswered(e.s, e.r, second, nil)
	if len(e.r.paceOrders) != 1 {
		t.Error("the pace was sent again before the earlier order was answered")
	}
	e.paceAnswered(e.s, e.r, first, nil)
	if len(e.r.paceOrders) != 1 || e.r.paceOrders[0].percent != 35 {
		t.Errorf("%d orders sent, want one for 35", len(e.r.paceOrders))
	}
}
