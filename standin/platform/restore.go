package platform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"verbenashift/core/configuration/store/wire"
)

// dataCopy is a copy of the data of the store.
type dataCopy struct {
	revision, lastLease int64

	keys   map[string]key
	leases map[int64]leaseCopy
}

// leaseCopy is a lease in a dataCopy.
type leaseCopy struct {
	ttl  time.Duration
	keys map[string]bool
}

// copyData returns a copy of the data as it is now.
func (s *keyspace) copyData() *dataCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &dataCopy{revision: s.revision, lastLease: s.lastLease, keys: map[string]key{}, leases: map[int64]leaseCopy{}}
	for name, k := range s.keys {
		c.keys[name] = key{present: k.present, now: k.now, events: slices.Clone(k.events), dropped: k.dropped}
	}
	for id, l := range s.leases {
		c.leases[id] = leaseCopy{l.ttl, maps.Clone(l.keys)}
	}
	return c
}

// restore replaces the data by a copy and begins a new era. Revisions and leases are given out again
// from those of the copy on; the ledger keeps all changes.
func (s *keyspace) restore(c *dataCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era++
	s.revision, s.lastLease, s.leases = c.revision, c.lastLease, map[int64]*lease{}
	for name, k := range s.keys {
		old := c.keys[name]
		k.present, k.now, k.events, k.dropped = old.present, old.now, slices.Clone(old.events), old.dropped
	}
	for id, l := range c.leases {
		s.startLease(id, l.ttl, maps.Clone(l.keys))
	}
}

// startLease starts a lease that holds keys. The caller holds s.mu.
func (s *keyspace) startLease(id int64, ttl time.Duration, keys map[string]bool) {
	l := &lease{ttl: ttl, keys: keys, deadline: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id, l) })
	s.leases[id] = l
}

// serveCopy makes the copy that the next restore brings back.
func (p *Platform) serveCopy(w http.ResponseWriter, _ *http.Request) {
	c := p.keys.copyData()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.older = c
	w.WriteHeader(http.StatusNoContent)
}

// serveRestore brings the last copy back and drops all connections to the store.
func (p *Platform) serveRestore(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.older == nil {
		writeError(w, badRequest("there is no copy"))
		return
	}
	p.injector.restore(func() { p.keys.restore(p.older) })
	w.WriteHeader(http.StatusNoContent)
}

// restore drops all calls in progress and runs fn while there are none.
func (g *faultInjector) restore(fn func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.faults.Down {
		close(g.down)
		g.down = make(chan struct{})
	}
	fn()
}

// stateEra sets the header that states the era, before a call takes effect.
func (p *Platform) stateEra(w http.ResponseWriter) {
	p.keys.mu.Lock()
	defer p.keys.mu.Unlock()
	w.Header().Set(wire.EraHeader, strconv.FormatInt(p.keys.era, 10))
}
