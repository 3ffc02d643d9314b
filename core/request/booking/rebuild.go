package booking

import "time"

// rebuild is the state of a home that started with an empty memory.
type rebuild struct {
	started bool
	since   time.Duration
	// pending are the executors that have not answered.
	pending map[string]struct{}
	// gaps give, for each executor with a young memory, when the keys that it
	// has forgotten no longer matter.
	gaps map[string]time.Duration
	// lost is when the gap that the exporting process had closes.
	lost       time.Duration
	superseded bool
	// imported is the incarnation whose register was handed over; heard is the
	// highest that an executor has heard of.
	imported uint64
	heard    uint64
	answered bool
}

// Rebuild starts the rebuild and returns the executors to seal with Seal{Name,
// Incarnation}; report each answer with SealAnswered. Call it once, after
// Configure and after Import if there is a register to import. A first process
// of its name has nothing to rebuild.
func (h *Home) Rebuild(now time.Duration) []string {
	h.rebuild.started, h.rebuild.since = true, now
	h.rebuild.pending = make(map[string]struct{})
	if h.rebuild.gaps == nil {
		h.rebuild.gaps = make(map[string]time.Duration)
	}
	if h.First {
		return nil
	}
	var names []string
	for _, g := range append([]pastGeneration{{Generation: h.current}}, h.previous...) {
		for _, name := range g.executors() {
			if _, ok := h.rebuild.pending[name]; !ok && h.mayExecute(name, g.executors()) {
				h.rebuild.pending[name] = struct{}{}
				names = append(names, name)
			}
		}
	}
	return names
}

// mayExecute reports whether a name can have run this home's keys: any other,
// and the home itself only in a list of one.
func (h *Home) mayExecute(name string, names []string) bool {
	return name != h.Name || len(names) == 1
}

// SealAnswered takes an executor's answer to the seal. Answers may come late
// and twice.
func (h *Home) SealAnswered(executor string, a SealAnswer, now time.Duration) {
	if a.HighestHomeIncarnation > h.Incarnation {
		h.rebuild.superseded = true
		return
	}
	h.rebuild.heard = max(h.rebuild.heard, a.HighestHomeIncarnation)
	h.rebuild.answered = true
	for _, k := range a.Keys {
		h.merge(executor, a.Incarnation, k, now)
	}
	if _, ok := h.rebuild.pending[executor]; !ok {
		return
	}
	delete(h.rebuild.pending, executor)
	if window := h.Limits.Window(); a.Age < window {
		h.rebuild.gaps[executor] = now + window - a.Age
	}
}

// merge takes a listed key.
func (h *Home) merge(executor string, incarnation uint64, k SealedKey, now time.Duration) {
	// A late answer must not replace what this home granted since, or a proof
	// about an older attempt would set the key free beside it.
	if r, ok := h.keys.records[k.Key]; ok && !r.inherited && r.movedAt == 0 {
		return
	}
	next := booked{body: k.Body, attempt: k.Attempt, inherited: true}
	if k.State != Sealed {
		next.requestID, next.incarnation, next.executor = k.RequestID, incarnation, h.index(executor)
	}
	h.inherit(k.Key, next, now)
}

// rebuilding reports whether claims must wait for the executors.
func (h *Home) rebuilding(now time.Duration) bool {
	if h.First {
		return false
	}
	if !h.rebuild.started {
		return true
	}
	return len(h.rebuild.pending) > 0 && now-h.rebuild.since < h.Limits.withDefaults().RebuildTimeout
}

// RecordsMissing reports whether records may be missing, so that new keys are answered
// Unknown.
func (h *Home) RecordsMissing(now time.Duration) bool { return h.gap(now) }

func (h *Home) gap(now time.Duration) bool {
	if h.First {
		return false
	}
	if now < h.rebuild.lost {
		return true
	}
	if h.covered() {
		return false
	}
	if len(h.rebuild.pending) > 0 && now-h.rebuild.since < h.Limits.Window() {
		return true
	}
	for name, until := range h.rebuild.gaps {
		if now < until {
			return true
		}
		delete(h.rebuild.gaps, name)
	}
	return false
}

// covered reports whether an imported register replaces the missing records.
// It does only if no process came between the exporting one and this: such a
// process seals every executor before its first grant, so that they would have
// heard of it.
func (h *Home) covered() bool {
	if h.rebuild.imported == 0 || h.rebuild.heard > h.rebuild.imported {
		return false
	}
	return h.rebuild.answered
}
