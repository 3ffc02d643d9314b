package main

import (
	"context"
	"errors"
	"time"

	"verbenashift/core/membership/health"
)

// errUnanswered is why an attempt is ended whose target answers nothing while others do.
var errUnanswered = errors.New("target answers nothing while others do")

// pending is a plain request in progress.
type pending struct {
	sent
	id, route, service string
	// mayMove says that another server may run the request.
	mayMove bool
	// doubted says that its target was found to answer nothing, answered that it has.
	doubted, answered bool
	end               context.CancelCauseFunc
}

// pendings watches the plain requests in progress. The fleet's lock guards it.
type pendings struct {
	open map[*pending]struct{}
	// usual are the answers by route, targets when each target answered last, and services
	// the newest answers of each service.
	usual    map[string]*answers
	targets  map[string]time.Time
	services map[string]*newest
}

// answers is how long those of one kind of request take, and how often they are failures.
type answers struct {
	took     health.AnswerTime
	failures health.FailureRate
}

// maxRoutes bounds the routes whose answers are remembered.
const maxRoutes = 1024

// newest are the last answers of a service: one by any target, and one by another.
type newest struct {
	target    string
	at, other time.Time
}

func newPendings() pendings {
	return pendings{
		open: map[*pending]struct{}{}, usual: map[string]*answers{},
		targets: map[string]time.Time{}, services: map[string]*newest{},
	}
}

// answer records an answer of a target.
func (n *newest) answer(target string, now time.Time) {
	if target != n.target {
		n.target, n.other = target, n.at
	}
	n.at = now
}

// without returns when a target other than the given one answered last.
func (n *newest) without(target string) time.Time {
	if n == nil {
		return time.Time{}
	}
	if target == n.target {
		return n.other
	}
	return n.at
}

// expect watches an attempt at a plain request: its context ends if the target answers
// nothing and another server may run the request.
func (f *fleet) expect(ctx context.Context, s sent, c *call) (context.Context, *pending) {
	ctx, end := context.WithCancelCause(ctx)
	p := &pending{
		sent: s, id: c.req.ID, route: c.route.Name, service: c.service,
		mayMove: c.route.Repeatable() && c.ran < c.route.MaxAttempts, end: end,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendings.open[p] = struct{}{}
	return ctx, p
}

// answered takes the head of the answer to a plain request. A refusal, which has not run,
// tells nothing but that its target speaks; failed says that the answer is the server's own
// failure.
func (f *fleet) answered(p *pending, ran, failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.answered = true
	w := &f.pendings
	w.targets[p.target.ID] = now
	if w.services[p.service] == nil {
		w.services[p.service] = &newest{}
	}
	w.services[p.service].answer(p.target.ID, now)
	if !ran {
		return
	}
	kind := w.kind(p.route)
	if failed && kind.failures.Rare() {
		f.strike(p.target, causeFailing, now)
	}
	kind.took.Observe(now.Sub(p.started))
	kind.failures.Observe(failed)
}

// kind returns what is known of the answers on a route.
func (w *pendings) kind(route string) *answers {
	k := w.usual[route]
	if k == nil {
		if len(w.usual) >= maxRoutes {
			clear(w.usual)
		}
		k = &answers{}
		w.usual[route] = k
	}
	return k
}

// settle ends the watch. A request that ended unanswered counts against a target that was
// doubted, however it ended: callers leave, and deadlines pass, before anything else fails.
func (f *fleet) settle(p *pending) {
	p.end(nil)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pendings.open, p)
	if p.doubted && !p.answered {
		f.monitor.Fail(p.index, health.Hard, now)
	}
}

// watchPending has no requests sent to targets that answer nothing, and ends the attempts
// there that had better go on elsewhere. It is called with the lock held.
func (f *fleet) watchPending(now time.Time) {
	left := map[string]int{}
	for p := range f.pendings.open {
		if !f.unanswered(p, now) {
			continue
		}
		if !p.doubted {
			p.doubted = true
			metricUnanswered.Add(1)
			f.log.Warn("target answers nothing", "id", p.id, "target", p.target.ID, "service", p.service, "ms", now.Sub(p.started).Milliseconds())
			f.doubt(p.target, causeUnanswered, now)
		}
		if p.mayMove && f.spend(left, p.service) {
			p.mayMove = false
			p.end(errUnanswered)
		}
	}
}

// unanswered reports whether a request says that its target should be doubted. It is called
// with the lock held.
func (f *fleet) unanswered(p *pending, now time.Time) bool {
	w := &f.pendings
	usual := w.usual[p.route]
	if usual == nil {
		return false
	}
	patience, known := usual.took.Timeout()
	waits := health.Pending{Sent: p.started, Target: w.targets[p.target.ID], Others: w.services[p.service].without(p.target.ID), Timeout: patience}
	return known && waits.Unanswered(now)
}
