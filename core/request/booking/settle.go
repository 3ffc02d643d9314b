package booking

import "time"

// Query asks an executor about an earlier attempt of a key, for a second try.
type Query struct {
	// Grant is the attempt that the home named with Held.
	Grant Grant
	// Incarnation is the executor process that the attempt was granted for.
	Incarnation uint64
	// Body is the asking request's own.
	Body Digest
}

// ResolutionKind is what an executor knows of an earlier attempt.
type ResolutionKind int

// The answers to a query.
const (
	// Known says that RequestID holds the key here, in State.
	Known ResolutionKind = iota + 1
	// NeverRan says that the attempt did not run and will be refused.
	NeverRan
	// RecordLost says that the process which was asked about is gone with its
	// memory: the attempt may have run.
	RecordLost
	// Undecided says that the register is full, so that the attempt can't be
	// sealed now: it may still run.
	Undecided
	// OtherBody says that the key is held for a request with another body.
	OtherBody
)

// Resolution is an executor's answer to a query.
type Resolution struct {
	Kind      ResolutionKind
	RequestID string
	State     RunState
	Proof     Proof
}

// Resolve answers what became of an attempt. If it never came, it is sealed
// first: a submission that was only late is refused from then on, so that the
// home may grant the key again.
func (e *Executor) Resolve(q Query, now time.Duration) Resolution {
	e.forget(now)
	r, ok := e.runs.records[q.Grant.Key]
	if ok && r.state != Sealed && r.body != q.Body {
		return Resolution{Kind: OtherBody}
	}
	if ok && r.state != Sealed {
		return Resolution{Kind: Known, RequestID: r.requestID, State: r.state}
	}
	// An earlier process may have run the key and crashed; only its register,
	// if it was handed over, can say that it did not.
	if q.Incarnation != e.Incarnation && !e.earlier[q.Incarnation] {
		return Resolution{Kind: RecordLost}
	}
	// Some places stay in reserve for seals: a full register must still be
	// able to settle the keys that it refused.
	limit := e.Limits.withDefaults().MaxKeys
	if !ok && len(e.runs.records) >= limit+limit/8 {
		return Resolution{Kind: Undecided}
	}
	r.attempt = max(r.attempt, q.Grant.Attempt)
	r.home = e.index(q.Grant.Home)
	e.keep(q.Grant.Key, r, Sealed, now+e.Limits.Window())
	proof := Proof{Key: q.Grant.Key, Attempt: q.Grant.Attempt, Executor: e.Name, Incarnation: q.Incarnation}
	return Resolution{Kind: NeverRan, Proof: proof}
}

// Seal asks an executor to refuse a home's grants below an incarnation and to
// list the keys it holds by them.
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
	// HighestHomeIncarnation is the home's highest incarnation before this seal. If it is above
	// the sealing one, the seal had no effect and the home is superseded.
	HighestHomeIncarnation uint64
	// Age is how long the executor has remembered keys without a hole; Forever
	// if there was no process of its name before.
	Age  time.Duration
	Keys []SealedKey
}

// SealHome refuses the home's grants below the incarnation from now on and
// lists what the executor holds for that home.
func (e *Executor) SealHome(s Seal, now time.Duration) SealAnswer {
	e.forget(now)
	answer := SealAnswer{Incarnation: e.Incarnation, HighestHomeIncarnation: e.floors[s.Home], Age: e.memory(now)}
	if answer.HighestHomeIncarnation > s.Incarnation {
		return answer
	}
	e.raise(s.Home, s.Incarnation)
	home := e.index(s.Home)
	for key, r := range e.runs.records {
		if r.home == home {
			answer.Keys = append(answer.Keys, SealedKey{key, r.body, r.requestID, r.attempt, r.state})
		}
	}
	return answer
}

func (e *Executor) memory(now time.Duration) time.Duration {
	if e.First || e.age == Forever {
		return Forever
	}
	return now + e.age
}
