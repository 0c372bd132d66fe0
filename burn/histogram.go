package burn

import (
	"math"
	"time"
)

const (
	// histBuckets is the number of latency buckets; bucket i holds latencies up
	// to histFloor * 2^(i/histPerOctave).
	histBuckets   = 96
	histPerOctave = 4
	histFloor     = 100 * time.Microsecond
)

// Histogram counts latencies in buckets that grow by the fourth root of two,
// from 100 microseconds to about 26 minutes, so that a quantile is at most 19 percent off.
type Histogram struct {
	Buckets [histBuckets]uint64 `json:"-" cbor:"1,keyasint"`
}

// Observe counts one latency.
func (h *Histogram) Observe(d time.Duration) { h.Buckets[bucketOf(d)]++ }

// Merge adds the counts of o.
func (h *Histogram) Merge(o Histogram) {
	for i, n := range o.Buckets {
		h.Buckets[i] += n
	}
}

// Quantile returns the upper bound of the bucket that holds the q-quantile, or
// 0 when nothing was counted. q lies between 0 and 1.
func (h *Histogram) Quantile(q float64) time.Duration {
	var total uint64
	for _, n := range h.Buckets {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(total)))
	var seen uint64
	for i, n := range h.Buckets {
		seen += n
		if seen >= rank && n > 0 {
			return boundOf(i)
		}
	}
	return boundOf(histBuckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= histFloor {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(histFloor)) * histPerOctave))
	return min(i, histBuckets-1)
}

func boundOf(i int) time.Duration {
	return time.Duration(float64(histFloor) * math.Exp2(float64(i)/histPerOctave))
}
