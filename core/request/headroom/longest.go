package headroom

import "time"

// Longest returns the stretch of the longest pass that is remembered: how many times as long as at
// evenly loaded ranks its writing took. It is 0 if none is.
func (l *Limit) Longest(now time.Time) float64 {
	longest := 0.0
	for i, stretch := range l.stretch {
		if l.remembered(i, now) {
			longest = max(longest, stretch)
		}
	}
	return longest
}
