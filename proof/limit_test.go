package proof

import (
	"context"
	"net/http"
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
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.keptTo(rate)
}

// keptTo checks that the first plain server and the second model server, which take so many
// requests a second, got some and not too many, but for those of excused gateways.
func (s *fleetScene) keptTo(rate float64, excused ...string) {
	for name, limited := range map[string]func() (int, int){
		"plain server": func() (int, int) { return s.PeakArrivals(0, limitGrace, limitSpan, excused...) },
		"model server": func() (int, int) { return s.PeakRankArrivals(1, limitGrace, limitSpan, excused...) },
	} {
		most, all := limited()
		s.t.Logf("%s: %d requests in %v at most, %d in all", name, most, limitSpan, all)
		if most > mostOf(rate) {
			s.t.Errorf("%s got %d requests in %v, %d are allowed", name, most, limitSpan, mostOf(rate))
		}
		s.True(all > 0) // it is used as far as it allows
	}
}

// Guards against a burst at a server that has named a limit when gateways are killed, the store
// forgets its history, refuses or answers nothing, and against leaving the server out for good
// when it names none any more.
func TestFleetNamedLimitUnderFaults(t *testing.T) {
	const rate = 2
	s := startFleet(t, fleet.Shape{Block: "127.0.98", Gateways: 6})
	v := s.during(600, func() {
		s.Limit(0, rate)
		s.LimitRank(1, rate)
		time.Sleep(limitGrace)
		s.kill("front-4")
		s.Store.SetDown(true)
		time.Sleep(limitGrace)
		s.Store.SetDown(false)
		s.run(s.boot("front-4"))
		s.Store.Compact()
		time.Sleep(limitGrace)
		s.kill("front-5")
		s.Store.SetUnresponsive(true)
		time.Sleep(2 * time.Second)
		s.Store.SetUnresponsive(false)
		s.run(s.boot("front-5"))
		time.Sleep(limitFor)
	})
	s.True(v.Passed())
	s.keptTo(rate, s.Fronts[4], s.Fronts[5])
	s.ClearLimit(0)
	s.ClearRankLimit(1)
	s.during(100, func() { time.Sleep(limitFor) })
	before := s.Served(0)
	s.during(200, func() {})
	served := s.Served(0) - before
	t.Logf("%d of 200 requests and more after the limit was lifted", served)
	s.True(served > 20) // a fourth is its part
}

// Guards against callers that are held, or not told when to come back, when all servers of a
// service name limits, and against leaving unused what these take.
func TestFleetAllServersLimited(t *testing.T) {
	const rate = 5
	s := startFleet(t, fleet.Shape{Block: "127.0.99", Gateways: 3})
	for plain := range s.Plains() {
		s.Limit(plain, rate)
	}
	ctx, stop := context.WithTimeout(s.ctx, limitFor)
	defer stop()
	calls := fleet.PlayUntil(ctx, s.Fleet)
	v := fleet.Judge(s.Fleet, calls)
	t.Logf("%+v", v)
	s.True(v.Passed())
	refused, waited := 0, time.Duration(0)
	for _, c := range calls {
		if c.Kind == fleet.Stream {
			s.True(c.OK)
			continue
		}
		if c.Status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		waited = max(waited, c.Duration)
		s.True(c.RetryAfter > 0)
	}
	for plain := range s.Plains() {
		most, all := s.PeakArrivals(plain, limitGrace, limitSpan)
		t.Logf("server %d: %d requests in %v at most, %d in all", plain, most, limitSpan, all)
		s.True(most <= mostOf(rate))
		s.True(all >= int(rate*(limitFor-limitGrace).Seconds()*6/10))
	}
	t.Logf("%d refused, after %v at most", refused, waited)
	s.True(refused > 0)
}
