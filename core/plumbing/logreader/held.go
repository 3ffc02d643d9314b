package logreader

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Holding is what kept a request from starting at its gateway, and which requests started there
// while it waited.
type Holding struct {
	// Class is the rank of its class, 0 for the first, or -1 if its service has a single one.
	Class int
	// Cause is what held it, as logged; empty if it started at once.
	Cause string
	// KnownAge is the age of the load that this followed from.
	KnownAge time.Duration
	// Before, Same and Behind count the requests that started while it waited, by their class, and
	// LastBefore is the ID of the last of those before it.
	Before, Same, Behind int
	LastBefore           string
}

// rounding is how close to its arrival or end a request has to have started at least to count: times
// are logged in milliseconds.
const rounding = 2 * time.Millisecond

// HoldingOf returns what held a request, or false if the lines do not tell its end or class.
func HoldingOf(id string, lines []Line) (Holding, bool) {
	end, found := endLine(id, lines)
	if !found || end.Field("class") == "" && end.Field("held-by") == "" {
		return Holding{}, false
	}
	h := Holding{Class: classOf(end), Cause: end.Field("held-by"), KnownAge: millis(end, "known-age-ms")}
	arrived := end.At.Add(-end.elapsed())
	left := arrived.Add(millis(end, "queued-ms"))
	var last time.Time
	for _, l := range lines {
		started, ok := startOf(l)
		if !ok || l.ID == id || l.Instance != end.Instance || l.Field("service") != end.Field("service") ||
			started.Before(arrived.Add(rounding)) || started.After(left.Add(-rounding)) {
			continue
		}
		switch class := classOf(l); {
		case class > h.Class:
			h.Behind++
		case class == h.Class:
			h.Same++
		default:
			h.Before++
			if !started.Before(last) {
				last, h.LastBefore = started, l.ID
			}
		}
	}
	return h, true
}

// classOf returns the class of a request, or -1 if its line has none.
func classOf(l Line) int {
	n, err := strconv.Atoi(l.Field("class"))
	if err != nil {
		return -1
	}
	return n
}

// startOf returns when the request of a line got a slot, or false if the line is not the end of one
// that did.
func startOf(l Line) (time.Time, bool) {
	if l.Message != "request" || l.Field("target") == "" {
		return time.Time{}, false
	}
	return l.At.Add(millis(l, "queued-ms") - l.elapsed()), true
}

func millis(l Line, name string) time.Duration {
	return time.Duration(number(l, name) * float64(time.Millisecond))
}

// String returns the holding in readable form.
func (h Holding) String() string {
	var b strings.Builder
	if h.Class >= 0 {
		fmt.Fprintf(&b, "class %d, ", h.Class)
	}
	if h.Cause == "" {
		b.WriteString("started at once")
		return b.String()
	}
	fmt.Fprintf(&b, "held by %s, known from loads %v old", h.Cause, h.KnownAge)
	if h.Class < 0 {
		fmt.Fprintf(&b, "; started meanwhile: %d", h.Same)
		return b.String()
	}
	fmt.Fprintf(&b, "; started meanwhile: %d of classes before it, %d of its own, %d behind it", h.Before, h.Same, h.Behind)
	if h.LastBefore != "" {
		fmt.Fprintf(&b, "; the last before it %s", h.LastBefore)
	}
	return b.String()
}
