package estimate

import "math"

const (
	bucketsPerOctave = 8
	octaves          = 32
	bucketCount      = bucketsPerOctave * octaves
	// halveAt is the sample count at which all counts are halved, so that old
	// samples lose weight.
	halveAt = 4096
)

// histogram counts positive ratios from 2^-16 to 2^16 in logarithmic buckets,
// each 9 % wide. Its counts take 512 bytes.
type histogram struct {
	counts [bucketCount]uint16
	total  int
}

func (h *histogram) add(ratio float64) {
	h.counts[bucketOf(ratio)]++
	if h.total++; h.total >= halveAt {
		h.halve()
	}
}

func bucketOf(ratio float64) int {
	if ratio <= 0 || math.IsNaN(ratio) {
		return 0
	}
	bucket := math.Ceil(math.Log2(ratio)*bucketsPerOctave) + bucketCount/2
	return int(min(max(bucket, 0), bucketCount-1))
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns the upper bound of the bucket that contains the quantile q,
// and 1 if the histogram is empty.
func (h *histogram) quantile(q float64) float64 {
	rank := int(math.Ceil(q * float64(h.total)))
	cumulative := 0
	for i, count := range h.counts {
		cumulative += int(count)
		if cumulative >= rank && count > 0 {
			return math.Exp2(float64(i-bucketCount/2) / bucketsPerOctave)
		}
	}
	return 1
}
