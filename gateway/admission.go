package main

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"verbenashift/core/outcome"
	"verbenashift/core/pause"
	"verbenashift/core/queue"
)

const (
	// comebackPart is the part of its remaining patience after which the caller
	// of a service that is down may come back: the longest that callers honour
	// is a third.
	comebackPart = 0.32
	// firstRate is the first guess of the tokens a second that the engines
	// take from one gateway. It is learned while they are busy.
	firstRate = 20000
	// comebackSpread is the part of that time that is random, so that callers
	// don't come back together.
	comebackSpread = 0.25
	// returnShare is the part of the service that callers who come back may take
	// while others wait. They are late already. With a quarter more callers than
	// places as many are served with any share, but with 0.9 two of ten callers are
	// on time, with 0.3 six (queue.TestOverload).
	returnShare = 0.3
	// passPoll is how often a request that was refused looks whether it may go
	// again.
	passPoll = 40 * time.Millisecond
	// digestValid is how old a digest may be to limit anything.
	digestValid = 1500 * time.Millisecond
)

// admission lets requests through to the engines of one service. It is safe for
// concurrent use.
type admission struct {
	log     *slog.Logger
	service string

	mu    sync.Mutex
	queue *queue.Queue
	gate  queue.Gate
	// firstEvent is how long the engines take to the first event.
	firstEvent queue.ServiceTime
	// slots are those of all engines; told is when their load was.
	slots   int
	told    time.Time
	waiting map[string]chan *outcome.Error
	// emptyAt is when nobody waited last.
	emptyAt time.Time
	next    uint64
	shed    []queue.Shed
}

// newAdmission returns the admission to engines that has no limit yet.
func newAdmission(service string, log *slog.Logger) *admission {
	return &admission{
		log: log, service: service,
		queue:   queue.New(queue.Limits{Slots: 1, Rate: firstRate, UrgentShare: returnShare}, newRand()),
		waiting: map[string]chan *outcome.Error{},
	}
}

// resize takes a new number of slots of the engines.
func (a *admission) resize(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.queue.SetSlots(slots)
}

// engines takes the load of the engines as it was told.
func (a *admission) engines(running, queued int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told = now
	e := queue.Engines{Slots: a.slots, Running: running, Queued: queued}
	a.queue.SetSlots(queue.Allowed(e, a.queue.Load().Running))
	a.pump(now)
}

// enter waits for a place and returns the key that leave takes. A refusal says
// that the request has not run.
func (a *admission) enter(ctx context.Context, c *call) (string, *outcome.Error) {
	id, ready, refusal := a.join(c, time.Now())
	if refusal != nil {
		a.later(c, refusal)
		return "", refusal
	}
	select {
	case refusal := <-ready:
		if refusal != nil {
			a.later(c, refusal)
		}
		return id, refusal
	case <-ctx.Done():
		return a.withdraw(id, ready)
	}
}

// join puts a request into the queue and returns its key and where its turn will
// be told, or refuses it at once.
func (a *admission) join(c *call, now time.Time) (string, <-chan *outcome.Error, *outcome.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate.Lasting(now) {
		return "", nil, &outcome.Error{Outcome: outcome.NotRun, Reason: queue.ReasonDown}
	}
	a.next++
	id := strconv.FormatUint(a.next, 36)
	item := queue.Item{ID: id, Workspace: c.workspaceName(), Priority: priorityOf(c), Cost: int64(c.cost()), Deadline: a.latestStart(c, now)}
	if refusal := a.queue.Enqueue(item, now); refusal != nil {
		return "", nil, refusal
	}
	ready := make(chan *outcome.Error, 1)
	a.waiting[id] = ready
	a.pump(now)
	return id, ready, nil
}

// withdraw takes back a request whose caller has left or whose time is over.
func (a *admission) withdraw(id string, ready <-chan *outcome.Error) (string, *outcome.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, waits := a.queue.Remove(id); !waits {
		return id, <-ready
	}
	delete(a.waiting, id)
	return "", &outcome.Error{Outcome: outcome.NotRun, Reason: queue.ReasonExpired}
}

// priorityOf puts callers that come back before the others: they are late
// already, and a second refusal is mostly the last.
func priorityOf(c *call) queue.Priority {
	if c.returning {
		return queue.Urgent
	}
	return queue.Normal
}

// latestStart is when a request must have started.
func (a *admission) latestStart(c *call, now time.Time) time.Time {
	w := queue.Wait{
		Objective: c.route.Objective, Service: a.firstEvent.Usual(),
		Line: a.line(now), Returning: c.returning, Closed: a.gate.Closed(),
	}
	return now.Add(w.Longest())
}

// later sets in a refusal when the caller may come back.
func (a *admission) later(c *call, refusal *outcome.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.comeback(c, refusal, time.Now())
}

// comeback sets when the caller of a service that is down may come back. The
// queue's own answer follows from its rate, which says nothing then: callers
// would be back while the service is still down, and lost.
func (a *admission) comeback(c *call, refusal *outcome.Error, now time.Time) {
	if a.gate.Closed() {
		left := float64(c.deadline.Sub(now))
		refusal.RetryAfter = time.Duration(left * comebackPart * (1 - comebackSpread*rand.Float64()))
	}
}

// pump starts what may start and answers what was shed. It is called with the
// lock held.
func (a *admission) pump(now time.Time) {
	// Also while nothing may start: a request must not wait beyond its limit
	// because the gate is closed.
	a.queue.Expire(now)
	for l := a.queue.Load(); l.Items > 0 && l.Running < l.Slots && a.gate.Pass(now); l = a.queue.Load() {
		item, ok := a.queue.Next(now)
		if !ok {
			break
		}
		a.tell(item.ID, nil)
	}
	a.shed = a.queue.TakeShed(a.shed[:0])
	for _, s := range a.shed {
		a.tell(s.ID, s.Refusal)
	}
	// A line that has ended is noticed also while nobody comes.
	a.line(now)
}

// line notices whether anybody waits, and returns how long others have been waiting
// without a break.
func (a *admission) line(now time.Time) time.Duration {
	if a.queue.Load().Items == 0 {
		a.emptyAt = now
	}
	return now.Sub(a.emptyAt)
}

func (a *admission) tell(id string, refusal *outcome.Error) {
	if ready := a.waiting[id]; ready != nil {
		delete(a.waiting, id)
		ready <- refusal
	}
}

// refused tells that a target has refused a request.
func (a *admission) refused(target string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate.Refused(target, now) {
		a.log.Warn("all targets refuse, requests wait", "service", a.service)
	}
}

// accepted tells that a target has taken a request.
func (a *admission) accepted() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate.Accepted() {
		a.log.Info("targets take requests again", "service", a.service, "waiting", a.queue.Load().Items)
		a.queue.SetSlots(queue.Reopened(a.slots))
		a.told = now
		a.pump(now)
	}
}

// pass waits until a request that was refused may be tried again. It reports
// false if the request had better be refused: the service is down for long, or
// the time is over that a request waits for a service that is down. Without that
// bound a caller is held to its deadline. A caller that has a part of its answer
// waits on, since nothing can be refused any more.
func (a *admission) pass(ctx context.Context, c *call) bool {
	until := c.arrived.Add(queue.LongestAgain(c.returning))
	for ctx.Err() == nil {
		switch now := time.Now(); {
		case a.mayPass(now):
			return true
		case !c.begun && (a.lasting(now) || now.After(until)):
			return false
		}
		pause.For(ctx, passPoll)
	}
	return true
}

func (a *admission) mayPass(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Pass(now)
}

func (a *admission) lasting(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Lasting(now)
}

// began tells how long after its start a request got its first event.
func (a *admission) began(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.firstEvent.Observe(d)
}

// leave gives the place of a request back.
func (a *admission) leave(id string, cost float64) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Done(id, int64(cost), now)
	a.pump(now)
}

// tick lets time pass: requests that can no longer start in time are refused.
func (a *admission) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.told) > digestValid {
		a.queue.SetSlots(a.slots)
	}
	a.pump(now)
	a.show()
	if l := a.queue.Load(); l.Items > 0 {
		a.log.Info("queue", "service", a.service, "waiting", l.Items, "running", l.Running, "limit", l.Slots, "tokens-a-second", int(l.Rate))
	}
}

// show sets the metrics of the queue.
func (a *admission) show() {
	l := a.queue.Load()
	set(metricWaiting, a.service, l.Items)
	set(metricRunning, a.service, l.Running)
	set(metricLimit, a.service, l.Slots)
}

func set(m *expvar.Map, key string, n int) {
	v := new(expvar.Int)
	v.Set(int64(n))
	m.Set(key, v)
}
