package proof

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

// coordinatorStarts counts how often a sidecar has become the coordinator of a group.
func (s *fleetHarness) coordinatorStarts(group int) int {
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

// Guards against coordinators that interfere with another group. Two expert groups serve the
// same service, and a request may be sent to either. The coordinators query all servers of the
// service for their groups. If the announcement of one were accepted in the other group, each
// would depose the other, and one group would keep its first map for the whole day, so that
// its drafts become slow.
func TestFleetGroupsHaveAStewardEach(t *testing.T) {
	for name, shape := range map[string]fleet.Shape{
		"by the store":     {Block: "127.0.72", Groups: 2},
		"by their word":    {Block: "127.0.73", Groups: 2, OmitGroup: true},
		"with late orders": {Block: "127.0.74", Groups: 2, LateOrders: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			s := startFleet(t, shape)
			v := s.playDuring(1500, func() {
				for range 2 {
					s.awaitMapChanges()
				}
			})
			s.True(v.Passed())
			s.Equal(v.Complete, v.Requests)
			for group := range s.Groups {
				s.True(v.MapChangesByGroup[group] >= 2)
				s.Equal(s.coordinatorStarts(group), 1)
			}
		})
	}
}

// Guards against effects on the other group when the coordinator of one group is killed, and
// later its successor suspended, during map changes. The map of the other group must keep
// following its load under the same coordinator.
func TestFleetOneGroupLosesItsSteward(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.75", Groups: 2})
	v := s.playDuring(2500, func() {
		s.awaitMapChanges()
		killed := s.coordinatorOf(1)
		s.kill(killed)
		s.awaitMapChanges()
		s.startProcess(s.boot(killed))
		frozen := s.coordinatorOf(1)
		s.signal(frozen, syscall.SIGSTOP)
		s.awaitMapChanges()
		s.signal(frozen, syscall.SIGCONT)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.Equal(s.coordinatorStarts(0), 1)
	s.True(s.coordinatorStarts(1) >= 3)
}

// Guards against a group that keeps stale state when a server crashes and restarts a second
// later under the same ID without its state: its group is formed again in a new epoch with the
// first map. Meanwhile the other group must serve its callers, including those whose drafts
// break off. Afterwards its map must follow the load again, although the agents hold maps and
// load counts of the earlier epoch.
func TestFleetServerStartsAgainUnderItsID(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.76", Groups: 2})
	v := s.playDuring(2000, func() {
		for _, rank := range []int{fleetRanks + 2, fleetRanks} { // the second is beside the coordinator
			s.awaitMapChanges()
			s.Crash(rank, time.Second)
			time.Sleep(1500 * time.Millisecond)
			s.awaitMapChanges()
		}
	})
	s.True(v.Passed())
	// Requests that were sent just as the server crashed may have run.
	s.True(v.Complete >= v.Requests*99/100)
	s.Equal(v.Refused, 0)
}

// Guards against requests to a group that lacks a rank. One of two groups loses a rank for two
// seconds under load. A gateway that counted its slots as free would send half of the requests
// there, to be refused or to wait without a response. The other group must serve them.
func TestFleetLostGroupIsLeft(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.77", Groups: 2})
	refusals := 0
	v := s.playDuring(800, func() {
		time.Sleep(500 * time.Millisecond)
		s.Crash(1, 2*time.Second)
		time.Sleep(time.Second)
		refusals = strings.Count(s.log("front-0")+s.log("front-1"), `"reason":"refused by i-g0`)
		time.Sleep(900 * time.Millisecond)
		refusals = strings.Count(s.log("front-0")+s.log("front-1"), `"reason":"refused by i-g0`) - refusals
	})
	s.True(v.Passed())
	s.Equal(v.Refused, 0)
	s.True(v.Complete >= v.Requests*99/100)
	// No request is sent there while its coordinator reports that it lacks a rank.
	s.Equal(refusals, 0)
}
