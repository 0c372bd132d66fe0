package planner

import (
	"maps"
	"math"
	"slices"

	"magnoliastand.example/fleet"
)

// Time constants of the forecast, in milliseconds.
const (
	// levelTimeConstant is the time constant of the exponential smoothing.
	levelTimeConstant fleet.Millis = 5 * 60_000
	// bucketLength is the length of the interval covered by one bucket.
	bucketLength fleet.Millis = 30_000
)

// Load is the load of a pool since the previous observation, as the number of
// instances that it keeps busy.
type Load struct {
	Pool      string
	Instances float64
}

// Demand is the forecast demand of one pool, in busy instances.
type Demand struct {
	Pool string
	// Level is the current smoothed level.
	Level float64
	// Low and High are the minimum and maximum level within the hold time. Pools
	// grow for Low and shrink to High, so that short peaks cause no moves.
	Low  float64
	High float64
	// Lasting is set once the pool has been observed for a whole hold time.
	Lasting bool
}

// bucket holds the minimum and maximum level of one time interval.
type bucket struct {
	start     fleet.Millis
	low, high float64
}

// series is the forecast state of one pool.
type series struct {
	level   float64
	firstAt fleet.Millis
	lastAt  fleet.Millis
	buckets []bucket
}

// Forecast tracks the demand of pools. It is not safe for concurrent use.
type Forecast struct {
	hold  fleet.Millis
	pools map[string]*series
}

// NewForecast returns a forecast whose Low and High cover the time hold.
func NewForecast(hold fleet.Millis) *Forecast {
	return &Forecast{hold: hold, pools: map[string]*series{}}
}

// Observe adds the loads of the time from the previous observation up to now.
// Times must not decrease.
func (f *Forecast) Observe(now fleet.Millis, loads []Load) {
	for _, l := range loads {
		s := f.pools[l.Pool]
		if s == nil {
			s = &series{level: l.Instances, firstAt: now, lastAt: now}
			f.pools[l.Pool] = s
		}
		s.observe(now, l.Instances, f.hold)
	}
}

func (s *series) observe(now fleet.Millis, load float64, hold fleet.Millis) {
	// Until levelTimeConstant has passed, the level approximates the mean of all
	// loads, so that the first load is not overweighted.
	span := min(levelTimeConstant, max(now-s.firstAt, 1))
	weight := 1 - math.Exp(-float64(now-s.lastAt)/float64(span))
	s.level += weight * (load - s.level)
	s.lastAt = now
	start := now - now%bucketLength
	if n := len(s.buckets); n > 0 && s.buckets[n-1].start == start {
		b := &s.buckets[n-1]
		b.low = min(b.low, s.level)
		b.high = max(b.high, s.level)
	} else {
		s.buckets = append(s.buckets, bucket{start, s.level, s.level})
	}
	s.buckets = slices.DeleteFunc(s.buckets, func(b bucket) bool { return b.start+bucketLength+hold <= now })
}

// Demand returns the forecasts of all observed pools, sorted by name.
func (f *Forecast) Demand() []Demand {
	out := make([]Demand, 0, len(f.pools))
	for _, name := range slices.Sorted(maps.Keys(f.pools)) {
		s := f.pools[name]
		d := Demand{Pool: name, Level: s.level, Low: s.level, High: s.level, Lasting: s.lastAt-s.firstAt >= f.hold}
		for _, b := range s.buckets {
			d.Low = min(d.Low, b.low)
			d.High = max(d.High, b.high)
		}
		out = append(out, d)
	}
	return out
}
