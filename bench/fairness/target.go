package fairness

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenashift/core/request/outcome"
	"verbenashift/core/request/queue"
)

const (
	slots = 64
	// slotRate is the number of tokens per second that one slot generates: one
	// token in 32 ms. The capacity of the target is slots times that.
	slotRate = 31.25
	capacity = slots * slotRate
	// meanTokens is the mean length of a response, before it is clamped to
	// minTokens and maxTokens.
	meanTokens           = 200
	minTokens, maxTokens = 20, 1000
)

// warmUp is the initial period that the figures leave out.
const warmUp = 30 * time.Second

var epoch = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// source describes a stream of requests of one workspace and priority.
type source struct {
	workspace string
	priority  queue.Priority
	// rate is the offered load in tokens per second.
	rate float64
	// mean is the mean length of a response in tokens; 0 means meanTokens.
	mean     float64
	deadline time.Duration
}

// request is one request of a simulation.
type request struct {
	queue.Item
	tokens  int64
	arrived time.Time
	waited  time.Duration
	started bool
	refused bool
}

// policy is the queueing policy under test.
type policy interface {
	enqueue(r *request, now time.Time) (shed []string)
	next(now time.Time) (id string, shed []string)
	done(id string, tokens int64, now time.Time)
}

// fairQueue is the policy of the package queue.
type fairQueue struct {
	q *queue.Queue
	// unexpected counts refusals whose outcome is not NotRun or that have no
	// RetryAfter.
	unexpected int
}

func newFairQueue(rnd *rand.Rand) *fairQueue {
	return &fairQueue{q: queue.New(queue.Limits{Slots: slots, Rate: capacity / 2}, rnd)}
}

func (f *fairQueue) enqueue(r *request, now time.Time) []string {
	var shed []string
	if refusal := f.q.Enqueue(r.Item, now); refusal != nil {
		shed = append(shed, r.ID)
		f.check(refusal)
	}
	return f.takeShed(shed)
}

func (f *fairQueue) takeShed(shed []string) []string {
	for _, s := range f.q.TakeShed(nil) {
		shed = append(shed, s.ID)
		f.check(s.Refusal)
	}
	return shed
}

func (f *fairQueue) check(refusal *outcome.Error) {
	if refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
		f.unexpected++
	}
}

func (f *fairQueue) next(now time.Time) (string, []string) {
	item, ok := f.q.Next(now)
	if !ok {
		return "", f.takeShed(nil)
	}
	return item.ID, f.takeShed(nil)
}

func (f *fairQueue) done(id string, tokens int64, now time.Time) { f.q.Done(id, tokens, now) }

// fcfs is the baseline policy: first come, first served, with an unbounded
// queue.
type fcfs struct {
	waiting []string
	running int
}

func (f *fcfs) enqueue(r *request, _ time.Time) []string {
	f.waiting = append(f.waiting, r.ID)
	return nil
}

func (f *fcfs) next(time.Time) (string, []string) {
	if len(f.waiting) == 0 || f.running == slots {
		return "", nil
	}
	id := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.running++
	return id, nil
}

func (f *fcfs) done(string, int64, time.Time) { f.running-- }

// event is the arrival of a request or, if ends is set, its completion.
type event struct {
	at   time.Time
	r    *request
	ends bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs the requests of several sources through a policy on one target
// in virtual time.
type simulation struct {
	policy   policy
	pending  events
	requests map[string]*request
	// ledger is the target's own record of the requests that it has run.
	ledger map[string]bool
	// goodTokens counts the tokens of responses that started within their
	// deadline and ended after the warm-up.
	goodTokens int64
}

func newSimulation(p policy) *simulation {
	return &simulation{policy: p, requests: make(map[string]*request), ledger: make(map[string]bool)}
}

// scheduleArrivals generates the requests of the sources. Each source has its
// own seed, so that removing one does not change the requests of the others.
func (t *simulation) scheduleArrivals(sources []source, seed uint64, span time.Duration) {
	for i, s := range sources {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		mean := s.mean
		if mean == 0 {
			mean = meanTokens
		}
		for at, n := time.Duration(0), 0; ; n++ {
			at += time.Duration(rnd.ExpFloat64() * mean / s.rate * float64(time.Second))
			if at >= span {
				break
			}
			r := newRequest(s, fmt.Sprintf("%s/%d/%d", s.workspace, s.priority, n), mean, rnd)
			r.arrived = epoch.Add(at)
			if s.deadline > 0 {
				r.Deadline = r.arrived.Add(s.deadline)
			}
			t.requests[r.ID] = r
			heap.Push(&t.pending, event{at: r.arrived, r: r})
		}
	}
}

// newRequest returns a request with a random response length. Its expected cost
// is off by up to a third either way.
func newRequest(s source, id string, mean float64, rnd *rand.Rand) *request {
	tokens := int64(min(max(rnd.ExpFloat64()*mean, minTokens), maxTokens))
	cost := int64(float64(tokens) * (2 + 2*rnd.Float64()) / 3)
	item := queue.Item{ID: id, Workspace: s.workspace, Priority: s.priority, Cost: cost}
	return &request{Item: item, tokens: tokens}
}

// run processes all events up to the end of the span.
func (t *simulation) run(span time.Duration) {
	end := epoch.Add(span)
	for len(t.pending) > 0 {
		e := heap.Pop(&t.pending).(event)
		if e.at.After(end) {
			return
		}
		if e.ends {
			t.finish(e.r, e.at)
		} else {
			t.refuse(t.policy.enqueue(e.r, e.at), e.at)
		}
		t.start(e.at)
	}
}

func (t *simulation) finish(r *request, now time.Time) {
	t.policy.done(r.ID, r.tokens, now)
	if now.Before(epoch.Add(warmUp)) {
		return
	}
	if r.Deadline.IsZero() || !r.arrived.Add(r.waited).After(r.Deadline) {
		t.goodTokens += r.tokens
	}
}

func (t *simulation) refuse(ids []string, now time.Time) {
	for _, id := range ids {
		r := t.requests[id]
		r.refused = true
		r.waited = now.Sub(r.arrived)
	}
}

func (t *simulation) start(now time.Time) {
	for {
		id, shed := t.policy.next(now)
		t.refuse(shed, now)
		if id == "" {
			return
		}
		r := t.requests[id]
		r.started, r.waited = true, now.Sub(r.arrived)
		t.ledger[id] = true
		took := time.Duration(float64(r.tokens) / slotRate * float64(time.Second))
		heap.Push(&t.pending, event{at: now.Add(took), r: r, ends: true})
	}
}

// refusals counts the refused requests, those of them that ran nevertheless
// according to the target's ledger, and those refused on arrival.
func (t *simulation) refusals() (all, falseRefusals, immediate int) {
	for id, r := range t.requests {
		if !r.refused {
			continue
		}
		all++
		if t.ledger[id] {
			falseRefusals++
		}
		if r.waited == 0 {
			immediate++
		}
	}
	return all, falseRefusals, immediate
}

// p95 returns the 95th percentile, in seconds, of the waits of the started
// requests that arrived after the warm-up and match the filter.
func (t *simulation) p95(take func(r *request) bool) float64 {
	var waits []time.Duration
	for _, r := range t.requests {
		if r.started && !r.arrived.Before(epoch.Add(warmUp)) && take(r) {
			waits = append(waits, r.waited)
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[len(waits)*95/100].Seconds()
}
