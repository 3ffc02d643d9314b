package main

import (
	"sync"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/quota"
)

// entryExpiry is how long an entry is listed after its last heartbeat.
const entryExpiry = time.Minute

// entries holds the entries that sent this agent a heartbeat recently, and the
// limits of the workspaces whose home it is. It is safe for concurrent use.
type entries struct {
	mu     sync.Mutex
	byName map[string]entryRecord
	quota  *quota.Home
	limits map[string]bool
}

// entryRecord is the state that an entry reported in its last heartbeat.
type entryRecord struct {
	state *wire.NodeState
	at    time.Time
}

func newEntries() *entries {
	return &entries{byName: make(map[string]entryRecord), quota: quota.NewHome(), limits: make(map[string]bool)}
}

// update applies the limits of a new configuration.
func (e *entries) update(x *config.Index) {
	e.mu.Lock()
	defer e.mu.Unlock()
	removed := e.limits
	e.limits = make(map[string]bool)
	for _, ws := range x.Config().Workspaces {
		e.setLimit(ws.Name, ws.TokensPerSecond, removed)
		e.setLimit(quota.RequestLimitKey(ws.Name), ws.RequestsPerSecond, removed)
	}
	for name := range removed {
		e.quota.Forget(name)
	}
}

func (e *entries) setLimit(name string, rate float64, removed map[string]bool) {
	if rate <= 0 {
		return
	}
	e.quota.SetLimit(name, quota.Limit{Rate: rate})
	e.limits[name] = true
	delete(removed, name)
}

// receive handles a heartbeat and returns the answer to its quota report.
func (e *entries) receive(m *wire.ExchangeRequest, now time.Time) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Kind == kindEntry {
		e.byName[m.From] = entryRecord{at: now, state: &wire.NodeState{
			Name: m.From, Zone: m.Zone, Revision: m.Revision, Draining: m.Draining, Incarnation: m.Incarnation,
		}}
	}
	if len(m.Quota) == 0 {
		return nil, nil
	}
	return e.quota.Merge(nil, m.Quota, now)
}

// kindEntry is the kind of entries in heartbeats.
const kindEntry = "entry"

// nodes lists the entries that sent a heartbeat within entryExpiry.
func (e *entries) nodes(now time.Time) []*wire.NodeState {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*wire.NodeState
	for _, r := range e.byName {
		s := &wire.NodeState{
			Name: r.state.Name, Zone: r.state.Zone, Revision: r.state.Revision,
			Draining: r.state.Draining, Incarnation: r.state.Incarnation,
			AgeMs: uint64(now.Sub(r.at).Milliseconds()),
		}
		list = append(list, s)
	}
	return list
}

// count returns the number of entries that sent a heartbeat within entryExpiry.
func (e *entries) count() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return uint32(len(e.byName))
}

// expire removes entries without a recent heartbeat, and updates the fraction of
// the fleet that is visible on this side of a network partition: each side has a
// home of its own for a limit, and both together must not grant the limit twice.
func (e *entries) expire(now time.Time, visible float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quota.SetVisibleFraction(visible)
	for name, r := range e.byName {
		if now.Sub(r.at) > entryExpiry {
			delete(e.byName, name)
		}
	}
}
