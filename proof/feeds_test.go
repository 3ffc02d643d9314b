package proof

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

// lastLine decodes the last line of a process's log with the given message into v, and reports
// whether there is one.
func (s *fleetHarness) lastLine(name, message string, v any) bool {
	found := false
	for _, line := range strings.Split(s.log(name), "\n") {
		if strings.Contains(line, `"msg":"`+message+`"`) {
			s.NoErr(json.Unmarshal([]byte(line), v))
			found = true
		}
	}
	return found
}

// version returns the configuration in force at a gateway.
func (s *fleetHarness) version(name string) int64 {
	var line struct{ Version int64 }
	s.lastLine(name, "configuration in force", &line)
	return line.Version
}

// until waits until a condition holds.
func (s *fleetHarness) until(what string, holds func() bool) {
	s.t.Helper()
	for !holds() {
		select {
		case <-s.ctx.Done():
			s.t.Fatal("not reached: " + what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// configure writes a new configuration and waits until it is in force at all the gateways.
func (s *fleetHarness) configure(timeoutMs int, gateways []string) {
	before := s.version(gateways[0])
	s.Configure(timeoutMs)
	s.until("configuration in force", func() bool {
		now := s.version(gateways[0])
		for _, name := range gateways {
			if v := s.version(name); v != now || v <= before {
				return false
			}
		}
		return true
	})
}

// Guards against calls to the store from each gateway for each change, and against gateways that
// keep an old configuration when the ones that watch the store for them are killed.
func TestFleetFewGatewaysWatchTheStore(t *testing.T) {
	const all, feeds, changes = 10, 2, 8
	s := startFleet(t, fleet.Shape{Block: "127.0.91", Gateways: all})
	var names []string
	for i := range all {
		names = append(names, fmt.Sprintf("front-%d", i))
	}
	var serving []string
	v := s.playDuring(400, func() {
		serving = s.awaitFeeds(feeds, names)
		for i := range changes { // ends the watches that were begun before
			s.configure(900+i, names)
		}
		before := s.Store.Calls()
		for i := range changes {
			s.configure(1000+i, names)
		}
		calls := s.Store.Calls() - before
		t.Logf("%d calls for %d changes at %d gateways", calls, changes, all)
		s.True(calls < changes*all)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	for _, name := range serving {
		s.kill(name)
	}
	var left []string
	for _, name := range names {
		if name != serving[0] && name != serving[1] {
			left = append(left, name)
		}
	}
	s.configure(1100, left)
	s.configure(1101, left)
}

// awaitFeeds waits until a number of the gateways serve feeds and all others follow as many, and
// returns those that serve.
func (s *fleetHarness) awaitFeeds(feeds int, names []string) (serving []string) {
	s.t.Helper()
	s.until("feeds chosen", func() bool {
		serving = nil
		following := 0
		for _, name := range names {
			var line struct {
				Feeds   []string
				Serving bool
			}
			s.lastLine(name, "feeds chosen", &line)
			if line.Serving {
				serving = append(serving, name)
			}
			if len(line.Feeds) == feeds {
				following++
			}
		}
		return len(serving) == feeds && following == len(names)-feeds
	})
	return serving
}

// Guards against a call to the store by each gateway for each change after a restore, when all have
// found that their feeds lack what they need.
func TestFleetFeedsAreFollowedAfterARestore(t *testing.T) {
	const all, feeds, changes = 10, 2, 8
	s := startFleet(t, fleet.Shape{Block: "127.0.109", Gateways: all})
	var names []string
	for i := range all {
		names = append(names, fmt.Sprintf("front-%d", i))
	}
	v := s.playDuring(400, func() {
		s.awaitFeeds(feeds, names)
		older := s.Store.Copy()
		for i := range changes { // ends the watches that were begun before
			s.configure(900+i, names)
		}
		s.Store.Restore(older)
		s.Store.Rewrite()
		s.configure(1000, names)
		before := s.Store.Calls()
		for i := range changes {
			s.configure(1001+i, names)
		}
		calls := s.Store.Calls() - before
		t.Logf("%d calls for %d changes at %d gateways after a restore", calls, changes, all)
		// Two feeds see each change; twice that are watches that end without one.
		s.True(calls <= 2*feeds*changes)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}
