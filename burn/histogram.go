package burn

import (
	"math"
	"time"
)

const (
	// histBuckets is the number of latency buckets. Bucket i holds latencies up to
	// histMinLatency * 2^(i/histBucketsPerOctave).
	histBuckets          = 96
	histBucketsPerOctave = 4
	histMinLatency       = 100 * time.Microsecond
)

// Histogram counts latencies in buckets that grow by a factor of the fourth root of
// two, from 100 microseconds to about 24 minutes. Within this range a quantile is
// overestimated by at most 19 percent.
type Histogram struct {
	Buckets [histBuckets]uint64 `json:"-" cbor:"1,keyasint"`
}

// Observe counts one latency.
func (h *Histogram) Observe(d time.Duration) { h.Buckets[bucketIndex(d)]++ }

// Merge adds the counts of o to h.
func (h *Histogram) Merge(o Histogram) {
	for i, n := range o.Buckets {
		h.Buckets[i] += n
	}
}

// Quantile returns the upper bound of the bucket that holds the q-quantile, or 0
// if the histogram is empty. q is between 0 and 1.
func (h *Histogram) Quantile(q float64) time.Duration {
	var total uint64
	for _, n := range h.Buckets {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(total)))
	var cumulative uint64
	for i, n := range h.Buckets {
		cumulative += n
		if cumulative >= rank && n > 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(histBuckets - 1)
}

func bucketIndex(d time.Duration) int {
	if d <= histMinLatency {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(histMinLatency)) * histBucketsPerOctave))
	return min(i, histBuckets-1)
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(histMinLatency) * math.Exp2(float64(i)/histBucketsPerOctave))
}
