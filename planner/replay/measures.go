package replay

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
)

// Range of the recorded waits, in milliseconds, and their precision.
const (
	minWait           int64 = 1
	maxWait           int64 = 3_600_000
	significantDigits       = 3
)

// Measures holds the results of one replay.
type Measures struct {
	// Buffer is the mean number of instances in service pools beyond the busy ones.
	Buffer float64
	// RollOut is the duration of the maintenance wave, in minutes.
	RollOut float64
	// Unfinished is 1 if the wave did not end, in which case RollOut is a lower
	// bound, and 0 otherwise.
	Unfinished int
	Moves      int
	// LargestShortfall and MeanShortfall are the maximum and the mean over teams of
	// the fraction of its entitlement that a team did not get while pools were full.
	LargestShortfall float64
	MeanShortfall    float64
	// FullFraction is the fraction of time in which a pool was full, as the mean
	// over pools.
	FullFraction float64
	// QuickWaitP99 is the 99th percentile of the wait of quick tasks, in
	// milliseconds.
	QuickWaitP99 float64
	// MeanWaiting is the mean number of waiting tasks.
	MeanWaiting float64
	Breaches    int
	Done        int
	FitsNowhere int
	Parked      int
	Failed      int
	Unknown     int
	Cancelled   int
	Preempted   int
	Quarantined int
}

// measures holds the counters and sums of a replay in progress.
type measures struct {
	waits                                    *hdrhistogram.Histogram
	idle, waiting                            float64
	ticks, fullTicks                         int
	used, entitled                           []float64
	moves, breaches, refused, fitsNowhere    int
	done, parked, failed, unknown, cancelled int
	preempted                                int
	quarantined                              map[string]bool
}

func newMeasures() measures {
	return measures{
		waits:       hdrhistogram.New(minWait, maxWait, significantDigits),
		used:        make([]float64, len(teams)),
		entitled:    make([]float64, len(teams)),
		quarantined: map[string]bool{},
	}
}

func (m *measures) recordQuickWait(wait placement.Millis) {
	// Waits above the range are recorded as maxWait.
	_ = m.waits.RecordValue(min(max(int64(wait), minWait), maxWait))
}

// observe adds the current step to the measures.
func (r *run) observe() {
	r.measures.ticks++
	for _, w := range r.workers {
		i, _ := r.state.Instance(w.id)
		if i.Pool != sparePool {
			r.measures.idle++
		}
		if i.State == fleet.Quarantined {
			r.measures.quarantined[w.id] = true
		}
	}
	for _, s := range r.services {
		for _, t := range s.teams {
			r.measures.idle -= t.actualUse
		}
		r.measures.waiting += float64(s.waitingTasks())
		if r.now%platformInterval == 0 {
			s.ledger.Account(r.now, s.teamUses(false), s.full)
		}
		if s.full {
			r.measures.fullTicks++
			r.observeShares(s)
		}
	}
}

// observeShares adds the usage and the entitlement of each team to the measures,
// by actual sizes.
func (r *run) observeShares(s *serviceState) {
	uses := make([]placement.TeamUse, len(s.teams))
	capacity := 0.0
	for n, t := range s.teams {
		uses[n] = placement.TeamUse{
			Share: teams[n].share, Use: t.actualUse, Demand: max(t.actualUse+t.actualWaiting, 0),
		}
		capacity += t.actualUse
	}
	for n, e := range placement.Entitlements(capacity, uses) {
		r.measures.entitled[n] += e
		r.measures.used[n] += uses[n].Use
	}
}

func (r *run) result() Measures {
	m := &r.measures
	out := Measures{
		Buffer: m.idle / float64(m.ticks), MeanWaiting: m.waiting / float64(m.ticks),
		FullFraction: float64(m.fullTicks) / float64(m.ticks*len(r.services)),
		Moves:        m.moves, Breaches: m.breaches,
		QuickWaitP99: float64(m.waits.ValueAtQuantile(99)),
		Done:         m.done, FitsNowhere: m.fitsNowhere, Parked: m.parked, Failed: m.failed,
		Unknown: m.unknown, Cancelled: m.cancelled, Preempted: m.preempted, Quarantined: len(m.quarantined),
	}
	for n := range teams {
		shortfall := 0.0
		if m.entitled[n] > 0 {
			shortfall = max(0, (m.entitled[n]-m.used[n])/m.entitled[n])
		}
		out.LargestShortfall = max(out.LargestShortfall, shortfall)
		out.MeanShortfall += shortfall / float64(len(teams))
	}
	v := r.state.View()
	wave := v.Waves[waveName]
	end := fleet.Millis(r.length)
	switch {
	case wave == nil:
		return out
	case wave.Ended > 0:
		end = wave.Ended
	default:
		out.Unfinished = 1
	}
	out.RollOut = float64(end-wave.Started) / 60_000
	return out
}
