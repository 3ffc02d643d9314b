package booking

import (
	"math"
	"time"
)

// Forever is the age of a memory that has nothing before it.
const Forever = time.Duration(math.MaxInt64)

// RunState is how far an executor got with a key.
type RunState uint8

// The states of a key at its executor.
const (
	// Sealed keys were not run and their attempt will be refused.
	Sealed RunState = iota + 1
	// Queued keys were accepted; the target has not seen them.
	Queued
	// Running keys were given to the target.
	Running
	// Ended keys ran to an end.
	Ended
	// AnswerLost keys ran in an earlier process whose answers are gone.
	AnswerLost
)

var runStateNames = [...]string{"none", "sealed", "queued", "running", "ended", "cut"}

// String returns the state's name.
func (s RunState) String() string { return name(runStateNames[:], int(s)) }

// VerdictKind is an executor's decision on a submission.
type VerdictKind int

// The decisions on a submission.
const (
	// Run says: queue the request.
	Run VerdictKind = iota + 1
	// Attach says: the key is held by RequestID, give its answer.
	Attach
	// Refuse says: not run, for Reason.
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

// Submission is a request with its grant as it reaches the executor.
type Submission struct {
	Grant     Grant
	Body      Digest
	RequestID string
	// Incarnation is the executor incarnation that the grant was made for.
	Incarnation uint64
}

// Verdict is an executor's answer to a submission.
type Verdict struct {
	Kind      VerdictKind
	RequestID string
	State     RunState
	Reason    string
}

// run is an executor's record of a key. The home is an index into names.
type run struct {
	body      Digest
	requestID string
	attempt   uint64
	// until is the latest start for a queued key, the latest end for a running
	// one and the time to forget any other.
	until time.Duration
	home  uint32
	state RunState
}

// Executor is the register of an agent for the keys that its target runs.
type Executor struct {
	// Name is the agent's name; Incarnation identifies its process.
	Name        string
	Incarnation uint64
	// First says that no earlier process had this name, so that the empty
	// memory of this one lacks nothing.
	First  bool
	Limits Limits

	runs     table[run]
	names    []string
	indexes  map[string]uint32
	floors   map[string]uint64
	earlier  map[uint64]bool
	age      time.Duration
	draining bool
}

// Accept decides whether a submission may run. The answer Run is given at most
// once for a key.
func (e *Executor) Accept(s Submission, now time.Duration) Verdict {
	e.forget(now)
	if r, ok := e.runs.records[s.Grant.Key]; ok && r.state != Sealed {
		return r.attach(s)
	}
	// A submission that was meant for an earlier process may have run there
	// before the crash and come again by a resend; only that process knew.
	if s.Incarnation != e.Incarnation {
		return refuse(ReasonIncarnation)
	}
	if e.draining {
		return refuse(ReasonDraining)
	}
	// A home that lost its memory has sealed its earlier grants here: one that
	// is still on its way would run beside the new home's grant.
	if s.Grant.HomeIncarnation < e.floors[s.Grant.Home] {
		return refuse(ReasonStaleGrant)
	}
	// A second try was told that this attempt never ran; it may be late only.
	if r, ok := e.runs.records[s.Grant.Key]; ok && s.Grant.Attempt <= r.attempt {
		return refuse(ReasonSealed)
	}
	if len(e.runs.records) >= e.Limits.withDefaults().MaxKeys {
		return refuse(ReasonFull)
	}
	e.raise(s.Grant.Home, s.Grant.HomeIncarnation)
	r := run{body: s.Body, requestID: s.RequestID, attempt: s.Grant.Attempt, home: e.index(s.Grant.Home)}
	e.keep(s.Grant.Key, r, Queued, now+e.Limits.withDefaults().MaxRun)
	return Verdict{Kind: Run, RequestID: s.RequestID, State: Queued}
}

func (r run) attach(s Submission) Verdict {
	if r.body != s.Body {
		return refuse(ReasonBodyMismatch)
	}
	if s.Grant.Attempt < r.attempt {
		return refuse(ReasonOtherAttempt)
	}
	return Verdict{Kind: Attach, RequestID: r.requestID, State: r.state}
}

func refuse(reason string) Verdict { return Verdict{Kind: Refuse, Reason: reason} }

// Start records that the target is about to be given the key. It reports false
// if the key is not queued any more; the agent must not send it then.
func (e *Executor) Start(key Key, now time.Duration) bool {
	e.forget(now)
	r, ok := e.runs.records[key]
	if !ok || r.state != Queued {
		return false
	}
	r.state = Running
	e.runs.records[key] = r
	return true
}

// End records that the run of a key is over, well or badly.
func (e *Executor) End(key Key, now time.Duration) {
	r, ok := e.runs.records[key]
	if !ok || r.state != Running {
		return
	}
	e.keep(key, r, Ended, now+e.Limits.withDefaults().Retention)
}

// UndoStart takes a started key back that surely never reached the target, since
// no connection to it could be made. It reports false if the key does not run.
func (e *Executor) UndoStart(key Key, now time.Duration) (Proof, bool) {
	r, ok := e.runs.records[key]
	if !ok || r.state != Running {
		return Proof{}, false
	}
	return e.withdraw(key, r, now), true
}

// Withdraw takes a queued key back, for a request that is shed before the
// target saw it. It reports false if the key was started: then it may run.
func (e *Executor) Withdraw(key Key, now time.Duration) (Proof, bool) {
	r, ok := e.runs.records[key]
	if !ok || r.state != Queued {
		return Proof{}, false
	}
	return e.withdraw(key, r, now), true
}

func (e *Executor) withdraw(key Key, r run, now time.Duration) Proof {
	e.keep(key, r, Sealed, now+e.Limits.Window())
	return Proof{Key: key, Attempt: r.attempt, Executor: e.Name, Incarnation: e.Incarnation}
}

func (e *Executor) keep(key Key, r run, state RunState, until time.Duration) {
	r.state, r.until = state, until
	e.runs.put(key, r, until)
}

// Len returns how many keys the executor remembers.
func (e *Executor) Len() int { return len(e.runs.records) }

func (e *Executor) forget(now time.Duration) {
	e.runs.expire(now, func(key Key, r run) bool {
		if r.until > now || r.state == Running {
			return false
		}
		// The home forgets a key after the window, which counts the queue as
		// part of the run. A key that waited longer would run beside a second
		// try, or would be listed to the home as if it still held the key.
		if r.state == Queued {
			e.keep(key, r, Sealed, now+e.Limits.Window())
			return false
		}
		return true
	})
}

func (e *Executor) raise(home string, incarnation uint64) {
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
