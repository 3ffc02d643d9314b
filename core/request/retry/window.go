package retry

import "time"

// windowSteps is in how many steps a window is counted. Retries are remembered for
// extraSteps more: counted in whole steps, some would otherwise be forgotten a step too
// soon, and a span of the window's length could hold those of both ends.
const (
	windowSteps = 20
	extraSteps  = 2
)

// tally is what happened in one step.
type tally struct {
	requests, retries float64
}

// window counts requests and retries of the last span of time.
//
// The load pattern it answers is the loss of many attempts at one moment: a server or
// a whole group dies, all that was in progress there breaks off, and a bucket that saves
// up a few retries sends most of the callers away although hardly any retry was made in
// the seconds before. The bound on retries is one over a span of time, so that one moment
// may use all of it.
type window struct {
	step time.Duration
	// began is when the first step began, by the clock that is never set.
	began   time.Time
	newest  int64
	tallies [windowSteps + extraSteps]tally
}

// newWindow returns an empty window of a span.
func newWindow(span time.Duration) *window { return &window{step: span / windowSteps} }

// at returns the tally of now, and forgets those that are too old.
func (w *window) at(now time.Time) *tally {
	if w.began.IsZero() {
		w.began = now
	}
	n := int64(now.Sub(w.began) / w.step)
	size := int64(len(w.tallies))
	for w.newest < n {
		if n-w.newest > size {
			w.newest = n - size
		}
		w.newest++
		w.tallies[w.newest%size] = tally{}
	}
	// What is told late counts in the newest step.
	return &w.tallies[w.newest%size]
}

// left returns how many retries may be made now, if a part of the requests may be
// repeated and so many beside them.
func (w *window) left(part, beside float64, now time.Time) float64 {
	w.at(now)
	size := int64(len(w.tallies))
	left := beside
	for i := range size {
		t := &w.tallies[(w.newest-i+size)%size]
		if i < windowSteps {
			left += part * t.requests
		}
		left -= t.retries
	}
	return left
}
