package proof

import (
	"context"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

const (
	// crowdFor is how long most new connections go to one gateway, and crowdGrace after how long
	// its requests must be served as before.
	crowdFor   = 9 * time.Second
	crowdGrace = 3 * time.Second
	calmFor    = 3 * time.Second
)

// Guards against a gateway that refuses or loses requests when most new connections of its zone go to
// it, and against the same at the next one when it has gone.
func TestFleetMostConnectionsAtOneGateway(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.86", Gateways: 3, Groups: 2})
	ctx, stop := context.WithTimeout(s.ctx, calmFor+2*crowdFor)
	defer stop()
	began := time.Now()
	first, second := began.Add(calmFor), began.Add(calmFor+crowdFor)
	go func() {
		<-time.After(time.Until(first))
		s.Crowd(0)
		<-time.After(time.Until(second))
		s.kill("front-0")
		s.Crowd(1)
		s.startProcess(s.boot("front-0"))
	}()
	calls := fleet.PlayUntil(ctx, s.Fleet)
	s.True(fleet.Judge(s.Fleet, calls).Passed())
	before := s.servedShare(calls, "", began, first)
	s.True(4*s.servedShare(calls, s.Fronts[0], first.Add(crowdGrace), second.Add(-crowdGrace)) >= 3*before)
	s.True(4*s.servedShare(calls, s.Fronts[1], second.Add(crowdGrace), began.Add(calmFor+2*crowdFor)) >= 3*before)
}

// servedShare returns the share of the requests sent to a gateway, or to all, that were served, of those
// that it has read.
func (s *fleetHarness) servedShare(calls []fleet.Call, front string, from, until time.Time) float64 {
	read, served := 0, 0
	for _, c := range calls {
		if front != "" && c.Front != front || c.At.Before(from) || c.At.After(until) || c.Status == 0 {
			continue
		}
		read++
		if c.OK {
			served++
		}
	}
	s.t.Logf("%q: %d of %d requests served", front, served, read)
	s.True(read > 100)
	return float64(served) / float64(read)
}
