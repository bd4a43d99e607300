package estimate

import "math/bits"

// The buckets are exponential with eight linear buckets per doubling, so that the upper
// bound of a bucket is at most one eighth above any amount in it.
const (
	bucketsPerDoubling     = 8
	bucketsPerDoublingLog2 = 3
	bucketCount            = 20 * bucketsPerDoubling // covers amounts below 2^22
	maxSampleCount         = 512                     // at this number of samples all counts are halved
)

// histogram counts amounts by bucket. Halving the counts gives recent amounts more
// weight.
type histogram struct {
	counts [bucketCount]uint16
	total  int
}

func bucketIndex(amount int64) int {
	if amount < bucketsPerDoubling {
		return int(max(amount, 0))
	}
	exponent := bits.Len64(uint64(amount)) - 1
	subBucket := int(amount>>(exponent-bucketsPerDoublingLog2)) & (bucketsPerDoubling - 1)
	return min((exponent-bucketsPerDoublingLog2+1)*bucketsPerDoubling+subBucket, bucketCount-1)
}

// bucketUpperBound returns the largest amount of a bucket.
func bucketUpperBound(bucket int) int64 {
	if bucket < bucketsPerDoubling {
		return int64(bucket)
	}
	exponent := bucket/bucketsPerDoubling + bucketsPerDoublingLog2 - 1
	subBucket := int64(bucket % bucketsPerDoubling)
	return (bucketsPerDoubling+subBucket+1)<<(exponent-bucketsPerDoublingLog2) - 1
}

func (h *histogram) add(amount int64) {
	if h.total >= maxSampleCount {
		h.halveCounts()
	}
	h.counts[bucketIndex(amount)]++
	h.total++
}

func (h *histogram) halveCounts() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns an amount that at least the given share of the samples does not
// exceed. The last bucket also counts all larger amounts, which may exceed the returned
// value.
func (h *histogram) quantile(share float64) int64 {
	remaining := int(share * float64(h.total))
	for i := range h.counts {
		remaining -= int(h.counts[i])
		if remaining < 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}
