package main

import (
	"bytes"
	"context"
	"errors"
	"syscall"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/permit"
	"verbenashift/core/request/quarantine"
	"verbenashift/core/request/queue"
	"verbenashift/core/request/retry"
	"verbenashift/core/request/route"
	"verbenashift/gateway/upstream"
	"verbenashift/platform"
)

// attempt sends the request once. Done reports that the caller has its answer, or
// has disconnected.
func (c *call) attempt(ctx context.Context) (kind retry.Kind, reason string, done bool) {
	if ctx.Err() != nil {
		return retry.RefusedAll, endReason(ctx), c.callerLeft()
	}
	s, ok := c.pickOrWait(ctx)
	if !ok && c.retryAfter > 0 {
		return retry.RefusedAll, permit.ReasonThrottled, false
	}
	if !ok {
		return retry.RefusedAll, reasonNoTarget, false
	}
	defer c.fleet.end(s)
	c.last = s
	c.exclude.Add(s.index)
	c.ran++
	metricAttempts.Add(1)
	ctx, span := c.startTarget(ctx, s)
	// The deferred call ends the span also if the caller's connection is aborted.
	defer func() { endTarget(span, reason) }()
	return c.send(ctx, s)
}

// reasonNoTarget is the reason of a refusal when no target may take the request.
const reasonNoTarget = "no target"

// throttledPoll is how often a request that waits for a throttled target tries to pick one.
const throttledPoll = 20 * time.Millisecond

// pickOrWait picks a target. If all candidates are throttled, it waits for one, provided
// that the expected wait is short.
func (c *call) pickOrWait(ctx context.Context) (activeAttempt, bool) {
	s, ok := c.pick()
	if ok || !c.shouldWait(0) {
		return s, ok
	}
	metricThrottledWaits.Add(1)
	c.fleet.countWaiting(c.service, 1)
	defer c.fleet.countWaiting(c.service, -1)
	for pause.For(ctx, throttledPoll) {
		if s, ok = c.pick(); ok || !c.shouldWait(1) {
			break
		}
	}
	return s, ok
}

// shouldWait reports whether a request whose candidates are all throttled should wait for one.
// Otherwise it sets the time after which the caller may retry. Own is 1 if the request is
// already counted as waiting.
func (c *call) shouldWait(own int) bool {
	now := time.Now()
	o, throttled := c.fleet.availability(c.query(), now)
	if !throttled {
		return false
	}
	o.Waiting -= own
	start := o.ExpectedStart(now)
	if !start.After(permit.WaitDeadline(c.arrived, c.deadline)) {
		return true
	}
	c.retryAfter = start.Sub(now)
	return false
}

// query returns a query for a target in the group of the request's slot.
func (c *call) query() *route.Query {
	return &route.Query{Service: c.service, Group: c.slot.group, Cost: c.cost(), MayNotRepeat: c.attempts.MayNotRepeat, Exclude: c.exclude, Zones: c.zones}
}

// pick chooses a target in the group of the request's slot, or in any group if none there
// may take it.
func (c *call) pick() (activeAttempt, bool) {
	q := c.query()
	s, ok := c.fleet.pick(q, time.Now())
	if !ok && q.Group != "" {
		q.Group = ""
		s, ok = c.fleet.pick(q, time.Now())
	}
	return s, ok
}

// send sends the request to a target and handles its answer.
func (c *call) send(ctx context.Context, s activeAttempt) (kind retry.Kind, reason string, done bool) {
	watched := ctx
	if c.route.Kind == deployment.Stream && c.route.Repeatable() {
		watched, c.stream = c.fleet.trackStream(ctx, s, loggedID(c.req.ID), c.service, c.ran < c.route.MaxAttempts)
		defer c.fleet.untrackStream(c.stream)
	}
	if c.route.Kind != deployment.Stream {
		watched, c.pending = c.fleet.trackPending(ctx, s, c)
		defer c.fleet.untrackPending(c.pending)
	}
	watched, c.abandon = context.WithCancelCause(watched)
	defer c.endAttempt()
	c.head = c.answers.Buffer()
	c.head.Receive(c.abandon)
	reply, err := s.target.pool.Do(watched, c.upstream(s))
	if err != nil {
		return c.attemptFailed(watched, s, err)
	}
	defer reply.Close()
	return c.answered(watched, s, reply)
}

// endAttempt returns what an attempt has held.
func (c *call) endAttempt() {
	c.abandon(nil)
	c.takeHead().Release()
	c.sentHead.Complete()
}

func (c *call) upstream(s activeAttempt) *upstream.Request {
	var head bytes.Buffer
	f := platform.ForwardHeaders{
		TargetID: s.target.id, Remaining: time.Until(c.deadline),
		Urgency: c.urgency, LastEvent: c.lastEvent,
	}
	f.Workspace = c.workspaceName()
	platform.WriteHeaders(&head, c.headers, f)
	return &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Head: head.Bytes(),
		Body: c.body.Bytes(), HasBody: c.r.ContentLength != 0 || len(c.body.Bytes()) > 0, ID: c.req.ID,
		Fresh: c.attempts.MayNotRepeat, Room: c.head,
	}
}

// attemptFailed classifies an attempt without an answer. The context is that of
// the attempt: one that the gateway canceled itself says nothing about its target.
func (c *call) attemptFailed(ctx context.Context, s activeAttempt, err error) (retry.Kind, string, bool) {
	c.reportTooLong(s, err)
	var full *buffers.FullError
	if errors.As(err, &full) {
		// That says nothing about the target.
		return retry.Broken, full.Error(), false
	}
	cause := context.Cause(ctx)
	switch cause {
	case nil, errStalled:
		c.fleet.failed(s, severityOf(err), time.Now())
		if c.pending != nil {
			c.fleet.pendingBroke(c.pending, err, time.Now())
		}
	case errSlow, errSilentGroup, errUnanswered:
		err = cause
	}
	var reclaimed *buffers.ReclaimedError
	if errors.As(cause, &reclaimed) {
		return c.attemptReclaimed(reclaimed)
	}
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		c.ran--
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.fleet.crashes.Refused(s.seen)
		}
		return retry.NotSent, err.Error(), false
	}
	if cause == nil || cause == errStalled {
		c.suspect = true
		c.fleet.crashes.AnswerBroken(s.seen, c.suspectRequest())
	}
	return retry.Broken, err.Error(), false
}

// attemptReclaimed ends an attempt whose room was taken back for other answers. That says nothing about
// its target.
func (c *call) attemptReclaimed(err error) (retry.Kind, string, bool) {
	if c.sentHead.Held() > 0 {
		// Only the end of the call returns its room.
		return retry.RefusedAll, err.Error(), false
	}
	return retry.Broken, err.Error(), false
}

// The parts of an answer that are limited here, as they appear in the log.
const (
	partBody  = "body"
	partEvent = "event"
)

// reportTooLong counts and logs an answer that has ended because a part is over its limit.
func (c *call) reportTooLong(s activeAttempt, err error) {
	var long *upstream.TooLongError
	if errors.As(err, &long) {
		c.countTooLong(s, long)
	}
}

// countTooLong counts and logs a part of an answer over its limit.
func (c *call) countTooLong(s activeAttempt, long *upstream.TooLongError) {
	metricTooLong.Add(long.Part, 1)
	c.log.Warn("answer over its limit", "id", loggedID(c.req.ID), "target", s.target.id, "part", long.Part, "read", long.Read, "limit", long.Limit)
}

// run makes attempts until one ends the request.
func (c *call) run(ctx context.Context) {
	c.mu.Lock()
	c.retries.Request(c.key(), time.Now())
	c.mu.Unlock()
	for {
		if refusal := c.checkQuarantine(ctx); refusal != nil {
			c.fail(refusal, quarantine.ReasonQuarantined)
			return
		}
		kind, reason, done := c.attempt(ctx)
		if done {
			return
		}
		if c.callerLeft() {
			return
		}
		if kind == retry.Refused && !c.waitToRetry(ctx) {
			refusal := c.decide(retry.RefusedAll).Err
			c.admitter.setRetryAfter(c, refusal)
			c.fail(refusal, queue.ReasonAllTargetsRefuse)
			return
		}
		d := c.decide(kind)
		if !d.Retry {
			metricNoRetry.Add(d.Err.Reason, 1)
			c.fail(d.Err, reason)
			return
		}
		metricRetries.Add(1)
		metricServiceRetries.Add(c.service, 1)
		if c.begun {
			metricResumed.Add(1)
		}
		c.logRetry(reason)
		pause.For(ctx, time.Until(d.At))
		if c.admitter != nil {
			c.slot = c.admitter.move(c.slot, loggedID(c.req.ID))
		}
	}
}

// waitToRetry waits until a request that a target has refused may be sent once more. It
// reports false if the request should be refused instead.
func (c *call) waitToRetry(ctx context.Context) bool {
	if c.admitter == nil {
		return true
	}
	waited, ok := c.admitter.awaitRetry(ctx, c)
	if waited && ok {
		// All targets of the group have refused requests: that says nothing about those
		// that this request was sent to.
		c.exclude = route.Exclude{}
		c.attempts.Errors = 0
	}
	return ok
}
