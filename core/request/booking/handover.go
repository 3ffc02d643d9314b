package booking

import "time"

// HomeExport is the register of a home that is shut down, for its next process.
type HomeExport struct {
	Name        string
	Incarnation uint64
	// Gap is how much longer the exporting home lacked records.
	Gap  time.Duration
	Keys []BookedKey
}

// BookedKey is a home's record of a key. Left is how long it still matters.
type BookedKey struct {
	Key                 Key
	Body                Digest
	RequestID           string
	Attempt             uint64
	Executor            string
	ExecutorIncarnation uint64
	MovedAt             uint64
	// Inherited says that the exporting home did not grant the attempt itself.
	Inherited bool
	Left      time.Duration
}

// Export closes the home and returns its register. Claims are answered
// Rebuilding from then on: a grant after the export would be in neither.
func (h *Home) Export(now time.Duration) HomeExport {
	h.forget(now)
	h.exported = true
	out := HomeExport{Name: h.Name, Incarnation: h.Incarnation, Gap: h.gapLeft(now)}
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

func (h *Home) gapLeft(now time.Duration) time.Duration {
	if h.rebuilding(now) {
		return h.Limits.Window()
	}
	if !h.gap(now) {
		return 0
	}
	left := h.rebuild.lost - now
	for _, until := range h.rebuild.gaps {
		left = max(left, until-now)
	}
	if len(h.rebuild.pending) > 0 {
		left = max(left, h.rebuild.since+h.Limits.Window()-now)
	}
	return left
}

// Import takes the register of the process before. Call it before Rebuild;
// the rebuild then checks that no process came in between.
func (h *Home) Import(x HomeExport, now time.Duration) {
	if x.Name != h.Name || x.Incarnation >= h.Incarnation {
		return
	}
	h.rebuild.imported = x.Incarnation
	h.rebuild.lost = now + x.Gap
	for _, k := range x.Keys {
		r := booked{
			body: k.Body, requestID: k.RequestID, attempt: k.Attempt,
			incarnation: k.ExecutorIncarnation, movedAt: k.MovedAt, inherited: k.Inherited,
		}
		if k.Executor != "" {
			r.executor = h.index(k.Executor)
		}
		h.keep(k.Key, r, now+k.Left)
	}
}

// ExecutorExport is the register of an executor that is shut down.
type ExecutorExport struct {
	Name        string
	Incarnation uint64
	// Earlier are the incarnations whose registers this one includes.
	Earlier []uint64
	// Age is how long the register goes back; see SealAnswer.
	Age    time.Duration
	Floors []Seal
	Keys   []ExecutedKey
}

// ExecutedKey is an executor's record of a key. Left is how long it still
// matters.
type ExecutedKey struct {
	SealedKey
	Home string
	Left time.Duration
}

// Drain refuses new keys from now on; what is queued and running goes on.
func (e *Executor) Drain() { e.draining = true }

// Export drains the executor and returns its register. Call it when the last
// run has ended or the drain's time is up: keys that still run are exported as
// Cut, since their answers end with this process, and queued ones as Sealed,
// since Start refuses them from now on.
func (e *Executor) Export(now time.Duration) ExecutorExport {
	e.forget(now)
	e.draining = true
	out := ExecutorExport{Name: e.Name, Incarnation: e.Incarnation, Age: e.memory(now)}
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
			e.keep(key, r, Sealed, now+e.Limits.Window())
			k.State, k.Left = Sealed, e.Limits.Window()
		case Running:
			k.State, k.Left = AnswerLost, e.Limits.Window()
		}
		out.Keys = append(out.Keys, k)
	}
	return out
}

// Import takes the register of the process before, so that this one answers
// for both. Call it before the first Accept. Ended keys are taken as Cut: the
// answers are gone, that they ran is not.
func (e *Executor) Import(x ExecutorExport, now time.Duration) {
	if x.Name != e.Name || x.Incarnation >= e.Incarnation {
		return
	}
	e.age = Forever
	if x.Age != Forever {
		e.age = x.Age - now
	}
	e.earlier = map[uint64]bool{x.Incarnation: true}
	for _, incarnation := range x.Earlier {
		e.earlier[incarnation] = true
	}
	for _, floor := range x.Floors {
		e.raise(floor.Home, floor.Incarnation)
	}
	for _, k := range x.Keys {
		r := run{body: k.Body, requestID: k.RequestID, attempt: k.Attempt, home: e.index(k.Home)}
		state := k.State
		if state != Sealed {
			state = AnswerLost
		}
		e.keep(k.Key, r, state, now+k.Left)
	}
}
