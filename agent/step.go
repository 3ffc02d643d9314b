package main

import (
	"math"
	"sync/atomic"
	"time"
)

// stepWeight is the weight of a new sample in the mean step time.
const stepWeight = 0.05

// stepTime is the mean time between the tokens of a stream, which for engines
// that batch continuously is the time of one step. The zero value is empty.
type stepTime struct {
	bits atomic.Uint64
}

// add takes one sample. Two adds at the same moment may lose one of them.
func (s *stepTime) add(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	old := s.ms()
	if old == 0 {
		old = ms
	}
	s.bits.Store(math.Float64bits(old + stepWeight*(ms-old)))
}

// ms returns the mean in milliseconds, 0 before the first sample.
func (s *stepTime) ms() float64 {
	return math.Float64frombits(s.bits.Load())
}
