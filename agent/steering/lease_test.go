package steering

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/store"
	"verbenashift/core/configuration/store/wire"
	"verbenashift/core/membership/lease"
)

// oneKey is a store with one key and the calls that a LeaseStore makes. The mutex
// is needed because calls on two connections are handled by two goroutines that
// nothing else orders: an aborted answer closes its connection without a write.
type oneKey struct {
	mu       sync.Mutex
	value    []byte
	revision wire.Int64
	created  wire.Int64
	lease    wire.Int64
	grants   wire.Int64
	// lose drops the answer to the next write of the key.
	lose  bool
	calls map[string]int
	// era is how often the store was restored.
	era int
}

func (k *oneKey) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls[r.URL.Path]++
	w.Header().Set(wire.EraHeader, strconv.Itoa(k.era))
	var answer any
	switch r.URL.Path {
	case wire.RangePath:
		answer = wire.RangeResponse{Header: wire.Header{Revision: k.revision}, KVs: k.read()}
	case wire.GrantPath:
		k.grants++
		answer = wire.Lease{ID: k.grants, TTL: 10}
	case wire.KeepAlivePath:
		var l wire.Lease
		_ = json.NewDecoder(r.Body).Decode(&l)
		answer = wire.KeepAliveLine{Result: wire.Lease{ID: l.ID, TTL: k.left(l.ID)}}
	case wire.RevokePath:
		k.value = nil
		answer = struct{}{}
	case wire.TxnPath:
		answer = k.txn(r)
		if k.lose {
			k.lose = false
			panic(http.ErrAbortHandler)
		}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (k *oneKey) read() []wire.KeyValue {
	if k.value == nil {
		return nil
	}
	return []wire.KeyValue{{Key: []byte("duty"), Value: k.value, ModRevision: k.created}}
}

func (k *oneKey) left(id wire.Int64) wire.Int64 {
	if k.value != nil && id == k.lease {
		return 10
	}
	return 0
}

func (k *oneKey) txn(r *http.Request) wire.TxnResponse {
	var req wire.TxnRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	if k.value != nil {
		failed := wire.RangeResponse{KVs: k.read()}
		return wire.TxnResponse{Header: wire.Header{Revision: k.revision}, Responses: []wire.ResponseOp{{Range: &failed}}}
	}
	k.revision++
	k.value, k.created, k.lease = req.Success[0].Put.Value, k.revision, req.Success[0].Put.Lease
	return wire.TxnResponse{Header: wire.Header{Revision: k.revision}, Succeeded: true}
}

func newDuty(t *testing.T) (*oneKey, *LeaseStore) {
	t.Helper()
	k := &oneKey{revision: 6, calls: make(map[string]int)}
	s := httptest.NewServer(k)
	t.Cleanup(s.Close)
	return k, NewLeaseStore(store.New(store.Config{Addresses: []string{s.URL}}))
}

func dutyCall(kind lease.CallKind, owner string, fence uint64) lease.Call {
	return lease.Call{Kind: kind, Role: "duty", Owner: owner, Fence: fence, TTL: 10 * time.Second}
}

func TestLeaseStore(t *testing.T) {
	is := is.New(t)
	k, d := newDuty(t)
	is.Equal(d.Call(t.Context(), dutyCall(lease.Acquire, "a/1", 0)), lease.Answer{Done: true, Owner: "a/1", Fence: 7})
	is.Equal(d.Call(t.Context(), dutyCall(lease.Renew, "a/1", 7)), lease.Answer{Done: true, Owner: "a/1", Fence: 7})
	// Another agent tries to acquire the role, which costs the store one read.
	is.Equal(NewLeaseStore(d.store).Call(t.Context(), dutyCall(lease.Acquire, "b/1", 0)), lease.Answer{Owner: "a/1", Fence: 7})
	is.Equal(k.calls[wire.GrantPath], 1)
	is.Equal(d.Call(t.Context(), dutyCall(lease.Release, "a/1", 7)), lease.Answer{})
	is.Equal(d.Call(t.Context(), dutyCall(lease.Renew, "a/1", 7)), lease.Answer{}) // the lease has been revoked
	is.Equal(d.Call(t.Context(), dutyCall(lease.Acquire, "b/1", 0)).Fence, uint64(8))
}

// The store's answer to an acquisition is lost after the write took effect. The
// group has no coordinator until the lease expires unless the agent finds its own
// record, and then it must renew the store's lease named in this record.
func TestLostAcquisitionIsFound(t *testing.T) {
	is := is.New(t)
	k, d := newDuty(t)
	k.lose = true
	is.True(d.Call(t.Context(), dutyCall(lease.Acquire, "a/1", 0)).Lost)
	is.Equal(d.Call(t.Context(), dutyCall(lease.Read, "a/1", 0)), lease.Answer{Owner: "a/1", Fence: 7})
	is.True(d.Call(t.Context(), dutyCall(lease.Renew, "a/1", 7)).Done)
}

// Guards against a coordinator whose token is lower than that of an earlier one, and against one that
// renews the lease of another, after the store was restored from an older copy.
func TestLeaseOfARestoredStore(t *testing.T) {
	is := is.New(t)
	k, d := newDuty(t)
	first := d.Call(t.Context(), dutyCall(lease.Acquire, "a/1", 0))
	is.True(first.Done)
	k.era++
	k.value, k.revision = nil, 2 // The copy is from before.
	other := NewLeaseStore(d.store)
	second := other.Call(t.Context(), dutyCall(lease.Acquire, "b/1", 0))
	is.True(second.Done)
	is.True(second.Fence > first.Fence)
	is.Equal(d.Call(t.Context(), dutyCall(lease.Renew, "a/1", first.Fence)), lease.Answer{})

	k.era++ // The copy is from now.
	is.Equal(other.Call(t.Context(), dutyCall(lease.Renew, "b/1", second.Fence)), lease.Answer{})
	found := other.Call(t.Context(), dutyCall(lease.Acquire, "b/1", 0))
	is.Equal(found.Owner, "b/1")
	is.True(found.Fence > second.Fence)
	is.True(other.Call(t.Context(), dutyCall(lease.Renew, "b/1", found.Fence)).Done)
}
