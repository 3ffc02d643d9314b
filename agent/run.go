package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/plumbing/telemetry"
	"verbenashift/core/request/booking"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/queue"
	"verbenashift/core/request/target"
)

// The reasons of a run's outcome.
const (
	reasonUnreachable = "target-unreachable"
	reasonRefused     = "target-refused"
	reasonError       = "target-error"
	reasonBroken      = "target-broken"
	reasonTooLarge    = "answer-too-large"
	reasonBadBody     = "body-not-json"
	reasonMaxRun      = "run-too-long"
)

// chargeStep is the number of tokens after which a run is charged in the queue.
// The reattach constants bound the attempts to resume an answer after its
// connection to the target broke.
const (
	chargeStep       = 16
	reattachAttempts = 3
	reattachDelay    = 100 * time.Millisecond
	serviceBuffer    = 32 << 10
)

// run carries one request through the queue and the target.
type run struct {
	agent  *Agent
	req    *wire.SubmitRequest
	answer *answer
	key    booking.Key
	// keyed reports whether the register holds the request's key.
	keyed     bool
	tokens    int64
	charged   int64
	lastToken time.Time
}

// do runs the request and writes its outcome to the answer.
func (r *run) do(ctx context.Context) {
	defer r.answer.cancel()
	ctx = telemetry.Extract(ctx, r.req.TraceParent)
	if refusal := r.wait(ctx); refusal != nil {
		r.withdraw(ctx)
		r.finish(draft.Ending{Outcome: refusal.Outcome, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter})
		return
	}
	defer func() { r.agent.dispatcher.done(r.req.RequestId, r.tokens) }()
	if !r.start(ctx) {
		r.finish(draft.Ending{Outcome: outcome.NotRun, Reason: booking.ReasonSealed})
		return
	}
	ctx, span := r.agent.tracer.Start(ctx, "target.call", trace.WithAttributes(attribute.Bool("may-not-repeat", r.req.MayNotRepeat)))
	defer span.End()
	e := r.call(ctx)
	r.recordOutcome(ctx, e.Outcome)
	r.finish(e)
}

// recordOutcome records in the register how the run of a key ended. The start of
// a key that certainly never reached the target is undone, so that another
// attempt may run it.
func (r *run) recordOutcome(ctx context.Context, o outcome.Outcome) {
	if !r.keyed {
		return
	}
	_ = r.agent.register.do(context.WithoutCancel(ctx), func(now time.Duration) {
		if o == outcome.NotRun {
			r.agent.register.executor.UndoStart(r.key, now)
			return
		}
		r.agent.register.executor.End(r.key, now)
	})
}

var errMaxRun = errors.New("run too long")

// finish writes the ending to the answer and counts it.
func (r *run) finish(e draft.Ending) {
	r.answer.log.End(e)
	r.agent.answers.touch(r.answer)
	r.agent.metrics.ends.Add(e.Outcome.String(), 1)
}

// wait queues the request until it may start; it returns its refusal, if any.
func (r *run) wait(ctx context.Context) *outcome.Error {
	ctx, span := r.agent.tracer.Start(ctx, "agent.queue")
	defer span.End()
	item := queue.Item{
		ID: r.req.RequestId, Workspace: r.req.Workspace, Priority: queue.Priority(min(r.req.Priority, 2)),
		Cost: int64(r.req.Cost), Weight: r.req.Weight,
	}
	if r.req.DeadlineMs > 0 {
		item.Deadline = time.Now().Add(time.Duration(r.req.DeadlineMs) * time.Millisecond)
	}
	began := time.Now()
	refusal := r.agent.dispatcher.wait(ctx, item)
	r.agent.metrics.wait.Record(time.Since(began).Microseconds())
	return refusal
}

// start records that the key is about to be sent to the target. It returns false
// if the attempt was sealed in the meantime.
func (r *run) start(ctx context.Context) bool {
	if !r.keyed {
		return true
	}
	ok := false
	err := r.agent.register.do(ctx, func(now time.Duration) { ok = r.agent.register.executor.Start(r.key, now) })
	return err == nil && ok
}

// withdraw releases a key that was not sent to the target, so that another
// attempt may run it.
func (r *run) withdraw(ctx context.Context) {
	if !r.keyed {
		return
	}
	_ = r.agent.register.do(context.WithoutCancel(ctx), func(now time.Duration) { r.agent.register.executor.Withdraw(r.key, now) })
}

func (r *run) call(ctx context.Context) draft.Ending {
	if r.agent.serviceTarget != nil {
		return r.service(ctx)
	}
	return r.model(ctx)
}

// tags returns the metadata that identifies the request to the target.
func (r *run) tags(ctx context.Context) target.Tags {
	t := target.Tags{RequestID: r.req.RequestId, Workspace: r.req.Workspace, TraceParent: telemetry.Inject(ctx)}
	for _, h := range r.req.Call.Headers {
		if http.CanonicalHeaderKey(h.Name) == caller.HeaderIdempotencyKey && len(h.Values) > 0 {
			t.IdempotencyKey = h.Values[0]
		}
	}
	return t
}

// cacheSalt returns the salt that separates the workspaces' cached prefixes; it
// is empty if the request shares its prefix.
func (r *run) cacheSalt() string {
	for _, h := range r.req.Call.Headers {
		if h.Name == peer.HeaderSharedPrefix {
			return ""
		}
	}
	sum := sha256.Sum256([]byte(r.req.Workspace))
	return hex.EncodeToString(sum[:16])
}

// model runs a completion and reads its answer to the end.
func (r *run) model(ctx context.Context) draft.Ending {
	c := target.Completion{
		Path: r.req.Call.Path, Tags: r.tags(ctx), Body: r.req.Call.Body,
		Fields: target.Fields{Priority: int(r.req.Priority), CacheSalt: r.cacheSalt()},
	}
	if res := r.req.Resume; res != nil {
		c.Resume = &target.Resume{Text: res.Text, Tokens: int(res.Frames)}
	}
	stream, err := r.agent.engine.Start(ctx, c)
	var refused *target.RefusedError
	if errors.As(err, &refused) {
		r.applyBackpressure(refused.Backpressure)
	}
	if err != nil {
		return r.failure(ctx, err)
	}
	return r.relay(ctx, stream)
}

// relay copies a stream to the answer. When its connection breaks, the engine may
// still be running the request: the rest is requested by the request id, which
// runs nothing twice.
func (r *run) relay(ctx context.Context, stream *target.Stream) draft.Ending {
	r.applyBackpressure(stream.Backpressure)
	r.answer.log.Head(http.StatusOK, headersOf(stream.Header))
	for try := 0; ; try++ {
		err := r.copyStream(stream)
		_ = stream.Close()
		if err == nil {
			return draft.Ending{Outcome: outcome.Complete}
		}
		var full *draft.FullError
		if errors.As(err, &full) {
			r.cancelAtTarget(ctx)
			return draft.Ending{Outcome: outcome.Failed, Reason: reasonTooLarge}
		}
		if stream = r.reattach(ctx, try); stream == nil {
			return r.failure(ctx, err)
		}
	}
}

// reattach requests the rest of the answer from the engine; it returns nil if the
// rest is not available.
func (r *run) reattach(ctx context.Context, try int) *target.Stream {
	if !r.req.Call.Stream || try >= reattachAttempts {
		return nil
	}
	for range reattachAttempts {
		stream, err := r.agent.engine.Resume(ctx, r.req.Call.Path, r.req.RequestId, int(r.answer.base)+int(r.tokens))
		if err == nil {
			r.agent.metrics.reattached.Add(1)
			return stream
		}
		var refused *target.RefusedError
		if errors.As(err, &refused) {
			return nil
		}
		select {
		case <-time.After(reattachDelay):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// copyStream appends the events of a stream to the answer. It returns nil at the
// regular end of the stream.
func (r *run) copyStream(stream *target.Stream) error {
	for {
		data, err := stream.Next()
		if errors.Is(err, errEndOfAnswer) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.answer.log.Append(data); err != nil {
			return err
		}
		r.count()
	}
}

// count records one token of progress.
func (r *run) count() {
	r.tokens++
	if r.tokens-r.charged >= chargeStep {
		r.agent.dispatcher.served(context.Background(), r.req.RequestId, r.tokens-r.charged)
		r.charged = r.tokens
	}
	now := time.Now()
	if !r.lastToken.IsZero() {
		r.agent.step.add(now.Sub(r.lastToken), now)
	}
	r.lastToken = now
}
