package planner

import (
	"maps"
	"math"
	"slices"

	"magnoliastand.example/fleet"
)

// Timing of the forecast, in milliseconds.
const (
	// levelTime is the time constant of the lasting level.
	levelTime fleet.Millis = 5 * 60_000
	// bucketTime is the length of one bucket of kept levels.
	bucketTime fleet.Millis = 30_000
)

// Load is the work that arrived for a pool since the previous observation, as
// the number of instances that it would keep busy.
type Load struct {
	Pool      string
	Instances float64
}

// Demand is the forecast for one pool, in busy instances.
type Demand struct {
	Pool string
	// Level is the present lasting level.
	Level float64
	// Low and High are the least and largest level within the hold time. A pool
	// grows for Low and shrinks to High, so that short peaks move nothing.
	Low  float64
	High float64
	// Lasting is set once levels of a whole hold time are known.
	Lasting bool
}

// bucket holds the least and largest level of one stretch of time.
type bucket struct {
	start     fleet.Millis
	low, high float64
}

// series is the forecast state of one pool.
type series struct {
	level   float64
	first   fleet.Millis
	last    fleet.Millis
	buckets []bucket
}

// Forecast tracks the lasting demand of pools. It is not safe for concurrent
// use.
type Forecast struct {
	hold  fleet.Millis
	pools map[string]*series
}

// NewForecast returns a forecast whose Low and High range over hold.
func NewForecast(hold fleet.Millis) *Forecast {
	return &Forecast{hold: hold, pools: map[string]*series{}}
}

// Observe adds the loads of the time up to now. Times must not decrease.
func (f *Forecast) Observe(now fleet.Millis, loads []Load) {
	for _, l := range loads {
		s := f.pools[l.Pool]
		if s == nil {
			s = &series{level: l.Instances, first: now, last: now}
			f.pools[l.Pool] = s
		}
		s.observe(now, l.Instances, f.hold)
	}
}

func (s *series) observe(now fleet.Millis, x float64, hold fleet.Millis) {
	// Early on the level is the plain mean, so that the first load does not stay in it.
	span := min(levelTime, max(now-s.first, 1))
	weight := 1 - math.Exp(-float64(now-s.last)/float64(span))
	s.level += weight * (x - s.level)
	s.last = now
	start := now - now%bucketTime
	if n := len(s.buckets); n > 0 && s.buckets[n-1].start == start {
		b := &s.buckets[n-1]
		b.low = min(b.low, s.level)
		b.high = max(b.high, s.level)
	} else {
		s.buckets = append(s.buckets, bucket{start, s.level, s.level})
	}
	s.buckets = slices.DeleteFunc(s.buckets, func(b bucket) bool { return b.start+bucketTime+hold <= now })
}

// Demand returns the forecast of every observed pool in ascending order of
// name.
func (f *Forecast) Demand() []Demand {
	out := make([]Demand, 0, len(f.pools))
	for _, name := range slices.Sorted(maps.Keys(f.pools)) {
		s := f.pools[name]
		d := Demand{Pool: name, Level: s.level, Low: s.level, High: s.level, Lasting: s.last-s.first >= f.hold}
		for _, b := range s.buckets {
			d.Low = min(d.Low, b.low)
			d.High = max(d.High, b.high)
		}
		out = append(out, d)
	}
	return out
}
