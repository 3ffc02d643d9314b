package fleet

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// minTTL and maxTTL bound the TTL that a lease may request.
const (
	minTTL = time.Second
	maxTTL = 10 * time.Minute
)

// lease holds keys that are removed when it expires or is revoked.
type lease struct {
	ttl    time.Duration
	keys   map[string]bool
	expiry *time.Timer
}

// leases holds the leases of a Store, whose mutex guards them.
type leases struct {
	last int64
	live map[int64]*lease
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttlMs"`
}

// grantLease creates a lease.
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
	s.startLease(s.leases.last, ttl, map[string]bool{})
	answer(w, leaseBody{Lease: s.leases.last, TTLMs: ttl.Milliseconds()})
}

// startLease starts a lease that holds keys. The caller must hold s.mu.
func (s *Store) startLease(id int64, ttl time.Duration, keys map[string]bool) {
	l := &lease{ttl: ttl, keys: keys}
	l.expiry = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases.live[id] == l {
			s.endLease(id)
		}
	})
	s.leases.live[id] = l
}

// leaseOf returns the lease that a path names, or nil. The caller must hold s.mu.
func (s *Store) leaseOf(path, prefix string) (int64, *lease) {
	id, err := strconv.ParseInt(strings.TrimPrefix(path, prefix), 10, 64)
	if err != nil {
		return 0, nil
	}
	return id, s.leases.live[id]
}

// renewLease renews a lease.
func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, l := s.leaseOf(r.URL.Path, leaseKeepAlivePath)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry.Reset(l.ttl)
	answer(w, leaseBody{TTLMs: l.ttl.Milliseconds()})
}

// revokeLease ends a lease at the request of its holder.
func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l := s.leaseOf(r.URL.Path, leaseEndPath)
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiry.Stop()
	s.endLease(id)
	answer(w, struct{}{})
}

// endLease removes a lease and its keys. The caller must hold s.mu.
func (s *Store) endLease(id int64) {
	l := s.leases.live[id]
	if l == nil {
		return
	}
	delete(s.leases.live, id)
	for key := range l.keys {
		s.remove(key)
	}
	s.notifyWatchers()
}

// bindKey attaches a key to a lease and detaches it from all others. The caller must
// hold s.mu.
func (s *Store) bindKey(key string, id int64) {
	for _, l := range s.leases.live {
		delete(l.keys, key)
	}
	if l := s.leases.live[id]; l != nil {
		l.keys[key] = true
	}
}

// The paths of calls on one lease, without the lease ID.
const (
	leaseKeepAlivePath = "/kv-keep/"
	leaseEndPath       = "/kv-lease-end/"
)
