package steering

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/store"
	"verbenashift/core/membership/lease"
)

// dutyRecord is the value of a duty's key.
type dutyRecord struct {
	// Owner is the agent's name and incarnation.
	Owner string `json:"owner"`
	// Lease is the store's lease that the key hangs on.
	Lease int64 `json:"lease"`
}

// LeaseStore makes the calls of a lease.Holder on the platform's store. The
// fence is the version at which the key was created; the key is never changed,
// and goes with its lease.
type LeaseStore struct {
	store *store.Client

	mu     sync.Mutex
	leases map[uint64]int64 // by fence
}

// NewLeaseStore returns what keeps leases in a store.
func NewLeaseStore(s *store.Client) *LeaseStore {
	return &LeaseStore{store: s, leases: make(map[uint64]int64)}
}

// Call makes one call. What the store may or may not have done is Lost.
func (d *LeaseStore) Call(ctx context.Context, c lease.Call) lease.Answer {
	switch c.Kind {
	case lease.Acquire:
		return d.acquire(ctx, c)
	case lease.Renew:
		return d.renew(ctx, c)
	case lease.Release:
		return d.release(ctx, c)
	default:
		return d.read(ctx, c)
	}
}

// read looks who holds the duty.
func (d *LeaseStore) read(ctx context.Context, c lease.Call) lease.Answer {
	kv, err := d.store.Get(ctx, c.Role)
	if err != nil {
		return lease.Answer{Lost: true}
	}
	return d.holder(kv)
}

func (d *LeaseStore) holder(kv store.KV) lease.Answer {
	var r dutyRecord
	if kv.Version == 0 {
		return lease.Answer{}
	}
	if json.Unmarshal(kv.Value, &r) != nil {
		return lease.Answer{Owner: "unreadable", Fence: uint64(kv.Version)}
	}
	d.remember(uint64(kv.Version), r.Lease)
	return lease.Answer{Owner: r.Owner, Fence: uint64(kv.Version)}
}

func (d *LeaseStore) remember(fence uint64, id int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.leases)
	d.leases[fence] = id
}

func (d *LeaseStore) lease(fence uint64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leases[fence]
}

// acquire looks first, because a read is cheaper than a lease for nothing.
func (d *LeaseStore) acquire(ctx context.Context, c lease.Call) lease.Answer {
	if a := d.read(ctx, c); a.Lost || a.Owner != "" {
		return a
	}
	l, err := d.store.Grant(ctx, c.TTL)
	if err != nil {
		return lease.Answer{Lost: true}
	}
	value, err := json.Marshal(dutyRecord{Owner: c.Owner, Lease: l.ID})
	if err != nil {
		return lease.Answer{Lost: true}
	}
	version, err := d.store.CompareAndSwap(ctx, c.Role, 0, value, l.ID)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		_ = d.store.Revoke(ctx, l.ID)
		return d.holder(conflict.Current)
	case err != nil:
		return lease.Answer{Lost: true}
	}
	d.remember(uint64(version), l.ID)
	return lease.Answer{Done: true, Owner: c.Owner, Fence: uint64(version)}
}

// renew extends the lease on which the key hangs, which lives as long as it.
func (d *LeaseStore) renew(ctx context.Context, c lease.Call) lease.Answer {
	_, err := d.store.KeepAlive(ctx, d.lease(c.Fence))
	var gone *store.LeaseNotFoundError
	switch {
	case errors.As(err, &gone):
		return lease.Answer{}
	case err != nil:
		return lease.Answer{Lost: true}
	}
	return lease.Answer{Done: true, Owner: c.Owner, Fence: c.Fence}
}

func (d *LeaseStore) release(ctx context.Context, c lease.Call) lease.Answer {
	err := d.store.Revoke(ctx, d.lease(c.Fence))
	var gone *store.LeaseNotFoundError
	if err != nil && !errors.As(err, &gone) {
		return lease.Answer{Lost: true}
	}
	return lease.Answer{}
}
