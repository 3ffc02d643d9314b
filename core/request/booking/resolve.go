package booking

import "time"

// Query asks an executor about an earlier attempt of a key, on behalf of a later one.
type Query struct {
	// Grant is the attempt that the home returned with Held.
	Grant Grant
	// Incarnation is the executor process that the attempt was granted for.
	Incarnation uint64
	// Body is the body of the querying request.
	Body Digest
}

// ResolutionKind is what an executor knows of an earlier attempt.
type ResolutionKind int

// The answers to a query.
const (
	// Known means that RequestID holds the key here, in State.
	Known ResolutionKind = iota + 1
	// NeverRan means that the attempt did not run and will be refused.
	NeverRan
	// RecordLost means that the queried process has ended and its records are lost: the
	// attempt may have run.
	RecordLost
	// Undecided means that the register is full, so that the attempt cannot be sealed now: it
	// may still run.
	Undecided
	// OtherBody means that the key is held for a request with another body.
	OtherBody
)

// Resolution is an executor's answer to a query.
type Resolution struct {
	Kind      ResolutionKind
	RequestID string
	State     RunState
	Proof     Proof
}

// Resolve returns what became of an attempt. An attempt that was not received is sealed first:
// a submission that is only late is refused from then on, so that the home may grant the key
// again.
func (e *Executor) Resolve(q Query, now time.Duration) Resolution {
	e.expireRecords(now)
	r, ok := e.runs.records[q.Grant.Key]
	if ok && r.state != Sealed && r.body != q.Body {
		return Resolution{Kind: OtherBody}
	}
	if ok && r.state != Sealed {
		return Resolution{Kind: Known, RequestID: r.requestID, State: r.state}
	}
	// An earlier process may have run the key and crashed; only its register, if it was handed
	// over, can prove that it did not.
	if q.Incarnation != e.Incarnation && !e.earlier[q.Incarnation] {
		return Resolution{Kind: RecordLost}
	}
	// Some capacity is reserved for seals: a full register must still be able to resolve the
	// keys that it refused.
	limit := e.Limits.withDefaults().MaxKeys
	if !ok && len(e.runs.records) >= limit+limit/8 {
		return Resolution{Kind: Undecided}
	}
	r.attempt = max(r.attempt, q.Grant.Attempt)
	r.home = e.index(q.Grant.Home)
	e.store(q.Grant.Key, r, Sealed, now+e.Limits.Window())
	proof := Proof{Key: q.Grant.Key, Attempt: q.Grant.Attempt, Executor: e.Name, Incarnation: q.Incarnation}
	return Resolution{Kind: NeverRan, Proof: proof}
}

// Seal makes an executor refuse grants of a home below an incarnation and list the keys that it
// holds by such grants.
type Seal struct {
	Home        string
	Incarnation uint64
}

// SealedKey is a key that an executor holds by a grant of the sealing home.
type SealedKey struct {
	Key       Key
	Body      Digest
	RequestID string
	Attempt   uint64
	State     RunState
}

// SealAnswer is an executor's answer to a seal.
type SealAnswer struct {
	// Incarnation is the executor's own.
	Incarnation uint64
	// HighestHomeIncarnation is the home's highest incarnation known before this seal. If it
	// is above the sealing one, the seal had no effect and the home is superseded.
	HighestHomeIncarnation uint64
	// Age is how far back the records of the executor go without a gap; it is Forever if there
	// was no earlier process of its name.
	Age  time.Duration
	Keys []SealedKey
}

// SealHome refuses the home's grants below the incarnation from now on and lists the keys that
// the executor holds for that home.
func (e *Executor) SealHome(s Seal, now time.Duration) SealAnswer {
	e.expireRecords(now)
	answer := SealAnswer{Incarnation: e.Incarnation, HighestHomeIncarnation: e.floors[s.Home], Age: e.memoryAge(now)}
	if answer.HighestHomeIncarnation > s.Incarnation {
		return answer
	}
	e.raiseFloor(s.Home, s.Incarnation)
	home := e.index(s.Home)
	for key, r := range e.runs.records {
		if r.home == home {
			answer.Keys = append(answer.Keys, SealedKey{key, r.body, r.requestID, r.attempt, r.state})
		}
	}
	return answer
}

func (e *Executor) memoryAge(now time.Duration) time.Duration {
	if e.First || e.ageAtStart == Forever {
		return Forever
	}
	return now + e.ageAtStart
}
