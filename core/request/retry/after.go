package retry

import (
	"strconv"
	"strings"
	"time"
)

// maxParsedAfter bounds the delay that a Retry-After may ask for.
const maxParsedAfter = 24 * time.Hour

// ParseAfter parses a Retry-After in seconds, with or without a fraction. It returns 0 for
// anything else, including dates.
func ParseAfter(s string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxParsedAfter.Seconds()) * float64(time.Second))
}
