package queue

import "math"

// entry is a request that waits or runs.
type entry struct {
	Item
	flow       *flow
	prev, next *entry
	running    bool
	deadlineAt int
	// charged is what has been charged to the flow's counter so far, in tokens, served what the
	// target has reported.
	charged, served int64
	// contested reports whether a lower class waited when the entry was started.
	contested bool
	epoch     uint64
}

// flow is the work of one workspace in one class.
type flow struct {
	workspace string
	weight    float64
	// counter is the service received so far, in tokens over weight.
	counter float64
	// order breaks ties: the flow that has waited longest goes first.
	order      uint64
	head, tail *entry
	queued     int64
	items      int
	running    int
	// epoch is incremented each time the counter is raised after an idle time.
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

// class holds the flows of one priority. It implements start-time fair queueing: the virtual
// time is the counter at which the last item was started, the counter of a flow that becomes
// active after an idle time is raised to it, and the flow with the lowest counter goes first.
// (Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996; Sheng et al., "Fairness in Serving
// Large Language Models", 2024, charge a running response as its tokens come.)
type class struct {
	flows       map[string]*flow
	ready       indexedHeap[*flow]
	longest     indexedHeap[*flow]
	virtualTime float64
	order       uint64
	queued      int64
	items       int
	running     int
	// waitingWeight is the total weight of the flows that wait.
	waitingWeight float64
	// activeWeight is the total weight of the flows that wait or run.
	activeWeight float64
	// share is the part of the service that the class may take from the classes below it while
	// they wait; credit is what it may take now, in tokens.
	share, credit float64
	cleanupAt     int
}

const minCleanupSize = 64

func newClass(share, burst float64) class {
	c := class{flows: make(map[string]*flow), share: share, credit: burst, cleanupAt: minCleanupSize}
	c.ready = indexedHeap[*flow]{before: lowerCounter, index: func(f *flow) *int { return &f.readyAt }}
	c.longest = indexedHeap[*flow]{before: longerBacklog, index: func(f *flow) *int { return &f.longestAt }}
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

// queueShare returns the part of the queue for this class and those above it.
func (c *class) queueShare() float64 {
	if c.share == 0 {
		return 1
	}
	return c.share
}

// flow returns the workspace's flow, creating it if it is missing.
func (c *class) flow(workspace string) *flow {
	if f, ok := c.flows[workspace]; ok {
		return f
	}
	if len(c.flows) >= c.cleanupAt {
		c.removeIdleFlows()
	}
	f := &flow{workspace: workspace, weight: 1, readyAt: -1, longestAt: -1}
	c.flows[workspace] = f
	return f
}

// removeIdleFlows deletes idle flows whose counter is not ahead of the virtual time. It runs
// each time the table has doubled, so that its amortized cost is constant per flow created.
func (c *class) removeIdleFlows() {
	for name, f := range c.flows {
		if f.items == 0 && f.running == 0 && f.counter <= c.virtualTime {
			delete(c.flows, name)
		}
	}
	c.cleanupAt = 2*len(c.flows) + minCleanupSize
}

func (c *class) add(e *entry) {
	f := c.flow(e.Workspace)
	if f.items == 0 {
		c.activate(f, e.Weight)
	} else if f.weight != e.Weight {
		c.waitingWeight += e.Weight - f.weight
		c.activeWeight += e.Weight - f.weight
		f.weight = e.Weight
	}
	f.append(e)
	c.queued += e.Cost
	c.items++
	c.longest.fix(f)
}

// activate adds an idle flow to those that wait and raises its counter to the virtual time.
// That guards against a workspace that saves up service: otherwise one that was idle for an
// hour would hold the lowest counter and block the others for as long.
func (c *class) activate(f *flow, weight float64) {
	if f.counter < c.virtualTime {
		f.counter = c.virtualTime
		f.epoch++
	}
	c.order++
	f.order = c.order
	if f.running > 0 {
		c.activeWeight -= f.weight
	}
	f.weight = weight
	c.waitingWeight += weight
	c.activeWeight += weight
	c.ready.push(f)
	c.longest.push(f)
}

// removeWaiting removes a waiting entry.
func (c *class) removeWaiting(e *entry) {
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
	c.waitingWeight -= f.weight
	c.deactivateIfIdle(f)
	if c.items == 0 {
		c.waitingWeight = 0
	}
}

// deactivateIfIdle subtracts the weight of a flow that neither waits nor runs from the active
// weight.
func (c *class) deactivateIfIdle(f *flow) {
	if f.items == 0 && f.running == 0 {
		c.activeWeight -= f.weight
	}
	if c.items == 0 && c.running == 0 {
		c.activeWeight = 0
	}
}

// start removes the flow's next entry from the queue and charges its expected cost.
func (c *class) start(f *flow) *entry {
	e := f.head
	c.virtualTime = max(c.virtualTime, f.counter)
	f.running++
	c.running++
	c.removeWaiting(e)
	c.order++
	f.order = c.order
	e.running, e.epoch = true, f.epoch
	c.charge(e, e.Cost)
	return e
}

// charge adds tokens to what the entry has cost its flow; negative tokens give back an estimate
// that was too high. A charge from before an idle time is not given back below the virtual
// time, since that would be saved service.
func (c *class) charge(e *entry, tokens int64) {
	f := e.flow
	e.charged += tokens
	next := f.counter + float64(tokens)/f.weight
	if tokens < 0 && e.epoch != f.epoch {
		next = max(next, min(f.counter, c.virtualTime))
	}
	f.counter = next
	c.ready.fix(f)
}

// finish ends a running entry. A class without any work resets its counters, which clears old
// debts and keeps the counters small.
func (c *class) finish(e *entry) {
	e.flow.running--
	c.running--
	c.deactivateIfIdle(e.flow)
	if c.items > 0 || c.running > 0 || c.virtualTime < resetThreshold {
		return
	}
	for _, f := range c.flows {
		f.counter = 0
	}
	c.virtualTime = 0
}

// resetThreshold is the virtual time from which an idle class resets its counters: far below
// the 2^53 at which a float64 loses whole tokens.
const resetThreshold = 1 << 40

// workAhead returns the work of this class that goes before a new item of the workspace, in
// tokens: all of it, or less where fair queueing lets the item overtake.
func (c *class) workAhead(workspace string, weight float64) float64 {
	if c.items == 0 {
		return 0
	}
	own, others := 0.0, c.waitingWeight
	if f, ok := c.flows[workspace]; ok && f.items > 0 {
		own, others = float64(f.queued), c.waitingWeight-f.weight
	}
	mean := float64(c.queued) / float64(c.items)
	fair := own + (own+mean)/weight*others
	return math.Min(float64(c.queued), fair)
}
