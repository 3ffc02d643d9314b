package booking

import "time"

// HomeExport is the register of a home that shuts down, for its next process.
type HomeExport struct {
	Name        string
	Incarnation uint64
	// Gap is for how much longer the exporting home may lack records.
	Gap  time.Duration
	Keys []BookedKey
}

// BookedKey is a home's record of a key. Left is how long it is still needed.
type BookedKey struct {
	Key                 Key
	Body                Digest
	RequestID           string
	Attempt             uint64
	Executor            string
	ExecutorIncarnation uint64
	MovedAt             uint64
	// Inherited means that the exporting home did not grant the attempt itself.
	Inherited bool
	Left      time.Duration
}

// Export closes the home and returns its register. Claims are answered with Rebuilding from
// then on: a grant after the export would be missing from it.
func (h *Home) Export(now time.Duration) HomeExport {
	h.expireRecords(now)
	h.exported = true
	out := HomeExport{Name: h.Name, Incarnation: h.Incarnation, Gap: h.gapRemaining(now)}
	for key, r := range h.keys.records {
		k := BookedKey{
			Key: key, Body: r.body, RequestID: r.requestID, Attempt: r.attempt,
			ExecutorIncarnation: r.incarnation, MovedAt: r.movedAt, Inherited: r.inherited, Left: r.until - now,
		}
		if r.executor != 0 {
			k.Executor = h.names[r.executor-1]
		}
		out.Keys = append(out.Keys, k)
	}
	return out
}

func (h *Home) gapRemaining(now time.Duration) time.Duration {
	if h.rebuilding(now) {
		return h.Limits.Window()
	}
	if !h.gap(now) {
		return 0
	}
	left := h.rebuild.importedGapEnd - now
	for _, until := range h.rebuild.gapEnds {
		left = max(left, until-now)
	}
	if len(h.rebuild.pending) > 0 {
		left = max(left, h.rebuild.since+h.Limits.Window()-now)
	}
	return left
}

// Import loads the register of the previous process. Call it before Rebuild, which then checks
// that no other process ran in between.
func (h *Home) Import(x HomeExport, now time.Duration) {
	if x.Name != h.Name || x.Incarnation >= h.Incarnation {
		return
	}
	h.rebuild.imported = x.Incarnation
	h.rebuild.importedGapEnd = now + x.Gap
	for _, k := range x.Keys {
		r := grantRecord{
			body: k.Body, requestID: k.RequestID, attempt: k.Attempt,
			incarnation: k.ExecutorIncarnation, movedAt: k.MovedAt, inherited: k.Inherited,
		}
		if k.Executor != "" {
			r.executor = h.index(k.Executor)
		}
		h.store(k.Key, r, now+k.Left)
	}
}

// ExecutorExport is the register of an executor that shuts down.
type ExecutorExport struct {
	Name        string
	Incarnation uint64
	// Earlier are the incarnations whose registers are included in this one.
	Earlier []uint64
	// Age is how far the register goes back; see SealAnswer.
	Age    time.Duration
	Floors []Seal
	Keys   []ExecutedKey
}

// ExecutedKey is an executor's record of a key. Left is how long it is still needed.
type ExecutedKey struct {
	SealedKey
	Home string
	Left time.Duration
}

// Drain refuses new keys from now on; queued and running keys continue.
func (e *Executor) Drain() { e.draining = true }

// Export drains the executor and returns its register. Call it when the last run has ended or
// the drain has timed out: keys that are still running are exported as AnswerLost, since their
// answers end with this process, and queued ones as Sealed, since Start refuses them from now
// on.
func (e *Executor) Export(now time.Duration) ExecutorExport {
	e.expireRecords(now)
	e.draining = true
	out := ExecutorExport{Name: e.Name, Incarnation: e.Incarnation, Age: e.memoryAge(now)}
	for incarnation := range e.earlier {
		out.Earlier = append(out.Earlier, incarnation)
	}
	for home, incarnation := range e.floors {
		out.Floors = append(out.Floors, Seal{home, incarnation})
	}
	for key, r := range e.runs.records {
		k := ExecutedKey{SealedKey{key, r.body, r.requestID, r.attempt, r.state}, e.names[r.home], r.until - now}
		switch r.state {
		case Queued:
			e.store(key, r, Sealed, now+e.Limits.Window())
			k.State, k.Left = Sealed, e.Limits.Window()
		case Running:
			k.State, k.Left = AnswerLost, e.Limits.Window()
		}
		out.Keys = append(out.Keys, k)
	}
	return out
}

// Import loads the register of the previous process, so that this one can answer for both. Call
// it before the first Accept. Ended keys are imported as AnswerLost: it is known that they ran,
// but their answers are lost.
func (e *Executor) Import(x ExecutorExport, now time.Duration) {
	if x.Name != e.Name || x.Incarnation >= e.Incarnation {
		return
	}
	e.ageAtStart = Forever
	if x.Age != Forever {
		e.ageAtStart = x.Age - now
	}
	e.earlier = map[uint64]bool{x.Incarnation: true}
	for _, incarnation := range x.Earlier {
		e.earlier[incarnation] = true
	}
	for _, floor := range x.Floors {
		e.raiseFloor(floor.Home, floor.Incarnation)
	}
	for _, k := range x.Keys {
		r := runRecord{body: k.Body, requestID: k.RequestID, attempt: k.Attempt, home: e.index(k.Home)}
		state := k.State
		if state != Sealed {
			state = AnswerLost
		}
		e.store(k.Key, r, state, now+k.Left)
	}
}
