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
