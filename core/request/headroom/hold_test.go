package headroom

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against prompts that are read in the long passes of a shift, and against requests that are
// held beyond what they can wait, or for as long as passes are long.
func TestHold(t *testing.T) {
	is := is.New(t)
	const accepted, slack = 120 * time.Millisecond, 200 * time.Millisecond
	var h Hold
	now := time.Unix(1000, 0)
	is.True(!h.Holds(slack, now))
	is.True(!h.Observe(80*time.Millisecond, accepted, now))
	is.True(!h.Holds(slack, now))
	is.True(!h.Observe(100*time.Millisecond, accepted, now)) // long
	is.True(h.Holds(slack, now.Add(slack-1)))
	is.True(!h.Holds(slack, now.Add(slack)))
	is.True(!h.Holds(0, now))
	is.True(!h.Holds(time.Minute, now.Add(maxHold)))
	// Passes that stay long hold nobody a second time.
	is.True(!h.Observe(110*time.Millisecond, accepted, now.Add(maxHold)))
	is.True(!h.Holds(time.Minute, now.Add(maxHold)))
	is.True(h.Observe(70*time.Millisecond, accepted, now.Add(maxHold)))
	is.True(!h.Holds(slack, now.Add(maxHold)))
	is.True(!h.Observe(70*time.Millisecond, accepted, now.Add(maxHold)))
	// Without an accepted pause nothing is long.
	is.True(!h.Observe(time.Second, 0, now))
	is.True(!h.Holds(slack, now))
}
