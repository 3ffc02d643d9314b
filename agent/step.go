package main

import (
	"math"
	"sync/atomic"
	"time"
)

// stepWeight is the weight of a new sample in the mean step time.
const stepWeight = 0.05

// stepLife is how long a sample says something of the target. A target that
// has been idle since a slow moment would else look slow for ever, and entries
// would keep healthy targets away from work as stragglers.
const stepLife = 5 * time.Second

// stepTime is the mean time between the tokens of a stream, which for engines
// that batch continuously is the time of one step. The zero value is empty.
type stepTime struct {
	bits atomic.Uint64
	// at is when the last sample came, in nanoseconds of the wall clock.
	at atomic.Int64
}

// add takes one sample. Two adds at the same moment may lose one of them.
func (s *stepTime) add(d time.Duration, now time.Time) {
	ms := float64(d) / float64(time.Millisecond)
	old := s.ms(now)
	if old == 0 {
		old = ms
	}
	s.bits.Store(math.Float64bits(old + stepWeight*(ms-old)))
	s.at.Store(now.UnixNano())
}

// ms returns the mean in milliseconds, 0 if there is no fresh sample.
func (s *stepTime) ms(now time.Time) float64 {
	if now.UnixNano()-s.at.Load() > int64(stepLife) {
		return 0
	}
	return math.Float64frombits(s.bits.Load())
}
