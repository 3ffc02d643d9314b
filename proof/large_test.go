package proof

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"verbenashift/standin/fleet"
)

// relays returns the sidecars that relay messages of the coordinator, except its own.
func (s *fleetHarness) relays() []string {
	coordinator := s.coordinator()
	var last struct {
		Message string   `json:"msg"`
		Targets []string `json:"targets"`
	}
	for _, line := range strings.Split(s.log(coordinator), "\n") {
		if !strings.Contains(line, `"msg":"relays"`) {
			continue
		}
		s.NoErr(json.Unmarshal([]byte(line), &last))
	}
	var names []string
	for _, target := range last.Targets {
		name := "side-" + strings.TrimPrefix(target, "i-g0-rank")
		if name != coordinator {
			names = append(names, name)
		}
	}
	return names
}

// Guards against a large group that is lost with its relays. The coordinator of a group of 64
// ranks before twelve gateways sends its messages to some of the sidecars, which query the
// others. One relay is killed, another suspended, and then the coordinator is killed, each
// while the map has to follow the load. Callers must see no error, the map must keep following
// the load, and the coordinator must stay the same until it is killed: a failed relay is
// replaced before an agent of its branch takes the coordinator for failed.
func TestFleetLargeGroupLosesRelaysAndSteward(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.78", Ranks: 64, Gateways: 12})
	v := s.playDuring(2000, func() {
		s.awaitMapChanges()
		first, relays := s.coordinator(), s.relays()
		s.True(len(relays) >= 6)
		s.kill(relays[0])
		s.awaitMapChanges()
		s.startProcess(s.boot(relays[0]))
		s.signal(relays[1], syscall.SIGSTOP)
		s.awaitMapChanges()
		s.signal(relays[1], syscall.SIGCONT)
		killed := s.coordinator()
		s.Equal(killed, first)
		s.kill(killed)
		s.awaitMapChanges()
		s.startProcess(s.boot(killed))
		s.awaitMapChanges()
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.True(v.MapChanges >= 5)
}
