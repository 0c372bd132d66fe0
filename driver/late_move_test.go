package driver_test

import (
	"sync"
	"testing"
	"time"

	"magnoliastand.example/platform/platformtest"
)

// AVAIL: a move without an answer was repeated, and the repetition refused because the instance was
// not up. The instance was used again, and the first order was carried out with a task at work. The
// same happened if the instance was moved back to its pool before the first order was carried out.
func TestLateMoveEndsNoTask(t *testing.T) {
	for _, refused := range []bool{true, false} {
		name := map[bool]string{true: "repetition refused", false: "moved back"}[refused]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.lease = 10 * time.Second
			arrived := make(chan struct{})
			var once sync.Once
			service := newFleetOf(t, w, 2, &platformtest.Worker{RunTime: time.Hour, Lasting: true})
			service.OnOrder = func() { once.Do(func() { close(arrived) }) }
			service.SetDelay(5 * time.Second)
			<-arrived // one of the two instances is idle and moves to the standby pool
			service.SetDelay(0)
			if refused {
				service.SetState("m0", "down")
				service.SetState("m1", "down")
				time.Sleep(3 * time.Second) // the order is given up, and its repetition refused
				service.SetState("m0", "up")
				service.SetState("m1", "up")
			} else {
				w.waitFor("instance moved", func() bool { return service.Moves() > 0 })
			}
			lasting := step(2)
			lasting.LongRunning, lasting.AntiAffinity = true, 1
			w.submit(jobID(0), lasting)
			time.Sleep(5 * time.Second) // the first order is carried out
			if n := w.gone(); n > 0 {
				t.Errorf("%d tasks were at work on an instance when it was moved", n)
			}
		})
	}
}
