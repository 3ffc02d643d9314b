package precedence

import "time"

const (
	// arrivalSpan is the time in which a request of an urgent class should find a free slot: what
	// its objective leaves beside its first event is a few tenths of a second.
	arrivalSpan = 250 * time.Millisecond
	// arrivalSpans is the number of such spans that are remembered.
	arrivalSpans = 8
)

// Arrivals counts the requests that arrive by class, to tell how many slots the classes behind
// should leave free for those before them. The zero value is ready to use.
type Arrivals struct {
	// since is when the first request arrived.
	since time.Time
	// spans counts the requests of the spans at, which are counted from since, from 1.
	spans [arrivalSpans][MaxClasses]int
	at    [arrivalSpans]int64
}

// span returns the number of the span that now is in. It does not follow steps of the wall clock.
func (a *Arrivals) span(now time.Time) int64 {
	return max(int64(now.Sub(a.since)/arrivalSpan), 0) + 1
}

// Observe records the arrival of a request of a class.
func (a *Arrivals) Observe(class int, now time.Time) {
	if a.since.IsZero() {
		a.since = now
	}
	span := a.span(now)
	i := span % arrivalSpans
	if a.at[i] != span {
		a.at[i], a.spans[i] = span, [MaxClasses]int{}
	}
	a.spans[i][class]++
}

// Before returns the most requests of the classes before the given one that arrived within one
// span of the last two seconds. That many slots have to be free for them to start at once.
func (a *Arrivals) Before(class int, now time.Time) int {
	span := a.span(now)
	most := 0
	for i, at := range a.at {
		if at == 0 || span-at >= arrivalSpans {
			continue
		}
		n := 0
		for _, k := range a.spans[i][:class] {
			n += k
		}
		most = max(most, n)
	}
	return most
}
