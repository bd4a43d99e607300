package estimate

import "math/bits"

// Amounts are counted in buckets of eight per doubling, so that an estimate is at
// most one eighth above the amount that it stands for.
const (
	perDoubling     = 8
	perDoublingBits = 3
	buckets         = 20 * perDoubling // covers amounts below 2^22
	halveAt         = 512              // samples after which old ones lose half their weight
)

// histogram counts amounts; recent ones weigh more.
type histogram struct {
	counts [buckets]uint16
	total  int
}

func bucketOf(amount int64) int {
	if amount < perDoubling {
		return int(max(amount, 0))
	}
	exponent := bits.Len64(uint64(amount)) - 1
	part := int(amount>>(exponent-perDoublingBits)) & (perDoubling - 1)
	return min((exponent-perDoublingBits+1)*perDoubling+part, buckets-1)
}

// upper returns the largest amount of a bucket.
func upper(bucket int) int64 {
	if bucket < perDoubling {
		return int64(bucket)
	}
	exponent := bucket/perDoubling + perDoublingBits - 1
	part := int64(bucket % perDoubling)
	return (perDoubling+part+1)<<(exponent-perDoublingBits) - 1
}

func (h *histogram) add(amount int64) {
	if h.total >= halveAt {
		h.halve()
	}
	h.counts[bucketOf(amount)]++
	h.total++
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns an amount that at least the given share of samples is not
// above. Amounts in the last bucket are unbounded; the caller bounds them.
func (h *histogram) quantile(share float64) int64 {
	left := int(share * float64(h.total))
	for i := range h.counts {
		left -= int(h.counts[i])
		if left < 0 {
			return upper(i)
		}
	}
	return upper(buckets - 1)
}
