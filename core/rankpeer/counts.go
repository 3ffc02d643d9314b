package rankpeer

// Sample is how often each expert was chosen at a rank since the last sample,
// each as a part of the largest in 255 steps. A group has thousands of numbers
// a rank, and a steward a narrow link.
type Sample struct {
	// Most is the largest count, which 255 stands for.
	Most  int64
	Parts []byte
}

// steps is what the largest count is in a Sample.
const steps = 255

// NewSample returns the difference of two readings of ever growing counts; before
// is nil for the first one. A rank that has started anew counts from 0.
func NewSample(before, after []int64) *Sample {
	s := &Sample{Parts: make([]byte, len(after))}
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
		s.Parts[e] = byte((n*steps + s.Most/2) / s.Most)
	}
	return s
}

// AddTo adds the sample to sums of the same length.
func (s *Sample) AddTo(sums []float64) {
	if len(sums) != len(s.Parts) {
		return
	}
	for e, part := range s.Parts {
		sums[e] += float64(part) * float64(s.Most) / steps
	}
}
