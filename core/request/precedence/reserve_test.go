package precedence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against too few slots for urgent requests that come together, and against slots that are
// kept free for those of long ago.
func TestArrivals(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	now := time.Unix(1000, 0)
	is.Equal(a.Before(1, now), 0)
	for range 3 {
		a.Observe(0, now)
	}
	a.Observe(1, now)
	a.Observe(0, now.Add(arrivalSpan))
	is.Equal(a.Before(0, now), 0)
	is.Equal(a.Before(1, now.Add(arrivalSpan)), 3)
	is.Equal(a.Before(2, now.Add(arrivalSpan)), 4)
	is.Equal(a.Before(2, now.Add((arrivalSpans-1)*arrivalSpan)), 4)
	is.Equal(a.Before(2, now.Add(arrivalSpans*arrivalSpan)), 1)
	is.Equal(a.Before(2, now.Add(time.Minute)), 0)
	// A step of a clock without a monotonic reading.
	a.Observe(0, now.Add(-time.Hour))
	is.True(a.Before(1, now.Add(-time.Hour)) >= 1)
}
