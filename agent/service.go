package main

import (
	"context"
	"time"

	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/booking"
	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
)

// callTimeout bounds one short call to the target or another agent.
const callTimeout = 2 * time.Second

// reasonDraining is the reason of the refusals of an agent that accepts no new
// work.
const reasonDraining = "draining"

// frames is the response stream to an entry.
type frames = peer.FrameWriter

// submit queues a request on the target and streams its answer.
func (a *Agent) submit(ctx context.Context, m *wire.SubmitRequest, stream *frames) error {
	if a.draining.Load() {
		return a.refuse(stream, m.Attempt, outcome.NotRun, reasonDraining, a.cfg.Heartbeat)
	}
	if left := a.dispatcher.paused(); left > 0 {
		return a.refuse(stream, m.Attempt, outcome.NotRun, peer.ReasonPaused, left)
	}
	r := &run{agent: a, req: m}
	if m.MayNotRepeat {
		r.keyed = true
		if done, err := a.acceptKey(ctx, r, stream); done {
			return err
		}
	}
	if !a.startRun(r) {
		return a.refuse(stream, m.Attempt, outcome.Unknown, "attempt-superseded", 0)
	}
	return a.send(ctx, r.answer, m.Attempt, 0, stream)
}

// startRun starts a run in the background: it outlives the stream that requested
// it, so that a broken connection does not end the answer.
func (a *Agent) startRun(r *run) bool {
	// MaxRun counts from here on, including the time in the queue: the registers
	// expire a key by that time.
	ctx, cancel := context.WithTimeoutCause(a.ctx, a.cfg.MaxRun, errMaxRun)
	r.answer = &answer{
		id: r.req.RequestId, workspace: r.req.Workspace, attempt: r.req.Attempt,
		base: r.req.GetResume().GetFrames(), mayNotRepeat: r.req.MayNotRepeat,
		log: draft.New(a.cfg.AnswerSize), cancel: cancel,
	}
	if !a.answers.put(r.answer) {
		cancel()
		return false
	}
	go r.do(ctx)
	return true
}

// acceptKey submits a request that may not be repeated to the register. It
// returns done if the request was answered without a run of its own.
func (a *Agent) acceptKey(ctx context.Context, r *run, stream *frames) (done bool, err error) {
	m := r.req
	s := booking.Submission{
		Grant: grantOf(m.Grant), Body: booking.Digest(m.BodyDigest), RequestID: m.RequestId, Incarnation: m.Incarnation,
	}
	r.key = s.Grant.Key
	if err := a.register.wait(ctx); err != nil {
		return true, err
	}
	var v booking.Verdict
	if err := a.register.do(ctx, func(now time.Duration) { v = a.register.executor.Accept(s, now) }); err != nil {
		return true, err
	}
	switch v.Kind {
	case booking.Run:
		return false, nil
	case booking.Attach:
		return true, a.attach(ctx, v.RequestID, m.Workspace, m.Attempt, 0, stream)
	default:
		a.metrics.guards.Add(v.Reason, 1)
		return true, a.refuse(stream, m.Attempt, outcome.NotRun, v.Reason, time.Second)
	}
}

func grantOf(g *wire.Grant) booking.Grant {
	return booking.Grant{Key: booking.Key(g.GetKey()), Home: g.GetHome(), HomeIncarnation: g.GetHomeIncarnation(), Attempt: g.GetAttempt()}
}

func toGrant(g booking.Grant) *wire.Grant {
	return &wire.Grant{Key: g.Key[:], Home: g.Home, HomeIncarnation: g.HomeIncarnation, Attempt: g.Attempt}
}

// refuse ends a stream with one frame.
func (a *Agent) refuse(stream *frames, attempt uint32, o outcome.Outcome, reason string, after time.Duration) error {
	return stream.Send(&wire.Frame{
		Sequence: 1, Attempt: attempt, Kind: wire.FrameKind_FRAME_KIND_END, Outcome: peer.ToWire(o),
		Reason: reason, RetryAfterMs: uint64(after.Milliseconds()), Load: a.load(),
	})
}

// handleAttach streams an existing answer again.
func (a *Agent) handleAttach(ctx context.Context, m *wire.AttachRequest, stream *frames) error {
	if m.Probe {
		return a.probe(m, stream)
	}
	if _, ok := a.answers.get(m.RequestId, m.Workspace); !ok && m.FromTarget {
		a.reattach(ctx, m)
	}
	return a.attach(ctx, m.RequestId, m.Workspace, m.Attempt, m.After, stream)
}

// probe reports whether this agent holds the answer.
func (a *Agent) probe(m *wire.AttachRequest, stream *frames) error {
	if _, ok := a.answers.get(m.RequestId, m.Workspace); !ok {
		return a.refuse(stream, m.Attempt, outcome.Unknown, peer.ReasonNotSeen, 0)
	}
	return stream.Send(&wire.Frame{Kind: wire.FrameKind_FRAME_KIND_HEAD})
}

func (a *Agent) attach(ctx context.Context, id, workspace string, attempt uint32, after uint64, stream *frames) error {
	ans, ok := a.answers.get(id, workspace)
	if !ok {
		return a.refuse(stream, attempt, outcome.Unknown, peer.ReasonNotSeen, 0)
	}
	if after < ans.base {
		return a.refuse(stream, attempt, outcome.Unknown, peer.ReasonAnswerUnavailable, 0)
	}
	return a.send(ctx, ans, attempt, after, stream)
}

// reattach requests an answer from the target that this agent does not hold: the
// agent has restarted with empty memory while the engine continued to run the
// request.
func (a *Agent) reattach(ctx context.Context, m *wire.AttachRequest) {
	if a.engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := m.Path
	if path == "" {
		return
	}
	s, err := a.engine.Resume(context.WithoutCancel(ctx), path, m.RequestId, int(m.After))
	if err != nil {
		return
	}
	run := &run{agent: a, req: &wire.SubmitRequest{
		RequestId: m.RequestId, Attempt: m.Attempt, Workspace: m.Workspace, MayNotRepeat: true,
		Call: &wire.Call{Path: path, Stream: true},
	}}
	runCtx, stop := context.WithCancel(a.ctx)
	run.answer = &answer{
		id: m.RequestId, workspace: m.Workspace, attempt: m.Attempt, base: m.After, mayNotRepeat: true,
		log: draft.New(a.cfg.AnswerSize), cancel: stop,
	}
	if !a.answers.put(run.answer) {
		stop()
		_ = s.Close()
		return
	}
	a.metrics.reattached.Add(1)
	go func() {
		defer stop()
		run.finish(run.relay(runCtx, s))
	}()
}

// send streams an answer from the data frame after the given one.
func (a *Agent) send(ctx context.Context, ans *answer, attempt uint32, after uint64, stream *frames) error {
	local := after - min(after, ans.base)
	if local > 0 {
		local++ // the head comes before the first data frame
	}
	reader := ans.log.Reader(local)
	defer a.answers.touch(ans)
	defer reader.Close()
	var msg wire.Frame
	for {
		f, err := reader.Next(ctx)
		if err != nil {
			return err
		}
		a.fillFrame(&msg, f, ans.base, attempt)
		if err := stream.Send(&msg); err != nil {
			return err
		}
		if f.Kind == draft.End {
			return nil
		}
	}
}

// fillFrame writes one frame of an answer to a message that is reused.
func (a *Agent) fillFrame(msg *wire.Frame, f draft.Frame, base uint64, attempt uint32) {
	msg.Reset()
	msg.Sequence = base + f.Sequence - 1
	msg.Attempt = attempt
	switch f.Kind {
	case draft.Head:
		msg.Kind = wire.FrameKind_FRAME_KIND_HEAD
		msg.Status = int32(f.Status)
		for _, h := range f.Headers {
			msg.Headers = append(msg.Headers, &wire.Header{Name: h.Name, Values: h.Values})
		}
	case draft.Data:
		msg.Kind = wire.FrameKind_FRAME_KIND_DATA
		msg.Data = f.Data
	case draft.End:
		msg.Kind = wire.FrameKind_FRAME_KIND_END
		msg.Outcome = peer.ToWire(f.Ending.Outcome)
		msg.Reason = f.Ending.Reason
		msg.RetryAfterMs = uint64(f.Ending.RetryAfter.Milliseconds())
		msg.Handover = f.Ending.Handover
		msg.Load = a.load()
	}
}
