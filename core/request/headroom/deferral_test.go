package headroom

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against prompts that are read in the long passes of a shift, and against requests that are
// deferred beyond what they can wait, or for as long as passes are long.
func TestDeferral(t *testing.T) {
	is := is.New(t)
	const accepted, slack = 120 * time.Millisecond, 200 * time.Millisecond
	var d Deferral
	now := time.Unix(1000, 0)
	is.True(!d.Defers(slack, now))
	is.True(!d.Observe(80*time.Millisecond, accepted, now))
	is.True(!d.Defers(slack, now))
	is.True(!d.Observe(100*time.Millisecond, accepted, now)) // long
	is.True(d.Defers(slack, now.Add(slack-1)))
	is.True(!d.Defers(slack, now.Add(slack)))
	is.True(!d.Defers(0, now))
	is.True(!d.Defers(time.Minute, now.Add(maxDeferral)))
	// Passes that stay long defer nobody a second time.
	is.True(!d.Observe(110*time.Millisecond, accepted, now.Add(maxDeferral)))
	is.True(!d.Defers(time.Minute, now.Add(maxDeferral)))
	is.True(d.Observe(70*time.Millisecond, accepted, now.Add(maxDeferral)))
	is.True(!d.Defers(slack, now.Add(maxDeferral)))
	is.True(!d.Observe(70*time.Millisecond, accepted, now.Add(maxDeferral)))
	// Without an accepted pause nothing is long.
	is.True(!d.Observe(time.Second, 0, now))
	is.True(!d.Defers(slack, now))
}
