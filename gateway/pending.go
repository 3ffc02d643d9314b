package main

import (
	"context"
	"errors"
	"time"

	"verbenashift/core/membership/health"
)

// errUnanswered is the cause when an attempt is canceled because its target does not answer
// while others do.
var errUnanswered = errors.New("target answers nothing while others do")

// pending is a plain request in progress.
type pending struct {
	activeAttempt
	id, route, service string
	objective          time.Duration
	// mayMove is set if another server may run the request.
	mayMove bool
	// suspected is set once its target was found not to answer, answered once it has.
	suspected, answered bool
	end                 context.CancelCauseFunc
}

// pendingRequests tracks the plain requests in progress. The fleet's lock guards it.
type pendingRequests struct {
	open map[*pending]struct{}
	// baseline holds the statistics of answers by route, targets when each target answered
	// last, and services the last answers of each service.
	baseline map[string]*answerStats
	targets  map[string]time.Time
	services map[string]*lastAnswers
}

// answerStats is how long the answers on one route take, and how often they are failures.
type answerStats struct {
	took     health.AnswerTime
	failures health.FailureRate
}

// maxRoutes bounds the routes whose answers are remembered.
const maxRoutes = 1024

// lastAnswers holds the times of the last answer of a service and of the last one by
// another target.
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

// trackPending tracks an attempt at a plain request: its context is canceled if the target
// does not answer and another server may run the request.
func (f *fleet) trackPending(ctx context.Context, s activeAttempt, c *call) (context.Context, *pending) {
	ctx, end := context.WithCancelCause(ctx)
	p := &pending{
		activeAttempt: s, id: loggedID(c.req.ID), route: c.route.Name, service: c.service, objective: c.route.Objective,
		mayMove: c.route.Repeatable() && c.ran < c.route.MaxAttempts, end: end,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingRequests.open[p] = struct{}{}
	return ctx, p
}

// answered records the head of the answer to a plain request. A refusal, which has not run,
// shows only that its target responds. Failed is set if the answer is the server's own
// error.
func (f *fleet) answered(p *pending, ran, failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.answered = true
	w := &f.pendingRequests
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
	took := now.Sub(p.started)
	if p.target.slowAnswers.Add(stats.took.TooSlow(took, p.objective)) {
		f.suspect(p.target, causeSlow, now)
	}
	stats.took.Observe(took)
	stats.failures.Observe(failed)
}

// stats returns the statistics of the answers on a route.
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

// untrackPending ends the tracking. A request that ended unanswered counts as a failure of a
// suspected target, however it ended: callers disconnect and deadlines pass before anything
// else fails.
func (f *fleet) untrackPending(p *pending) {
	p.end(nil)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pendingRequests.open, p)
	if p.suspected && !p.answered {
		f.monitor.Fail(p.index, health.Hard, now)
	}
}

// watchPending marks targets that do not answer as suspected, and cancels the attempts
// there that should be repeated elsewhere. It is called with the lock held.
func (f *fleet) watchPending(now time.Time) {
	left := map[string]int{}
	for p := range f.pendingRequests.open {
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

// unanswered reports whether a pending request makes its target suspect. It is called with
// the lock held.
func (f *fleet) unanswered(p *pending, now time.Time) bool {
	w := &f.pendingRequests
	baseline := w.baseline[p.route]
	if baseline == nil {
		return false
	}
	timeout, known := baseline.took.Timeout()
	waits := health.Pending{Sent: p.started, Target: w.targets[p.target.ID], Others: w.services[p.service].without(p.target.ID), Timeout: timeout}
	return known && waits.Unanswered(now)
}
