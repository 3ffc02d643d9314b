package fleet

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// eraHeader is the header of all answers that counts how often the store was restored.
const eraHeader = "Store-Era"

// Copy is a copy of the data of a Store.
type Copy struct {
	revision, oldest, lastLease int64

	items   map[string]item
	history []item
	leases  map[int64]leaseCopy
}

// leaseCopy is a lease in a Copy.
type leaseCopy struct {
	ttl  time.Duration
	keys map[string]bool
}

// Copy returns a copy of the data as it is now.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		revision: s.revision, oldest: s.oldest, lastLease: s.leases.last,
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: map[int64]leaseCopy{},
	}
	for id, l := range s.leases.live {
		c.leases[id] = leaseCopy{l.ttl, maps.Clone(l.keys)}
	}
	return c
}

// Restore replaces the data by a copy and begins a new era. Revisions and leases are given out
// again from those of the copy on, and calls in progress are cut.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(c)
}

// restore does the same. The caller must hold s.mu.
func (s *Store) restore(c *Copy) {
	for _, l := range s.leases.live {
		l.expiry.Stop()
	}
	s.era++
	s.reads = 0
	s.revision, s.oldest = c.revision, c.oldest
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.leases = leases{last: c.lastLease, live: map[int64]*lease{}}
	for id, l := range c.leases {
		s.startLease(id, l.ttl, maps.Clone(l.keys))
	}
	s.notifyWatchers()
}

// RestoreAfterWrite restores a copy as soon as the next transaction is applied, before its answer,
// which is lost.
func (s *Store) RestoreAfterWrite(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterWrite = func() { s.restore(c) }
}

// callAfterWrite runs what waits for the end of a transaction. The caller must hold s.mu.
func (s *Store) callAfterWrite() {
	if fn := s.afterWrite; fn != nil {
		s.afterWrite = nil
		fn()
	}
}

// Rewrite makes the operator and the servers write again what they had written and the store has
// lost since.
func (s *Store) Rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if _, ok := s.external[key]; !ok && isExternal(key) {
			s.remove(key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.external)) {
		if s.items[key].Value != s.external[key] {
			s.put(key, s.external[key])
		}
	}
	s.notifyWatchers()
}

// isExternal reports whether the operator or the servers write a key.
func isExternal(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// Era returns how often the store was restored.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Reads returns how many pages of items were read since the last restore.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// restoredSince reports whether the store was restored since the call began. The caller must hold
// s.mu.
func (s *Store) restoredSince(w http.ResponseWriter) bool {
	return w.Header().Get(eraHeader) != strconv.FormatInt(s.era, 10)
}
