package main

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/retry"
	"verbenashift/gateway/upstream"
	"verbenashift/platform"
)

// answered handles the head of a server's answer.
func (c *call) answered(ctx context.Context, s activeAttempt, reply *upstream.Reply) (retry.Kind, string, bool) {
	now := time.Now()
	a := platform.ParseAnswer(reply.Status, reply.Header)
	c.fleet.observeAnswer(s, a, now)
	if c.pending != nil {
		c.fleet.answered(c.pending, !a.NotRun, reply.Status >= http.StatusInternalServerError, now)
	}
	if c.admitter != nil && !a.NotRun {
		c.admitter.accepted(c.slot)
		if c.pending == nil && a.Sealed {
			c.fleet.engineAnswered(s.target, c.route.Name, reply.Status >= http.StatusInternalServerError, now)
		}
	}
	switch {
	case a.NotRun:
		c.ran--
		if c.admitter != nil && !a.Misdirected {
			c.admitter.refused(c.slot, s.target.id)
		}
		return retry.Refused, "refused by " + s.target.id, false
	case !a.Sealed || a.Encoded || a.ID != c.req.ID:
		c.fleet.failed(s, severityOf(nil), now)
		return retry.Broken, "answer without the server's signature", false
	case reply.Status < 300 && c.route.Kind == deployment.Stream:
		return c.relay(ctx, s, reply)
	}
	return c.relayComplete(ctx, s, reply)
}

// relayComplete reads an answer to its end. The caller gets it when the request has left the target:
// it may read slowly.
func (c *call) relayComplete(ctx context.Context, s activeAttempt, reply *upstream.Reply) (retry.Kind, string, bool) {
	body, err := c.readAnswer(ctx, reply)
	var tooLong *buffers.TooLongError
	switch {
	case errors.As(err, &tooLong):
		c.countTooLong(s, &upstream.TooLongError{Part: partBody, Read: tooLong.Read, Limit: tooLong.Limit})
		c.fleet.failed(s, severityOf(err), time.Now())
		return retry.Broken, "answer too long", false
	case err != nil:
		return c.attemptFailed(ctx, s, err)
	}
	c.fleet.succeeded(s, time.Since(s.started), time.Now())
	c.head.Complete()
	ans := &answer{reply.Status, reply.Header, c.takeHead(), body}
	if reply.Status >= http.StatusInternalServerError && c.route.Repeatable() && !c.begun {
		c.keepFailure(ans)
		return retry.Failed, "failed by " + s.target.id, false
	}
	if c.begun {
		ans.release()
		return retry.Broken, "stream not resumed", false
	}
	c.answer = ans
	c.answeredCompletely(ans.status)
	return 0, "", true
}

// readAnswer reads an answer to its end, the first one into the room that was reserved for it.
func (c *call) readAnswer(ctx context.Context, reply *upstream.Reply) (*buffers.Buffer, error) {
	b := c.reserved
	if b == nil {
		b = c.answers.Buffer()
	}
	c.reserved = nil
	b.Receive(c.abandon)
	if err := b.Read(ctx, reply, reply.Length, maxAnswer); err != nil {
		return nil, err
	}
	return b, nil
}

// takeHead returns the room for the head of the current attempt's answer, which is then not released
// with the attempt.
func (c *call) takeHead() *buffers.Buffer {
	head := c.head
	c.head = nil
	return head
}

// keepFailure keeps a server's own error answer, for the case that no other server succeeds.
func (c *call) keepFailure(a *answer) {
	c.failure.release()
	c.failure = a
}

// answeredCompletely records that a target has answered the request completely.
func (c *call) answeredCompletely(status int) {
	c.answeredByTarget = true
	c.isolator.completed(c.suspectRequest(), c.service, status < http.StatusMultipleChoices)
}

// completed records that the caller was sent a complete answer.
func (c *call) completed(status int) {
	now := time.Now()
	c.mu.Lock()
	c.returnScheduler.Completed(now)
	c.mu.Unlock()
	metricRequests.Add(strconv.Itoa(status), 1)
	metricAnswerTime.Record(now.Sub(c.arrived).Milliseconds())
	line := []any{"status", status, "on-time", true}
	if late := c.lateBy(now); late != "" {
		line = []any{"status", status, "on-time", false, "late-by", late}
	}
	c.logOutcome(line...)
}

// fail ends a request that no server has answered.
func (c *call) fail(e *outcome.Error, reason string) {
	if c.begun {
		// The caller has received a part of the stream: only aborting the
		// connection shows it that the rest is missing.
		metricAborted.Add(1)
		c.logOutcome("outcome", "broken-off", "reason", reason, "why", e.Reason, "last-event", c.lastEvent)
		panic(http.ErrAbortHandler)
	}
	if c.failure != nil {
		c.answer = c.failure
		c.answeredCompletely(c.failure.status)
		return
	}
	if c.retryAfter > 0 {
		e.RetryAfter = c.retryAfter
	}
	switch {
	case e.Outcome == outcome.NotRun:
		c.refuse(reason, e.RetryAfter)
	case !time.Now().Before(c.deadline):
		c.respond(platform.StatusTimeout, reason, 0)
	default:
		c.respond(platform.StatusUnknown, reason, 0)
	}
}

// refuse answers that the request has not run and never will.
func (c *call) refuse(reason string, retryAfter time.Duration) {
	c.respond(platform.StatusNotRun, reason, retryAfter)
}

// respond sends an answer that the gateway itself generates.
func (c *call) respond(status int, reason string, retryAfter time.Duration) {
	metricRequests.Add(strconv.Itoa(status), 1)
	metricRefusals.Add(reasonClass(reason), 1)
	platform.SetOwnAnswer(c.w.Header(), c.req.ID, retryAfter)
	c.w.Header().Set("Content-Length", "0")
	c.extendDeadline()
	c.w.WriteHeader(status)
	c.logOutcome("status", status, "reason", reason, "retry-after-ms", retryAfter.Milliseconds())
}

// reasonClass returns a reason without the parts that differ between requests, such as
// the name of a target.
func reasonClass(reason string) string {
	for _, class := range []string{"refused by", "failed by", "request not sent", "answer broken"} {
		if strings.HasPrefix(reason, class) {
			return class
		}
	}
	return reason
}
