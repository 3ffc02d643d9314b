package main

import (
	"sync"
	"time"

	"verbenashift/core/experts/rankpeer"
)

const (
	// askerValid is for how long a gateway counts that has asked for a digest: it asks
	// several times a second, and once or twice a second while it hears nothing of use.
	askerValid = 3 * time.Second
	// eventValid is for how long a gateway's word on the store counts.
	eventValid = 1500 * time.Millisecond
	// maxAskers bounds the names that are kept, whoever sends them.
	maxAskers = 1024
)

// askers is what an agent knows of the gateways that ask it for digests, and what they say
// of the store. The zero value has none. It is safe for concurrent use.
type askers struct {
	mu   sync.Mutex
	seen map[string]time.Time
	// event is the newest change of the store that a gateway has told, at eventAt; gap the
	// longest pause that callers are to see, or 0.
	event   int64
	eventAt time.Time
	gap     time.Duration
}

// ask records that a gateway has asked.
func (a *askers) ask(ask *rankpeer.Request, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen == nil {
		a.seen = map[string]time.Time{}
	}
	if len(a.seen) < maxAskers || !a.seen[ask.Gateway].IsZero() {
		a.seen[ask.Gateway] = now
	}
	if ask.Event > 0 && (ask.Event >= a.event || now.Sub(a.eventAt) > eventValid) {
		a.event, a.eventAt = ask.Event, now
	}
	if ask.Gap > 0 {
		a.gap = ask.Gap
	}
}

// count returns how many gateways have asked lately.
func (a *askers) count(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	return len(a.seen)
}

// forget drops the gateways that ask no more. It is called with the lock held.
func (a *askers) forget(now time.Time) {
	for gateway, at := range a.seen {
		if now.Sub(at) > askerValid {
			delete(a.seen, gateway)
		}
	}
}

// newest returns the newest change of the store that was told lately, or 0.
func (a *askers) newest(now time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.eventAt) > eventValid {
		return 0
	}
	return a.event
}

// pause returns the longest pause that callers are to see as gateways tell it, or 0.
func (a *askers) pause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gap
}

// first reports whether a gateway is one of the n first by name among those that ask here.
func (a *askers) first(gateway string, n int, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	for other := range a.seen {
		if other < gateway {
			n--
		}
	}
	return n > 0
}
