package booking

import (
	"slices"
	"time"
)

// The reasons that a home gives with its answers.
const (
	ReasonRecordsLost         = "records-lost"
	ReasonUnreachable         = "previous-home-unreachable"
	ReasonSuperseded          = "home-superseded"
	ReasonConfigurationBehind = "configuration-behind"
	ReasonHomeDraining        = "home-draining"
)

// Generation is one target list of the configuration.
type Generation struct {
	Revision uint64
	// Names are the names of the targets whose agents are homes, drained ones
	// too.
	Names []string
	// Executors are the names of all targets; nil means Names.
	Executors []string
}

func (g Generation) executors() []string {
	if g.Executors == nil {
		return g.Names
	}
	return g.Executors
}

// booked is a home's record of a key. The executor is a number of index; 0
// means that no attempt is out. Attempt 0 marks a key that was never granted
// here and that moved to another home.
type booked struct {
	body        Digest
	requestID   string
	attempt     uint64
	incarnation uint64
	until       time.Duration
	// movedAt is the revision whose home took the key over; 0 for none.
	movedAt  uint64
	executor uint32
	// inherited says that this process did not grant the attempt itself: it
	// learned of it from an executor or a previous home.
	inherited bool
}

// hearsay reports whether all that is known of a key is that an attempt of
// another process never ran. Later attempts may exist elsewhere.
func (r booked) hearsay() bool { return r.inherited && r.executor == 0 }

// Home is the register of grants of one agent.
type Home struct {
	// Name is the agent's name; Incarnation identifies its process.
	Name        string
	Incarnation uint64
	// First says that no earlier process had this name: there are no earlier
	// grants, so that nothing need be rebuilt.
	First  bool
	Limits Limits

	current  Generation
	previous []pastGeneration
	keys     table[booked]
	names    []string
	indexes  map[string]uint32
	rebuild  rebuild
	asked    map[Key][]string
	exported bool
}

type pastGeneration struct {
	Generation
	until time.Duration
}

// Configure puts a target list in force. Lists of an older revision are
// ignored. The list before stays a source of records for the window. A process
// that missed lists must be given each of them in order.
func (h *Home) Configure(g Generation, now time.Duration) {
	if g.Revision <= h.current.Revision {
		return
	}
	if h.current.Revision > 0 {
		h.AddPrevious(h.current, now)
	}
	h.current = g
	clear(h.asked)
}

// AddPrevious adds a list that was in force until now, for a process that started
// after the change and learned of it from the configuration or a peer. Older
// lists come first.
func (h *Home) AddPrevious(g Generation, now time.Duration) {
	lag := h.Limits.withDefaults().ConfigLag
	h.previous = append(h.previous, pastGeneration{g, now + h.Limits.Window() + lag})
}

// Claim decides on a claim. Repeating a claim with the same request id gives
// the same grant again.
func (h *Home) Claim(c Claim, now time.Duration) Answer {
	h.forget(now)
	if refusal, ok := h.turnAway(c, now); ok {
		return refusal
	}
	r, ok := h.keys.records[c.Key]
	if ok && r.movedAt == 0 && !r.hearsay() {
		return h.again(c, r, now)
	}
	if from := h.sources(c.Key, now); len(from) > 0 {
		return Answer{Kind: NeedTransfer, From: from}
	}
	delete(h.asked, c.Key)
	if r.attempt == 0 {
		return h.first(c, now)
	}
	r.movedAt = 0
	h.keys.records[c.Key] = r
	return h.again(c, r, now)
}

// turnAway answers the claims that this home may not decide.
func (h *Home) turnAway(c Claim, now time.Duration) (Answer, bool) {
	if h.exported {
		return h.wait(Rebuilding, ReasonHomeDraining), true
	}
	if h.rebuild.superseded {
		return Answer{Kind: Moved, Reason: ReasonSuperseded}, true
	}
	if c.Revision > h.current.Revision {
		return h.wait(Rebuilding, ReasonConfigurationBehind), true
	}
	if HomeOf(c.Key, h.current.Names) != h.Name {
		return Answer{Kind: Moved}, true
	}
	if r, ok := h.keys.records[c.Key]; ok && r.movedAt >= h.current.Revision && r.movedAt > 0 {
		return h.wait(Moved, ReasonConfigurationBehind), true
	}
	// A home that started empty does not know what it granted before. Granting
	// now would run a key again whose first run is still under way.
	if h.rebuilding(now) {
		return h.wait(Rebuilding, ""), true
	}
	return Answer{}, false
}

// first decides on a key without an attempt.
func (h *Home) first(c Claim, now time.Duration) Answer {
	// While an executor's record is missing, a key that nobody lists may have
	// run there: it must not run again, and "not run" would be a guess.
	if h.gap(now) {
		return Answer{Kind: Unknown, Reason: ReasonRecordsLost}
	}
	return h.grant(c, 1, now)
}

// again decides on a key with a record.
func (h *Home) again(c Claim, r booked, now time.Duration) Answer {
	// The same key with another body is another request: its caller must not
	// get the first one's answer.
	if r.body != c.Body {
		return Answer{Kind: Mismatch}
	}
	// That an inherited attempt never ran says nothing of a later one, granted
	// by the process before and run where the record is missing.
	if r.hearsay() && h.gap(now) {
		return Answer{Kind: Unknown, Reason: ReasonRecordsLost}
	}
	if r.executor == 0 {
		return h.grant(c, r.attempt+1, now)
	}
	answer := Answer{
		Kind:      Held,
		Grant:     Grant{c.Key, h.Name, h.Incarnation, r.attempt},
		RequestID: r.requestID, Executor: h.names[r.executor-1], ExecutorIncarnation: r.incarnation,
	}
	if r.requestID == c.RequestID {
		answer.Kind = Granted
	}
	return answer
}

func (h *Home) grant(c Claim, attempt uint64, now time.Duration) Answer {
	// Home and executor in one process would lose both records in one crash,
	// and a rebuild asks only the executors of the list.
	executors := h.current.executors()
	if !h.mayExecute(c.Executor, executors) || !slices.Contains(executors, c.Executor) {
		return Answer{Kind: BadExecutor}
	}
	if attempt == 1 && len(h.keys.records) >= h.Limits.withDefaults().MaxKeys {
		return h.wait(Full, "")
	}
	h.keep(c.Key, booked{
		body: c.Body, requestID: c.RequestID, attempt: attempt,
		incarnation: c.ExecutorIncarnation, executor: h.index(c.Executor),
	}, now+h.Limits.Window())
	return Answer{
		Kind: Granted, Grant: Grant{c.Key, h.Name, h.Incarnation, attempt},
		RequestID: c.RequestID, Executor: c.Executor, ExecutorIncarnation: c.ExecutorIncarnation,
	}
}

// Release sets a key free whose attempt never ran. It reports false if the
// proof is not about the attempt that holds the key.
func (h *Home) Release(p Proof, now time.Duration) bool {
	r, ok := h.keys.records[p.Key]
	if !ok || h.exported || r.executor == 0 || r.attempt != p.Attempt {
		return false
	}
	if h.names[r.executor-1] != p.Executor || r.incarnation != p.Incarnation {
		return false
	}
	r.executor, r.requestID = 0, ""
	h.keep(p.Key, r, now+h.Limits.Window())
	return true
}

// Len returns how many keys the home remembers.
func (h *Home) Len() int { return len(h.keys.records) }

func (h *Home) wait(kind AnswerKind, reason string) Answer {
	return Answer{Kind: kind, Reason: reason, RetryAfter: h.Limits.withDefaults().RebuildTimeout}
}

func (h *Home) keep(key Key, r booked, until time.Duration) {
	r.until = until
	h.keys.put(key, r, until)
}

func (h *Home) forget(now time.Duration) {
	h.keys.expire(now, func(_ Key, r booked) bool { return r.until <= now })
	for len(h.previous) > 0 && h.previous[0].until <= now {
		h.previous = h.previous[1:]
	}
}

// index returns the number of a name, from 1.
func (h *Home) index(name string) uint32 {
	if i, ok := h.indexes[name]; ok {
		return i
	}
	if h.indexes == nil {
		h.indexes = make(map[string]uint32)
	}
	h.names = append(h.names, name)
	h.indexes[name] = uint32(len(h.names))
	return uint32(len(h.names))
}
