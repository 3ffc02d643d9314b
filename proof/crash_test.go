package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
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
	// restartFor is for how long it comes after a gateway has started again.
	restartFor = 2 * time.Second
)

// A request crashes each server that begins to run it, and comes again every 200 ms under a
// new identifier at one gateway after the other. Callers saw the drafts of its whole group
// refused or broken off for as long as it came, since no gateway knew what its earlier calls
// had done. In the logs that settled it, four servers ended within 0.7 s ("answer broken in
// body: unexpected EOF", then "connection refused"), and one call of the same workspace, route
// and size was under way at each, through three gateways; here 21 servers ended under 70 calls.
// Now it is held back after the third, also by a gateway that has just started, and nothing
// that ran beside it is.
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
			v := s.during(600, func() {
				s.crashing(shape.kind, repeatFor)
				s.kill("front-1")
				s.run(s.boot("front-1"))
				s.NoErr(s.WaitReady(s.ctx, time.Minute))
				s.crashing(shape.kind, restartFor)
			})
			s.True(v.Passed())
			s.onlyCulpritHeld()
		})
	}
}

// crashing sends a request that crashes its servers for a while, and checks what became of
// it and what its callers were told.
func (s *fleetScene) crashing(kind string, d time.Duration) {
	ctx, stop := context.WithTimeout(s.ctx, d)
	defer stop()
	calls := fleet.PlayCrashing(ctx, s.Fleet, kind, repeatPause)
	ended, later := s.Ledger.Crashes(contact)
	s.t.Logf("%d calls, %d servers ended, %d arrivals later than %v after the third", len(calls), ended, later, contact)
	s.True(ended >= 3)
	s.True(later <= laterMost)
	for _, c := range calls {
		s.Equal(c.Mismatch, "")
		s.True(!c.OK)
		s.True(c.Status != http.StatusServiceUnavailable || s.Ledger.Runs(c.ID) == 0)
	}
	last := calls[len(calls)-1]
	s.Equal(last.Status, http.StatusServiceUnavailable)
	s.True(last.RetryAfter > time.Minute) // not before the next trial
}

// onlyCulpritHeld checks that one request alone was refused because it crashes servers.
func (s *fleetScene) onlyCulpritHeld() {
	prints := map[string]bool{}
	for i := range s.Fronts {
		for line := range strings.Lines(s.log(fmt.Sprintf("front-%d", i))) {
			var l struct{ Msg, Reason, Print string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "request" && l.Reason == "held-back" {
				prints[l.Print] = true
			}
		}
	}
	s.Equal(len(prints), 1)
}
