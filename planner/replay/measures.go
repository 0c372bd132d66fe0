package replay

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliastand.example/fleet"
	"magnoliastand.example/placement"
)

// Range of the recorded waits, in milliseconds.
const (
	leastWait int64 = 1
	mostWait  int64 = 3_600_000
	digits          = 3
)

// Measures is what one replay measured.
type Measures struct {
	// Buffer is the mean number of instances in service pools beyond the busy ones.
	Buffer float64
	// RollOut is the time from the start to the end of the wave in minutes.
	RollOut float64
	// Unfinished is 1 if the wave did not end; RollOut is then a lower bound.
	Unfinished int
	Moves      int
	// LargestShortfall and MeanShortfall tell how much of its entitlement a team
	// lacked while pools were full, as fractions, over teams.
	LargestShortfall float64
	MeanShortfall    float64
	// FullPart is the part of time in which a pool was full, over pools.
	FullPart float64
	// QuickWait is the 99th percentile of the wait of quick tasks in milliseconds.
	QuickWait float64
	// LongWaiting is the mean number of waiting tasks.
	LongWaiting float64
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

// measures accumulates while a replay runs.
type measures struct {
	waits                                    *hdrhistogram.Histogram
	idle, waiting                            float64
	ticks, fullTicks                         int
	got, entitled                            []float64
	moves, breaches, refused, fitsNowhere    int
	done, parked, failed, unknown, cancelled int
	preempted                                int
	quarantined                              map[string]bool
}

func newMeasures() measures {
	return measures{
		waits:       hdrhistogram.New(leastWait, mostWait, digits),
		got:         make([]float64, len(teams)),
		entitled:    make([]float64, len(teams)),
		quarantined: map[string]bool{},
	}
}

func (m *measures) quickWait(wait placement.Millis) {
	// Waits above the range are recorded as its end.
	_ = m.waits.RecordValue(min(max(int64(wait), leastWait), mostWait))
}

// observe accumulates one step.
func (r *run) observe() {
	r.m.ticks++
	for _, w := range r.workers {
		i, _ := r.state.Instance(w.id)
		if i.Pool != spareName {
			r.m.idle++
		}
		if i.State == fleet.Quarantined {
			r.m.quarantined[w.id] = true
		}
	}
	for _, s := range r.services {
		for _, t := range s.teams {
			r.m.idle -= t.useTrue
		}
		r.m.waiting += float64(s.waiting())
		if r.now%platformTurn == 0 {
			s.ledger.Account(r.now, s.uses(false), s.full)
		}
		if s.full {
			r.m.fullTicks++
			r.observeShares(s)
		}
	}
}

// observeShares compares what teams have with their entitlement, by true sizes.
func (r *run) observeShares(s *serviceState) {
	uses := make([]placement.TeamUse, len(s.teams))
	capacity := 0.0
	for n, t := range s.teams {
		uses[n] = placement.TeamUse{
			Share: teams[n].share, Use: t.useTrue, Demand: max(t.useTrue+t.waitTrue, 0),
		}
		capacity += t.useTrue
	}
	for n, e := range placement.Entitlements(capacity, uses) {
		r.m.entitled[n] += e
		r.m.got[n] += uses[n].Use
	}
}

func (r *run) result() Measures {
	m := &r.m
	out := Measures{
		Buffer: m.idle / float64(m.ticks), LongWaiting: m.waiting / float64(m.ticks),
		FullPart: float64(m.fullTicks) / float64(m.ticks*len(r.services)),
		Moves:    m.moves, Breaches: m.breaches,
		QuickWait: float64(m.waits.ValueAtQuantile(99)),
		Done:      m.done, FitsNowhere: m.fitsNowhere, Parked: m.parked, Failed: m.failed,
		Unknown: m.unknown, Cancelled: m.cancelled, Preempted: m.preempted, Quarantined: len(m.quarantined),
	}
	for n := range teams {
		lack := 0.0
		if m.entitled[n] > 0 {
			lack = max(0, (m.entitled[n]-m.got[n])/m.entitled[n])
		}
		out.LargestShortfall = max(out.LargestShortfall, lack)
		out.MeanShortfall += lack / float64(len(teams))
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
