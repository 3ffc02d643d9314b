package booking

import (
	"slices"
	"time"
)

// Transfer requests the record of a key from a previous home.
type Transfer struct {
	Key Key
	// Revision is the configuration revision on which the requesting home acts.
	Revision uint64
}

// TransferKind is the answer of a previous home.
type TransferKind int

// The answers to a transfer.
const (
	// TransferNone means that no attempt is known and that none will be granted.
	TransferNone TransferKind = iota + 1
	// TransferRecord means that the answer contains the record.
	TransferRecord
	// TransferWait means that the request must be repeated later: the home is rebuilding, is
	// shutting down, or acts on a newer list.
	TransferWait
	// TransferUnknown means that records may be missing. The adapter also reports it for a
	// home that it cannot reach.
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

// Transfer seals a key at this home and returns its record. From then on claims of the key are
// answered with Moved up to the requesting home's revision, so that a home which has not yet
// received the change cannot grant the key beside the new one. The record stays, so that a lost
// answer can be requested again.
func (h *Home) Transfer(t Transfer, now time.Duration) TransferAnswer {
	h.expireRecords(now)
	if h.exported || h.rebuild.superseded || h.rebuilding(now) || t.Revision < h.current.Revision {
		return TransferAnswer{Kind: TransferWait}
	}
	r, ok := h.keys.records[t.Key]
	if (!ok || r.inheritedFree()) && h.gap(now) {
		return TransferAnswer{Kind: TransferUnknown}
	}
	if !ok && len(h.keys.records) >= h.Limits.withDefaults().MaxKeys {
		return TransferAnswer{Kind: TransferWait}
	}
	r.movedAt = max(r.movedAt, t.Revision)
	if !ok {
		h.store(t.Key, r, now+h.Limits.Window())
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

// Transferred processes a previous home's answer. The key is not granted here until all sources
// have answered with TransferNone or TransferRecord.
func (h *Home) Transferred(key Key, from string, a TransferAnswer, now time.Duration) {
	if a.Kind != TransferNone && a.Kind != TransferRecord {
		return
	}
	if h.answered == nil {
		h.answered = make(map[Key][]string)
	}
	if len(h.answered) < h.Limits.withDefaults().MaxKeys && !slices.Contains(h.answered[key], from) {
		h.answered[key] = append(h.answered[key], from)
	}
	r, ok := h.keys.records[key]
	// A late answer must not replace a later grant of this home.
	if ok && !r.inherited && r.movedAt == 0 {
		return
	}
	if a.Kind == TransferNone {
		return
	}
	next := grantRecord{body: a.Body, requestID: a.RequestID, attempt: a.Attempt, incarnation: a.ExecutorIncarnation, inherited: true}
	if a.Executor != "" {
		next.executor = h.index(a.Executor)
	}
	h.inherit(key, next, now)
}

// inherit merges another process's record of a key with what is known here. A held attempt
// takes precedence over a free one whatever their numbers: numbering restarts once a key was
// forgotten, so that an old seal can have a higher number than a running attempt. If the held
// attempt is stale, its executor reports that. Of two held attempts the later one takes
// precedence, and the highest number is kept, so that the next attempt is above every seal.
func (h *Home) inherit(key Key, next grantRecord, now time.Duration) {
	r := h.keys.records[key]
	highest := max(r.attempt, next.attempt)
	if r.executor != 0 && (next.executor == 0 || r.attempt >= next.attempt) {
		next = r
	}
	next.attempt, next.movedAt = highest, r.movedAt
	h.store(key, next, now+h.Limits.Window())
}

// sources returns the previous homes that still have to transfer a key. A key that returned to
// this home counts as held here once all of them have answered.
func (h *Home) sources(key Key, now time.Duration) []string {
	var from []string
	answered := h.answered[key]
	for _, g := range slices.Backward(h.previous) {
		name := HomeOf(key, g.Names)
		if g.until <= now || name == h.Name || slices.Contains(answered, name) || slices.Contains(from, name) {
			continue
		}
		from = append(from, name)
	}
	return from
}
