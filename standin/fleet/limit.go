package fleet

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// limit is how many requests a second a server takes from all gateways, as it says in its
// answers, and what it got. The zero value names none.
type limit struct {
	mu    sync.Mutex
	named bool
	rate  float64
	since time.Time
	// arrivals are those since the limit was named first.
	arrivals []arrival
}

// arrival is a request that came from a gateway.
type arrival struct {
	at    time.Time
	front string
}

// arrive counts a request of a gateway and names the limit in its answer.
func (l *limit) arrive(front string, h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.named {
		return
	}
	l.arrivals = append(l.arrivals, arrival{time.Now(), front})
	h.Set("Server-Limit", strconv.FormatFloat(l.rate, 'g', -1, 64))
}

// name has the server name a limit from now on.
func (l *limit) name(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named, l.rate, l.since, l.arrivals = true, rate, time.Now(), nil
}

// lift has the server name no limit any more.
func (l *limit) lift() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named = false
}

// most returns the most requests that have arrived within a span, later than a grace after
// the limit was named, and how many have in all since then. Those of excused gateways don't
// count.
func (l *limit) most(grace, span time.Duration, excused []string) (most, all int) {
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
		most = max(most, i-first+1)
	}
	return most, len(counted)
}

// Limit has a plain server name how many requests a second it takes from all gateways.
func (f *Fleet) Limit(plain int, rate float64) { f.plains[plain].limit.name(rate) }

// ClearLimit has a plain server name no limit any more.
func (f *Fleet) ClearLimit(plain int) { f.plains[plain].limit.lift() }

// LimitRank has a model server name how many requests a second it takes from all gateways.
func (f *Fleet) LimitRank(rank int, rate float64) { f.models[rank].limit.name(rate) }

// ClearRankLimit has a model server name no limit any more.
func (f *Fleet) ClearRankLimit(rank int) { f.models[rank].limit.lift() }

// PeakArrivals returns the most requests that reached a plain server within a span, later than a
// grace after it named its limit, and how many in all since then, but for those of excused
// gateways.
func (f *Fleet) PeakArrivals(plain int, grace, span time.Duration, excused ...string) (most, all int) {
	return f.plains[plain].limit.most(grace, span, excused)
}

// PeakRankArrivals is the same for a model server.
func (f *Fleet) PeakRankArrivals(rank int, grace, span time.Duration, excused ...string) (most, all int) {
	return f.models[rank].limit.most(grace, span, excused)
}
