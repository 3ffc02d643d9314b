package fleet

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// limit is the rate of requests, over all gateways, that a server advertises in its
// answers, with the arrivals since then. The zero value advertises none.
type limit struct {
	mu     sync.Mutex
	active bool
	rate   float64
	since  time.Time
	// arrivals are the requests since the limit was set.
	arrivals []arrival
}

// arrival is the arrival of a request from a gateway.
type arrival struct {
	at    time.Time
	front string
}

// record counts a request of a gateway and adds the limit to its answer.
func (l *limit) record(front string, h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active {
		return
	}
	l.arrivals = append(l.arrivals, arrival{time.Now(), front})
	h.Set("Server-Limit", strconv.FormatFloat(l.rate, 'g', -1, 64))
}

// set makes the server advertise a limit from now on.
func (l *limit) set(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active, l.rate, l.since, l.arrivals = true, rate, time.Now(), nil
}

// unset makes the server stop advertising a limit.
func (l *limit) unset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = false
}

// peak returns the maximum number of requests within any span, and the total number of
// requests. It counts from grace after the limit was set and ignores the excused
// gateways.
func (l *limit) peak(grace, span time.Duration, excused []string) (peak, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counted []time.Time
	for _, a := range l.arrivals {
		if !a.at.Before(l.since.Add(grace)) && !slices.Contains(excused, a.front) {
			counted = append(counted, a.at)
		}
	}
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) > span {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak, len(counted)
}

// Limit makes a plain server advertise the rate of requests, over all gateways, that
// it accepts.
func (f *Fleet) Limit(plain int, rate float64) { f.plains[plain].limit.set(rate) }

// ClearLimit makes a plain server stop advertising a limit.
func (f *Fleet) ClearLimit(plain int) { f.plains[plain].limit.unset() }

// LimitRank is Limit for a model server.
func (f *Fleet) LimitRank(rank int, rate float64) { f.models[rank].limit.set(rate) }

// ClearRankLimit is ClearLimit for a model server.
func (f *Fleet) ClearRankLimit(rank int) { f.models[rank].limit.unset() }

// PeakArrivals returns the maximum number of requests that reached a plain server
// within any span, and the total number. It counts from grace after the limit was set
// and ignores the excused gateways.
func (f *Fleet) PeakArrivals(plain int, grace, span time.Duration, excused ...string) (peak, total int) {
	return f.plains[plain].limit.peak(grace, span, excused)
}

// PeakRankArrivals is PeakArrivals for a model server.
func (f *Fleet) PeakRankArrivals(rank int, grace, span time.Duration, excused ...string) (peak, total int) {
	return f.models[rank].limit.peak(grace, span, excused)
}
