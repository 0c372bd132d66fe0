package batch

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"magnoliastand.example/jobs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestBurstsShareEntries blocks the first commit until all other proposals are
// queued, and checks that they share few commands and that each caller gets the
// results of its own changes.
func TestBurstsShareEntries(t *testing.T) {
	const callers = 3_000
	state := jobs.New()
	entries := 0
	began, full := make(chan struct{}), make(chan struct{})
	b := New(func(_ context.Context, changes []jobs.Change) (jobs.Result, error) {
		if entries++; entries == 1 {
			close(began)
			<-full
		}
		return state.Apply(jobs.Command{At: 1, Changes: changes}), nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var run, calls sync.WaitGroup
	run.Go(func() { b.Run(ctx) })
	for n := range callers {
		if n == 1 {
			<-began
		}
		calls.Go(func() {
			id := jobs.JobID("", fmt.Sprint(n))
			spec := jobs.Spec{Pool: "p", RunTime: 1, Size: jobs.Size{Processors: 1}}
			r, err := b.Propose(ctx, jobs.Change{Submit: &jobs.Submit{ID: id, Spec: spec}}, jobs.Change{Cancel: &jobs.Cancel{ID: id}})
			if err != nil || len(r.Changes) != 2 || r.Changes[0].Job != id || r.Changes[1].State != jobs.Cancelled {
				t.Errorf("caller %d got %+v, %v", n, r, err)
			}
		})
	}
	for len(b.queue) < callers-1 {
		// The first commit ends only once all other proposals are queued.
		runtime.Gosched()
	}
	close(full)
	calls.Wait()
	cancel()
	run.Wait()
	if entries != 3 {
		t.Fatalf("got %d entries, want 3", entries)
	}
}

func TestErrorsReachEveryCaller(t *testing.T) {
	failure := errors.New("no quorum")
	b := New(func(context.Context, []jobs.Change) (jobs.Result, error) { return jobs.Result{}, failure })
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { b.Run(ctx) })
	if _, err := b.Propose(ctx, jobs.Change{}); !errors.Is(err, failure) {
		t.Fatalf("got %v", err)
	}
	if _, err := b.Propose(ctx, make([]jobs.Change, jobs.MaxChanges+1)...); !errors.Is(err, ErrFull) {
		t.Fatalf("got %v", err)
	}
	cancel()
	run.Wait()
	if _, err := b.Propose(ctx, jobs.Change{}); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	for range maxQueued - 1 {
		b.queue <- &proposal{}
	}
	if _, err := b.Propose(context.Background(), jobs.Change{}); !errors.Is(err, ErrFull) {
		t.Fatalf("got %v", err)
	}
}
