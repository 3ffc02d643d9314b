package steering

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/configuration/store"
	"verbenashift/core/membership/lease"
)

// leaseRecord is the value of a role's key in the store.
type leaseRecord struct {
	// Owner is the agent's name and incarnation.
	Owner string `json:"owner"`
	// Lease is the store's lease to which the key is attached.
	Lease int64 `json:"lease"`
}

// LeaseStore makes the calls of a lease.Holder to the platform's store. The
// fencing token is the version at which the key was created; the key is never
// updated, and is deleted with its lease.
type LeaseStore struct {
	store *store.Client

	mu     sync.Mutex
	leases map[uint64]int64 // by fencing token
}

// NewLeaseStore returns a LeaseStore that keeps its leases in s.
func NewLeaseStore(s *store.Client) *LeaseStore {
	return &LeaseStore{store: s, leases: make(map[uint64]int64)}
}

// Call makes one call. If it is unknown whether the call took effect, the
// answer is Lost.
func (s *LeaseStore) Call(ctx context.Context, c lease.Call) lease.Answer {
	switch c.Kind {
	case lease.Acquire:
		return s.acquire(ctx, c)
	case lease.Renew:
		return s.renew(ctx, c)
	case lease.Release:
		return s.release(ctx, c)
	default:
		return s.read(ctx, c)
	}
}

// read returns the holder of the role.
func (s *LeaseStore) read(ctx context.Context, c lease.Call) lease.Answer {
	it, err := s.store.Get(ctx, c.Role)
	if err != nil {
		return lease.Answer{Lost: true}
	}
	return s.holder(it)
}

func (s *LeaseStore) holder(it store.KV) lease.Answer {
	var r leaseRecord
	if it.Version == 0 {
		return lease.Answer{}
	}
	if json.Unmarshal(it.Value, &r) != nil {
		return lease.Answer{Owner: "unreadable", Fence: uint64(it.Version)}
	}
	s.remember(uint64(it.Version), leaseOf(r, it))
	return lease.Answer{Owner: r.Owner, Fence: uint64(it.Version)}
}

// leaseOf returns the lease of a record in the era of the store: in a store that was restored, a key
// from before is attached to the copy of its lease.
func leaseOf(r leaseRecord, it store.KV) int64 {
	id, err := kv.NewRevision(it.Era, kv.Counter(r.Lease))
	if err != nil {
		return r.Lease
	}
	return id
}

func (s *LeaseStore) remember(fence uint64, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.leases)
	s.leases[fence] = id
}

func (s *LeaseStore) lease(fence uint64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases[fence]
}

// acquire reads the key first, because a read is cheaper than a lease that is
// granted and revoked for nothing.
func (s *LeaseStore) acquire(ctx context.Context, c lease.Call) lease.Answer {
	if a := s.read(ctx, c); a.Lost || a.Owner != "" {
		return a
	}
	l, err := s.store.Grant(ctx, c.TTL)
	if err != nil {
		return lease.Answer{Lost: true}
	}
	value, err := json.Marshal(leaseRecord{Owner: c.Owner, Lease: l.ID})
	if err != nil {
		return lease.Answer{Lost: true}
	}
	version, err := s.store.CompareAndSwap(ctx, c.Role, 0, value, l.ID)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		_ = s.store.Revoke(ctx, l.ID)
		return s.holder(conflict.Current)
	case err != nil:
		return lease.Answer{Lost: true}
	}
	s.remember(uint64(version), l.ID)
	return lease.Answer{Done: true, Owner: c.Owner, Fence: uint64(version)}
}

// renew extends the store's lease to which the key is attached; the key expires
// with that lease.
func (s *LeaseStore) renew(ctx context.Context, c lease.Call) lease.Answer {
	_, err := s.store.KeepAlive(ctx, s.lease(c.Fence))
	var notFound *store.LeaseNotFoundError
	switch {
	case errors.As(err, &notFound):
		return lease.Answer{}
	case err != nil:
		return lease.Answer{Lost: true}
	}
	return lease.Answer{Done: true, Owner: c.Owner, Fence: c.Fence}
}

func (s *LeaseStore) release(ctx context.Context, c lease.Call) lease.Answer {
	err := s.store.Revoke(ctx, s.lease(c.Fence))
	var notFound *store.LeaseNotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return lease.Answer{Lost: true}
	}
	return lease.Answer{}
}
