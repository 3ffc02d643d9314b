package main

import (
	"context"
	"crypto/sha256"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/plumbing/telemetry"
	"verbenashift/core/request/booking"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/relay"
	"verbenashift/core/request/route"
)

// graceAfterDeadline is how long past the caller's deadline an agent may take
// to say truthfully what became of the request.
const graceAfterDeadline = 100 * time.Millisecond

// flow carries one request through the entry: it takes the steps that its
// relay decides.
type flow struct {
	entry     *Entry
	req       caller.Request
	workspace *config.Workspace
	sink      sink
	log       progress

	id      string
	relay   *relay.Relay
	query   route.Query
	attempt uint32
	picked  choice
	// deadline is the caller's, zero for none.
	deadline time.Time
	inFlight bool
	// freed says that the last attempt broke with its target, so that the next
	// one draws on no budget.
	freed bool
	// firstFrame is when the attempt's first piece came.
	firstFrame time.Time

	// key and the fields below are for requests that may not be repeated.
	key       booking.Key
	callerKey bool
	digest    [sha256.Size]byte
	home      *config.Target
	grant     *wire.Grant
	// claimedAt is when the grant was asked for.
	claimedAt time.Time
	// reading is the request whose answer is read: this one, or an earlier
	// attempt with the same key.
	reading   string
	readingAt *config.Target
	timer     atomic.Pointer[time.Timer]
}

// run takes steps until the request has its outcome.
func (f *flow) run(ctx context.Context) *outcome.Error {
	for a := f.relay.Start(); ; {
		if a.Kind == relay.Finish {
			return a.Err
		}
		if f.late(a) {
			return f.cutShort()
		}
		if err := f.pause(ctx, a.Wait); err != nil {
			return err
		}
		a = f.relay.Next(f.step(ctx, a))
		if ctx.Err() != nil && a.Kind != relay.Finish {
			return f.cutShort()
		}
	}
}

// late reports whether a step would begin new work for a caller whose deadline
// has passed.
func (f *flow) late(a relay.Action) bool {
	return a.Kind == relay.Pick && !f.deadline.IsZero() && time.Now().After(f.deadline)
}

// cutShort ends a request whose caller has gone or whose deadline is over.
// Nothing ran if no attempt has begun.
func (f *flow) cutShort() *outcome.Error {
	reason := relay.ReasonCallerGone
	if !f.deadline.IsZero() && time.Now().After(f.deadline) {
		reason = relay.ReasonOverDeadline
	}
	o := outcome.Unknown
	if f.attempt == 0 && !f.callerKey {
		o = outcome.NotRun
	}
	return &outcome.Error{Outcome: o, Reason: reason, RetryAfter: f.entry.cfg.RetryAfter}
}

func (f *flow) pause(ctx context.Context, d time.Duration) *outcome.Error {
	if d == 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return f.cutShort()
	}
}

func (f *flow) step(ctx context.Context, a relay.Action) relay.Event {
	before := f.log.delivered
	ev := f.act(ctx, a)
	ev.Progress = f.log.delivered > before
	f.freed = f.lost(ev)
	return ev
}

// lost reports whether an attempt broke because its target died, or its agent
// did, with all that was in flight there.
func (f *flow) lost(ev relay.Event) bool {
	broke := ev.Kind == relay.Broke && !ev.NotSent
	died := ev.Kind == relay.Ended && ev.Outcome == outcome.Unknown && !ev.Handover
	if !broke && !died || f.req.MayNotRepeat || f.picked.target == nil {
		return false
	}
	return f.entry.returns.lost(f.picked.target.Name, f.picked.started)
}

func (f *flow) act(ctx context.Context, a relay.Action) relay.Event {
	switch a.Kind {
	case relay.Pick:
		return f.pick()
	case relay.Claim:
		return f.claim(ctx)
	case relay.Submit:
		return f.submit(ctx, a.Resume)
	case relay.Attach:
		return f.attach(ctx)
	case relay.Seal:
		return f.seal(ctx)
	default:
		return f.release(ctx)
	}
}

func (f *flow) pick() relay.Event {
	f.leave(result{})
	if f.attempt > 0 && !f.goesOn() && !f.freed && !f.entry.returns.retry(f.workspace.Name) {
		f.entry.metrics.count("retry-budget-spent")
		return relay.Event{Kind: relay.NoTarget}
	}
	c, ok := f.entry.router.pick(&f.query)
	if !ok {
		return relay.Event{Kind: relay.NoTarget}
	}
	f.picked, f.inFlight = c, true
	f.readingAt = c.target
	return relay.Event{Kind: relay.Picked}
}

// goesOn reports whether the next attempt continues a stream where it broke.
// When a target or its agent dies, all its streams break at once, many more
// than the retry budget holds, and each would end as failed though it could be
// whole. To continue one adds no load beyond what was still to do, and the
// tries of one request are bounded, so that no storm can come of it.
func (f *flow) goesOn() bool {
	return f.req.Stream && !f.req.MayNotRepeat && f.log.delivered > 0
}

// leave closes the attempt at the picked target, if one is open.
func (f *flow) leave(res result) {
	if !f.inFlight {
		return
	}
	f.inFlight = false
	if !f.firstFrame.IsZero() {
		res.firstToken = f.firstFrame.Sub(f.picked.started)
	}
	f.firstFrame = time.Time{}
	f.entry.router.end(f.picked, res)
}

func (f *flow) submit(ctx context.Context, resume bool) relay.Event {
	ctx, span := f.entry.tracer.Start(ctx, "agent.submit", trace.WithAttributes(attribute.String("target", f.picked.target.Name)))
	defer span.End()
	if f.expired() {
		return relay.Event{Kind: relay.Broke, NotSent: true}
	}
	f.attempt++
	f.reading = f.id
	msg := f.message(ctx, resume)
	stream, err := f.entry.dialer.Submit(ctx, f.picked.target.Agent, msg)
	if err != nil {
		return f.broken(err)
	}
	return f.read(stream)
}

// message builds the call to the agent. A broken stream that may be repeated
// goes on from the text that the caller has had; a whole answer begins again.
func (f *flow) message(ctx context.Context, resume bool) *wire.SubmitRequest {
	msg := &wire.SubmitRequest{
		RequestId:    f.id,
		Attempt:      f.attempt,
		Workspace:    f.workspace.Name,
		Priority:     uint32(f.req.Priority),
		Cost:         f.req.Cost,
		Weight:       f.workspace.Share,
		MayNotRepeat: f.req.MayNotRepeat,
		Grant:        f.grant,
		Call:         f.call(),
		TraceParent:  telemetry.Inject(ctx),
		Revision:     f.entry.follower.Revision(),
		BodyDigest:   f.digest[:],
	}
	if d, ok := ctx.Deadline(); ok {
		msg.DeadlineMs = uint64(max(time.Until(d)-graceAfterDeadline, time.Millisecond).Milliseconds())
	}
	if f.req.MayNotRepeat {
		msg.Incarnation = f.picked.incarnation
	}
	if resume && f.log.delivered > 0 {
		msg.Resume = &wire.Resume{Frames: f.log.delivered, Text: f.log.text()}
	}
	return msg
}

func (f *flow) call() *wire.Call {
	c := &wire.Call{
		Method: f.req.Method, Path: f.req.Path, Body: f.req.Body,
		Model: f.req.Model, Service: f.req.Service, Stream: f.req.Stream,
	}
	for name, values := range f.req.Header {
		if passes(name) {
			c.Headers = append(c.Headers, &wire.Header{Name: name, Values: values})
		}
	}
	if f.workspace.SharedPrefix {
		c.Headers = append(c.Headers, &wire.Header{Name: peer.HeaderSharedPrefix, Values: []string{"true"}})
	}
	return c
}

// passes reports whether a caller's header goes on to the target. The caller's
// token is for the entry alone.
func passes(name string) bool {
	switch name {
	case "Authorization", peer.HeaderSharedPrefix, "X-Workspace":
		return false
	}
	return true
}

func (f *flow) attach(ctx context.Context) relay.Event {
	if f.readingAt == nil {
		return relay.Event{Kind: relay.Gone}
	}
	stream, err := f.entry.dialer.Attach(ctx, f.readingAt.Agent, &wire.AttachRequest{
		RequestId:  f.reading,
		Workspace:  f.workspace.Name,
		After:      f.log.delivered,
		Attempt:    f.attempt,
		FromTarget: f.req.Path != "",
		Path:       f.req.Path,
	})
	if err != nil {
		return f.broken(err)
	}
	return f.read(stream)
}

// read relays frames until the stream ends.
func (f *flow) read(stream *peer.Frames) relay.Event {
	defer func() { _ = stream.Close() }()
	var frame wire.Frame
	for {
		if err := stream.Receive(&frame); err != nil {
			return f.broken(err)
		}
		done, ev := f.frame(&frame)
		if done {
			return ev
		}
	}
}

// frame takes one frame. Frames that the caller has had are dropped, and a gap
// ends the attempt, since an answer with a hole must never look whole.
func (f *flow) frame(m *wire.Frame) (done bool, ev relay.Event) {
	switch m.Kind {
	case wire.FrameKind_FRAME_KIND_HEAD:
		f.sink.head(int(m.Status), m.Headers)
		if m.Sequence == 0 && f.log.delivered > 0 && !f.req.Stream {
			return f.beginAgain()
		}
		return false, ev
	case wire.FrameKind_FRAME_KIND_DATA:
		return f.data(m)
	case wire.FrameKind_FRAME_KIND_END:
		ev := endEvent(m, f.log.delivered)
		f.leave(result{load: m.Load, failed: ev.Outcome == outcome.Failed || ev.Outcome == outcome.Unknown})
		return true, ev
	default:
		return true, relay.Event{Kind: relay.Broke}
	}
}

// beginAgain starts a whole answer afresh; it cannot once some of it has left.
func (f *flow) beginAgain() (bool, relay.Event) {
	if !f.sink.restart() {
		return true, relay.Event{Kind: relay.Ended, Outcome: outcome.Failed, Reason: relay.ReasonInterrupted}
	}
	f.log = progress{}
	return false, relay.Event{}
}

func (f *flow) data(m *wire.Frame) (bool, relay.Event) {
	if m.Sequence <= f.log.delivered {
		return false, relay.Event{}
	}
	if m.Sequence != f.log.delivered+1 {
		return true, relay.Event{Kind: relay.Broke}
	}
	if f.firstFrame.IsZero() {
		f.firstFrame = time.Now()
	}
	f.entry.metrics.frames.Add(1)
	f.log.add(m.Data, f.req.Stream && !f.req.MayNotRepeat)
	if err := f.sink.data(m.Sequence, m.Data); err != nil {
		return true, relay.Event{Kind: relay.Ended, Outcome: outcome.Failed, Reason: relay.ReasonCallerGone}
	}
	return false, relay.Event{}
}

// endEvent reads an END frame. An end that claims completeness before all its
// frames came is a broken one.
func endEvent(m *wire.Frame, delivered uint64) relay.Event {
	o := fromWire(m.Outcome)
	if o == outcome.Complete && m.Sequence != delivered+1 {
		return relay.Event{Kind: relay.Broke}
	}
	if m.Reason == peer.ReasonNotSeen {
		return relay.Event{Kind: relay.NotSeen}
	}
	if m.Reason == peer.ReasonGone {
		return relay.Event{Kind: relay.Gone}
	}
	return relay.Event{
		Kind: relay.Ended, Outcome: o, Reason: m.Reason, Handover: m.Handover,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}
}

// broken reports a transport error.
func (f *flow) broken(err error) relay.Event {
	unsent := peer.NotSent(err)
	f.leave(result{failed: !errors.Is(err, context.Canceled), unsent: unsent})
	return relay.Event{Kind: relay.Broke, NotSent: unsent}
}

func fromWire(o wire.Outcome) outcome.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_COMPLETE:
		return outcome.Complete
	case wire.Outcome_OUTCOME_NOT_RUN:
		return outcome.NotRun
	case wire.Outcome_OUTCOME_FAILED:
		return outcome.Failed
	default:
		return outcome.Unknown
	}
}
