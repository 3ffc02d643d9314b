package rankpeer

import "math/rand/v2"

// Sample is how often each expert was chosen at a rank since the last sample,
// each as a part of the largest in 15 steps. A group has thousands of numbers a
// rank, and a steward a narrow link. Rounding is random, so that the sums over the
// ranks are right in the mean.
type Sample struct {
	// Most is the largest count, which 15 stands for. Parts are two counts a byte,
	// the first in the lower half; Experts is how many there are.
	Most    int64
	Experts int
	Parts   []byte
}

const (
	// steps is what the largest count is in a Sample.
	steps = 15
	// halfByte is the number of bits of one count.
	halfByte = 4
)

// NewSample returns the difference of two readings of ever growing counts; before
// is nil for the first one. A rank that has started anew counts from 0.
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
		part := (n*steps + rand.Int64N(s.Most)) / s.Most
		s.Parts[e/2] |= byte(part) << (e % 2 * halfByte)
	}
	return s
}

// AddTo adds the sample to sums of the same length.
func (s *Sample) AddTo(sums []float64) {
	if len(sums) != s.Experts || len(s.Parts) != (s.Experts+1)/2 {
		return
	}
	for e := range sums {
		part := s.Parts[e/2] >> (e % 2 * halfByte) & steps
		sums[e] += float64(part) * float64(s.Most) / steps
	}
}

// SumSamples returns the sum of samples of one length as a sample, or nil for none.
// One alone stays as it is; of others the rounding is random again. Samples of another
// length than the first one, which agents with another configuration may tell, are
// left out.
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
