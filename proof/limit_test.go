package proof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

const (
	// limitGrace is how long after a server has named its rate limit the gateways may exceed
	// it, limitWindow the time window in which requests are counted after that.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	// limitDuration is how long a server names its limit.
	limitDuration = 12 * time.Second
)

// maxRequests is how many requests a server with a rate limit per second may get in
// limitWindow.
func maxRequests(rate float64) int { return int(1.5*rate*limitWindow.Seconds()) + 5 }

// Guards against gateways that together send a server more than the rate limit that it names.
func TestFleetNamedLimit(t *testing.T) {
	const rate = 1
	s := startFleet(t, fleet.Shape{Block: "127.0.94", Gateways: 6})
	v := s.playDuring(600, func() {
		s.Limit(0, rate)
		s.LimitRank(1, rate)
		time.Sleep(limitDuration)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.checkLimit(rate)
}

// checkLimit checks that the first plain server and the second model server, which name the
// rate as their limit, got requests but not too many, not counting those of excused gateways.
func (s *fleetHarness) checkLimit(rate float64, excused ...string) {
	for name, limited := range map[string]func() (int, int){
		"plain server": func() (int, int) { return s.PeakArrivals(0, limitGrace, limitWindow, excused...) },
		"model server": func() (int, int) { return s.PeakRankArrivals(1, limitGrace, limitWindow, excused...) },
	} {
		most, all := limited()
		s.t.Logf("%s: at most %d requests in %v, %d in total", name, most, limitWindow, all)
		if most > maxRequests(rate) {
			s.t.Errorf("%s got %d requests in %v, want at most %d", name, most, limitWindow, maxRequests(rate))
		}
		s.True(all > 0) // the server is still used
	}
}

// Guards against a burst at a server that has named a rate limit when gateways are killed or
// the store loses its history, refuses calls or does not respond. Also guards against a server
// that stays excluded after it names no limit any more.
func TestFleetNamedLimitUnderFaults(t *testing.T) {
	const rate = 2
	s := startFleet(t, fleet.Shape{Block: "127.0.98", Gateways: 6})
	v := s.playDuring(600, func() {
		s.Limit(0, rate)
		s.LimitRank(1, rate)
		time.Sleep(limitGrace)
		s.kill("front-4")
		s.Store.SetDown(true)
		time.Sleep(limitGrace)
		s.Store.SetDown(false)
		s.startProcess(s.boot("front-4"))
		s.Store.Compact()
		time.Sleep(limitGrace)
		s.kill("front-5")
		s.Store.SetUnresponsive(true)
		time.Sleep(2 * time.Second)
		s.Store.SetUnresponsive(false)
		s.startProcess(s.boot("front-5"))
		time.Sleep(limitDuration)
	})
	s.True(v.Passed())
	s.checkLimit(rate, s.Fronts[4], s.Fronts[5])
	s.ClearLimit(0)
	s.ClearRankLimit(1)
	s.playDuring(100, func() { time.Sleep(limitDuration) })
	before := s.Served(0)
	s.playDuring(200, func() {})
	served := s.Served(0) - before
	t.Logf("%d of at least 200 requests after the limit was removed", served)
	s.True(served > 20) // its share is a fourth
}

// Guards against callers that wait too long or are not told when to retry when all servers of
// a service name limits, and against capacity within the limits that stays unused.
func TestFleetAllServersLimited(t *testing.T) {
	const rate = 5
	s := startFleet(t, fleet.Shape{Block: "127.0.99", Gateways: 3})
	for plain := range s.Plains() {
		s.Limit(plain, rate)
	}
	ctx, stop := context.WithTimeout(s.ctx, limitDuration)
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
		most, all := s.PeakArrivals(plain, limitGrace, limitWindow)
		t.Logf("server %d: at most %d requests in %v, %d in total", plain, most, limitWindow, all)
		s.True(most <= maxRequests(rate))
		s.True(all >= int(rate*(limitDuration-limitGrace).Seconds()*6/10))
	}
	t.Logf("%d refused, after at most %v", refused, waited)
	s.True(refused > 0)
}
