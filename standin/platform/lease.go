package platform

import (
	"slices"
	"time"

	"verbenashift/core/configuration/store/wire"
)

// lease holds its keys until its deadline, which renewals extend. Its time also
// runs during an outage, when nobody can renew it.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]bool
}

func (s *keyspace) grant(req wire.Lease) (wire.Lease, changedKeys, *callError) {
	if req.TTL <= 0 {
		return wire.Lease{}, nil, badRequest("lease TTL must be positive")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(req.ID)
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	if s.leases[id] != nil {
		return wire.Lease{}, nil, badRequest("lease already exists")
	}
	s.lastLease = max(s.lastLease, id)
	s.startLease(id, time.Duration(req.TTL)*time.Second, make(map[string]bool))
	return wire.Lease{ID: wire.Int64(id), TTL: req.TTL}, nil, nil
}

// expire ends a lease whose deadline has passed. A renewal may have come after the
// timer fired and before the lock was taken: then the deadline is in the future
// and the lease stays.
func (s *keyspace) expire(id int64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != l || time.Now().Before(l.deadline) {
		return
	}
	s.end(id, l)
}

// end removes a lease and all its keys, at one revision.
func (s *keyspace) end(id int64, l *lease) changedKeys {
	l.timer.Stop()
	delete(s.leases, id)
	names := make(changedKeys, 0, len(l.keys))
	for name := range l.keys {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) > 0 {
		s.revision++
	}
	for _, name := range names {
		s.remove(name, s.revision)
	}
	return names
}

// keepAlive returns TTL 0 for a lease that does not exist, as the protocol says.
func (s *keyspace) keepAlive(req wire.Lease) (wire.KeepAliveLine, changedKeys, *callError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := wire.KeepAliveLine{Result: wire.Lease{ID: req.ID}}
	l := s.leases[int64(req.ID)]
	if l == nil {
		return resp, nil, nil
	}
	l.deadline = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	resp.Result.TTL = wire.Int64(l.ttl / time.Second)
	return resp, nil, nil
}

func (s *keyspace) revoke(req wire.Lease) (struct{}, changedKeys, *callError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[int64(req.ID)]
	if l == nil {
		return struct{}{}, nil, leaseNotFound()
	}
	return struct{}{}, s.end(int64(req.ID), l), nil
}

func (s *keyspace) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
