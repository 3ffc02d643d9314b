package main

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/peer"
	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/target"
)

// cancelAtTarget cancels a request at the engine whose answer is no longer needed.
func (r *run) cancelAtTarget(ctx context.Context) {
	if r.agent.engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_, _ = r.agent.engine.Cancel(ctx, r.req.RequestId)
}

// failure converts an error of the target to an ending. The outcome is NotRun only
// if the request certainly never reached the target, or was refused by it before
// it ran.
func (r *run) failure(ctx context.Context, err error) draft.Ending {
	if ctx.Err() != nil {
		return r.stopped(ctx)
	}
	var notSent *target.NotSentError
	var refused *target.RefusedError
	var body *target.BodyError
	switch {
	case errors.As(err, &notSent):
		return draft.Ending{Outcome: outcome.NotRun, Reason: reasonUnreachable, RetryAfter: time.Second}
	case errors.As(err, &body):
		return draft.Ending{Outcome: outcome.NotRun, Reason: reasonBadBody}
	case errors.As(err, &refused):
		return r.refusal(refused)
	default:
		return draft.Ending{Outcome: outcome.Unknown, Reason: reasonBroken}
	}
}

// refusal converts a target's refusal to an ending. A busy target has not run the
// request; an answer that rejects the request itself is passed to the caller
// unchanged.
func (r *run) refusal(e *target.RefusedError) draft.Ending {
	switch {
	case e.Backpressure.Pause > 0:
		return draft.Ending{Outcome: outcome.NotRun, Reason: peer.ReasonPaused, RetryAfter: e.Backpressure.Pause}
	case e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests:
		return draft.Ending{Outcome: outcome.NotRun, Reason: reasonRefused, RetryAfter: time.Second}
	case e.Status >= http.StatusInternalServerError:
		return draft.Ending{Outcome: outcome.Failed, Reason: reasonError}
	}
	r.answer.log.Head(e.Status, []draft.Header{{Name: "Content-Type", Values: []string{"application/json"}}})
	if err := r.answer.log.Append(e.Body); err != nil {
		return draft.Ending{Outcome: outcome.Failed, Reason: reasonTooLarge}
	}
	return draft.Ending{Outcome: outcome.Complete}
}

// applyBackpressure applies the limits that the target requested in an answer to the
// queue.
func (r *run) applyBackpressure(a target.Backpressure) {
	d := r.agent.dispatcher
	// The error is ignored: an agent that stops starts no more requests.
	_ = d.loop.Post(context.Background(), func() {
		now := time.Now()
		if d.pacer.SetLimit(a.Limit, now) {
			r.agent.log.Info("target set a rate limit", "request-id", r.req.RequestId, "requests-a-second", a.Limit)
		}
		d.pause(a.Pause, now)
	})
	if a.Pause > 0 {
		r.agent.log.Info("target requested a pause", "request-id", r.req.RequestId, "ms", a.Pause.Milliseconds())
	}
	if a.Leaving && !r.agent.draining.Load() {
		r.agent.log.Info("target announced its shutdown", "request-id", r.req.RequestId)
		r.agent.startDraining(context.Background())
	}
}

// stopped ends a run that was cancelled or took too long.
func (r *run) stopped(ctx context.Context) draft.Ending {
	r.cancelAtTarget(ctx)
	reason := "cancelled"
	if errors.Is(context.Cause(ctx), errMaxRun) {
		reason = reasonMaxRun
	}
	return draft.Ending{Outcome: outcome.Unknown, Reason: reason}
}

// service makes a call to a plain service and passes its answer on unchanged.
func (r *run) service(ctx context.Context) draft.Ending {
	h := make(http.Header, len(r.req.Call.Headers))
	for _, x := range r.req.Call.Headers {
		h[http.CanonicalHeaderKey(x.Name)] = x.Values
	}
	h.Del(peer.HeaderSharedPrefix)
	a, err := r.agent.serviceTarget.Do(ctx, target.Call{
		Method: r.req.Call.Method, Path: r.req.Call.Path, Tags: r.tags(ctx), Header: h, Body: r.req.Call.Body,
	})
	if err != nil {
		return r.failure(ctx, err)
	}
	defer func() { _ = a.Body.Close() }()
	r.applyBackpressure(a.Backpressure)
	r.answer.log.Head(a.Status, headersOf(a.Header))
	r.tokens = 1
	buf := make([]byte, serviceBuffer)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if err := r.answer.log.Append(buf[:n]); err != nil {
				return draft.Ending{Outcome: outcome.Failed, Reason: reasonTooLarge}
			}
		}
		if errors.Is(err, errEndOfAnswer) {
			return draft.Ending{Outcome: outcome.Complete}
		}
		if err != nil {
			return r.failure(ctx, err)
		}
	}
}

func headersOf(h http.Header) []draft.Header {
	out := make([]draft.Header, 0, len(h))
	for name, values := range h {
		out = append(out, draft.Header{Name: name, Values: values})
	}
	return out
}
