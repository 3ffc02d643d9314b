package fleet

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// minTTL and maxTTL bound the time that a lease may ask for.
const (
	minTTL = time.Second
	maxTTL = 10 * time.Minute
)

// lease holds keys that are removed when it ends.
type lease struct {
	ttl  time.Duration
	keys map[string]bool
	ends *time.Timer
}

// leases are those of a Store, whose lock guards them.
type leases struct {
	last int64
	live map[int64]*lease
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttlMs"`
}

// grantLease begins a lease.
func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(body.TTLMs)*time.Millisecond, minTTL), maxTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.last++
	id := s.leases.last
	l := &lease{ttl: ttl, keys: map[string]bool{}}
	l.ends = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})
	s.leases.live[id] = l
	answer(w, leaseBody{Lease: id, TTLMs: ttl.Milliseconds()})
}

// leaseOf returns the lease that a path names, or nil. It is called with the lock held.
func (s *Store) leaseOf(path, prefix string) (int64, *lease) {
	id, err := strconv.ParseInt(strings.TrimPrefix(path, prefix), 10, 64)
	if err != nil {
		return 0, nil
	}
	return id, s.leases.live[id]
}

// keepLease renews a lease.
func (s *Store) keepLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.leaseOf(r.URL.Path, keepPath)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends.Reset(l.ttl)
	answer(w, leaseBody{TTLMs: l.ttl.Milliseconds()})
}

// dropLease ends a lease at its holder's wish.
func (s *Store) dropLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.leaseOf(r.URL.Path, endPath)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends.Stop()
	s.endLease(id)
	answer(w, struct{}{})
}

// endLease removes a lease and its keys. It is called with the lock held.
func (s *Store) endLease(id int64) {
	l := s.leases.live[id]
	if l == nil {
		return
	}
	delete(s.leases.live, id)
	for key := range l.keys {
		s.remove(key)
	}
	s.wake()
}

// tie binds a key to a lease and frees it from the others. It is called with the lock held.
func (s *Store) tie(key string, id int64) {
	for _, l := range s.leases.live {
		delete(l.keys, key)
	}
	if l := s.leases.live[id]; l != nil {
		l.keys[key] = true
	}
}

// The paths of calls on one lease, without its number.
const (
	keepPath = "/kv-keep/"
	endPath  = "/kv-lease-end/"
)
