package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against passing on the refusals of a service that restarts as a whole.
func TestGateOfARestartingService(t *testing.T) {
	is := is.New(t)
	var g Gate
	is.True(g.Allow(start))
	is.True(!g.Refused("a", start))
	is.True(!g.Refused("b", start))
	is.True(g.Refused("a", start))
	is.True(!g.Allow(start.Add(gateProbeInterval - 1)))
	passed := 0
	for at := start; at.Before(start.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
		if g.Allow(at) {
			passed++
			is.True(!g.Refused("c", at))
		}
	}
	is.Equal(passed, int(time.Second/gateProbeInterval))
	is.True(g.Accepted())
	is.True(g.Allow(start))
	is.True(!g.Accepted())
}

// Guards against making requests wait because of one target that shuts down and refuses what it
// still gets.
func TestGateStaysOpenForOneTarget(t *testing.T) {
	is := is.New(t)
	var g Gate
	for range 10 {
		is.True(!g.Refused("leaving", start))
	}
	is.True(g.Allow(start))
	is.True(!g.Accepted())
	is.True(!g.Refused("x", start))
	is.True(!g.Refused("y", start))
}
