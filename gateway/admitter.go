package main

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/admission"
	"verbenashift/core/request/headroom"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/queue"
)

// retryPoll is how often a refused request checks whether it may be sent again.
const retryPoll = 40 * time.Millisecond

// admitter admits requests to the engines of one service: it delivers the decisions of an
// admission.Pool to the waiting requests. It is safe for concurrent use.
type admitter struct {
	log     *slog.Logger
	service string

	mu      sync.Mutex
	pool    *admission.Pool
	waiting map[string]chan admission.Decision
	next    uint64
	// noted is what was logged of the demand of all gateways, by group.
	noted map[string]demandNote
	// usable is the number of usable slots that was logged last, of each group where it is less than
	// all.
	usable map[string]int
}

// newAdmitter returns an admitter whose engines are not known yet.
func newAdmitter(service string, log *slog.Logger) *admitter {
	a := &admitter{
		log: log, service: service,
		pool:    admission.New(newRand()),
		waiting: map[string]chan admission.Decision{},
		noted:   map[string]demandNote{},
		usable:  map[string]int{},
	}
	a.pool.ColdStart()
	return a
}

// locked calls step with the pool and delivers the decisions that result.
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

// resize sets the slots of the engines, by group.
func (a *admitter) resize(slots map[string]int) {
	a.locked(func(p *admission.Pool, now time.Time) { p.SetGroups(slots, now) })
}

// setEngine sets what a pass of the engines takes and the shortest pause between events that
// callers accept.
func (a *admitter) setEngine(e *deployment.Engine, pause time.Duration) {
	a.locked(func(p *admission.Pool, _ time.Time) {
		p.SetPassCost(headroom.Cost{Base: e.PassTime, PerRequest: e.RequestTime, Reading: e.PromptTime}, e.Slots, pause)
	})
}

// setClasses sets the number of classes of its requests.
func (a *admitter) setClasses(n int) {
	a.locked(func(p *admission.Pool, now time.Time) { p.SetClasses(n, now) })
}

// reportLoad records the load of a group as reported by its coordinator.
func (a *admitter) reportLoad(l admission.Load) {
	a.locked(func(p *admission.Pool, now time.Time) { p.ReportLoad(l, now) })
}

// markStalled records that a group makes no progress.
func (a *admitter) markStalled(group string, until time.Time) {
	a.locked(func(p *admission.Pool, _ time.Time) { p.MarkStalled(group, until) })
}

// slot is where a request runs. Its zero value is no slot.
type slot struct {
	id, group string
}

// acquire waits for a slot. A refusal means that the request has not run.
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
		return a.withdraw(c, id, ready)
	}
}

// resolve returns the slot that a request was given, or its refusal.
func (a *admitter) resolve(c *call, s admission.Decision) (slot, *outcome.Error) {
	c.hold = s.Hold
	if s.Refusal != nil {
		a.setRetryAfter(c, s.Refusal)
		return slot{}, s.Refusal
	}
	return slot{id: s.ID, group: s.Group}, nil
}

// enqueue adds a request to the queue and returns its key and the channel of its
// decision, or refuses it at once.
func (a *admitter) enqueue(c *call) (id string, ready <-chan admission.Decision, refusal *outcome.Error) {
	a.locked(func(p *admission.Pool, now time.Time) {
		a.next++
		id = strconv.FormatUint(a.next, 36)
		decision := make(chan admission.Decision, 1)
		a.waiting[id], ready = decision, decision
		if refusal = p.Enqueue(c.admissionRequest(id), now); refusal != nil {
			delete(a.waiting, id)
			c.hold = p.Hold(c.class, now)
		}
	})
	return id, ready, refusal
}

// admissionRequest returns the call as the request of an admission.Pool.
func (c *call) admissionRequest(id string) admission.Request {
	return admission.Request{
		ID: id, Workspace: c.workspaceName(), Cost: int64(c.cost()), Objective: c.route.Objective,
		CallerTimeout: c.firstEventTimeout(), Retry: c.returning, Class: c.class,
	}
}

// firstEventTimeout returns how long the caller waits for the first part of its answer.
func (c *call) firstEventTimeout() time.Duration {
	left := c.deadline.Sub(c.arrived)
	if c.route.StreamIdleTimeout > 0 {
		return min(c.route.StreamIdleTimeout, left)
	}
	return left
}

// withdraw removes a request whose caller has left or whose deadline has passed.
func (a *admitter) withdraw(c *call, id string, ready <-chan admission.Decision) (slot, *outcome.Error) {
	waits := false
	a.locked(func(p *admission.Pool, now time.Time) {
		if waits = p.Withdraw(id); waits {
			delete(a.waiting, id)
			c.hold = p.Hold(c.class, now)
		}
	})
	if waits {
		return slot{}, &outcome.Error{Outcome: outcome.NotRun, Reason: queue.ReasonExpired}
	}
	s := <-ready
	c.hold = s.Hold
	if s.Refusal != nil {
		return slot{}, s.Refusal
	}
	return slot{id: s.ID, group: s.Group}, nil
}

// setRetryAfter sets when the caller may retry after a refusal, if the service is down.
func (a *admitter) setRetryAfter(c *call, refusal *outcome.Error) {
	a.locked(func(p *admission.Pool, now time.Time) {
		if wait, down := p.RetryAfter(c.class, c.deadline.Sub(now), now); down {
			refusal.RetryAfter = wait
		}
	})
}

// refused records that a target has refused the request in a slot.
func (a *admitter) refused(at slot, target string) {
	a.locked(func(p *admission.Pool, now time.Time) {
		if p.Refused(at.id, target, now) {
			a.log.Warn("all targets of the group refuse", "service", a.service, "group", at.group, "waiting", p.Load().Items)
		}
	})
}

// accepted records that a target has accepted the request in a slot.
func (a *admitter) accepted(at slot) {
	a.locked(func(p *admission.Pool, now time.Time) {
		if p.Accepted(at.id, now) {
			a.log.Info("targets of the group take requests again", "service", a.service, "group", at.group, "waiting", p.Load().Items)
		}
	})
}

// move returns the slot for another attempt of a request: its group may have stalled or
// been removed while others work.
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

// awaitRetry waits until a refused request may be sent again: a group accepts requests, and
// the retry budget allows it. It reports false if the request should be refused, because the
// service has been down for long or the longest wait for a slot is over. Without that bound
// a caller would be held until its deadline. A caller that has received a part of its answer
// keeps waiting, since its request can no longer be refused.
func (a *admitter) awaitRetry(ctx context.Context, c *call) (waited, ok bool) {
	until := c.arrived.Add(a.maxRetryWait(c))
	for ctx.Err() == nil {
		c.slot = a.move(c.slot, loggedID(c.req.ID))
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

// maxRetryWait returns how long after its arrival a request may be sent once more.
func (a *admitter) maxRetryWait(c *call) (longest time.Duration) {
	a.locked(func(p *admission.Pool, now time.Time) { longest = p.MaxRetryWait(c.admissionRequest(c.slot.id), now) })
	return longest
}

// mayRetry reports whether the request in a slot may be sent again now, given whether the
// budget has a retry for it, and whether the service has been down for long.
func (a *admitter) mayRetry(at slot, retry bool) (may, lasting bool) {
	a.locked(func(p *admission.Pool, now time.Time) {
		may = retry && p.MayRetry(at.id, now)
		lasting = p.FailFast(now)
	})
	return may, lasting
}

// observeFirstEvent records how long after its start the request in a slot got its first event.
func (a *admitter) observeFirstEvent(at slot, after time.Duration) {
	a.locked(func(p *admission.Pool, _ time.Time) { p.ObserveFirstEvent(at.id, after) })
}

// observePause records the pause between two events of the request in a slot.
func (a *admitter) observePause(at slot, pause time.Duration) {
	a.locked(func(p *admission.Pool, now time.Time) { p.ObservePause(at.id, pause, now) })
}

// release returns the slot of a request.
func (a *admitter) release(at slot, cost float64) {
	a.locked(func(p *admission.Pool, now time.Time) { p.Done(at.id, int64(cost), now) })
}

// tick refuses the requests that can no longer start in time, and updates the metrics.
func (a *admitter) tick() {
	a.locked(func(p *admission.Pool, now time.Time) {
		p.Tick(now)
		a.show(p, now)
	})
}
