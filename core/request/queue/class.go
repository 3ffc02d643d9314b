package queue

import "math"

// entry is a request that waits or runs.
type entry struct {
	Item
	flow       *flow
	prev, next *entry
	running    bool
	deadlineAt int
	// charged is what the flow's counter has been charged so far, in tokens,
	// served what the target has reported.
	charged, served int64
	// contested says that a lower class waited when the entry was started.
	contested bool
	epoch     uint64
}

// flow is the work of one workspace in one class.
type flow struct {
	workspace string
	weight    float64
	// counter is the service had so far, in tokens over weight.
	counter float64
	// order breaks ties: the flow that has waited longest goes first.
	order      uint64
	head, tail *entry
	queued     int64
	items      int
	running    int
	// epoch grows each time the counter is lifted after an idle time.
	epoch              uint64
	readyAt, longestAt int
}

// append adds e at the tail.
func (f *flow) append(e *entry) {
	e.flow, e.prev, e.next = f, f.tail, nil
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	f.queued += e.Cost
	f.items++
}

func (f *flow) unlink(e *entry) {
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	f.queued -= e.Cost
	f.items--
}

// backlog returns the work waiting in units of fair service.
func (f *flow) backlog() float64 { return float64(f.queued) / f.weight }

// class holds the flows of one priority. It is start-time fair queueing: the
// virtual time is the counter at which the last item was started, a flow that
// comes back after an idle time is lifted to it, and the flow with the lowest
// counter goes first. (Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996;
// Sheng et al., "Fairness in Serving Large Language Models", 2024, charge a
// running answer as its tokens come.)
type class struct {
	flows   map[string]*flow
	ready   indexedHeap[*flow]
	longest indexedHeap[*flow]
	virtual float64
	order   uint64
	queued  int64
	items   int
	running int
	// weight is the sum over the flows that wait.
	weight float64
	// active is the sum over the flows that wait or run.
	active float64
	// share is the part of the service the class may take from the classes
	// below it while they wait; credit is what it may take now, in tokens.
	share, credit float64
	sweepAt       int
}

const firstSweep = 64

func newClass(share, burst float64) class {
	c := class{flows: make(map[string]*flow), share: share, credit: burst, sweepAt: firstSweep}
	c.ready = indexedHeap[*flow]{before: lowerCounter, place: func(f *flow) *int { return &f.readyAt }}
	c.longest = indexedHeap[*flow]{before: longerBacklog, place: func(f *flow) *int { return &f.longestAt }}
	return c
}

func lowerCounter(a, b *flow) bool {
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.order < b.order
}

func longerBacklog(a, b *flow) bool {
	if x, y := a.backlog(), b.backlog(); x != y {
		return x > y
	}
	return a.order > b.order
}

// room returns the part of the queue for this class and those above it.
func (c *class) room() float64 {
	if c.share == 0 {
		return 1
	}
	return c.share
}

// flow returns the workspace's flow, made if it is missing.
func (c *class) flow(workspace string) *flow {
	if f, ok := c.flows[workspace]; ok {
		return f
	}
	if len(c.flows) >= c.sweepAt {
		c.sweep()
	}
	f := &flow{workspace: workspace, weight: 1, readyAt: -1, longestAt: -1}
	c.flows[workspace] = f
	return f
}

// sweep forgets idle flows that owe nothing. It runs each time the table has
// doubled, so that its cost is constant per flow made.
func (c *class) sweep() {
	for name, f := range c.flows {
		if f.items == 0 && f.running == 0 && f.counter <= c.virtual {
			delete(c.flows, name)
		}
	}
	c.sweepAt = 2*len(c.flows) + firstSweep
}

func (c *class) add(e *entry) {
	f := c.flow(e.Workspace)
	if f.items == 0 {
		c.wake(f, e.Weight)
	} else if f.weight != e.Weight {
		c.weight += e.Weight - f.weight
		c.active += e.Weight - f.weight
		f.weight = e.Weight
	}
	f.append(e)
	c.queued += e.Cost
	c.items++
	c.longest.fix(f)
}

// wake puts an idle flow among those that wait. The lift guards against a
// workspace that saves up service: without it one that was silent for an hour
// would hold the lowest counter and shut the others out for as long.
func (c *class) wake(f *flow, weight float64) {
	if f.counter < c.virtual {
		f.counter = c.virtual
		f.epoch++
	}
	c.order++
	f.order = c.order
	if f.running > 0 {
		c.active -= f.weight
	}
	f.weight = weight
	c.weight += weight
	c.active += weight
	c.ready.push(f)
	c.longest.push(f)
}

// take removes a waiting entry.
func (c *class) take(e *entry) {
	f := e.flow
	f.unlink(e)
	c.queued -= e.Cost
	c.items--
	if f.items > 0 {
		c.longest.fix(f)
		return
	}
	c.ready.remove(f)
	c.longest.remove(f)
	c.weight -= f.weight
	c.rest(f)
	if c.items == 0 {
		c.weight = 0
	}
}

// rest takes a flow that neither waits nor runs out of the active weight.
func (c *class) rest(f *flow) {
	if f.items == 0 && f.running == 0 {
		c.active -= f.weight
	}
	if c.items == 0 && c.running == 0 {
		c.active = 0
	}
}

// start takes the flow's next entry and charges its expected cost.
func (c *class) start(f *flow) *entry {
	e := f.head
	c.virtual = max(c.virtual, f.counter)
	f.running++
	c.running++
	c.take(e)
	c.order++
	f.order = c.order
	e.running, e.epoch = true, f.epoch
	c.charge(e, e.Cost)
	return e
}

// charge adds tokens to what the entry has cost its flow; negative tokens give
// back an estimate that was too high. What was charged before an idle time is
// not given back below the virtual time, since that would be saved service.
func (c *class) charge(e *entry, tokens int64) {
	f := e.flow
	e.charged += tokens
	next := f.counter + float64(tokens)/f.weight
	if tokens < 0 && e.epoch != f.epoch {
		next = max(next, min(f.counter, c.virtual))
	}
	f.counter = next
	c.ready.fix(f)
}

// finish ends a running entry. A class without any work starts afresh, which
// forgets old debts and keeps the counters small.
func (c *class) finish(e *entry) {
	e.flow.running--
	c.running--
	c.rest(e.flow)
	if c.items > 0 || c.running > 0 || c.virtual < renewAt {
		return
	}
	for _, f := range c.flows {
		f.counter = 0
	}
	c.virtual = 0
}

// renewAt is the virtual time from which an idle class starts afresh: far
// below the 2^53 at which a float64 loses whole tokens.
const renewAt = 1 << 40

// ahead returns the work of this class that a new item of the workspace waits
// for, in tokens: all of it, or less where fair service lets the item pass.
func (c *class) ahead(workspace string, weight float64) float64 {
	if c.items == 0 {
		return 0
	}
	own, others := 0.0, c.weight
	if f, ok := c.flows[workspace]; ok && f.items > 0 {
		own, others = float64(f.queued), c.weight-f.weight
	}
	mean := float64(c.queued) / float64(c.items)
	fair := own + (own+mean)/weight*others
	return math.Min(float64(c.queued), fair)
}
