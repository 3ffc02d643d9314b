package retry

import "time"

// windowSteps is the number of steps in which a window is counted. Retries are kept for
// extraSteps more: as counting is in whole steps, some would otherwise expire a step too soon,
// and a span of the length of the window could hold the retries of both ends.
const (
	windowSteps = 20
	extraSteps  = 2
)

// stepCounts holds the requests and retries of one step.
type stepCounts struct {
	requests, retries float64
}

// window counts requests and retries over a sliding time span.
//
// It serves the loss of many attempts at once: a server or a whole group crashes and everything
// in flight there breaks. A token bucket with a few retries would refuse most of these callers,
// although hardly any retry was made in the seconds before. As the limit applies to a time
// span, a single moment may use all of it.
type window struct {
	step time.Duration
	// startedAt is when the first step began, on the monotonic clock.
	startedAt time.Time
	newest    int64
	steps     [windowSteps + extraSteps]stepCounts
}

// newWindow returns an empty window over the given span.
func newWindow(span time.Duration) *window { return &window{step: span / windowSteps} }

// at returns the counts of the step that contains now, and clears the steps that have expired.
func (w *window) at(now time.Time) *stepCounts {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	n := int64(now.Sub(w.startedAt) / w.step)
	size := int64(len(w.steps))
	for w.newest < n {
		if n-w.newest > size {
			w.newest = n - size
		}
		w.newest++
		w.steps[w.newest%size] = stepCounts{}
	}
	// A report with an earlier time counts in the newest step.
	return &w.steps[w.newest%size]
}

// left returns how many retries may be made now, given the share of the requests that may be
// retried and the number allowed in addition.
func (w *window) left(ratio, extra float64, now time.Time) float64 {
	w.at(now)
	size := int64(len(w.steps))
	left := extra
	for i := range size {
		t := &w.steps[(w.newest-i+size)%size]
		if i < windowSteps {
			left += ratio * t.requests
		}
		left -= t.retries
	}
	return left
}
