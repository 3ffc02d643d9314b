package retry

import (
	"testing"
	"time"
)

func TestParseAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "1e300": maxParsedAfter, "+Inf": maxParsedAfter,
		"NaN": 0, "-1": 0, "0": 0, "": 0, "Thu, 03 Dec 2026 10:00:00 GMT": 0,
	} {
		if got := ParseAfter(text); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}
