package proof

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"verbenashift/standin/fleet"
)

// relays returns the sidecars that carry the words of the steward, but for its own.
func (s *fleetScene) relays() []string {
	steward := s.steward()
	var last struct {
		Message string   `json:"msg"`
		Targets []string `json:"targets"`
	}
	for _, line := range strings.Split(s.log(steward), "\n") {
		if !strings.Contains(line, `"msg":"relays"`) {
			continue
		}
		s.NoErr(json.Unmarshal([]byte(line), &last))
	}
	var names []string
	for _, target := range last.Targets {
		name := "side-" + strings.TrimPrefix(target, "i-g0-rank")
		if name != steward {
			names = append(names, name)
		}
	}
	return names
}

// A group of 64 ranks before twelve gateways: its steward speaks to some of the sidecars,
// which ask the others. One of these is killed, another freezes, and then the steward
// itself is killed, each while the map is to follow the load. Callers notice nothing, the
// map goes on following, and the steward stays the same until it is killed: a lost relay
// is replaced before any agent of its branch takes the steward for dead.
func TestFleetLargeGroupLosesRelaysAndSteward(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.78", Ranks: 64, Gateways: 12})
	v := s.during(2000, func() {
		s.changes()
		first, relays := s.steward(), s.relays()
		s.True(len(relays) >= 6)
		s.kill(relays[0])
		s.changes()
		s.run(s.boot(relays[0]))
		s.signal(relays[1], syscall.SIGSTOP)
		s.changes()
		s.signal(relays[1], syscall.SIGCONT)
		killed := s.steward()
		s.Equal(killed, first)
		s.kill(killed)
		s.changes()
		s.run(s.boot(killed))
		s.changes()
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.True(v.MapChanges >= 5)
}
