package routing

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"verbenashift/core/request/route"
)

// The figures of one target, near those of one server in a fleet of 670 that
// generates 2.2 million tokens a second.
const (
	model       = "caption"
	meanCost    = 350.0
	targetRate  = 3300.0 // tokens a second
	targetSlots = 8
	stepMs      = 20.0
	cachedMax   = 12 // prefixes a target keeps
	// shedAfter is the wait in its queue at which an agent refuses.
	shedAfter = 2 * time.Second
	// breakAfter is when a breaking target's connection breaks.
	breakAfter = 50 * time.Millisecond
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clock is virtual time.
type clock struct {
	now    time.Duration
	seq    int
	queue  events
	random *rand.Rand
}

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + d, c.seq, do})
}

// every repeats something until the clock stops.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// exponential returns a random time with the given mean in seconds.
func (c *clock) exponential(mean float64) time.Duration {
	return time.Duration(c.random.ExpFloat64() * mean * float64(time.Second))
}

// condition is how a target behaves.
type condition int

const (
	working condition = iota
	// refusing targets take no connection.
	refusing
	// breaking targets run the request, and break the connection.
	breaking
)

// job is one request on its way.
type job struct {
	cost    float64
	prefix  uint64
	arrived time.Duration
	booking bool // may not be repeated
	tried   route.Exclude
	runs    int
	tries   int
	done    func(started time.Duration, end ending)
}

// ending is how an attempt ended.
type ending int

const (
	completed ending = iota
	notSent
	refused
	broke
)

// target is a queue before a batch.
type target struct {
	*clock
	condition condition
	slow      float64 // factor on all times
	// rateSeen is when the agent's measured rate has caught up with slow.
	rateSeen time.Duration
	running  int
	queue    []*job
	queued   float64
	cache    []uint64 // most recent last
	// work is the time spent in the batch, taken the requests.
	work      float64
	taken     int
	hits      int
	incarnate uint64
}

// load is what the agent says at first hand. Its measured rate trails the
// true one.
func (g *target) load() route.Load {
	rate := targetRate
	if g.now >= g.rateSeen {
		rate /= g.slow
	}
	return route.Load{
		Incarnation: g.incarnate, Queued: g.queued, Running: g.running, Rate: rate, StepMs: stepMs * g.slow,
	}
}

func (g *target) submit(j *job) {
	switch {
	case g.condition == refusing:
		j.done(g.now, notSent)
	case g.condition == breaking:
		j.runs++
		g.after(breakAfter, func() { j.done(g.now, broke) })
	case g.queued/(targetRate/g.slow) > shedAfter.Seconds():
		j.done(g.now, refused)
	default:
		g.taken++
		g.queue = append(g.queue, j)
		g.queued += j.cost
		g.fill()
	}
}

// fill moves requests from the queue to free places of the batch.
func (g *target) fill() {
	for g.running < targetSlots && len(g.queue) > 0 {
		j := g.queue[0]
		g.queue = g.queue[1:]
		g.queued = math.Max(0, g.queued-j.cost)
		g.running++
		j.runs++
		started := g.now
		seconds := g.charge(j) / (targetRate / targetSlots) * g.slow
		g.work += seconds
		g.after(time.Duration(seconds*float64(time.Second)), func() {
			g.running--
			g.fill()
			j.done(started, completed)
		})
	}
}

// charge returns the work a request costs, less what its prefix saves.
func (g *target) charge(j *job) float64 {
	if j.prefix == 0 {
		return j.cost
	}
	hit := false
	kept := g.cache[:0]
	for _, p := range g.cache {
		if p == j.prefix {
			hit = true
			continue
		}
		kept = append(kept, p)
	}
	g.cache = append(kept, j.prefix)
	if len(g.cache) > cachedMax {
		g.cache = g.cache[1:]
	}
	if !hit {
		return j.cost
	}
	g.hits++
	return j.cost * (1 - savedPart)
}

// savedPart is the part of a request's work that a cached prefix saves.
const savedPart = 0.4
