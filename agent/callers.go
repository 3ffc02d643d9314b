package main

import (
	"sync"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/quota"
)

// entryLife is how long an entry counts after its last heartbeat.
const entryLife = time.Minute

// entries holds the entries that this agent has heard of lately, and the
// limits of the workspaces whose home it is. It is safe for use by several
// goroutines.
type entries struct {
	mu     sync.Mutex
	heard  map[string]heardEntry
	quota  *quota.Home
	limits map[string]bool
}

// heardEntry is an entry as it told of itself.
type heardEntry struct {
	state *wire.NodeState
	at    time.Time
}

func newEntries() *entries {
	return &entries{heard: make(map[string]heardEntry), quota: quota.NewHome(), limits: make(map[string]bool)}
}

// update takes the limits of a new configuration.
func (e *entries) update(x *config.Index) {
	e.mu.Lock()
	defer e.mu.Unlock()
	gone := e.limits
	e.limits = make(map[string]bool)
	for _, ws := range x.Config().Workspaces {
		e.limit(ws.Name, ws.TokensPerSecond, gone)
		e.limit(quota.RequestLimitKey(ws.Name), ws.RequestsPerSecond, gone)
	}
	for name := range gone {
		e.quota.Forget(name)
	}
}

func (e *entries) limit(name string, rate float64, gone map[string]bool) {
	if rate <= 0 {
		return
	}
	e.quota.SetLimit(name, quota.Limit{Rate: rate})
	e.limits[name] = true
	delete(gone, name)
}

// hear takes a heartbeat of an entry and answers its quota report.
func (e *entries) hear(m *wire.ExchangeRequest, now time.Time) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Kind == kindEntry {
		e.heard[m.From] = heardEntry{at: now, state: &wire.NodeState{
			Name: m.From, Zone: m.Zone, Revision: m.Revision, Draining: m.Draining, Incarnation: m.Incarnation,
		}}
	}
	if len(m.Quota) == 0 {
		return nil, nil
	}
	return e.quota.Merge(nil, m.Quota, now)
}

// kindEntry is how entries name themselves in heartbeats.
const kindEntry = "entry"

// nodes lists the entries heard within entryLife.
func (e *entries) nodes(now time.Time) []*wire.NodeState {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*wire.NodeState
	for _, h := range e.heard {
		s := &wire.NodeState{
			Name: h.state.Name, Zone: h.state.Zone, Revision: h.state.Revision,
			Draining: h.state.Draining, Incarnation: h.state.Incarnation,
			AgeMs: uint64(now.Sub(h.at).Milliseconds()),
		}
		list = append(list, s)
	}
	return list
}

// count returns how many entries were heard within entryLife.
func (e *entries) count() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return uint32(len(e.heard))
}

// sweep forgets entries that have not been heard for long, and tells the limits
// which part of the fleet this side of a partition can see: each side has a
// home of its own, and both together must not give out a limit twice.
func (e *entries) sweep(now time.Time, visible float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quota.SetVisibleFraction(visible)
	for name, h := range e.heard {
		if now.Sub(h.at) > entryLife {
			delete(e.heard, name)
		}
	}
}
