package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against mistaking callers at their first attempt, whose timeouts differ, for returning
// ones.
func TestReturningCallersHaveLessTimeLeft(t *testing.T) {
	for _, tt := range []struct {
		name      string
		remaining []time.Duration
		returning bool
	}{
		{"first of all", []time.Duration{7 * time.Second}, false},
		{"longest remaining time", []time.Duration{7 * time.Second, 8 * time.Second}, false},
		{"shortest timeout at its first attempt", []time.Duration{8 * time.Second, 6800 * time.Millisecond}, false},
		{"refused at once, back after a quarter", []time.Duration{8 * time.Second, 6 * time.Second}, true},
		{"back late", []time.Duration{8 * time.Second, 500 * time.Millisecond}, true},
		{"no timeout stated", []time.Duration{8 * time.Second, 0}, false},
		{"no timeout stated by any", []time.Duration{0, 0}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p ReturnDetector
			got := false
			for _, d := range tt.remaining {
				got = p.Returning(d, 0)
			}
			is.Equal(got, tt.returning)
		})
	}
}

// Guards against treating the callers of a process that has just started as being at their
// first attempt: most of them have lost an attempt to the process before.
func TestReturningCallersAfterAStart(t *testing.T) {
	const bound = 8 * time.Second
	is := is.New(t)
	var p ReturnDetector
	is.True(p.Returning(6200*time.Millisecond, bound))
	is.True(!p.Returning(6900*time.Millisecond, bound))
	for range minSamples {
		p.Returning(6900*time.Millisecond, bound)
	}
	is.True(!p.Returning(6200*time.Millisecond, bound)) // here callers wait no longer than this
	var brief ReturnDetector
	is.True(!brief.Returning(2*time.Second, bound)) // too far below the timeout to be compared with it
}
