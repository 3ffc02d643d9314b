package fleet

import (
	"sort"
	"time"
)

// The bounds on retries that the settings give the processes.
const (
	retryRatio  = 0.2
	retryBurst  = 90
	retryWindow = 10 * time.Second
)

// arrivals holds when requests for one service were sent, and when attempts beyond the first of a
// request reached its servers.
type arrivals struct {
	sent, repeats []time.Time
}

// service returns the service that requests with a path prefix are for.
func service(prefix string) string {
	if prefix == streamPrefix {
		return "pool"
	}
	return "desk"
}

// recordRequest records that a request is sent.
func (l *Ledger) recordRequest(prefix string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.arrivals[service(prefix)]
	if a == nil {
		a = &arrivals{}
		l.arrivals[service(prefix)] = a
	}
	a.sent = append(a.sent, time.Now())
}

// recordArrival records that an attempt at a request reaches a server.
func (l *Ledger) recordArrival(id, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[id]++; l.seen[id] > 1 && l.arrivals[service] != nil {
		l.arrivals[service].repeats = append(l.arrivals[service].repeats, time.Now())
	}
}

// RetriesOverBudget returns by how much the repeated attempts at any service exceed what is allowed in
// the worst window; 0 if they never do. The requests of the window, of the one before, or of the one
// that begins half a window earlier count, whichever are most.
func (l *Ledger) RetriesOverBudget() (over int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		for _, from := range a.repeats {
			n := within(a.repeats, from)
			q := max(within(a.sent, from), within(a.sent, from.Add(-retryWindow)), within(a.sent, from.Add(-retryWindow/2)))
			over = max(over, n-int(retryRatio*float64(q)+retryBurst))
		}
	}
	return over
}

// within counts the times, which are in order, in the window that begins at from.
func within(times []time.Time, from time.Time) int {
	first := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(at) })
	}
	return first(from.Add(retryWindow)) - first(from)
}
