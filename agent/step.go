package main

import (
	"math"
	"sync/atomic"
	"time"
)

// sampleWeight is the weight of a new sample in the mean step time.
const sampleWeight = 0.05

// sampleExpiry is how long a sample is valid. Otherwise a target that has been
// idle since a slow moment would look slow forever, and entries would avoid a
// healthy target as a straggler.
const sampleExpiry = 5 * time.Second

// stepTime is the mean time between the tokens of a stream, which is the time of
// one step for engines with continuous batching. The zero value is empty.
type stepTime struct {
	bits atomic.Uint64
	// at is the time of the last sample, in nanoseconds of the wall clock.
	at atomic.Int64
}

// add adds one sample. Of two concurrent calls, one may be lost.
func (s *stepTime) add(d time.Duration, now time.Time) {
	ms := float64(d) / float64(time.Millisecond)
	old := s.ms(now)
	if old == 0 {
		old = ms
	}
	s.bits.Store(math.Float64bits(old + sampleWeight*(ms-old)))
	s.at.Store(now.UnixNano())
}

// ms returns the mean in milliseconds, 0 if there is no recent sample.
func (s *stepTime) ms(now time.Time) float64 {
	if now.UnixNano()-s.at.Load() > int64(sampleExpiry) {
		return 0
	}
	return math.Float64frombits(s.bits.Load())
}
