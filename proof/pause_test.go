package proof

import (
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

const (
	// askedPause is how long a server that refuses wants to be left alone, and pauseGrace the
	// time in which what is under way may still arrive.
	askedPause = 3 * time.Second
	pauseGrace = 500 * time.Millisecond
	// pauseMost is how many requests may reach it from one gateway in that time all the same.
	pauseMost = 2
	// pauseFor is for how long a server refuses.
	pauseFor = 7 * time.Second
)

// refusing are the ranks of a group whose servers refuse.
var refusing = []int{1, 4, 7, 10, 13}

// Guards against gateways that do not leave a server alone which has refused and asked for a
// pause.
func TestFleetRequestedPause(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.95", Ranks: 16})
	set := func(on bool) {
		s.Pause(0, on, askedPause)
		for _, rank := range refusing {
			s.PauseRank(rank, on, askedPause)
		}
	}
	v := s.during(600, func() {
		time.Sleep(time.Second)
		set(true)
		time.Sleep(pauseFor)
		set(false)
		time.Sleep(askedPause)
	})
	s.True(v.Passed())
	check := func(name string, most, refused int) {
		t.Logf("%s: %d refusals, %d requests of one gateway within a pause", name, refused, most)
		if most > pauseMost {
			t.Errorf("%s got %d requests of one gateway within a pause, %d are allowed", name, most, pauseMost)
		}
		s.True(refused > 0)
	}
	most, refused := s.PeakDuringPause(0, pauseGrace)
	check("plain server", most, refused)
	for _, rank := range refusing {
		most, refused := s.PeakDuringRankPause(rank, pauseGrace)
		check("model server", most, refused)
	}
}

// Guards against taking a group for down because some of its servers refuse, while the others
// take what comes.
func TestFleetSomeServersRefuse(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.96", Ranks: 16})
	set := func(on bool) {
		for _, rank := range refusing {
			s.PauseRank(rank, on, 0)
		}
	}
	v := s.during(600, func() {
		time.Sleep(time.Second)
		set(true)
		time.Sleep(pauseFor)
		set(false)
	})
	s.True(v.Passed())
	if v.Complete < v.Requests {
		t.Errorf("%d of %d callers were not served, though others have room", v.Requests-v.Complete, v.Requests)
	}
}
