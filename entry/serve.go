package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/booking"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/relay"
	"verbenashift/core/request/route"
)

// The refusals that don't depend on the content of a request.
var (
	errUnauthorized = &outcome.Error{Outcome: outcome.NotRun, Reason: "unauthorized", Status: http.StatusUnauthorized}
	errMethod       = &outcome.Error{Outcome: outcome.NotRun, Reason: "method-not-allowed", Status: http.StatusMethodNotAllowed}
	errNotFound     = &outcome.Error{Outcome: outcome.NotRun, Reason: "not-found", Status: http.StatusNotFound}
)

// newID returns a request identifier that cannot be guessed; knowing it is
// part of the right to read the answer.
func newID() string {
	var b [20]byte
	_, _ = rand.Read(b[:])
	return strings.ToLower(base32.StdEncoding.EncodeToString(b[:]))
}

// serveCall handles a request for a model or a service.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	index, workspace, err := e.identify(r)
	if err != nil {
		e.refuse(w, unknownForKey(err, r.Header))
		return
	}
	refused := e.admit(workspace)
	if refused == nil {
		defer e.open.release(workspace.Name)
	}
	if refused != nil && r.Header.Get(caller.HeaderIdempotencyKey) == "" {
		e.refuse(w, refused)
		return
	}
	req, rerr := e.read(w, r)
	defer req.Release()
	if rerr != nil {
		e.refuse(w, bodyRefusal(rerr, r.Header))
		return
	}
	f, err := e.newFlow(w, req, workspace, index, refused)
	if err != nil {
		e.refuse(w, err)
		return
	}
	ctx, span := e.tracer.Start(r.Context(), "entry.request", trace.WithAttributes(attribute.String("workspace", workspace.Name)))
	defer span.End()
	e.finish(ctx, f, started)
}

// read reads a request. A caller that sends its body too slowly is refused;
// otherwise a few such callers could use up their workspace's capacity.
func (e *Entry) read(w http.ResponseWriter, r *http.Request) (caller.Request, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(e.cfg.SlowCaller))
	req, err := caller.Read(w, r, e.callerLimits())
	if err == nil {
		// From here on the connection is only read to notice that the caller
		// disconnects, so that no deadline applies.
		_ = rc.SetReadDeadline(time.Time{})
	}
	return req, err
}

// identify returns the configuration in force and the workspace of the caller's
// token.
func (e *Entry) identify(r *http.Request) (*config.Index, *config.Workspace, *outcome.Error) {
	index := e.follower.Index()
	if index == nil {
		return nil, nil, &outcome.Error{Outcome: outcome.NotRun, Reason: "not-ready", RetryAfter: e.cfg.RetryAfter}
	}
	workspace, ok := index.WorkspaceByToken(caller.Token(r.Header))
	if !ok {
		return nil, nil, errUnauthorized
	}
	return index, workspace, nil
}

// admit admits a request of the workspace unless the entry is draining or at a
// limit. An admitted request must be ended by e.open.release.
func (e *Entry) admit(workspace *config.Workspace) *outcome.Error {
	if e.draining.Load() {
		return &outcome.Error{Outcome: outcome.NotRun, Reason: "draining", RetryAfter: e.cfg.RetryAfter}
	}
	return e.open.acquire(workspace)
}

// unknownForKey turns a refusal into the outcome unknown if the caller sent a key
// that can't be looked up: an earlier attempt with the key may have run, and a
// caller that receives "not run" could send the work again under another key.
func unknownForKey(err *outcome.Error, h http.Header) *outcome.Error {
	if err == errUnauthorized || h.Get(caller.HeaderIdempotencyKey) == "" {
		return err
	}
	return &outcome.Error{Outcome: outcome.Unknown, Reason: err.Reason, RetryAfter: err.RetryAfter, Status: http.StatusServiceUnavailable}
}

// bodyRefusal returns the error for a request that could not be read. One with a key that only found no
// room is not looked up, so that its outcome is unknown.
func bodyRefusal(err error, h http.Header) error {
	var refused *outcome.Error
	if errors.As(err, &refused) && refused.Reason == caller.ReasonNoRoom {
		return unknownForKey(refused, h)
	}
	return err
}

func (e *Entry) refuse(w http.ResponseWriter, err error) {
	e.metrics.refused.Add(1)
	caller.WriteError(w, "", err)
}

func (e *Entry) callerLimits() caller.Limits {
	return caller.Limits{Body: int64(e.cfg.Body), MaxTokens: e.cfg.MaxTokens, Bodies: e.bodies}
}

// newFlow prepares the processing of one request. If refused is set, the request
// isn't run; only an earlier attempt with its key is looked up.
func (e *Entry) newFlow(w http.ResponseWriter, req caller.Request, ws *config.Workspace, x *config.Index, refused *outcome.Error) (*flow, *outcome.Error) {
	if err := checkDestination(req, x); err != nil {
		return nil, err
	}
	if req.Service != "" {
		req.MayNotRepeat = req.MayNotRepeat || x.MayNotRepeat(req.Service, req.Method, req.Path)
	}
	// A key demands at most one run, whatever the route allows.
	req.MayNotRepeat = req.MayNotRepeat || req.IdempotencyKey != ""
	if refused == nil {
		refused = e.limit(ws, req)
	}
	f := &flow{entry: e, req: req, workspace: ws, id: newID()}
	f.digest = sha256.Sum256(append([]byte(req.Method+" "+req.Path+"\n"), req.Body...))
	f.key = booking.KeyOf(ws.Name, f.id)
	f.query = route.Query{
		Model: req.Model, Service: req.Service, Cost: float64(req.Cost), Prefix: affinity(req, ws),
		Urgent: req.Priority == caller.Urgent, MayNotRepeat: req.MayNotRepeat,
	}
	e.retries.recordRequest(ws.Name)
	f.findHome(x)
	f.sink = e.newSink(w, f)
	f.relay = relay.New(relay.Request{Repeatable: !req.MayNotRepeat, CallerKey: f.callerKey, Refused: refused}, relay.Limits{
		Tries: e.cfg.Tries, Submits: e.cfg.Submits, Claims: e.cfg.Claims, Attaches: e.cfg.Attaches, Backoff: e.cfg.Backoff, RetryAfter: e.cfg.RetryAfter,
	})
	return f, nil
}

// limit charges a request against its workspace's rate limits, or refuses it.
func (e *Entry) limit(ws *config.Workspace, req caller.Request) *outcome.Error {
	wait, ok := e.limiter.allow(ws.Name, req.Cost)
	if ok {
		return nil
	}
	return &outcome.Error{Outcome: outcome.NotRun, Reason: "workspace-limit", RetryAfter: wait, Status: http.StatusTooManyRequests}
}

// checkDestination refuses a request whose service or model isn't configured.
func checkDestination(req caller.Request, x *config.Index) *outcome.Error {
	if req.Service != "" {
		if _, ok := x.Service(req.Service); !ok {
			return &outcome.Error{Outcome: outcome.NotRun, Reason: "unknown-service", Status: http.StatusNotFound}
		}
		return nil
	}
	if _, ok := x.Model(req.Model); !ok {
		return &outcome.Error{Outcome: outcome.NotRun, Reason: "unknown-model", Status: http.StatusNotFound}
	}
	return nil
}

// affinity returns the hash of the prompt's prefix. It is salted with the
// workspace unless the workspace shares its prefixes, so that timing reveals no
// prompt of one workspace to another.
func affinity(req caller.Request, ws *config.Workspace) uint64 {
	if req.Model == "" || ws.SharedPrefix {
		return req.Prefix
	}
	return route.Prefix(ws.Name, string(req.Body[:min(len(req.Body), 1024)]))
}

func (e *Entry) newSink(w http.ResponseWriter, f *flow) sink {
	if f.req.Stream {
		return newStreamSink(w, f.id, e.cfg.SlowCaller, e.cfg.KeepAlive)
	}
	return newBufferedSink(w, f.id, e.cfg.ResponseBuffer)
}

// finish runs the request and writes the end of its answer.
func (e *Entry) finish(ctx context.Context, f *flow, started time.Time) {
	cancel := func() {}
	if f.req.Deadline > 0 {
		f.deadline = started.Add(f.req.Deadline)
		ctx, cancel = context.WithDeadline(ctx, f.deadline.Add(graceAfterDeadline))
	}
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	e.flows.add(f, stop)
	defer e.flows.remove(f)
	alive := time.AfterFunc(e.cfg.KeepAlive, f.keepAlive)
	f.timer.Store(alive)
	err := f.run(ctx)
	alive.Stop()
	f.endAttempt(result{})
	e.conclude(ctx, f, err, started)
}

// conclude records the outcome of a request and ends its answer, or hands the
// answer over on a drain.
func (e *Entry) conclude(ctx context.Context, f *flow, err *outcome.Error, started time.Time) {
	if context.Cause(ctx) == errHandover {
		e.metrics.count("handover")
		f.sink.handover()
		return
	}
	if err != nil && (ctx.Err() != nil || err.Reason == relay.ReasonOverDeadline) {
		f.cancel(ctx)
	}
	e.metrics.count(outcomeName(err))
	e.retries.recordEnd(err)
	if err != nil {
		e.log.Info("request not complete", "request-id", f.id, "workspace", f.workspace.Name,
			"outcome", err.Outcome.String(), "reason", err.Reason, "attempts", f.attempt)
	}
	e.metrics.total.Record(time.Since(started).Microseconds())
	if err == nil && f.req.Stream && f.req.Model != "" {
		e.limiter.reconcile(f.workspace.Name, f.req.Cost, f.req.Cost-f.req.Generated+f.log.delivered)
	}
	f.sink.finish(err)
}

func outcomeName(err *outcome.Error) string {
	if err == nil {
		return outcome.Complete.String()
	}
	return err.Outcome.String()
}

// keepAlive sends a keep-alive to the waiting caller and rearms its timer.
func (f *flow) keepAlive() {
	f.sink.sendKeepAlive()
	if t := f.timer.Load(); t != nil {
		t.Reset(f.entry.cfg.KeepAlive)
	}
}

// cancel stops the target's work for a caller that has disconnected or whose
// deadline has passed. A request that may not be repeated continues: its answer
// is retained for the caller's next attempt.
func (f *flow) cancel(ctx context.Context) {
	if f.req.MayNotRepeat || f.answerTarget == nil || f.attempt == 0 {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer stop()
	_, _ = f.entry.dialer.Agent(f.answerTarget.Agent).Cancel(ctx, connect.NewRequest(&wire.CancelRequest{
		RequestId: f.answerID, Workspace: f.workspace.Name,
	}))
}
