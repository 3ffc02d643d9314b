package proof

import (
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

// leaveGrace is how long after a server has told a gateway that it leaves requests may still
// reach it from there.
const leaveGrace = 2 * time.Second

// Guards against requests to a server that says in its answers that it leaves, while its entry
// in the store says nothing of it.
func TestFleetServerSaysThatItLeaves(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.97"})
	v := s.during(600, func() {
		time.Sleep(500 * time.Millisecond)
		s.AnnounceLeaving(0)
		s.AnnounceRankLeaving(1)
		time.Sleep(2 * leaveGrace)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	for name, left := range map[string]func(time.Duration) (int, int){
		"plain server": func(grace time.Duration) (int, int) { return s.LateArrivals(0, grace) },
		"model server": func(grace time.Duration) (int, int) { return s.LateRankArrivals(1, grace) },
	} {
		late, told := left(leaveGrace)
		t.Logf("%s: %d gateways told, %d requests later than %v after that", name, told, late, leaveGrace)
		s.True(told > 0)
		if late > 0 {
			t.Errorf("%s got %d requests from gateways that it had told %v before", name, late, leaveGrace)
		}
	}
}
