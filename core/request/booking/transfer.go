package booking

import (
	"slices"
	"time"
)

// Transfer asks a previous home of a key for its record.
type Transfer struct {
	Key Key
	// Revision is the configuration under which the asking home acts.
	Revision uint64
}

// TransferKind is a previous home's answer.
type TransferKind int

// The answers to a transfer.
const (
	// TransferNone says that no attempt is known and none will be granted.
	TransferNone TransferKind = iota + 1
	// TransferRecord hands the record over.
	TransferRecord
	// TransferWait says: ask again, the home rebuilds or knows a newer list.
	TransferWait
	// TransferUnknown says that records may be missing. The adapter also
	// reports it for a home that it can't reach.
	TransferUnknown
)

// TransferAnswer is a previous home's answer to a transfer.
type TransferAnswer struct {
	Kind                TransferKind
	Body                Digest
	RequestID           string
	Attempt             uint64
	Executor            string
	ExecutorIncarnation uint64
}

// Transfer seals a key at this home and returns its record. From then on
// claims of the key are answered Moved under the asking home's revision, so
// that a home which has not heard of the change can't grant beside the new
// one. The record stays, so that a lost answer can be asked for again.
func (h *Home) Transfer(t Transfer, now time.Duration) TransferAnswer {
	h.forget(now)
	if h.exported || h.rebuild.superseded || h.rebuilding(now) || t.Revision < h.current.Revision {
		return TransferAnswer{Kind: TransferWait}
	}
	r, ok := h.keys.records[t.Key]
	if (!ok || r.hearsay()) && h.gap(now) {
		return TransferAnswer{Kind: TransferUnknown}
	}
	if !ok && len(h.keys.records) >= h.Limits.withDefaults().MaxKeys {
		return TransferAnswer{Kind: TransferWait}
	}
	r.movedAt = max(r.movedAt, t.Revision)
	if !ok {
		h.keep(t.Key, r, now+h.Limits.Window())
	} else {
		h.keys.records[t.Key] = r
	}
	if r.attempt == 0 {
		return TransferAnswer{Kind: TransferNone}
	}
	answer := TransferAnswer{Kind: TransferRecord, Body: r.body, RequestID: r.requestID, Attempt: r.attempt}
	if r.executor != 0 {
		answer.Executor, answer.ExecutorIncarnation = h.names[r.executor-1], r.incarnation
	}
	return answer
}

// Transferred takes a previous home's answer. Until all sources have answered
// TransferNone or TransferRecord the key is not granted here.
func (h *Home) Transferred(key Key, from string, a TransferAnswer, now time.Duration) {
	if a.Kind != TransferNone && a.Kind != TransferRecord {
		return
	}
	if h.asked == nil {
		h.asked = make(map[Key][]string)
	}
	if len(h.asked) < h.Limits.withDefaults().MaxKeys && !slices.Contains(h.asked[key], from) {
		h.asked[key] = append(h.asked[key], from)
	}
	r, ok := h.keys.records[key]
	// A late answer must not replace what this home granted since.
	if ok && !r.inherited && r.movedAt == 0 {
		return
	}
	if a.Kind == TransferNone {
		return
	}
	next := booked{body: a.Body, requestID: a.RequestID, attempt: a.Attempt, incarnation: a.ExecutorIncarnation, inherited: true}
	if a.Executor != "" {
		next.executor = h.index(a.Executor)
	}
	h.inherit(key, next, now)
}

// inherit takes another process's record of a key beside what is known here.
// A held attempt wins over a free one whatever their numbers: the numbers start
// again once a key was forgotten, so that a seal of long ago can carry a higher
// one than an attempt that runs. That the held one is stale is for its executor
// to say. Of two held ones the later wins, and the highest number is kept, so
// that the next attempt is above every seal.
func (h *Home) inherit(key Key, next booked, now time.Duration) {
	r := h.keys.records[key]
	highest := max(r.attempt, next.attempt)
	if r.executor != 0 && (next.executor == 0 || r.attempt >= next.attempt) {
		next = r
	}
	next.attempt, next.movedAt = highest, r.movedAt
	h.keep(key, next, now+h.Limits.Window())
}

// sources returns the previous homes that still have to hand over a key. A
// key that came back to this home counts as here once all have answered.
func (h *Home) sources(key Key, now time.Duration) []string {
	var from []string
	asked := h.asked[key]
	for _, g := range slices.Backward(h.previous) {
		name := HomeOf(key, g.Names)
		if g.until <= now || name == h.Name || slices.Contains(asked, name) || slices.Contains(from, name) {
			continue
		}
		from = append(from, name)
	}
	return from
}
