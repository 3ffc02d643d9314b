package main

import (
	"context"
	"expvar"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/admission"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/queue"
)

// passPoll is how often a request that was refused looks whether it may go
// again.
const retryPoll = 40 * time.Millisecond

// admitter lets requests through to the engines of one service: it carries what a
// admission.Pool decides to the requests that wait. It is safe for concurrent use.
type admitter struct {
	log     *slog.Logger
	service string

	mu      sync.Mutex
	pool    *admission.Pool
	waiting map[string]chan admission.Decision
	next    uint64
}

// newAdmitter returns the way to engines that are not known yet.
func newAdmitter(service string, log *slog.Logger) *admitter {
	a := &admitter{
		log: log, service: service,
		pool:    admission.New(newRand()),
		waiting: map[string]chan admission.Decision{},
	}
	a.pool.ColdStart()
	return a
}

// locked runs a step of the pool and tells the requests what it has decided.
func (a *admitter) locked(step func(p *admission.Pool, now time.Time)) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	step(a.pool, now)
	for _, s := range a.pool.Decisions() {
		if ready := a.waiting[s.ID]; ready != nil {
			delete(a.waiting, s.ID)
			ready <- s
		}
	}
}

// resize takes the slots of the engines, by group.
func (a *admitter) resize(slots map[string]int) {
	a.locked(func(p *admission.Pool, now time.Time) { p.SetGroups(slots, now) })
}

// tell takes the load of a group as its steward tells it.
func (a *admitter) reportLoad(l admission.Load) {
	a.locked(func(p *admission.Pool, now time.Time) { p.ReportLoad(l, now) })
}

// silent tells that nothing comes from a group.
func (a *admitter) markStalled(group string, until time.Time) {
	a.locked(func(p *admission.Pool, _ time.Time) { p.MarkStalled(group, until) })
}

// place is where a request runs. Its zero value is nowhere.
type slot struct {
	id, group string
}

// enter waits for a place. A refusal says that the request has not run.
func (a *admitter) acquire(ctx context.Context, c *call) (slot, *outcome.Error) {
	id, ready, refusal := a.enqueue(c)
	if refusal != nil {
		a.setRetryAfter(c, refusal)
		return slot{}, refusal
	}
	select {
	case s := <-ready:
		return a.resolve(c, s)
	case <-ctx.Done():
		return a.withdraw(id, ready)
	}
}

// settled returns the place that a request has got, or its refusal.
func (a *admitter) resolve(c *call, s admission.Decision) (slot, *outcome.Error) {
	if s.Refusal != nil {
		a.setRetryAfter(c, s.Refusal)
		return slot{}, s.Refusal
	}
	return slot{id: s.ID, group: s.Group}, nil
}

// join puts a request into the queue and returns its key and where its turn will
// be told, or refuses it at once.
func (a *admitter) enqueue(c *call) (id string, ready <-chan admission.Decision, refusal *outcome.Error) {
	a.locked(func(p *admission.Pool, now time.Time) {
		a.next++
		id = strconv.FormatUint(a.next, 36)
		turn := make(chan admission.Decision, 1)
		a.waiting[id], ready = turn, turn
		if refusal = p.Enqueue(c.admissionRequest(id), now); refusal != nil {
			delete(a.waiting, id)
		}
	})
	return id, ready, refusal
}

// asked returns the call as a pool sees it.
func (c *call) admissionRequest(id string) admission.Request {
	return admission.Request{
		ID: id, Workspace: c.workspaceName(), Cost: int64(c.cost()), Objective: c.route.Objective,
		Patience: c.firstEventPatience(), Retry: c.returning,
	}
}

// silence is how long the caller waits for the first part of its answer.
func (c *call) firstEventPatience() time.Duration {
	left := c.deadline.Sub(c.arrived)
	if c.route.Silence > 0 {
		return min(c.route.Silence, left)
	}
	return left
}

// withdraw takes back a request whose caller has left or whose time is over.
func (a *admitter) withdraw(id string, ready <-chan admission.Decision) (slot, *outcome.Error) {
	waits := false
	a.locked(func(p *admission.Pool, _ time.Time) {
		if waits = p.Withdraw(id); waits {
			delete(a.waiting, id)
		}
	})
	if waits {
		return slot{}, &outcome.Error{Outcome: outcome.NotRun, Reason: queue.ReasonExpired}
	}
	s := <-ready
	if s.Refusal != nil {
		return slot{}, s.Refusal
	}
	return slot{id: s.ID, group: s.Group}, nil
}

// later sets in a refusal when the caller may come back, if the service is down.
func (a *admitter) setRetryAfter(c *call, refusal *outcome.Error) {
	a.locked(func(p *admission.Pool, now time.Time) {
		if wait, down := p.RetryAfter(c.deadline.Sub(now), now); down {
			refusal.RetryAfter = wait
		}
	})
}

// refused tells that a target has refused the request at a place.
func (a *admitter) refused(at slot, target string) {
	a.locked(func(p *admission.Pool, now time.Time) {
		if p.Refused(at.id, target, now) {
			a.log.Warn("all targets of the group refuse", "service", a.service, "group", at.group, "waiting", p.Load().Items)
		}
	})
}

// accepted tells that a target has taken the request at a place.
func (a *admitter) accepted(at slot) {
	a.locked(func(p *admission.Pool, now time.Time) {
		if p.Accepted(at.id, now) {
			a.log.Info("targets of the group take requests again", "service", a.service, "group", at.group, "waiting", p.Load().Items)
		}
	})
}

// move returns the place for another attempt of a request: its group may stand or be
// lost while others work.
func (a *admitter) move(at slot, requestID string) slot {
	a.locked(func(p *admission.Pool, now time.Time) {
		group, moved := p.Move(at.id, now)
		if moved {
			a.log.Info("another group", "id", requestID, "service", a.service, "group", group, "group-before", at.group)
			at.group = group
		}
	})
	return at
}

// pass waits until a request that was refused may be sent again: a group takes requests,
// and there is a retry for it. It reports false if the request had better be refused: the
// service is down for long, or the time is over that a request waits for its place.
// Without that bound a caller is held to its deadline. A caller that has a part of its
// answer waits on, since nothing can be refused any more.
func (a *admitter) awaitRetry(ctx context.Context, c *call) (waited, ok bool) {
	until := c.arrived.Add(a.maxRetryWait(c))
	for ctx.Err() == nil {
		c.slot = a.move(c.slot, c.req.ID)
		may, lasting := a.mayRetry(c.slot, c.retriesLeft(c.service) >= 1)
		switch {
		case may:
			return waited, true
		case !c.begun && (lasting || time.Now().After(until)):
			return waited, false
		}
		waited = true
		pause.For(ctx, retryPoll)
	}
	return waited, true
}

// longestAgain returns how long after its arrival a request may be sent once more.
func (a *admitter) maxRetryWait(c *call) (longest time.Duration) {
	a.locked(func(p *admission.Pool, now time.Time) { longest = p.MaxRetryWait(c.admissionRequest(c.slot.id), now) })
	return longest
}

// mayPass reports whether the request at a place may be tried again now, if there is a
// retry for it, and whether the service has been down for long.
func (a *admitter) mayRetry(at slot, retry bool) (may, lasting bool) {
	a.locked(func(p *admission.Pool, now time.Time) {
		may = retry && p.MayRetry(at.id, now)
		lasting = p.FailFast(now)
	})
	return may, lasting
}

// began tells how long after its start the request at a place got its first event.
func (a *admitter) observeFirstEvent(at slot, after time.Duration) {
	a.locked(func(p *admission.Pool, _ time.Time) { p.ObserveFirstEvent(at.id, after) })
}

// leave gives the place of a request back.
func (a *admitter) release(at slot, cost float64) {
	a.locked(func(p *admission.Pool, now time.Time) { p.Done(at.id, int64(cost), now) })
}

// tick lets time pass: requests that can no longer start in time are refused.
func (a *admitter) tick() {
	a.locked(func(p *admission.Pool, now time.Time) {
		p.Tick(now)
		a.show(p, now)
	})
}

// show sets the metrics of the queue and, while somebody waits, writes a line.
func (a *admitter) show(p *admission.Pool, now time.Time) {
	l := p.Load()
	set(metricWaiting, a.service, l.Items)
	set(metricRunning, a.service, l.Running)
	set(metricLimit, a.service, l.Slots)
	groups := p.Groups(now)
	for _, g := range groups {
		key := a.service + "/" + g.Group
		set(metricRunning, key, g.Running)
		set(metricLimit, key, g.Limit)
		set(metricWorks, key, boolToInt(g.Available))
	}
	if l.Items > 0 {
		a.log.Info("queue", "service", a.service, "waiting", l.Items, "running", l.Running, "limit", l.Slots,
			"tokens-a-second", int(l.Rate), "groups", groups)
	}
}

func set(m *expvar.Map, key string, n int) {
	v := new(expvar.Int)
	v.Set(int64(n))
	m.Set(key, v)
}

// one is 1 for true.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
