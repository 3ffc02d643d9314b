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
	spans [arrivalSpans][MaxClasses]int
	at    [arrivalSpans]int64
}

// Observe records the arrival of a request of a class.
func (a *Arrivals) Observe(class int, now time.Time) {
	span := now.UnixNano() / int64(arrivalSpan)
	i := span % arrivalSpans
	if a.at[i] != span {
		a.at[i], a.spans[i] = span, [MaxClasses]int{}
	}
	a.spans[i][class]++
}

// Before returns the most requests of the classes before the given one that arrived within one
// span of the last two seconds. That many slots have to be free for them to start at once.
func (a *Arrivals) Before(class int, now time.Time) int {
	span := now.UnixNano() / int64(arrivalSpan)
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
