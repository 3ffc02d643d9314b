package fleet

import (
	"net/http"
	"sync"
	"time"
)

// leaving is a server that says in its answers that it leaves, and goes on serving. The store
// is not told. The zero value stays.
type leaving struct {
	mu sync.Mutex
	on bool
	// told is when each gateway was told first, arrivals what came from it since then.
	told     map[string]time.Time
	arrivals map[string][]time.Time
}

// arrive counts a request of a gateway, and says in its answer that the server leaves.
func (l *leaving) arrive(front string, h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.on {
		return
	}
	h.Set("Server-Leaving", "1")
	now := time.Now()
	if l.told[front].IsZero() {
		l.told[front] = now
		return
	}
	l.arrivals[front] = append(l.arrivals[front], now)
}

// late returns how many requests came later than a grace after their gateway was told, and
// how many gateways were.
func (l *leaving) late(grace time.Duration) (late, told int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for front, arrivals := range l.arrivals {
		for _, at := range arrivals {
			if at.Sub(l.told[front]) > grace {
				late++
			}
		}
	}
	return late, len(l.told)
}

func (l *leaving) set() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on, l.told, l.arrivals = true, map[string]time.Time{}, map[string][]time.Time{}
}

func (l *leaving) unset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = false
}

// AnnounceLeaving has a plain server say from now on that it leaves.
func (f *Fleet) AnnounceLeaving(plain int) { f.plains[plain].leaving.set() }

// CancelLeaving has no server say any more that it leaves.
func (f *Fleet) CancelLeaving() {
	for _, p := range f.plains {
		p.leaving.unset()
	}
	for _, m := range f.models {
		m.leaving.unset()
	}
}

// Restart ends a plain server and starts it again under its ID.
func (f *Fleet) Restart(plain int) { f.plains[plain].crash() }

// AnnounceRankLeaving has a model server say so.
func (f *Fleet) AnnounceRankLeaving(rank int) { f.models[rank].leaving.set() }

// LateArrivals returns how many requests reached a plain server later than a grace after it had told
// their gateway that it leaves, and how many gateways it has told.
func (f *Fleet) LateArrivals(plain int, grace time.Duration) (late, told int) {
	return f.plains[plain].leaving.late(grace)
}

// LateRankArrivals is the same for a model server.
func (f *Fleet) LateRankArrivals(rank int, grace time.Duration) (late, told int) {
	return f.models[rank].leaving.late(grace)
}
