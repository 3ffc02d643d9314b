package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers of one route wait 6.8 to 8 s, each as long as it likes. Under load those
// that were refused come back with what is left of it, and go first. If the first
// tries were taken for these, nearly all would be in one line, late ones first.
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
			var p Patience
			got := false
			for _, d := range tt.patience {
				got = p.Returning(d)
			}
			is.Equal(got, tt.returning)
		})
	}
}
