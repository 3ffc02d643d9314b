package proof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

const (
	// contact is how long after the third crash the gateways may still send a request that
	// crashes its servers, and laterMost how often after that.
	contact   = 3 * time.Second
	laterMost = 3
	// repeatPause is the pause between two calls with the same request.
	repeatPause = 200 * time.Millisecond
	// repeatFor is for how long the request comes again.
	repeatFor = 14 * time.Second
)

// A request crashes each server that begins to run it, and comes again every 200 ms under a
// new identifier at one gateway after the other. Callers see the drafts of its whole group
// refused or broken off for as long as it comes.
func TestFleetRequestCrashesServers(t *testing.T) {
	for name, shape := range map[string]struct {
		fleet.Shape
		kind string
	}{
		"drafts of one group":  {fleet.Shape{Block: "127.0.91", Gateways: 3}, fleet.Stream},
		"drafts of two groups": {fleet.Shape{Block: "127.0.92", Gateways: 3, Groups: 2}, fleet.Stream},
		"lookups":              {fleet.Shape{Block: "127.0.93", Gateways: 3}, fleet.Safe},
	} {
		t.Run(name, func(t *testing.T) {
			s := startFleet(t, shape.Shape)
			ctx, stop := context.WithTimeout(s.ctx, repeatFor)
			defer stop()
			v := s.during(600, func() { s.judgeCrashing(fleet.Crashing(ctx, s.Fleet, shape.kind, repeatPause)) })
			s.True(v.Kept())
		})
	}
}

// judgeCrashing checks what became of a request that crashes its servers, and of its
// callers.
func (s *fleetScene) judgeCrashing(calls []fleet.Call) {
	ended, later := s.Ledger.Crashes(contact)
	s.t.Logf("%d calls, %d servers ended, %d arrivals later than %v after the third", len(calls), ended, later, contact)
	s.True(ended >= 3)
	s.True(later <= laterMost)
	for _, c := range calls {
		s.Equal(c.Wrong, "")
		s.True(c.Status != http.StatusServiceUnavailable || s.Ledger.Runs(c.ID) == 0)
	}
}
