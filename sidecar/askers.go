package main

import (
	"sync"
	"time"
)

// askerValid is for how long a gateway counts that has asked for a digest: it asks several
// times a second, and once or twice a second while it hears nothing of use.
const askerValid = 3 * time.Second

// maxAskers bounds the names that are kept, whoever sends them.
const maxAskers = 1024

// askers counts the gateways that ask an agent for digests. The zero value has none. It is
// safe for concurrent use.
type askers struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// ask records that a gateway has asked.
func (a *askers) ask(gateway string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen == nil {
		a.seen = map[string]time.Time{}
	}
	if len(a.seen) < maxAskers || !a.seen[gateway].IsZero() {
		a.seen[gateway] = now
	}
}

// count returns how many gateways have asked lately.
func (a *askers) count(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for gateway, at := range a.seen {
		if now.Sub(at) > askerValid {
			delete(a.seen, gateway)
		}
	}
	return len(a.seen)
}
