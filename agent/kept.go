package main

import (
	"sync"
	"time"

	"verbenashift/core/peer/wire"
)

// kept holds registers of agents that restart, until they are no longer of
// use. It is safe for use by several goroutines.
type kept struct {
	life time.Duration

	mu    sync.Mutex
	items map[string]keptItem
}

type keptItem struct {
	msg   *wire.HandoverRequest
	until time.Time
}

func newKept(life time.Duration) *kept {
	return &kept{life: life, items: make(map[string]keptItem)}
}

// put keeps m; an older incarnation never replaces a newer one.
func (k *kept) put(m *wire.HandoverRequest, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if old, ok := k.items[m.From]; ok && old.msg.Incarnation >= m.Incarnation {
		return
	}
	k.items[m.From] = keptItem{msg: m, until: now.Add(k.life)}
}

func (k *kept) get(from string) (*wire.HandoverRequest, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	item, ok := k.items[from]
	return item.msg, ok
}

// sweep forgets what is too old to be of use.
func (k *kept) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for from, item := range k.items {
		if now.After(item.until) {
			delete(k.items, from)
		}
	}
}
