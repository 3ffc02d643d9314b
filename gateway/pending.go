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
	suspected, answered bool
	end                 context.CancelCauseFunc
}

// pendings watches the plain requests in progress. The fleet's lock guards it.
type pendingRequests struct {
	open map[*pending]struct{}
	// usual are the answers by route, targets when each target answered last, and services
	// the newest answers of each service.
	baseline map[string]*answerStats
	targets  map[string]time.Time
	services map[string]*lastAnswers
}

// answers is how long those of one kind of request take, and how often they are failures.
type answerStats struct {
	took     health.AnswerTime
	failures health.FailureRate
}

// maxRoutes bounds the routes whose answers are remembered.
const maxRoutes = 1024

// newest are the last answers of a service: one by any target, and one by another.
type lastAnswers struct {
	target    string
	at, other time.Time
}

func newPendingRequests() pendingRequests {
	return pendingRequests{
		open: map[*pending]struct{}{}, baseline: map[string]*answerStats{},
		targets: map[string]time.Time{}, services: map[string]*lastAnswers{},
	}
}

// answer records an answer of a target.
func (n *lastAnswers) answer(target string, now time.Time) {
	if target != n.target {
		n.target, n.other = target, n.at
	}
	n.at = now
}

// without returns when a target other than the given one answered last.
func (n *lastAnswers) without(target string) time.Time {
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
func (f *fleet) trackPending(ctx context.Context, s sent, c *call) (context.Context, *pending) {
	ctx, end := context.WithCancelCause(ctx)
	p := &pending{
		sent: s, id: c.req.ID, route: c.route.Name, service: c.service,
		mayMove: c.route.Repeatable() && c.ran < c.route.Attempts, end: end,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending.open[p] = struct{}{}
	return ctx, p
}

// answered takes the head of the answer to a plain request. A refusal, which has not run,
// tells nothing but that its target speaks; failed says that the answer is the server's own
// failure.
func (f *fleet) answered(p *pending, ran, failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.answered = true
	w := &f.pending
	w.targets[p.target.ID] = now
	if w.services[p.service] == nil {
		w.services[p.service] = &lastAnswers{}
	}
	w.services[p.service].answer(p.target.ID, now)
	if !ran {
		return
	}
	stats := w.stats(p.route)
	if failed && stats.failures.Rare() {
		f.strike(p.target, causeFailing, now)
	}
	stats.took.Observe(now.Sub(p.started))
	stats.failures.Observe(failed)
}

// kind returns what is known of the answers on a route.
func (w *pendingRequests) stats(route string) *answerStats {
	k := w.baseline[route]
	if k == nil {
		if len(w.baseline) >= maxRoutes {
			clear(w.baseline)
		}
		k = &answerStats{}
		w.baseline[route] = k
	}
	return k
}

// settle ends the watch. A request that ended unanswered counts against a target that was
// doubted, however it ended: callers leave, and deadlines pass, before anything else fails.
func (f *fleet) untrackPending(p *pending) {
	p.end(nil)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending.open, p)
	if p.suspected && !p.answered {
		f.monitor.Fail(p.index, health.Hard, now)
	}
}

// watchPending has no requests sent to targets that answer nothing, and ends the attempts
// there that had better go on elsewhere. It is called with the lock held.
func (f *fleet) watchPending(now time.Time) {
	left := map[string]int{}
	for p := range f.pending.open {
		if !f.unanswered(p, now) {
			continue
		}
		if !p.suspected {
			p.suspected = true
			metricUnanswered.Add(1)
			f.log.Warn("target answers nothing", "id", p.id, "target", p.target.ID, "service", p.service, "ms", now.Sub(p.started).Milliseconds())
			f.suspect(p.target, causeUnanswered, now)
		}
		if p.mayMove && f.spendRetry(left, p.service) {
			p.mayMove = false
			p.end(errUnanswered)
		}
	}
}

// unanswered reports whether a request says that its target should be doubted. It is called
// with the lock held.
func (f *fleet) unanswered(p *pending, now time.Time) bool {
	w := &f.pending
	baseline := w.baseline[p.route]
	if baseline == nil {
		return false
	}
	patience, known := baseline.took.Timeout()
	waits := health.Pending{Sent: p.started, Target: w.targets[p.target.ID], Others: w.services[p.service].without(p.target.ID), Timeout: patience}
	return known && waits.Unanswered(now)
}
