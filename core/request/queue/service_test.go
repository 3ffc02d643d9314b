package queue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Answers that begin after 100 to 300 ms, evenly spread: nine of ten of them within
// 280 ms. A few that take a second, as at a lost rank, do not carry it away.
func TestServiceTimeIsThatOfNineInTen(t *testing.T) {
	is := is.New(t)
	var s ServiceTime
	is.Equal(s.Usual(), firstService)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		s.Observe(100*time.Millisecond + time.Duration(rng.Int64N(int64(200*time.Millisecond))))
	}
	is.True(s.Usual() > 260*time.Millisecond && s.Usual() < 300*time.Millisecond)
	for range 5 {
		s.Observe(time.Second)
	}
	is.True(s.Usual() < 320*time.Millisecond)
}

// Whatever comes, a request may wait for a moment and need not have started before
// it came.
func TestServiceTimeIsBounded(t *testing.T) {
	is := is.New(t)
	var s ServiceTime
	for range 10000 {
		s.Observe(time.Minute)
	}
	is.Equal(s.Usual(), mostService)
	for range 10000 {
		s.Observe(0)
	}
	is.Equal(s.Usual(), leastService)
}
