package proof

import (
	"context"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

const (
	// partCrashes is how many servers may end under requests with one part before these must be
	// stopped, and partDelay is the time that it may take. After it maxLateArrivals may arrive.
	partCrashes = 5
	partDelay   = 3 * time.Second
	// recoveryDelay is how long after those crashes sound requests must be served again.
	recoveryDelay = 2 * partDelay
	// crashingDuration is how long requests with such a part are sent.
	crashingDuration = 30 * time.Second
)

// Guards against requests that crash their servers because of a part that their prompts share,
// though no two of them are alike, and against refusing the requests that share other parts with them.
func TestFleetPartCrashesServers(t *testing.T) {
	for name, tt := range map[string]struct {
		fleet.Shape
		kind  string
		parts []string
	}{
		"drafts of one group":          {fleet.Shape{Block: "127.0.81", Gateways: 3}, fleet.Stream, []string{"dead01"}},
		"drafts, after an event":       {fleet.Shape{Block: "127.0.82", Gateways: 3}, fleet.Stream, []string{"fade01"}},
		"drafts of two groups":         {fleet.Shape{Block: "127.0.83", Gateways: 3, Groups: 2}, fleet.Stream, []string{"dead01"}},
		"lookups":                      {fleet.Shape{Block: "127.0.84", Gateways: 3}, fleet.Safe, []string{"dead01"}},
		"drafts of one group, 2 parts": {fleet.Shape{Block: "127.0.85", Gateways: 3}, fleet.Stream, []string{"dead01", "dead02"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startFleet(t, tt.Shape)
			fleet.Play(s.ctx, s.Fleet, 400) // what gateways know of sound requests
			v := s.playDuring(600, func() { s.sendCrashingParts(tt.kind, tt.parts) })
			s.True(v.Passed())
		})
	}
}

// sendCrashingParts sends requests with parts that crash their servers beside sound ones, restarts a
// gateway meanwhile, and checks how many reached servers and that the sound ones are served.
func (s *fleetHarness) sendCrashingParts(kind string, parts []string) {
	ctx, stop := context.WithTimeout(s.ctx, crashingDuration)
	defer stop()
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		<-time.After(crashingDuration / 2)
		s.kill("front-1")
		s.startProcess(s.boot("front-1"))
	}()
	sound := make(chan []fleet.Call)
	go func() { sound <- fleet.PlayUntil(ctx, s.Fleet) }()
	crashing := fleet.PlayCrashingParts(ctx, s.Fleet, kind, parts, repeatInterval)
	<-restarted
	var recovered time.Time
	for _, part := range parts {
		ended, later := s.Ledger.Crashes(part, partCrashes, partDelay)
		at, _ := s.Ledger.CrashTime(part, partCrashes)
		s.t.Logf("part %s: %d calls, %d servers ended, %d arrivals more than %v after crash %d", part, len(crashing), ended, later, partDelay, partCrashes)
		s.True(ended >= 3)
		s.True(later <= maxLateArrivals)
		if at = at.Add(recoveryDelay); at.After(recovered) {
			recovered = at
		}
	}
	s.checkServed(<-sound, kind, recovered)
}

// checkServed checks that at least half of the sound requests of a kind are served that are sent after
// a time, also those that share their first part with the crashing ones.
func (s *fleetHarness) checkServed(calls []fleet.Call, kind string, after time.Time) {
	all, served := map[string]int{}, map[string]int{}
	for _, c := range calls {
		if c.Kind != kind || c.At.Before(after) {
			continue
		}
		for _, group := range []string{"all", c.First} {
			all[group]++
			if c.OK {
				served[group]++
			}
		}
	}
	s.t.Logf("after %v: %d of %d sound requests served", recoveryDelay, served["all"], all["all"])
	s.True(all["all"] > 0)
	for group, n := range all {
		if n >= 20 {
			s.True(2*served[group] >= n)
		}
	}
}
