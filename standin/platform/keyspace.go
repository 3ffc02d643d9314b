package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"verbenashift/core/configuration/store/wire"
)

// maxEvents is the number of past changes of a key that a watch can still read.
const maxEvents = 256

// keyspace is the state of the store. Its mutex makes each call atomic.
type keyspace struct {
	mu        sync.Mutex
	revision  int64
	keys      map[string]*key
	leases    map[int64]*lease
	lastLease int64
	era       int64 // the number of restores
}

// key is the state and history of one key, present or not.
type key struct {
	present bool
	now     wire.KeyValue
	events  []wire.Event  // the last changes, for watches
	dropped int64         // revision of the last change that events lacks
	changed chan struct{} // closed at the next change
	history []Change
}

// Change is one change of a key, as the ledger reports it.
type Change struct {
	Version    int64 `json:"version"`
	UnixMillis int64 `json:"unix-millis"`
	// SHA256 is the digest of the value in hex; empty for a deletion.
	SHA256  string `json:"sha256,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newKeyspace() *keyspace {
	return &keyspace{revision: 1, keys: make(map[string]*key), leases: make(map[int64]*lease)}
}

// key returns the key with that name and creates it if it is new. The caller holds
// s.mu.
func (s *keyspace) key(name string) *key {
	k := s.keys[name]
	if k == nil {
		k = &key{changed: make(chan struct{})}
		s.keys[name] = k
	}
	return k
}

// modRevision returns the revision of a key's last change, or 0 if the key is
// absent, as a Compare expects it.
func (s *keyspace) modRevision(name []byte) wire.Int64 {
	if k := s.keys[string(name)]; k != nil && k.present {
		return k.now.ModRevision
	}
	return 0
}

func (s *keyspace) header() wire.Header { return wire.Header{Revision: wire.Int64(s.revision)} }

// record adds a change of k to its history and notifies watches.
func (k *key) record(ev wire.Event, lease wire.Int64) {
	change := Change{
		Version:    int64(ev.KV.ModRevision),
		UnixMillis: time.Now().UnixMilli(),
		Lease:      int64(lease),
		Deleted:    ev.Type == wire.TypeDelete,
	}
	if !change.Deleted {
		sum := sha256.Sum256(ev.KV.Value)
		change.SHA256 = hex.EncodeToString(sum[:])
	}
	k.history = append(k.history, change)
	k.events = append(k.events, ev)
	if len(k.events) > maxEvents {
		k.dropped = int64(k.events[0].KV.ModRevision)
		k.events = slices.Delete(k.events, 0, 1)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// put sets a key at the given revision.
func (s *keyspace) put(req *wire.PutRequest, revision int64) {
	name := string(req.Key)
	k := s.key(name)
	s.detach(name, k.now.Lease)
	if l := s.leases[int64(req.Lease)]; l != nil {
		l.keys[name] = true
	}
	k.present = true
	k.now = wire.KeyValue{Key: req.Key, Value: req.Value, ModRevision: wire.Int64(revision), Lease: req.Lease}
	k.record(wire.Event{KV: k.now}, req.Lease)
}

// remove removes a key at the given revision and reports whether it was present.
func (s *keyspace) remove(name string, revision int64) bool {
	k := s.keys[name]
	if k == nil || !k.present {
		return false
	}
	s.detach(name, k.now.Lease)
	last := k.now
	k.present, k.now = false, wire.KeyValue{}
	deleted := wire.KeyValue{Key: last.Key, ModRevision: wire.Int64(revision)}
	k.record(wire.Event{Type: wire.TypeDelete, KV: deleted}, last.Lease)
	return true
}

func (s *keyspace) detach(name string, id wire.Int64) {
	if l := s.leases[int64(id)]; l != nil {
		delete(l.keys, name)
	}
}

func (s *keyspace) rangeKeys(req wire.RangeRequest) (wire.RangeResponse, changedKeys, *callError) {
	if len(req.Key) == 0 {
		return wire.RangeResponse{}, nil, badRequest("key is not provided")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readRange(&req), nil, nil
}

func (s *keyspace) readRange(req *wire.RangeRequest) wire.RangeResponse {
	resp := wire.RangeResponse{Header: s.header()}
	from, end := string(req.Key), string(req.RangeEnd)
	for name, k := range s.keys {
		if k.present && (name == from || end != "" && name > from && (name < end || end == "\x00")) {
			resp.KVs = append(resp.KVs, k.now)
		}
	}
	slices.SortFunc(resp.KVs, func(a, b wire.KeyValue) int { return slices.Compare(a.Key, b.Key) })
	return resp
}

func (s *keyspace) putKey(req wire.PutRequest) (wire.PutResponse, changedKeys, *callError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkPut(&req); err != nil {
		return wire.PutResponse{}, nil, err
	}
	s.revision++
	s.put(&req, s.revision)
	return wire.PutResponse{Header: s.header()}, changedKeys{string(req.Key)}, nil
}

// checkPut returns an error for a put that the store does not accept.
func (s *keyspace) checkPut(req *wire.PutRequest) *callError {
	if len(req.Key) == 0 {
		return badRequest("key is not provided")
	}
	if len(req.Value) > wire.MaxValue {
		return badRequest("request is too large")
	}
	if req.Lease != 0 && s.leases[int64(req.Lease)] == nil {
		return leaseNotFound()
	}
	return nil
}

func (s *keyspace) txn(req wire.TxnRequest) (wire.TxnResponse, changedKeys, *callError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := wire.TxnResponse{Succeeded: true}
	for _, c := range req.Compare {
		if c.Target != wire.TargetMod || c.Result != wire.ResultEqual {
			return resp, nil, badRequest(fmt.Sprintf("compare %s %s is not supported", c.Target, c.Result))
		}
		resp.Succeeded = resp.Succeeded && s.modRevision(c.Key) == c.ModRevision
	}
	ops := req.Failure
	if resp.Succeeded {
		ops = req.Success
	}
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		if err := s.checkPut(op.Put); err != nil {
			return resp, nil, err
		}
	}
	var done changedKeys
	resp.Responses, done = s.run(ops)
	resp.Header = s.header()
	return resp, done, nil
}

// run executes the operations of a transaction. All its changes get the next
// revision.
func (s *keyspace) run(ops []wire.RequestOp) (resps []wire.ResponseOp, done changedKeys) {
	next := s.revision + 1
	for _, op := range ops {
		var resp wire.ResponseOp
		switch {
		case op.Range != nil:
			read := s.readRange(op.Range)
			resp.Range = &read
		case op.Put != nil:
			s.put(op.Put, next)
			done = append(done, string(op.Put.Key))
			resp.Put = &wire.PutResponse{}
		case op.DeleteRange != nil:
			resp.DeleteRange = &wire.DeleteRangeResponse{}
			if s.remove(string(op.DeleteRange.Key), next) {
				done = append(done, string(op.DeleteRange.Key))
				resp.DeleteRange.Deleted = 1
			}
		}
		resps = append(resps, resp)
	}
	if len(done) > 0 {
		s.revision = next
	}
	return resps, done
}

// histories returns the changes of each key.
func (s *keyspace) histories() map[string][]Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][]Change, len(s.keys))
	for name, k := range s.keys {
		if len(k.history) > 0 {
			all[name] = slices.Clone(k.history)
		}
	}
	return all
}
