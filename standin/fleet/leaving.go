package fleet

import (
	"net/http"
	"sync"
	"time"
)

// leaving makes a server announce in its answers that it is leaving, while it
// continues to serve. Its entry in the store stays unchanged. The zero value announces
// nothing.
type leaving struct {
	mu sync.Mutex
	on bool
	// announced is when each gateway first got the announcement, arrivals the later
	// requests of that gateway.
	announced map[string]time.Time
	arrivals  map[string][]time.Time
}

// record counts a request of a gateway, and adds the announcement to its answer if the
// server is leaving.
func (l *leaving) record(front string, h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.on {
		return
	}
	h.Set("Server-Leaving", "1")
	now := time.Now()
	if l.announced[front].IsZero() {
		l.announced[front] = now
		return
	}
	l.arrivals[front] = append(l.arrivals[front], now)
}

// late returns how many requests arrived more than grace after their gateway got the
// announcement, and how many gateways got it.
func (l *leaving) late(grace time.Duration) (late, announced int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for front, arrivals := range l.arrivals {
		for _, at := range arrivals {
			if at.Sub(l.announced[front]) > grace {
				late++
			}
		}
	}
	return late, len(l.announced)
}

func (l *leaving) set() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on, l.announced, l.arrivals = true, map[string]time.Time{}, map[string][]time.Time{}
}

func (l *leaving) unset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = false
}

// AnnounceLeaving makes a plain server announce from now on that it is leaving.
func (f *Fleet) AnnounceLeaving(plain int) { f.plains[plain].leaving.set() }

// CancelLeaving makes all servers stop announcing that they are leaving.
func (f *Fleet) CancelLeaving() {
	for _, p := range f.plains {
		p.leaving.unset()
	}
	for _, m := range f.models {
		m.leaving.unset()
	}
}

// Restart stops a plain server and starts it again under the same ID.
func (f *Fleet) Restart(plain int) { f.plains[plain].crash() }

// AnnounceRankLeaving makes a model server announce from now on that it is leaving.
func (f *Fleet) AnnounceRankLeaving(rank int) { f.models[rank].leaving.set() }

// LateArrivals returns how many requests reached a plain server more than grace after
// their gateway got the announcement that it is leaving, and how many gateways got it.
func (f *Fleet) LateArrivals(plain int, grace time.Duration) (late, announced int) {
	return f.plains[plain].leaving.late(grace)
}

// LateRankArrivals is LateArrivals for a model server.
func (f *Fleet) LateRankArrivals(rank int, grace time.Duration) (late, announced int) {
	return f.models[rank].leaving.late(grace)
}
