package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/configuration/store/wire"
)

// CompareAndSwap sets key to value if the key is still at version, with 0 for a
// key that must be absent, and returns the key's new version. With a lease
// other than 0 the store deletes the key when the lease ends. A different
// version is a *ConflictError with the current value.
func (c *Client) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease int64) (int64, error) {
	if len(value) > MaxValue {
		return 0, &TooLargeError{Key: key, Size: len(value), Limit: MaxValue}
	}
	if c.era.Outdates(lease) {
		return 0, &LeaseNotFoundError{ID: lease}
	}
	put := &wire.PutRequest{Key: []byte(key), Value: value, Lease: counter(lease)}
	return c.txn(ctx, call{op: opCompareAndSwap, key: key, lease: lease}, version, wire.RequestOp{Put: put})
}

// Delete deletes key if it is still at version. A different version is a
// *ConflictError; so is a key that is already absent, with Current.Version 0,
// unless version is 0 too.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	del := &wire.DeleteRangeRequest{Key: []byte(key)}
	_, err := c.txn(ctx, call{op: opDelete, key: key}, version, wire.RequestOp{DeleteRange: del})
	return err
}

// errRestored says that the service came back from an older copy during a write, so that the version
// or the lease may have been that of others.
var errRestored = errors.New("the store was restored during the call")

// txn runs op if the key is at version, and reads the key in the same
// transaction if it is not.
func (c *Client) txn(ctx context.Context, cl call, version int64, op wire.RequestOp) (int64, error) {
	if c.era.Outdates(version) {
		return 0, c.conflict(ctx, cl)
	}
	cl.path = wire.TxnPath
	key := []byte(cl.key)
	req := wire.TxnRequest{
		Compare: []wire.Compare{{
			Key: key, Target: wire.TargetMod, Result: wire.ResultEqual, ModRevision: counter(version),
		}},
		Success: []wire.RequestOp{op},
		Failure: []wire.RequestOp{{Range: &wire.RangeRequest{Key: key}}},
	}
	var resp wire.TxnResponse
	era, err := c.write(ctx, cl, req, &resp)
	switch {
	case err != nil:
		return 0, err
	case resp.Header.Revision <= 0:
		return 0, unknownOutcome(cl.op, errIncompleteResponse)
	case resp.Succeeded && !(inEra(version, era) && inEra(cl.lease, era)):
		return 0, unknownOutcome(cl.op, errRestored)
	case resp.Succeeded:
		return kv.NewRevision(era, int64(resp.Header.Revision))
	}
	if len(resp.Responses) != 1 || resp.Responses[0].Range == nil {
		return 0, unknownOutcome(cl.op, errIncompleteResponse)
	}
	current := KV{Key: cl.key}
	if kvs := resp.Responses[0].Range.KVs; len(kvs) > 0 {
		if current, err = fromWire(kvs[0], era); err != nil {
			return 0, err
		}
	}
	errorCount.Add("conflict", 1)
	return 0, &ConflictError{Key: cl.key, Current: current}
}

// conflict returns the *ConflictError of a key whose version is of an earlier era.
func (c *Client) conflict(ctx context.Context, cl call) error {
	current, err := c.Get(ctx, cl.key)
	if err != nil {
		return err
	}
	errorCount.Add("conflict", 1)
	return &ConflictError{Key: cl.key, Current: current}
}

// Grant requests a new lease of ttl, rounded up to full seconds. After an
// *UnknownError a lease without a holder may remain, which expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	seconds := (ttl + time.Second - 1) / time.Second
	var resp wire.Lease
	era, err := c.write(ctx, call{op: opGrant, path: wire.GrantPath}, wire.Lease{TTL: wire.Int64(seconds)}, &resp)
	if err != nil {
		return Lease{}, err
	}
	return leaseFromWire(resp, era)
}

// KeepAlive renews the lease once, for its full TTL. An expired lease is a
// *LeaseNotFoundError. After any other error the holder keeps its old deadline.
func (c *Client) KeepAlive(ctx context.Context, id int64) (Lease, error) {
	if c.era.Outdates(id) {
		return Lease{}, &LeaseNotFoundError{ID: id}
	}
	var resp wire.KeepAliveLine
	cl := call{op: opKeepAlive, path: wire.KeepAlivePath, lease: id}
	era, err := c.write(ctx, cl, wire.Lease{ID: counter(id)}, &resp)
	switch {
	case err != nil:
		return Lease{}, err
	case resp.Error != nil || resp.Result.ID != counter(id):
		return Lease{}, unknownOutcome(opKeepAlive, errIncompleteResponse)
	case resp.Result.TTL <= 0 || !inEra(id, era):
		return Lease{}, &LeaseNotFoundError{ID: id}
	}
	return leaseFromWire(resp.Result, era)
}

// Revoke ends the lease and deletes its keys. An expired lease is a
// *LeaseNotFoundError.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	if c.era.Outdates(id) {
		return &LeaseNotFoundError{ID: id}
	}
	var resp struct{}
	cl := call{op: opRevoke, path: wire.RevokePath, lease: id}
	_, err := c.write(ctx, cl, wire.Lease{ID: counter(id)}, &resp)
	return err
}

func leaseFromWire(l wire.Lease, era int64) (Lease, error) {
	id, err := kv.NewRevision(era, int64(l.ID))
	return Lease{ID: id, TTL: time.Duration(l.TTL) * time.Second}, err
}
