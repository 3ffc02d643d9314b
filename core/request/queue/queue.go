// Package queue is the queue of one target, held by the agent beside it.
//
// It decides which request the target gets next and which are refused. The classes go in order,
// urgent first; a class may take only its share of the service while a lower class waits, so
// that a flood of urgent work delays the rest and does not stop it. Inside a class the
// workspaces share the service in tokens by weight: for two workspaces f and g that both wait
// during any interval, the service S, counted when an item is started and corrected when it
// ends, satisfies
//
//	|S(f)/w(f) - S(g)/w(g)| <= L(f)/w(f) + L(g)/w(g)
//
// where w is the weight and L the largest cost. Where a response differs from its expected cost
// by up to E tokens and n items run, 2nE/w is added for each of the two. A workspace that runs
// more than its fair share of the slots may be skipped for the reserved slots (see
// Limits.Reserve); the bound does not count what others get in its place there.
//
// While a lower class waits, a class with share s gets at most its burst plus one item plus
// s/(1-s) times the service of the classes below.
//
// A request is refused as soon as it cannot start before its deadline, and the queue is bounded
// in items and tokens, also per workspace. When it is full, the newest request of the longest
// backlog in the lowest class is shed. Nothing that the queue refuses or sheds was sent to the
// target, so that each such response is a correct "not run".
//
// A Queue has no clock and no lock: its owner passes the time and calls it from one goroutine.
// Every operation is O(log n) and allocates nothing once the tables have grown.
//
// # Usage
//
//	q := queue.New(queue.Limits{Slots: 32, Rate: 2000}, rnd)
//	if refusal := q.Enqueue(item, now); refusal != nil {
//		return refusal
//	}
//	for item, ok := q.Next(now); ok; item, ok = q.Next(now) {
//		start(item) // later: q.Served(id, n, now) and q.Done(id, total, now)
//	}
//	shed = q.TakeShed(shed[:0]) // answer each of them, also after Enqueue
package queue

import (
	"math/rand/v2"
	"time"

	"verbenashift/core/request/outcome"
)

// Priority is the class of a request.
type Priority uint8

// The classes, first to last.
const (
	Urgent Priority = iota
	Normal
	BestEffort
	classCount
)

// Item is a request as the queue sees it.
type Item struct {
	// ID is unique among the requests that wait or run.
	ID        string
	Workspace string
	Priority  Priority
	// Cost is the expected work in tokens; less than 1 means 1.
	Cost int64
	// Weight is the workspace's share; zero, negative or not finite means 1.
	Weight float64
	// Deadline is the latest useful start; zero means none.
	Deadline time.Time
	// WaitUntilDeadline accepts the item even if its expected wait exceeds the deadline.
	WaitUntilDeadline bool
}

// Shed is an item that the queue removed unstarted after it had accepted it.
type Shed struct {
	Item
	Refusal *outcome.Error
}

// Load is the load of the queue and of its target.
type Load struct {
	// Queued is the work waiting, in tokens; Items counts its requests.
	Queued int64
	Items  int
	// Running counts the requests at the target, Slots how many may run there.
	Running int
	Slots   int
	// Rate is the learned service rate in tokens a second.
	Rate float64
}

// Queue is the queue of one target. Use New to make one.
type Queue struct {
	limits    Limits
	rnd       *rand.Rand
	classes   [classCount]class
	entries   map[string]*entry
	deadlines indexedHeap[*entry]
	free      *entry
	shed      []Shed
	meter     meter
	queued    int64
	items     int
	running   int
	// remaining is the expected remainder of the running work, in tokens.
	remaining int64
	// share is that of the target, if it has several queues, and others how many requests of the
	// other queues run there.
	share  Share
	others int
}

// New returns an empty queue. The random source spreads the Retry-After times.
func New(limits Limits, rnd *rand.Rand) *Queue {
	limits = limits.withDefaults()
	q := &Queue{limits: limits, rnd: rnd, entries: make(map[string]*entry)}
	q.classes[Urgent] = newClass(limits.UrgentShare, float64(limits.Burst))
	q.classes[Normal] = newClass(limits.NormalShare, float64(limits.Burst))
	q.classes[BestEffort] = newClass(0, 0)
	q.deadlines = indexedHeap[*entry]{
		before: func(a, b *entry) bool { return a.Deadline.Before(b.Deadline) },
		index:  func(e *entry) *int { return &e.deadlineAt },
	}
	q.meter.rate = limits.Rate
	return q
}

// SetSlots sets how many requests may run at once. Running requests above a lowered limit go
// on.
func (q *Queue) SetSlots(n int) {
	q.limits.Slots = n
	q.limits.Reserve = n / reserveDivisor
}

// SetUrgentShare sets the part of the service that the urgent class may take while a lower one
// waits. It resets the credit of that class.
func (q *Queue) SetUrgentShare(share float64) {
	c := &q.classes[Urgent]
	if share == c.share {
		return
	}
	c.share, c.credit = share, float64(q.limits.Burst)
}

// Load returns the current load.
func (q *Queue) Load() Load {
	return Load{Queued: q.queued, Items: q.items, Running: q.running, Slots: q.limits.Slots, Rate: q.meter.rate}
}

// Next starts the next request, if one waits and a slot is free. Requests
// whose deadline has passed are shed and never returned.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.Expire(now)
	if q.items == 0 || q.saturated() {
		return Item{}, false
	}
	p := q.pickClass()
	f := q.chooseFlow(p)
	if f == nil {
		return Item{}, false
	}
	e := q.classes[p].start(f)
	q.deadlines.remove(e)
	q.queued -= e.Cost
	q.items--
	q.running++
	q.remaining += e.Cost
	e.contested = q.hasWaitingBelow(p)
	q.updateCredits(e, e.Cost)
	q.meter.observe(0, q.saturated(), now)
	return e.Item, true
}

// chooseFlow returns the class's flow that goes next, or nil. The last slots are reserved: a
// workspace that runs heavyFactor times its fair share of all slots or more, among the
// workspaces active in the class, cannot take them. Otherwise a workspace with a long backlog
// holds every slot, and each request of the others waits until some response ends, however few
// they send. At most maxSkipped heavy flows are skipped.
func (q *Queue) chooseFlow(p Priority) *flow {
	ready := &q.classes[p].ready
	if q.running+q.others < q.limits.Slots-q.limits.Reserve {
		return ready.members[0]
	}
	part := heavyFactor * float64(q.limits.Slots) / q.classes[p].activeWeight
	var skipped [maxSkipped]*flow
	n := 0
	var light *flow
	for n < maxSkipped && ready.len() > 0 {
		f := ready.members[0]
		if float64(f.running) < part*f.weight {
			light = f
			break
		}
		ready.remove(f)
		skipped[n] = f
		n++
	}
	for _, f := range skipped[:n] {
		ready.push(f)
	}
	return light
}

// pickClass returns the class that goes next.
func (q *Queue) pickClass() Priority {
	for p := Urgent; p < BestEffort; p++ {
		c := &q.classes[p]
		if c.items > 0 && (c.credit > 0 || !q.hasWaitingBelow(p)) {
			return p
		}
	}
	return BestEffort
}

func (q *Queue) hasWaitingBelow(p Priority) bool {
	for below := p + 1; below < classCount; below++ {
		if q.classes[below].items > 0 {
			return true
		}
	}
	return false
}

// Remove removes a waiting request whose caller has disconnected, and reports whether it was
// waiting. A running request is ended by Done.
func (q *Queue) Remove(id string) (Item, bool) {
	e, ok := q.entries[id]
	if !ok || e.running {
		return Item{}, false
	}
	item := e.Item
	q.dropWaiting(e)
	return item, true
}

func (q *Queue) newEntry(item Item) *entry {
	e := q.free
	if e == nil {
		e = new(entry)
	} else {
		q.free = e.next
	}
	*e = entry{Item: item, deadlineAt: -1}
	return e
}
