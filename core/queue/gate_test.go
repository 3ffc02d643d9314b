package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The power of all servers was gone for a moment. Each refuses what it gets for
// a second; then all serve. Requests have to wait for that, with a probe now and
// then, and all go on with the first that is taken.
func TestGateOfAServiceThatStartsAgain(t *testing.T) {
	is := is.New(t)
	var g Gate
	is.True(g.Pass(start))
	is.True(!g.Refused("a", start))
	is.True(!g.Refused("b", start))
	is.True(g.Refused("a", start))
	is.True(!g.Pass(start.Add(gateProbe - 1)))
	passed := 0
	for at := start; at.Before(start.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
		if g.Pass(at) {
			passed++
			is.True(!g.Refused("c", at))
		}
	}
	is.Equal(passed, int(time.Second/gateProbe))
	is.True(g.Accepted())
	is.True(g.Pass(start))
	is.True(!g.Accepted())
}

// One server leaves and refuses what it still gets. The others serve: nobody may
// wait for it.
func TestGateStaysOpenForOneTarget(t *testing.T) {
	is := is.New(t)
	var g Gate
	for range 10 {
		is.True(!g.Refused("leaving", start))
	}
	is.True(g.Pass(start))
	is.True(!g.Accepted())
	is.True(!g.Refused("x", start))
	is.True(!g.Refused("y", start))
}

// All slots of the engines are full after a stall, and their steps take twice
// what callers are to see. Each of four entries has to come down to its part of
// the load at which steps are short.
func TestAllowedUnderFullSlots(t *testing.T) {
	is := is.New(t)
	full := Engines{Slots: 192, Running: 192, Queued: 48, Pause: 144 * time.Millisecond}
	sum := 0
	for _, own := range []int{120, 60, 40, 20} {
		sum += Allowed(full, own, 72*time.Millisecond)
	}
	is.True(sum >= 104 && sum <= 122)
}

// The map of the group does not fit for a second, and steps are long though few
// requests run. Letting in fewer would not make them shorter.
func TestAllowedWithFewRequests(t *testing.T) {
	is := is.New(t)
	e := Engines{Slots: 192, Running: 80, Pause: 150 * time.Millisecond}
	is.True(Allowed(e, 20, 72*time.Millisecond) > 20)
}

// Engines come back and hundreds have waited. What is let in grows step by step,
// and without limit once the steps stay short.
func TestAllowedGrowsGradually(t *testing.T) {
	is := is.New(t)
	own, running := Reopened(192), 0
	is.True(own > 10 && own < 40)
	for range 40 {
		running = 4 * own
		next := Allowed(Engines{Slots: 192, Running: running, Pause: 30 * time.Millisecond}, own, 72*time.Millisecond)
		is.True(next >= own)
		is.True(4*(next-own) <= 192)
		own = next
	}
	is.True(4*own >= 190)
}
