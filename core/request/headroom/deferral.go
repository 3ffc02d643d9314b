package headroom

import "time"

const (
	// longShare is the part of the accepted pause from which a pass counts as long: with the
	// prompts that one more usual burst of arrivals brings, the next would be too long.
	longShare = 0.75
	// maxDeferral bounds how long arrivals are deferred: the experts have been placed anew by then, or
	// passes are long for another reason.
	maxDeferral = 400 * time.Millisecond
)

// Deferral decides whether requests that arrive should wait before their prompts are read.
//
// The load pattern it handles is a change of the demand for experts: passes become long at once,
// and short again when the experts have been placed anew. The prompts of those that arrive
// meanwhile are read in the same passes, and may make them longer than accepted for all streams
// that run. A request that can wait within its objective loses nothing by it. The zero value
// defers nothing.
type Deferral struct {
	// since is when passes became long; zero while they are not.
	since time.Time
}

// Observe records a pass, given the shortest pause that callers accept. It reports whether
// requests that were deferred may start.
func (d *Deferral) Observe(pass, pause time.Duration, now time.Time) (released bool) {
	if pause <= 0 || pass < time.Duration(longShare*float64(pause)) {
		released = !d.since.IsZero()
		*d = Deferral{}
		return released
	}
	if d.since.IsZero() {
		d.since = now
	}
	return false
}

// Defers reports whether a request that can wait for the given time should not start yet.
func (d *Deferral) Defers(slack time.Duration, now time.Time) bool {
	return !d.since.IsZero() && now.Sub(d.since) < min(slack, maxDeferral)
}
