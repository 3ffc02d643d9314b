package routing

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"verbenashift/core/request/route"
)

// The properties of one target, close to those of one server in a fleet of 670
// that generates 2.2 million tokens per second.
const (
	model             = "caption"
	meanCost          = 350.0
	targetRate        = 3300.0 // tokens a second
	targetSlots       = 8
	stepMs            = 20.0
	maxCachedPrefixes = 12 // prefixes that a target caches
	// maxQueueWait is the queue wait above which an agent refuses requests.
	maxQueueWait = 2 * time.Second
	// breakAfter is the time after which a breaking target closes the
	// connection of a request.
	breakAfter = 50 * time.Millisecond
)

// event is a function to call at a virtual time. Events at the same time run in
// the order of seq.
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

// clock is a discrete-event loop in virtual time.
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

// every calls do at intervals of d until the clock stops.
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

// condition is the state of a target: working, or failing in one of two ways.
type condition int

const (
	working condition = iota
	// refusing targets refuse connections.
	refusing
	// breaking targets run the request and break its connection.
	breaking
)

// job is one request in progress.
type job struct {
	cost          float64
	prefix        uint64
	arrived       time.Duration
	mayNotRepeat  bool
	excluded      route.Exclude
	runs          int
	naiveAttempts int
	done          func(started time.Duration, end attemptOutcome)
}

// attemptOutcome is the outcome of an attempt.
type attemptOutcome int

const (
	completed attemptOutcome = iota
	notSent
	refused
	broken
)

// target is a queue in front of a batch.
type target struct {
	*clock
	condition condition
	slow      float64 // factor by which all times are longer
	// rateMeasuredAt is the time at which the agent's measured rate starts to
	// reflect slow.
	rateMeasuredAt time.Duration
	running        int
	queue          []*job
	queued         float64
	cache          []uint64 // most recent last
	// work is the sum of the times, in seconds, that requests spend in the
	// batch; accepted is the number of requests.
	work        float64
	accepted    int
	hits        int
	incarnation uint64
}

// load returns the load that the agent reports directly. Its measured rate
// trails the true one.
func (g *target) load() route.Load {
	rate := targetRate
	if g.now >= g.rateMeasuredAt {
		rate /= g.slow
	}
	return route.Load{
		Incarnation: g.incarnation, Queued: g.queued, Running: g.running, Rate: rate, StepMs: stepMs * g.slow,
	}
}

func (g *target) submit(j *job) {
	switch {
	case g.condition == refusing:
		j.done(g.now, notSent)
	case g.condition == breaking:
		j.runs++
		g.after(breakAfter, func() { j.done(g.now, broken) })
	case g.queued/(targetRate/g.slow) > maxQueueWait.Seconds():
		j.done(g.now, refused)
	default:
		g.accepted++
		g.queue = append(g.queue, j)
		g.queued += j.cost
		g.fill()
	}
}

// fill moves requests from the queue to free slots of the batch.
func (g *target) fill() {
	for g.running < targetSlots && len(g.queue) > 0 {
		j := g.queue[0]
		g.queue = g.queue[1:]
		g.queued = math.Max(0, g.queued-j.cost)
		g.running++
		j.runs++
		started := g.now
		seconds := g.serviceCost(j) / (targetRate / targetSlots) * g.slow
		g.work += seconds
		g.after(time.Duration(seconds*float64(time.Second)), func() {
			g.running--
			g.fill()
			j.done(started, completed)
		})
	}
}

// serviceCost returns the cost of a request, less what a cached prefix saves, and
// adds the prefix to the cache.
func (g *target) serviceCost(j *job) float64 {
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
	if len(g.cache) > maxCachedPrefixes {
		g.cache = g.cache[1:]
	}
	if !hit {
		return j.cost
	}
	g.hits++
	return j.cost * (1 - cacheSavings)
}

// cacheSavings is the fraction of a request's cost that a cached prefix saves.
const cacheSavings = 0.4
