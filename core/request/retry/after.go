package retry

import (
	"strconv"
	"strings"
	"time"
)

// longestAfter bounds the pause that a Retry-After may ask for.
const longestAfter = 24 * time.Hour

// ParseAfter decodes a Retry-After in seconds, with or without a fraction. It returns 0 for
// anything else, dates included.
func ParseAfter(s string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, longestAfter.Seconds()) * float64(time.Second))
}
