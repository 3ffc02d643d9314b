package main

import (
	"context"
	"net/http"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/relay"
)

// serveResume sends a caller the answer of an earlier request, starting after the
// last event that it received. The agents know the request's workspace and give
// the answer to no other.
func (e *Entry) serveResume(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	index, ws, err := e.identify(r)
	if err == nil {
		err = e.admit(ws)
	}
	if err != nil {
		e.refuse(w, err)
		return
	}
	defer e.open.release(ws.Name)
	res, rerr := caller.ReadResume(r)
	if rerr != nil {
		e.refuse(w, rerr)
		return
	}
	holder := e.findHolder(r.Context(), index, ws, res)
	if holder == nil {
		e.refuse(w, &outcome.Error{Outcome: outcome.Unknown, Reason: relay.ReasonAnswerGone, Status: http.StatusNotFound})
		return
	}
	f := &flow{entry: e, workspace: ws, id: res.RequestID, answerID: res.RequestID, answerTarget: holder}
	f.req = caller.Request{MayNotRepeat: true, Stream: true}
	f.log.delivered = res.After
	f.attempt = 1
	f.sink = &deferredSink{
		stream:   func() sink { return newStreamSink(w, f.id, e.cfg.SlowCaller, e.cfg.KeepAlive) },
		document: func() sink { return newBufferedSink(w, f.id, e.cfg.ResponseBuffer) },
	}
	f.relay = relay.NewReader(relay.Limits{Attaches: e.cfg.Attaches, Backoff: e.cfg.Backoff, RetryAfter: e.cfg.RetryAfter})
	e.finish(r.Context(), f, started)
}

// findHolder queries all agents for the one that holds the answer. Answers are
// seldom resumed, so that querying all agents costs little.
func (e *Entry) findHolder(ctx context.Context, x *config.Index, ws *config.Workspace, res caller.Resume) *config.Target {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	targets := x.Config().Targets
	found := make(chan *config.Target, len(targets))
	for i := range targets {
		go func() {
			found <- e.holds(ctx, &targets[i], ws, res)
		}()
	}
	for range targets {
		if t := <-found; t != nil {
			return t
		}
	}
	return nil
}

// holds returns t if its agent has the answer.
func (e *Entry) holds(ctx context.Context, t *config.Target, ws *config.Workspace, res caller.Resume) *config.Target {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := e.dialer.Attach(ctx, t.Agent, &wire.AttachRequest{
		RequestId: res.RequestID, Workspace: ws.Name, After: res.After, Probe: true,
	})
	if err != nil {
		return nil
	}
	defer func() { _ = stream.Close() }()
	var m wire.Frame
	if err := stream.Receive(&m); err != nil {
		return nil
	}
	if m.Reason == peer.ReasonNotSeen || m.Reason == peer.ReasonAnswerUnavailable {
		return nil
	}
	return t
}
