package booking

import (
	"slices"
	"time"
)

// The reasons in the answers of a home.
const (
	ReasonRecordsLost         = "records-lost"
	ReasonUnreachable         = "previous-home-unreachable"
	ReasonSuperseded          = "home-superseded"
	ReasonConfigurationBehind = "configuration-behind"
	ReasonHomeDraining        = "home-draining"
)

// Generation is one revision of the target list in the configuration.
type Generation struct {
	Revision uint64
	// Names are the names of the targets whose agents are homes, including drained ones.
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

// grantRecord is a home's record of a key. The executor is a 1-based index into Home.names; 0
// means that no attempt holds the key. Attempt 0 marks a key that was never granted here and
// that moved to another home.
type grantRecord struct {
	body        Digest
	requestID   string
	attempt     uint64
	incarnation uint64
	until       time.Duration
	// movedAt is the configuration revision whose home took over the key; 0 means none.
	movedAt  uint64
	executor uint32
	// inherited means that this process did not grant the attempt itself, but learned of it
	// from an executor or a previous home.
	inherited bool
}

// inheritedFree reports whether all that is known of a key is that an attempt of another
// process never ran. Later attempts may exist elsewhere.
func (r grantRecord) inheritedFree() bool { return r.inherited && r.executor == 0 }

// Home is the register of grants of one agent.
type Home struct {
	// Name is the agent's name; Incarnation identifies its process.
	Name        string
	Incarnation uint64
	// First means that no earlier process had this name, so that there are no earlier grants
	// and nothing has to be rebuilt.
	First  bool
	Limits Limits

	current  Generation
	previous []pastGeneration
	keys     table[grantRecord]
	names    []string
	indexes  map[string]uint32
	rebuild  rebuild
	answered map[Key][]string
	exported bool
}

type pastGeneration struct {
	Generation
	until time.Duration
}

// Configure puts a target list in force. Lists with an older revision are ignored. The list in
// force until now remains a source of records for the window. A process that missed lists must
// be given each of them in order.
func (h *Home) Configure(g Generation, now time.Duration) {
	if g.Revision <= h.current.Revision {
		return
	}
	if h.current.Revision > 0 {
		h.AddPrevious(h.current, now)
	}
	h.current = g
	clear(h.answered)
}

// AddPrevious adds a list that was in force until now, for a process that started after the
// change and learned of the list from the configuration or a peer. Lists must be added from
// oldest to newest.
func (h *Home) AddPrevious(g Generation, now time.Duration) {
	lag := h.Limits.withDefaults().ConfigLag
	h.previous = append(h.previous, pastGeneration{g, now + h.Limits.Window() + lag})
}

// Claim decides on a claim. Repeating a claim with the same request ID returns the same grant.
func (h *Home) Claim(c Claim, now time.Duration) Answer {
	h.expireRecords(now)
	if refusal, ok := h.reject(c, now); ok {
		return refusal
	}
	r, ok := h.keys.records[c.Key]
	if ok && r.movedAt == 0 && !r.inheritedFree() {
		return h.decideRecorded(c, r, now)
	}
	if from := h.sources(c.Key, now); len(from) > 0 {
		return Answer{Kind: NeedTransfer, From: from}
	}
	delete(h.answered, c.Key)
	if r.attempt == 0 {
		return h.decideNew(c, now)
	}
	r.movedAt = 0
	h.keys.records[c.Key] = r
	return h.decideRecorded(c, r, now)
}

// reject answers the claims that this home may not decide.
func (h *Home) reject(c Claim, now time.Duration) (Answer, bool) {
	if h.exported {
		return h.retryLater(Rebuilding, ReasonHomeDraining), true
	}
	if h.rebuild.superseded {
		return Answer{Kind: Moved, Reason: ReasonSuperseded}, true
	}
	if c.Revision > h.current.Revision {
		return h.retryLater(Rebuilding, ReasonConfigurationBehind), true
	}
	if HomeOf(c.Key, h.current.Names) != h.Name {
		return Answer{Kind: Moved}, true
	}
	if r, ok := h.keys.records[c.Key]; ok && r.movedAt >= h.current.Revision && r.movedAt > 0 {
		return h.retryLater(Moved, ReasonConfigurationBehind), true
	}
	// A home that started empty does not know its earlier grants. Granting now could run a key
	// again whose first run is still in progress.
	if h.rebuilding(now) {
		return h.retryLater(Rebuilding, ""), true
	}
	return Answer{}, false
}

// decideNew decides on a key without an attempt.
func (h *Home) decideNew(c Claim, now time.Duration) Answer {
	// While an executor's records are missing, a key that no executor lists may have run
	// there: it must not run again, and "not run" would be a guess.
	if h.gap(now) {
		return Answer{Kind: Unknown, Reason: ReasonRecordsLost}
	}
	return h.grant(c, 1, now)
}

// decideRecorded decides on a key that has a record.
func (h *Home) decideRecorded(c Claim, r grantRecord, now time.Duration) Answer {
	// The same key with another body is another request: its caller must not get the first
	// request's answer.
	if r.body != c.Body {
		return Answer{Kind: Mismatch}
	}
	// That an inherited attempt never ran does not rule out a later one, granted by the
	// previous process and run where the records are missing.
	if r.inheritedFree() && h.gap(now) {
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
	// Home and executor in one process would lose both records in one crash, and a rebuild
	// queries only the executors of the list.
	executors := h.current.executors()
	if !h.mayExecute(c.Executor, executors) || !slices.Contains(executors, c.Executor) {
		return Answer{Kind: BadExecutor}
	}
	if attempt == 1 && len(h.keys.records) >= h.Limits.withDefaults().MaxKeys {
		return h.retryLater(Full, "")
	}
	h.store(c.Key, grantRecord{
		body: c.Body, requestID: c.RequestID, attempt: attempt,
		incarnation: c.ExecutorIncarnation, executor: h.index(c.Executor),
	}, now+h.Limits.Window())
	return Answer{
		Kind: Granted, Grant: Grant{c.Key, h.Name, h.Incarnation, attempt},
		RequestID: c.RequestID, Executor: c.Executor, ExecutorIncarnation: c.ExecutorIncarnation,
	}
}

// Release frees a key whose attempt never ran. It reports false if the proof is not for the
// attempt that holds the key.
func (h *Home) Release(p Proof, now time.Duration) bool {
	r, ok := h.keys.records[p.Key]
	if !ok || h.exported || r.executor == 0 || r.attempt != p.Attempt {
		return false
	}
	if h.names[r.executor-1] != p.Executor || r.incarnation != p.Incarnation {
		return false
	}
	r.executor, r.requestID = 0, ""
	h.store(p.Key, r, now+h.Limits.Window())
	return true
}

// Len returns the number of keys that the home stores.
func (h *Home) Len() int { return len(h.keys.records) }

func (h *Home) retryLater(kind AnswerKind, reason string) Answer {
	return Answer{Kind: kind, Reason: reason, RetryAfter: h.Limits.withDefaults().RebuildTimeout}
}

func (h *Home) store(key Key, r grantRecord, until time.Duration) {
	r.until = until
	h.keys.put(key, r, until)
}

func (h *Home) expireRecords(now time.Duration) {
	h.keys.expire(now, func(_ Key, r grantRecord) bool { return r.until <= now })
	for len(h.previous) > 0 && h.previous[0].until <= now {
		h.previous = h.previous[1:]
	}
}

// index returns the 1-based index of a name.
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
