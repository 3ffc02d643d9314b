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

// reasonDraining is the refusal of an agent that takes no new work.
const reasonDraining = "draining"

// frames is the stream towards an entry.
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
		if done, err := a.book(ctx, r, stream); done {
			return err
		}
	}
	if !a.begin(r) {
		return a.refuse(stream, m.Attempt, outcome.Unknown, "attempt-superseded", 0)
	}
	return a.send(ctx, r.answer, m.Attempt, 0, stream)
}

// begin starts a run in the background: it outlives the stream that asked for
// it, so that a broken connection cuts no answer off.
func (a *Agent) begin(r *run) bool {
	// The longest run counts from here on, the queue included: the registers
	// forget a key by that time.
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

// book shows a request that may not be repeated to the register. It reports
// done if the request is answered without a run of its own.
func (a *Agent) book(ctx context.Context, r *run, stream *frames) (done bool, err error) {
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

// readOn streams an answer again.
func (a *Agent) readOn(ctx context.Context, m *wire.AttachRequest, stream *frames) error {
	if m.Probe {
		return a.probe(m, stream)
	}
	if _, ok := a.answers.get(m.RequestId, m.Workspace); !ok && m.FromTarget {
		a.reattach(ctx, m)
	}
	return a.attach(ctx, m.RequestId, m.Workspace, m.Attempt, m.After, stream)
}

// probe tells whether the answer is held here.
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

// reattach asks the target for an answer that this agent does not know: it has
// restarted with an empty memory while the engine went on with its work.
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
		run.end(run.pump(runCtx, s))
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
		a.fill(&msg, f, ans.base, attempt)
		if err := stream.Send(&msg); err != nil {
			return err
		}
		if f.Kind == draft.End {
			return nil
		}
	}
}

// fill writes one frame of an answer into a message that is used again.
func (a *Agent) fill(msg *wire.Frame, f draft.Frame, base uint64, attempt uint32) {
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
