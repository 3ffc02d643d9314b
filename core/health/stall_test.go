package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance stands still for seconds, or a connection goes silent: drafts
// stop in the middle and nothing says so. They are to go on elsewhere before
// their callers leave; but a draft that waits in a working target's queue, and
// drafts of a group that stands still as a whole, stay where they are.
func TestStalled(t *testing.T) {
	now := start.Add(time.Minute)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	const ms = time.Millisecond
	tests := map[string]struct {
		p               Progress
		stalled, target bool
	}{
		"runs":                    {Progress{true, ago(80 * ms), ago(40 * ms), ago(5 * ms)}, false, false},
		"connection silent":       {Progress{true, ago(1000 * ms), ago(40 * ms), ago(5 * ms)}, true, false},
		"target silent":           {Progress{true, ago(1000 * ms), ago(900 * ms), ago(5 * ms)}, true, true},
		"target silent, early":    {Progress{true, ago(800 * ms), ago(800 * ms), ago(5 * ms)}, false, true},
		"not begun, silent":       {Progress{false, ago(1000 * ms), ago(900 * ms), ago(5 * ms)}, true, true},
		"not begun, in a queue":   {Progress{false, ago(1500 * ms), ago(40 * ms), ago(5 * ms)}, false, false},
		"asked for just now":      {Progress{false, ago(100 * ms), ago(3000 * ms), ago(5 * ms)}, false, false},
		"all stand still":         {Progress{true, ago(1500 * ms), ago(1500 * ms), ago(400 * ms)}, false, false},
		"nothing has come at all": {Progress{Answer: ago(1500 * ms)}, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stalled, target := Stalled(tt.p, now)
			is.Equal(stalled, tt.stalled)
			is.Equal(target, tt.target)
		})
	}
}
