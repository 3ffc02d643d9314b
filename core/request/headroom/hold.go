package headroom

import "time"

const (
	// longShare is the part of the accepted pause from which a pass counts as long: with the
	// prompts that one more usual burst of arrivals brings, the next would be too long.
	longShare = 0.75
	// maxHold bounds how long arrivals are held: the experts have been placed anew by then, or
	// passes are long for another reason.
	maxHold = 400 * time.Millisecond
)

// Hold decides whether requests that arrive should wait before their prompts are read.
//
// The load pattern it handles is a change of the demand for experts: passes become long at once,
// and short again when the experts have been placed anew. The prompts of those that arrive
// meanwhile are read in the same passes, and may make them longer than accepted for all streams
// that run. A request that can wait within its objective loses nothing by it. The zero value
// holds nothing.
type Hold struct {
	// since is when passes became long; zero while they are not.
	since time.Time
}

// Observe records a pass, given the shortest pause that callers accept. It reports whether
// requests that were held may start.
func (h *Hold) Observe(pass, pause time.Duration, now time.Time) (released bool) {
	if pause <= 0 || pass < time.Duration(longShare*float64(pause)) {
		released = !h.since.IsZero()
		*h = Hold{}
		return released
	}
	if h.since.IsZero() {
		h.since = now
	}
	return false
}

// Holds reports whether a request that can wait for the given time should not start yet.
func (h *Hold) Holds(slack time.Duration, now time.Time) bool {
	return !h.since.IsZero() && now.Sub(h.since) < min(slack, maxHold)
}
