package rankpeer

import "math/rand/v2"

// Sample is how often each expert was chosen at a rank since the last sample, scaled
// to 15 steps of the largest count. A group has thousands of counts a rank, and the
// coordinator a narrow link. Rounding is random, so that the sums over the ranks are
// unbiased.
type Sample struct {
	// Most is the largest count, which 15 stands for. Parts holds two counts a byte,
	// the first in the lower half; Experts is the number of counts.
	Most    int64
	Experts int
	Parts   []byte
}

const (
	// maxPart is the value of the largest count in a Sample.
	maxPart = 15
	// bitsPerPart is the number of bits of one count.
	bitsPerPart = 4
)

// NewSample returns the difference of two readings of monotonic counters; before
// is nil for the first reading. The counters of a restarted rank start from 0.
func NewSample(before, after []int64) *Sample {
	s := &Sample{Experts: len(after), Parts: make([]byte, (len(after)+1)/2)}
	chosen := make([]int64, len(after))
	for e, n := range after {
		if len(before) == len(after) && n >= before[e] {
			n -= before[e]
		}
		chosen[e] = n
		s.Most = max(s.Most, n)
	}
	if s.Most == 0 {
		return s
	}
	for e, n := range chosen {
		part := (n*maxPart + rand.Int64N(s.Most)) / s.Most
		s.Parts[e/2] |= byte(part) << (e % 2 * bitsPerPart)
	}
	return s
}

// AddTo adds the sample to sums. It does nothing if the lengths differ.
func (s *Sample) AddTo(sums []float64) {
	if len(sums) != s.Experts || len(s.Parts) != (s.Experts+1)/2 {
		return
	}
	for e := range sums {
		part := s.Parts[e/2] >> (e % 2 * bitsPerPart) & maxPart
		sums[e] += float64(part) * float64(s.Most) / maxPart
	}
}

// SumSamples returns the sum of samples of one length as a sample, or nil for none. A
// single sample is returned as it is; a sum of several is rounded randomly again. Samples
// of another length than the first one, which agents with another configuration may send,
// are ignored.
func SumSamples(samples []*Sample) *Sample {
	if len(samples) <= 1 {
		if len(samples) == 0 {
			return nil
		}
		return samples[0]
	}
	sums := make([]float64, samples[0].Experts)
	for _, s := range samples {
		s.AddTo(sums)
	}
	chosen := make([]int64, len(sums))
	for e, n := range sums {
		chosen[e] = int64(n + 0.5)
	}
	return NewSample(nil, chosen)
}
