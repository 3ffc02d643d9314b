package booking

import "time"

// rebuild is the state of a home that started without records.
type rebuild struct {
	started bool
	since   time.Duration
	// pending are the executors that have not answered.
	pending map[string]struct{}
	// gapEnds holds, for each executor whose records do not go back far enough, when its
	// missing keys are no longer needed.
	gapEnds map[string]time.Duration
	// importedGapEnd is when the gap of the exporting process ends.
	importedGapEnd time.Duration
	superseded     bool
	// imported is the incarnation whose register was imported; highestIncarnation is the
	// highest that an executor has reported.
	imported           uint64
	highestIncarnation uint64
	answered           bool
}

// Rebuild starts the rebuild and returns the executors to seal with Seal{Name, Incarnation}.
// Report each answer with SealAnswered. Call Rebuild once, after Configure and, if there is a
// register to import, after Import. The first process of a name has nothing to rebuild.
func (h *Home) Rebuild(now time.Duration) []string {
	h.rebuild.started, h.rebuild.since = true, now
	h.rebuild.pending = make(map[string]struct{})
	if h.rebuild.gapEnds == nil {
		h.rebuild.gapEnds = make(map[string]time.Duration)
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

// mayExecute reports whether a name can have run this home's keys: any other name can, and the
// home itself only in a list of one.
func (h *Home) mayExecute(name string, names []string) bool {
	return name != h.Name || len(names) == 1
}

// SealAnswered processes an executor's answer to the seal. Answers may be late or duplicated.
func (h *Home) SealAnswered(executor string, a SealAnswer, now time.Duration) {
	if a.HighestHomeIncarnation > h.Incarnation {
		h.rebuild.superseded = true
		return
	}
	h.rebuild.highestIncarnation = max(h.rebuild.highestIncarnation, a.HighestHomeIncarnation)
	h.rebuild.answered = true
	for _, k := range a.Keys {
		h.merge(executor, a.Incarnation, k, now)
	}
	if _, ok := h.rebuild.pending[executor]; !ok {
		return
	}
	delete(h.rebuild.pending, executor)
	if window := h.Limits.Window(); a.Age < window {
		h.rebuild.gapEnds[executor] = now + window - a.Age
	}
}

// merge adds a key that an executor listed.
func (h *Home) merge(executor string, incarnation uint64, k SealedKey, now time.Duration) {
	// A late answer must not replace a later grant of this home, or a proof about an older
	// attempt would free the key while the granted one runs.
	if r, ok := h.keys.records[k.Key]; ok && !r.inherited && r.movedAt == 0 {
		return
	}
	next := grantRecord{body: k.Body, attempt: k.Attempt, inherited: true}
	if k.State != Sealed {
		next.requestID, next.incarnation, next.executor = k.RequestID, incarnation, h.index(executor)
	}
	h.inherit(k.Key, next, now)
}

// rebuilding reports whether claims must wait for answers of the executors.
func (h *Home) rebuilding(now time.Duration) bool {
	if h.First {
		return false
	}
	if !h.rebuild.started {
		return true
	}
	return len(h.rebuild.pending) > 0 && now-h.rebuild.since < h.Limits.withDefaults().RebuildTimeout
}

// RecordsMissing reports whether records may be missing, so that new keys are answered with
// Unknown.
func (h *Home) RecordsMissing(now time.Duration) bool { return h.gap(now) }

func (h *Home) gap(now time.Duration) bool {
	if h.First {
		return false
	}
	if now < h.rebuild.importedGapEnd {
		return true
	}
	if h.coveredByImport() {
		return false
	}
	if len(h.rebuild.pending) > 0 && now-h.rebuild.since < h.Limits.Window() {
		return true
	}
	for name, until := range h.rebuild.gapEnds {
		if now < until {
			return true
		}
		delete(h.rebuild.gapEnds, name)
	}
	return false
}

// coveredByImport reports whether an imported register replaces the missing records. It does so
// only if no process ran between the exporting one and this one: such a process seals every
// executor before its first grant, so that the executors would know its incarnation.
func (h *Home) coveredByImport() bool {
	if h.rebuild.imported == 0 || h.rebuild.highestIncarnation > h.rebuild.imported {
		return false
	}
	return h.rebuild.answered
}
