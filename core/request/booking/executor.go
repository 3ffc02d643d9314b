package booking

import (
	"math"
	"time"
)

// Forever is the age of records with no earlier process before them.
const Forever = time.Duration(math.MaxInt64)

// RunState is the state of a key at its executor.
type RunState uint8

// The states of a key at its executor.
const (
	// Sealed keys were not run, and their attempt will be refused.
	Sealed RunState = iota + 1
	// Queued keys were accepted but not yet sent to the target.
	Queued
	// Running keys were sent to the target.
	Running
	// Ended keys have finished running.
	Ended
	// AnswerLost keys ran in an earlier process, and their answers are lost.
	AnswerLost
)

var runStateNames = [...]string{"none", "sealed", "queued", "running", "ended", "cut"}

// String returns the state's name.
func (s RunState) String() string { return name(runStateNames[:], int(s)) }

// VerdictKind is an executor's decision on a submission.
type VerdictKind int

// The decisions on a submission.
const (
	// Run means that the request is to be queued.
	Run VerdictKind = iota + 1
	// Attach means that RequestID holds the key and that its answer is to be returned.
	Attach
	// Refuse means that the request was not run, for the given Reason.
	Refuse
)

// The reasons of a refusal.
const (
	ReasonDraining     = "draining"
	ReasonIncarnation  = "other-incarnation"
	ReasonStaleGrant   = "stale-grant"
	ReasonSealed       = "sealed"
	ReasonOtherAttempt = "other-attempt"
	ReasonBodyMismatch = "body-mismatch"
	ReasonFull         = "register-full"
)

// Submission is a request and its grant as received by the executor.
type Submission struct {
	Grant     Grant
	Body      Digest
	RequestID string
	// Incarnation is the executor incarnation that the grant was issued for.
	Incarnation uint64
}

// Verdict is an executor's answer to a submission.
type Verdict struct {
	Kind      VerdictKind
	RequestID string
	State     RunState
	Reason    string
}

// runRecord is an executor's record of a key. The home is an index into Executor.names.
type runRecord struct {
	body      Digest
	requestID string
	attempt   uint64
	// until is the latest start for a queued key, the latest end for a running one and the
	// expiry time for any other.
	until time.Duration
	home  uint32
	state RunState
}

// Executor is the register of an agent for the keys that its target runs.
type Executor struct {
	// Name is the agent's name; Incarnation identifies its process.
	Name        string
	Incarnation uint64
	// First means that no earlier process had this name, so that no records can be missing.
	First  bool
	Limits Limits

	runs       table[runRecord]
	names      []string
	indexes    map[string]uint32
	floors     map[string]uint64
	earlier    map[uint64]bool
	ageAtStart time.Duration
	draining   bool
}

// Accept decides whether a submission may run. It returns Run at most once for a key.
func (e *Executor) Accept(s Submission, now time.Duration) Verdict {
	e.expireRecords(now)
	if r, ok := e.runs.records[s.Grant.Key]; ok && r.state != Sealed {
		return r.attach(s)
	}
	// A submission intended for an earlier process may have run there before the crash and be
	// delivered again by a resend; only that process knew.
	if s.Incarnation != e.Incarnation {
		return refuse(ReasonIncarnation)
	}
	if e.draining {
		return refuse(ReasonDraining)
	}
	// A home that lost its records has sealed its earlier grants here: one that is still in
	// transit would run beside a grant of the new home process.
	if s.Grant.HomeIncarnation < e.floors[s.Grant.Home] {
		return refuse(ReasonStaleGrant)
	}
	// A second attempt was told that this one never ran; this one is only late.
	if r, ok := e.runs.records[s.Grant.Key]; ok && s.Grant.Attempt <= r.attempt {
		return refuse(ReasonSealed)
	}
	if len(e.runs.records) >= e.Limits.withDefaults().MaxKeys {
		return refuse(ReasonFull)
	}
	e.raiseFloor(s.Grant.Home, s.Grant.HomeIncarnation)
	r := runRecord{body: s.Body, requestID: s.RequestID, attempt: s.Grant.Attempt, home: e.index(s.Grant.Home)}
	e.store(s.Grant.Key, r, Queued, now+e.Limits.withDefaults().MaxRun)
	return Verdict{Kind: Run, RequestID: s.RequestID, State: Queued}
}

func (r runRecord) attach(s Submission) Verdict {
	if r.body != s.Body {
		return refuse(ReasonBodyMismatch)
	}
	if s.Grant.Attempt < r.attempt {
		return refuse(ReasonOtherAttempt)
	}
	return Verdict{Kind: Attach, RequestID: r.requestID, State: r.state}
}

func refuse(reason string) Verdict { return Verdict{Kind: Refuse, Reason: reason} }

// Start records that the key is about to be sent to the target. It reports false if the key is
// no longer queued; the agent must not send it then.
func (e *Executor) Start(key Key, now time.Duration) bool {
	e.expireRecords(now)
	r, ok := e.runs.records[key]
	if !ok || r.state != Queued {
		return false
	}
	r.state = Running
	e.runs.records[key] = r
	return true
}

// End records that the run of a key has ended, with or without success.
func (e *Executor) End(key Key, now time.Duration) {
	r, ok := e.runs.records[key]
	if !ok || r.state != Running {
		return
	}
	e.store(key, r, Ended, now+e.Limits.withDefaults().Retention)
}

// UndoStart withdraws a started key that certainly never reached the target, because no
// connection to it could be made. It reports false if the key is not running.
func (e *Executor) UndoStart(key Key, now time.Duration) (Proof, bool) {
	r, ok := e.runs.records[key]
	if !ok || r.state != Running {
		return Proof{}, false
	}
	return e.withdraw(key, r, now), true
}

// Withdraw takes back a queued key, for a request that is shed before it was sent to the
// target. It reports false if the key was started, as it may then run.
func (e *Executor) Withdraw(key Key, now time.Duration) (Proof, bool) {
	r, ok := e.runs.records[key]
	if !ok || r.state != Queued {
		return Proof{}, false
	}
	return e.withdraw(key, r, now), true
}

func (e *Executor) withdraw(key Key, r runRecord, now time.Duration) Proof {
	e.store(key, r, Sealed, now+e.Limits.Window())
	return Proof{Key: key, Attempt: r.attempt, Executor: e.Name, Incarnation: e.Incarnation}
}

func (e *Executor) store(key Key, r runRecord, state RunState, until time.Duration) {
	r.state, r.until = state, until
	e.runs.put(key, r, until)
}

// Len returns the number of keys that the executor stores.
func (e *Executor) Len() int { return len(e.runs.records) }

func (e *Executor) expireRecords(now time.Duration) {
	e.runs.expire(now, func(key Key, r runRecord) bool {
		if r.until > now || r.state == Running {
			return false
		}
		// The home forgets a key after the window, which counts the time in the queue as part
		// of the run. A key that waited longer would run beside a second attempt, or would be
		// listed to the home as if it still held the key.
		if r.state == Queued {
			e.store(key, r, Sealed, now+e.Limits.Window())
			return false
		}
		return true
	})
}

func (e *Executor) raiseFloor(home string, incarnation uint64) {
	if e.floors == nil {
		e.floors = make(map[string]uint64)
	}
	e.floors[home] = max(e.floors[home], incarnation)
}

func (e *Executor) index(name string) uint32 {
	if i, ok := e.indexes[name]; ok {
		return i
	}
	if e.indexes == nil {
		e.indexes = make(map[string]uint32)
	}
	i := uint32(len(e.names))
	e.names = append(e.names, name)
	e.indexes[name] = i
	return i
}
