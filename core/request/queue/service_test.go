package queue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a few slow responses of a lost rank that shift the estimate.
func TestServiceTimeIsThatOfNineInTen(t *testing.T) {
	is := is.New(t)
	var s ServiceTime
	is.Equal(s.P90(), initialP90)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		s.Observe(100*time.Millisecond + time.Duration(rng.Int64N(int64(200*time.Millisecond))))
	}
	is.True(s.P90() > 260*time.Millisecond && s.P90() < 300*time.Millisecond)
	for range 5 {
		s.Observe(time.Second)
	}
	is.True(s.P90() < 320*time.Millisecond)
}

// Guards against unbounded waits and against starts before the arrival, whatever is observed.
func TestServiceTimeIsBounded(t *testing.T) {
	is := is.New(t)
	var s ServiceTime
	for range 10000 {
		s.Observe(time.Minute)
	}
	is.Equal(s.P90(), maxP90)
	for range 10000 {
		s.Observe(0)
	}
	is.Equal(s.P90(), minP90)
}
