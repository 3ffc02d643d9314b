package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target stalls for a moment and is idle afterwards. If its agent kept reporting
// the slow step time with every heartbeat, entries would avoid the healthy target
// as a straggler. An old sample must not count.
func TestOldStepTimeIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var s stepTime
	s.add(400*time.Millisecond, now)
	is.Equal(s.ms(now.Add(sampleExpiry)), 400.0)
	is.Equal(s.ms(now.Add(sampleExpiry+1)), 0.0)
	s.add(4*time.Millisecond, now.Add(time.Minute))
	is.Equal(s.ms(now.Add(time.Minute)), 4.0) // the stall is not mixed in
}
