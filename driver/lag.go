package driver

import "time"

const (
	// lagLimit is how late events may be handled before the driver counts as behind,
	// and lagRecovered the lag below which it has caught up.
	lagLimit     = 250 * time.Millisecond
	lagRecovered = 50 * time.Millisecond
	// lagSamples is the number of consecutive samples that change the verdict.
	lagSamples = 3
)

// lag tracks how late the driver handles its events.
type lag struct {
	// pending is set while a sample waits in the queue of events.
	pending bool
	behind  bool
	// contrary counts the latest samples that contradict behind.
	contrary int
}

// observe records how long a sample waited and reports whether behind changed.
func (l *lag) observe(waited time.Duration) bool {
	contrary := waited > lagLimit
	if l.behind {
		contrary = waited < lagRecovered
	}
	if !contrary {
		l.contrary = 0
		return false
	}
	if l.contrary++; l.contrary < lagSamples {
		return false
	}
	l.behind, l.contrary = !l.behind, 0
	return true
}

// sampleLag puts a sample into the queue of events unless one is still there.
func (d *Driver) sampleLag(now time.Time) {
	if d.lag.pending {
		return
	}
	d.lag.pending = d.post(func() {
		d.lag.pending = false
		waited := time.Since(now)
		d.cfg.Metrics.EventLagSeconds.Set(waited.Seconds())
		if !d.lag.observe(waited) {
			return
		}
		event, what := d.cfg.Logger.Info(), "leader has caught up with its events"
		if d.lag.behind {
			event, what = d.cfg.Logger.Warn(), "leader is behind: starts and ends are handled late"
		}
		event.Dur("lag", waited).Int("events", len(d.inbox)).Int("active_jobs", len(d.state.Active())).
			Int("workers", len(d.sessions)).Uint64("term", d.cfg.Term).Msg(what)
	})
}
