package main

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/plumbing/telemetry"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/relay"
)

// submit sends the request to the picked target's agent and relays the answer.
func (f *flow) submit(ctx context.Context, resume bool) relay.Event {
	ctx, span := f.entry.tracer.Start(ctx, "agent.submit", trace.WithAttributes(attribute.String("target", f.picked.target.Name)))
	defer span.End()
	if f.grantExpired() {
		return relay.Event{Kind: relay.Disconnected, NotSent: true}
	}
	f.attempt++
	f.answerID = f.id
	msg := f.submitRequest(ctx, resume)
	stream, err := f.entry.dialer.Submit(ctx, f.picked.target.Agent, msg)
	if err != nil {
		return f.transportError(err)
	}
	return f.read(stream)
}

// submitRequest builds the request to the agent. A broken stream that may be
// repeated continues after the text that the caller has received; an answer that
// isn't a stream starts again.
func (f *flow) submitRequest(ctx context.Context, resume bool) *wire.SubmitRequest {
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
		if forwarded(name) {
			c.Headers = append(c.Headers, &wire.Header{Name: name, Values: values})
		}
	}
	if f.workspace.SharedPrefix {
		c.Headers = append(c.Headers, &wire.Header{Name: peer.HeaderSharedPrefix, Values: []string{"true"}})
	}
	return c
}

// forwarded reports whether a caller's header is sent on to the target. The
// caller's token is for the entry only.
func forwarded(name string) bool {
	switch name {
	case "Authorization", peer.HeaderSharedPrefix, "X-Workspace":
		return false
	}
	return true
}

// attach reads on an answer that its agent already has.
func (f *flow) attach(ctx context.Context) relay.Event {
	if f.answerTarget == nil {
		return relay.Event{Kind: relay.RecordLost}
	}
	stream, err := f.entry.dialer.Attach(ctx, f.answerTarget.Agent, &wire.AttachRequest{
		RequestId:  f.answerID,
		Workspace:  f.workspace.Name,
		After:      f.log.delivered,
		Attempt:    f.attempt,
		FromTarget: f.req.Path != "",
		Path:       f.req.Path,
	})
	if err != nil {
		return f.transportError(err)
	}
	return f.read(stream)
}

// read relays frames until the stream ends.
func (f *flow) read(stream *peer.FrameReader) relay.Event {
	defer func() { _ = stream.Close() }()
	var frame wire.Frame
	for {
		if err := stream.Receive(&frame); err != nil {
			return f.transportError(err)
		}
		done, ev := f.frame(&frame)
		if done {
			return ev
		}
	}
}

// frame processes one frame. Frames that the caller has already received are
// dropped, and a gap ends the attempt, since an answer with a missing part must
// never look complete.
func (f *flow) frame(m *wire.Frame) (done bool, ev relay.Event) {
	switch m.Kind {
	case wire.FrameKind_FRAME_KIND_HEAD:
		f.sink.head(int(m.Status), m.Headers)
		if m.Sequence == 0 && f.log.delivered > 0 && !f.req.Stream {
			return f.restartAnswer()
		}
		return false, ev
	case wire.FrameKind_FRAME_KIND_DATA:
		return f.data(m)
	case wire.FrameKind_FRAME_KIND_END:
		ev := endEvent(m, f.log.delivered)
		f.endAttempt(result{
			load: m.Load, failed: ev.Outcome == outcome.Failed || ev.Outcome == outcome.Unknown, pause: pauseOf(m),
		})
		return true, ev
	default:
		return true, relay.Event{Kind: relay.Disconnected}
	}
}

// restartAnswer discards what was buffered of an answer that isn't a stream. The
// attempt fails if part of the answer has already been sent.
func (f *flow) restartAnswer() (bool, relay.Event) {
	if !f.sink.restart() {
		return true, relay.Event{Kind: relay.Ended, Outcome: outcome.Failed, Reason: relay.ReasonInterrupted}
	}
	f.log = progress{}
	return false, relay.Event{}
}

// data relays one data frame to the caller.
func (f *flow) data(m *wire.Frame) (bool, relay.Event) {
	if m.Sequence <= f.log.delivered {
		return false, relay.Event{}
	}
	if m.Sequence != f.log.delivered+1 {
		return true, relay.Event{Kind: relay.Disconnected}
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

// endEvent returns the event of an END frame. An END frame that reports a
// complete answer before all data frames were received counts as a broken
// connection.
func endEvent(m *wire.Frame, delivered uint64) relay.Event {
	o := peer.FromWire(m.Outcome)
	if o == outcome.Complete && m.Sequence != delivered+1 {
		return relay.Event{Kind: relay.Disconnected}
	}
	if m.Reason == peer.ReasonNotSeen {
		return relay.Event{Kind: relay.NotSeen}
	}
	if m.Reason == peer.ReasonAnswerUnavailable {
		return relay.Event{Kind: relay.RecordLost}
	}
	return relay.Event{
		Kind: relay.Ended, Outcome: o, Reason: m.Reason, Handover: m.Handover,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}
}

// pauseOf returns for how long the target of an attempt accepts no requests,
// according to its END frame.
func pauseOf(m *wire.Frame) time.Duration {
	if m.Reason != peer.ReasonPaused {
		return 0
	}
	return time.Duration(m.RetryAfterMs) * time.Millisecond
}

// transportError ends the attempt after a transport error.
func (f *flow) transportError(err error) relay.Event {
	unsent := peer.NotSent(err)
	f.endAttempt(result{failed: !errors.Is(err, context.Canceled), unsent: unsent})
	return relay.Event{Kind: relay.Disconnected, NotSent: unsent}
}
