package proof

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

// beginnings counts how often sidecars have become the steward of a group.
func (s *fleetScene) beginnings(group int) int {
	n := 0
	for i := range s.Groups {
		for r := range fleetRanks {
			for _, line := range strings.Split(s.log(fmt.Sprintf("side-%d", i*fleetRanks+r)), "\n") {
				if strings.Contains(line, `"msg":"steward begins"`) && strings.Contains(line, fmt.Sprintf(`"group":"g%d"`, group)) {
					n++
				}
			}
		}
	}
	return n
}

// Two expert groups serve side by side, and a caller may be sent to either. Their
// stewards ask all servers of the service whose they are. If the word of one counted in
// the other group, each would put the other one out, and one group would keep its
// first map for the whole day: its callers see their drafts crawl.
func TestFleetGroupsHaveAStewardEach(t *testing.T) {
	for name, shape := range map[string]fleet.Shape{
		"by the store":     {Block: "127.0.72", Groups: 2},
		"by their word":    {Block: "127.0.73", Groups: 2, OmitGroup: true},
		"with late orders": {Block: "127.0.74", Groups: 2, LateOrders: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			s := startFleet(t, shape)
			v := s.during(1500, func() {
				for range 2 {
					s.changes()
				}
			})
			s.True(v.Passed())
			s.Equal(v.Complete, v.Requests)
			for group := range s.Groups {
				s.True(v.MapChangesByGroup[group] >= 2)
				s.Equal(s.beginnings(group), 1)
			}
		})
	}
}

// The steward of one group is killed, and that of the next time freezes, in the middle
// of its changes. The other group must notice nothing: its map goes on following its
// load under the same steward.
func TestFleetOneGroupLosesItsSteward(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.75", Groups: 2})
	v := s.during(2500, func() {
		s.changes()
		killed := s.stewardOf(1)
		s.kill(killed)
		s.changes()
		s.run(s.boot(killed))
		frozen := s.stewardOf(1)
		s.signal(frozen, syscall.SIGSTOP)
		s.changes()
		s.signal(frozen, syscall.SIGCONT)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.Equal(s.beginnings(0), 1)
	s.True(s.beginnings(1) >= 3)
}

// A server crashes and starts again under its ID, a second later, knowing nothing: its
// group is formed anew in a new epoch with the first map. In the meantime its callers are
// served by the other group, those whose drafts break off as well. When it is back, its
// map follows the load again, although the agents believed in maps and counts of before.
func TestFleetServerStartsAgainUnderItsID(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.76", Groups: 2})
	v := s.during(2000, func() {
		for _, rank := range []int{fleetRanks + 2, fleetRanks} { // the second is beside the steward
			s.changes()
			s.Crash(rank, time.Second)
			time.Sleep(1500 * time.Millisecond)
			s.changes()
		}
	})
	s.True(v.Passed())
	// Those that were asked just as the server died may have run.
	s.True(v.Complete >= v.Requests*99/100)
	s.Equal(v.Refused, 0)
}

// One of two groups loses a rank for two seconds, while callers press. A gateway that
// counted its places as free would send half of them there, to be refused or to wait in
// silence. They are served by the other group.
func TestFleetLostGroupIsLeft(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.77", Groups: 2})
	began := 0
	v := s.during(800, func() {
		time.Sleep(500 * time.Millisecond)
		s.Crash(1, 2*time.Second)
		time.Sleep(time.Second)
		began = strings.Count(s.log("front-0")+s.log("front-1"), `"reason":"refused by i-g0`)
		time.Sleep(900 * time.Millisecond)
		began = strings.Count(s.log("front-0")+s.log("front-1"), `"reason":"refused by i-g0`) - began
	})
	s.True(v.Passed())
	s.Equal(v.Refused, 0)
	s.True(v.Complete >= v.Requests*99/100)
	// Nothing is tried there while its steward says that it lacks a rank.
	s.Equal(began, 0)
}
