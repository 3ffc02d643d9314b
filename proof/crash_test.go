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
	// quarantineDelay is how long after the third crash the gateways may still send the
	// crashing request, and maxLateArrivals is how many times it may arrive after that.
	quarantineDelay = 3 * time.Second
	maxLateArrivals = 3
	// repeatInterval is the pause between two calls with the same request.
	repeatInterval = 200 * time.Millisecond
	// repeatDuration is how long the request is repeated.
	repeatDuration = 14 * time.Second
	// repeatAfterRestart is how long it is repeated after a gateway has restarted.
	repeatAfterRestart = 2 * time.Second
)

// Guards against a request that crashes each server that starts to run it, and is repeated
// every 200 ms under a new identifier, at one gateway after the other. The drafts of its whole
// group were refused or broken off for as long as it was repeated, since no gateway knew what
// its earlier calls had done. The logs of the incident showed four servers that ended within
// 0.7 s ("answer broken in body: unexpected EOF", then "connection refused"), while one call
// of the same workspace, route and size was in progress at each of them, through three
// gateways; before the fix 21 servers ended under 70 calls in this test. The request must be
// quarantined after the third crash, also by a gateway that has just started, and no request
// that ran beside it may be.
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
			v := s.playDuring(600, func() {
				s.sendCrashing(shape.kind, repeatDuration)
				s.kill("front-1")
				s.startProcess(s.boot("front-1"))
				s.NoErr(s.WaitReady(s.ctx, time.Minute))
				s.sendCrashing(shape.kind, repeatAfterRestart)
			})
			s.True(v.Passed())
			s.checkOneQuarantined()
		})
	}
}

// sendCrashing repeats a request that crashes its servers for a duration, and checks how many
// servers it reached and which responses its callers got.
func (s *fleetHarness) sendCrashing(kind string, d time.Duration) {
	ctx, stop := context.WithTimeout(s.ctx, d)
	defer stop()
	calls := fleet.PlayCrashing(ctx, s.Fleet, kind, repeatInterval)
	ended, later := s.Ledger.Crashes(fleet.CrashText, 3, quarantineDelay)
	s.t.Logf("%d calls, %d servers ended, %d arrivals more than %v after the third crash", len(calls), ended, later, quarantineDelay)
	s.True(ended >= 3)
	s.True(later <= maxLateArrivals)
	for _, c := range calls {
		s.Equal(c.Mismatch, "")
		s.True(!c.OK)
		s.True(c.Status != http.StatusServiceUnavailable || s.Ledger.Runs(c.ID) == 0)
	}
	last := calls[len(calls)-1]
	s.Equal(last.Status, http.StatusServiceUnavailable)
	s.True(last.RetryAfter > time.Minute) // not before the next probe
}

// checkOneQuarantined checks that exactly one request fingerprint was refused because it
// crashes servers.
func (s *fleetHarness) checkOneQuarantined() {
	fingerprints := map[string]bool{}
	for i := range s.Fronts {
		for line := range strings.Lines(s.log(fmt.Sprintf("front-%d", i))) {
			var l struct{ Msg, Reason, Print string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "request" && l.Reason == "held-back" {
				fingerprints[l.Print] = true
			}
		}
	}
	s.Equal(len(fingerprints), 1)
}
