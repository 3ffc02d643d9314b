package proof

import (
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

const (
	// requestedPause is the pause that a refusing server asks for, and pauseGrace is the time
	// in which requests in flight may still arrive.
	requestedPause = 3 * time.Second
	pauseGrace     = 500 * time.Millisecond
	// maxDuringPause is how many requests of one gateway may still arrive during the pause.
	maxDuringPause = 2
	// refusalDuration is how long a server refuses.
	refusalDuration = 7 * time.Second
)

// refusingRanks are the ranks of a group whose servers refuse.
var refusingRanks = []int{1, 4, 7, 10, 13}

// Guards against gateways that keep sending requests to a server that has refused and asked
// for a pause.
func TestFleetRequestedPause(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.95", Ranks: 16})
	set := func(on bool) {
		s.Pause(0, on, requestedPause)
		for _, rank := range refusingRanks {
			s.PauseRank(rank, on, requestedPause)
		}
	}
	v := s.playDuring(600, func() {
		time.Sleep(time.Second)
		set(true)
		time.Sleep(refusalDuration)
		set(false)
		time.Sleep(requestedPause)
	})
	s.True(v.Passed())
	check := func(name string, most, refused int) {
		t.Logf("%s: %d refusals, at most %d requests of one gateway during a pause", name, refused, most)
		if most > maxDuringPause {
			t.Errorf("%s got %d requests of one gateway during a pause, want at most %d", name, most, maxDuringPause)
		}
		s.True(refused > 0)
	}
	most, refused := s.PeakDuringPause(0, pauseGrace)
	check("plain server", most, refused)
	for _, rank := range refusingRanks {
		most, refused := s.PeakDuringRankPause(rank, pauseGrace)
		check("model server", most, refused)
	}
}

// Guards against treating a group as unavailable because some of its servers refuse, while the
// others accept requests.
func TestFleetSomeServersRefuse(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.96", Ranks: 16})
	set := func(on bool) {
		for _, rank := range refusingRanks {
			s.PauseRank(rank, on, 0)
		}
	}
	v := s.playDuring(600, func() {
		time.Sleep(time.Second)
		set(true)
		time.Sleep(refusalDuration)
		set(false)
	})
	s.True(v.Passed())
	if v.Complete < v.Requests {
		t.Errorf("%d of %d callers were not served, although other servers have capacity", v.Requests-v.Complete, v.Requests)
	}
}
