package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking callers at their first try, who differ in patience, for those who come
// back.
func TestPatienceTellsWhoComesBack(t *testing.T) {
	for _, tt := range []struct {
		name      string
		patience  []time.Duration
		returning bool
	}{
		{"first of all", []time.Duration{7 * time.Second}, false},
		{"the most patient", []time.Duration{7 * time.Second, 8 * time.Second}, false},
		{"the least patient at its first try", []time.Duration{8 * time.Second, 6800 * time.Millisecond}, false},
		{"refused at once, back after a quarter", []time.Duration{8 * time.Second, 6 * time.Second}, true},
		{"back late", []time.Duration{8 * time.Second, 500 * time.Millisecond}, true},
		{"does not say", []time.Duration{8 * time.Second, 0}, false},
		{"nobody says", []time.Duration{0, 0}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p ReturnDetector
			got := false
			for _, d := range tt.patience {
				got = p.Returning(d, 0)
			}
			is.Equal(got, tt.returning)
		})
	}
}

// Guards against taking the callers of a process that has just started, most of which have
// lost an attempt to the one before, for callers at their first try.
func TestTimeoutTellsBeforeCallersDo(t *testing.T) {
	const bound = 8 * time.Second
	is := is.New(t)
	var p ReturnDetector
	is.True(p.Returning(6200*time.Millisecond, bound))
	is.True(!p.Returning(6900*time.Millisecond, bound))
	for range enoughSeen {
		p.Returning(6900*time.Millisecond, bound)
	}
	is.True(!p.Returning(6200*time.Millisecond, bound)) // they only wait as long here
	var brief ReturnDetector
	is.True(!brief.Returning(2*time.Second, bound)) // the timeout says nothing of them
}
