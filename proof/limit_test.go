package proof

import (
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

const (
	// limitGrace is how long after a server has named its limit the gateways may send what
	// they like, limitSpan the time over which requests are counted then.
	limitGrace = 3 * time.Second
	limitSpan  = 4 * time.Second
	// limitFor is for how long a server names its limit.
	limitFor = 12 * time.Second
)

// mostOf is how many requests a server that takes so many a second may get in limitSpan.
func mostOf(rate float64) int { return int(1.5*rate*limitSpan.Seconds()) + 5 }

// Guards against gateways that send a server more than it takes from all of them together.
func TestFleetNamedLimit(t *testing.T) {
	const rate = 1
	s := startFleet(t, fleet.Shape{Block: "127.0.94", Gateways: 6})
	v := s.during(600, func() {
		s.Limit(0, rate)
		s.LimitRank(1, rate)
		time.Sleep(limitFor)
	})
	s.True(v.Kept())
	s.Equal(v.Complete, v.Requests)
	for name, limited := range map[string]func(grace, span time.Duration) (int, int){
		"plain server": func(grace, span time.Duration) (int, int) { return s.Limited(0, grace, span) },
		"model server": func(grace, span time.Duration) (int, int) { return s.LimitedRank(1, grace, span) },
	} {
		most, all := limited(limitGrace, limitSpan)
		t.Logf("%s: %d requests in %v at most, %d in all", name, most, limitSpan, all)
		if most > mostOf(rate) {
			t.Errorf("%s got %d requests in %v, %d are allowed", name, most, limitSpan, mostOf(rate))
		}
		s.True(all > 0) // it is used as far as it allows
	}
}
