package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"verbenashift/core/instance"
	"verbenashift/core/mirror"
	"verbenashift/core/outcome"
	"verbenashift/core/rankpeer"
	"verbenashift/core/retry"
	"verbenashift/core/route"
	"verbenashift/gateway/upstream"
	"verbenashift/platform"
)

// gateway serves callers.
type gateway struct {
	log     *slog.Logger
	fleet   *fleet
	catalog atomic.Pointer[catalog]
	// leaving is set by SIGTERM: the balancer is told to send nothing more.
	leaving atomic.Bool
	started time.Time

	mu      sync.Mutex
	budgets *retry.Budgets
	returns retry.Returns
	digests *digests
	// patience is the longest time that callers of each route have said they
	// wait. Who says less has been here before.
	patience map[string]time.Duration
	// admissions are those of services with engines, by name.
	admissions map[string]*admission
}

func newGateway(env instance.Env) *gateway {
	boot, log := env.Boot, env.Log
	g := &gateway{
		log: log, fleet: newFleet(boot.Instance, boot.Zone, log),
		started: time.Now(), admissions: map[string]*admission{}, patience: map[string]time.Duration{}, budgets: retry.NewBudgets(retryLimits(boot.Bounds)),
	}
	g.digests = newDigests(log, g.digest)
	return g
}

const (
	// retryPart is the part of the deployment's retries that is used, since
	// what a client sends again at another gateway is counted differently.
	retryPart = 0.85
	// gateways is how many gateways the slack of the retries is shared among.
	// Nothing tells a gateway how many there are; restarted ones start with a
	// new share.
	gateways = 24
)

// retryLimits shares the retries of the whole deployment. The ratio needs no
// sharing: each gateway keeps to it for its own requests.
func retryLimits(b platform.Bounds) retry.Limits {
	share := max(b.RetrySlack/gateways, 1)
	return retry.Limits{
		Ratio: b.RetryRatio * retryPart, KeyBurst: share, HopBurst: share,
		KeyStart: share / 2, HopStart: share / 2,
	}
}

// update takes a new view of the store: configuration and targets together.
func (g *gateway) update(v *mirror.View) {
	g.fleet.update(v)
	g.admitTo(v)
	g.digests.update(v)
	if c := g.catalog.Load(); c == nil || c.config != v.Config {
		g.catalog.Store(newCatalog(v.Config))
	}
}

// admitTo makes an admission for each service with engines.
func (g *gateway) admitTo(v *mirror.View) {
	slots := map[string]int{}
	for _, t := range v.Targets {
		slots[t.Service] += t.Slots
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		if s.Engine == nil || slots[s.Name] == 0 {
			continue
		}
		if g.admissions[s.Name] == nil {
			g.admissions[s.Name] = newAdmission(s.Name, v.ShortestGap(s.Name), g.log)
		}
		g.admissions[s.Name].resize(slots[s.Name])
	}
}

// digest takes what a steward tells of its group.
func (g *gateway) digest(d *rankpeer.Digest, taken time.Time) {
	service, running, queued := g.fleet.digest(d, taken)
	if a := g.admission(service); a != nil {
		a.engines(running, queued, d.Pass, time.Now())
	}
}

// admission returns the admission of a service, or nil if it has none.
func (g *gateway) admission(service string) *admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admissions[service]
}

// returnMargin is by how much the patience of a caller that comes back is
// shorter at least. Requests spend a few milliseconds on the way.
const returnMargin = 100 * time.Millisecond

// returning reports whether a caller has come back after an earlier try: it says
// what is left of its patience.
func (g *gateway) returning(route string, patience time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if patience > g.patience[route] {
		g.patience[route] = patience
	}
	return patience > 0 && patience+returnMargin < g.patience[route]
}

// run lets time pass until the context ends.
func (g *gateway) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.tick(time.Now())
		wait(ctx, tickEvery)
	}
}

// tick lets time pass for targets and queues.
func (g *gateway) tick(now time.Time) {
	g.fleet.tick(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.admissions {
		a.tick(now)
	}
}

// ready reports whether the balancer should send callers here.
func (g *gateway) ready() bool { return g.catalog.Load() != nil && !g.leaving.Load() }

// maxAnswer is the longest answer that is read whole before its head is passed
// on, so that one that breaks off can be replaced.
const maxAnswer = 1 << 20

// call is one request of a caller on its way.
type call struct {
	*gateway
	w       http.ResponseWriter
	r       *http.Request
	req     platform.Request
	route   *platform.Route
	space   *platform.Workspace
	service string
	body    []byte
	arrived time.Time
	// deadline is the earlier of what the route and the caller allow.
	deadline time.Time
	attempts retry.Attempts
	// ran counts the servers that may have run it.
	ran     int
	exclude route.Exclude
	// begun says that the head of the answer has gone out.
	begun     bool
	lastEvent string
	lastID    int64
	// eventAt is when the last event was passed on.
	eventAt time.Time
	// returning says that the caller has been refused or has failed before.
	returning bool
	// admission is that of the service, if it has one.
	admission *admission
	// failure is the server's own failure, passed on if nothing better comes.
	failure *answer
}

// answer is one whole answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// defaultPatience is how long a caller is served that does not say how long it
// waits.
const defaultPatience = 60 * time.Second

// ServeHTTP serves one request.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, w: w, r: r, req: platform.ParseRequest(r.Header), arrived: time.Now(), lastID: -1}
	cat := g.catalog.Load()
	if cat == nil {
		c.refuse("no configuration yet", time.Second)
		return
	}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit(cat) {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errDeadline)
	defer cancel()
	if c.admission = g.admission(c.service); c.admission != nil {
		place, refusal := c.admission.enter(ctx, c)
		metricWait.Record(time.Since(c.arrived).Milliseconds())
		if c.callerLeft() {
			if place != "" {
				c.admission.leave(place, 0)
			}
			return
		}
		if refusal != nil {
			c.refuse(refusal.Reason, refusal.RetryAfter)
			return
		}
		defer c.admission.leave(place, c.cost())
	}
	c.run(ctx)
}

// errDeadline is why a request is ended that has taken all the time it had.
var errDeadline = errors.New("the time of the request is over")

// admit finds the route and the workspace and reads the body. It answers and
// reports false if the request goes no further.
func (c *call) admit(cat *catalog) bool {
	c.route = cat.route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		c.end(http.StatusNotFound, "no route", 0)
		return false
	}
	var ok bool
	if c.space, ok = cat.workspace(c.route, c.req.Key); !ok {
		c.end(http.StatusUnauthorized, "unknown key", 0)
		return false
	}
	patience := c.req.Patience
	if patience == 0 {
		patience = defaultPatience
	}
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(patience)
	c.attempts.MayNotRepeat = !c.route.Repeatable()
	c.lastEvent = c.req.LastEvent
	limit := cat.config.Limits.BodyBytes
	if limit <= 0 {
		limit = maxAnswer
	}
	var err error
	c.body, err = io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.end(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	}
	if err != nil {
		c.log.Info("request", "id", c.req.ID, "outcome", "caller-left", "error", "body not read: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	c.service = c.drawService()
	c.returning = c.gateway.returning(c.route.Name, c.req.Patience)
	return true
}

func (c *call) drawService() string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return service(c.route, c.fleet.rng)
}

// key names the budget of retries that the request draws on.
func (c *call) key() retry.Key {
	return retry.Key{Workspace: c.service, Hop: c.service}
}

// run makes attempts until one ends the request.
func (c *call) run(ctx context.Context) {
	c.mu.Lock()
	c.budgets.Request(c.key(), time.Now())
	c.mu.Unlock()
	for {
		kind, reason, done := c.attempt(ctx)
		if done {
			return
		}
		if c.callerLeft() {
			return
		}
		d := c.decide(kind)
		if !d.Retry {
			metricNoRetry.Add(d.Err.Reason, 1)
			c.giveUp(d.Err, reason)
			return
		}
		metricRetries.Add(1)
		if c.begun {
			metricResumed.Add(1)
		}
		c.log.Info("retry", "id", c.req.ID, "service", c.service, "reason", reason, "errors", c.attempts.Errors, "ran", c.ran)
		wait(ctx, time.Until(d.At))
		if c.admission != nil && kind == retry.Refused {
			c.admission.pass(ctx)
		}
	}
}

func (c *call) decide(kind retry.Kind) retry.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.ran >= c.route.Attempts && kind != retry.Refused && kind != retry.NotSent {
		// The operator bounds how many servers may run one request.
		kind = retry.RefusedAll
		if !c.attempts.HasFailed {
			c.attempts.MayHaveRun = true
		}
	}
	return retry.Decide(&c.attempts, kind, c.budgets.For(c.key()), &c.returns, c.deadline, now, c.fleet.rng)
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// cost is the expected work of the request in tokens.
func (c *call) cost() float64 {
	return float64(max(c.req.PromptTokens+c.req.AnswerTokens, 1))
}

// attempt sends the request once. Done says that the caller has its answer, or
// has left.
func (c *call) attempt(ctx context.Context) (kind retry.Kind, reason string, done bool) {
	if ctx.Err() != nil {
		return retry.RefusedAll, "deadline", c.callerLeft()
	}
	q := &route.Query{Service: c.service, Cost: c.cost(), MayNotRepeat: c.attempts.MayNotRepeat, Exclude: c.exclude}
	s, ok := c.fleet.pick(q, time.Now())
	if !ok {
		return retry.RefusedAll, "no target", false
	}
	defer c.fleet.end(s)
	c.exclude.Add(s.index)
	c.ran++
	metricAttempts.Add(1)
	reply, err := s.target.pool.Do(ctx, c.upstream(s))
	if err != nil {
		return c.attemptFailed(ctx, s, err)
	}
	defer reply.Close()
	return c.answered(ctx, s, reply)
}

func (c *call) upstream(s sent) *upstream.Request {
	var head bytes.Buffer
	f := platform.Forward{
		TargetID: s.target.ID, Left: time.Until(c.deadline),
		Urgency: urgency(c.route, c.space), LastEvent: c.lastEvent,
	}
	f.Workspace = c.workspaceName()
	platform.WriteHeaders(&head, c.r.Header, f)
	return &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Head: head.Bytes(),
		Body: c.body, HasBody: c.r.ContentLength != 0 || len(c.body) > 0, ID: c.req.ID,
		Fresh: c.attempts.MayNotRepeat,
	}
}

// attemptFailed classifies an attempt without an answer.
func (c *call) attemptFailed(ctx context.Context, s sent, err error) (retry.Kind, string, bool) {
	if ctx.Err() == nil {
		c.fleet.failed(s, severityOf(err), time.Now())
	}
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		c.ran--
		return retry.NotSent, err.Error(), false
	}
	return retry.Broken, err.Error(), false
}

// answered takes the head of a server's answer.
func (c *call) answered(ctx context.Context, s sent, reply *upstream.Reply) (retry.Kind, string, bool) {
	now := time.Now()
	a := platform.ParseAnswer(reply.Status, reply.Header)
	c.fleet.heard(s, a, now)
	if c.admission != nil && !a.NotRun {
		c.admission.accepted()
	}
	switch {
	case a.NotRun:
		c.ran--
		if c.admission != nil && !a.Misdirected {
			c.admission.refused(s.target.ID)
		}
		return retry.Refused, "refused by " + s.target.ID, false
	case !a.Sealed || a.Encoded || a.ID != c.req.ID:
		c.fleet.failed(s, severityOf(nil), now)
		return retry.Broken, "answer without the server's signature", false
	case reply.Status < 300 && c.route.Kind == platform.Stream:
		return c.relay(ctx, s, reply)
	}
	return c.whole(ctx, s, reply)
}

// whole passes on an answer that was read to its end.
func (c *call) whole(ctx context.Context, s sent, reply *upstream.Reply) (retry.Kind, string, bool) {
	body, err := io.ReadAll(io.LimitReader(reply, maxAnswer+1))
	if err != nil {
		return c.attemptFailed(ctx, s, err)
	}
	if len(body) > maxAnswer {
		return retry.Broken, "answer too long", false
	}
	c.fleet.succeeded(s, time.Since(s.started), time.Now())
	ans := &answer{reply.Status, reply.Header, body}
	if reply.Status >= http.StatusInternalServerError && c.route.Repeatable() && !c.begun {
		c.failure = ans
		return retry.Failed, "failed by " + s.target.ID, false
	}
	if c.begun {
		return retry.Broken, "stream not resumed", false
	}
	c.pass(ans)
	return 0, "", true
}

// pass sends the caller a whole answer of a server.
func (c *call) pass(a *answer) {
	platform.CopyAnswerHeaders(c.w.Header(), a.header)
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil {
		c.log.Info("request", "id", c.req.ID, "outcome", "caller-left", "error", err.Error())
		return
	}
	c.completed(a.status)
}

func (c *call) completed(status int) {
	now := time.Now()
	c.mu.Lock()
	c.returns.Completed(now)
	c.mu.Unlock()
	metricRequests.Add(strconv.Itoa(status), 1)
	metricWhole.Record(now.Sub(c.arrived).Milliseconds())
	c.log.Info("request", "id", c.req.ID, "route", c.route.Name, "service", c.service, "status", status,
		"ms", now.Sub(c.arrived).Milliseconds(), "errors", c.attempts.Errors)
}

// streamBuffer is how much of a stream is read at once.
const streamBuffer = 4 << 10

// relay passes a stream on, event by event. The head goes out with the first
// event, so that a stream that breaks before can be refused or sent elsewhere.
func (c *call) relay(ctx context.Context, s sent, reply *upstream.Reply) (retry.Kind, string, bool) {
	var ev events
	buf := make([]byte, streamBuffer)
	first := true
	for {
		n, err := reply.Read(buf)
		ev.add(buf[:n])
		for event := ev.next(); event != nil; event = ev.next() {
			if first {
				c.fleet.succeeded(s, time.Since(s.started), time.Now())
				first = false
			}
			if !c.sendEvent(reply, event) {
				return 0, "", true
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !ev.partial() {
			c.begin(reply)
			c.completed(reply.Status)
			return 0, "", true
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return c.attemptFailed(ctx, s, err)
	}
}

// begin sends the head of a stream once: a stream that goes on at another
// server keeps the head of its first.
func (c *call) begin(reply *upstream.Reply) {
	if c.begun {
		return
	}
	c.begun = true
	platform.CopyAnswerHeaders(c.w.Header(), reply.Header)
	c.w.WriteHeader(reply.Status)
}

// sendEvent passes one event on, once. It reports false if the caller has left.
func (c *call) sendEvent(reply *upstream.Reply, event []byte) bool {
	id := eventID(event)
	if id >= 0 && id <= c.lastID {
		return true
	}
	c.begin(reply)
	if _, err := c.w.Write(event); err != nil {
		c.log.Info("request", "id", c.req.ID, "outcome", "caller-left", "error", err.Error())
		return false
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.log.Info("request", "id", c.req.ID, "outcome", "caller-left", "error", err.Error())
		return false
	}
	now := time.Now()
	if c.eventAt.IsZero() {
		metricFirst.Record(now.Sub(c.arrived).Milliseconds())
	} else {
		metricGap.Record(now.Sub(c.eventAt).Milliseconds())
	}
	c.eventAt = now
	if id >= 0 {
		c.lastID = id
		c.lastEvent = formatID(id)
	}
	return true
}

// workspaceName returns the name of the caller's workspace, or "".
func (c *call) workspaceName() string {
	if c.space == nil {
		return ""
	}
	return c.space.Name
}

// callerLeft reports whether the caller has closed its connection.
func (c *call) callerLeft() bool {
	if c.r.Context().Err() == nil {
		return false
	}
	c.log.Info("request", "id", c.req.ID, "outcome", "caller-left", "ms", time.Since(c.arrived).Milliseconds())
	return true
}

// giveUp ends a request that no server has answered.
func (c *call) giveUp(e *outcome.Error, reason string) {
	if c.begun {
		// The caller has a part of the stream: only a broken connection tells
		// it that the rest is missing.
		metricBrokenOff.Add(1)
		c.log.Warn("request", "id", c.req.ID, "route", c.route.Name, "outcome", "broken-off", "reason", reason, "why", e.Reason,
			"last-event", c.lastEvent, "ms", time.Since(c.arrived).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	if c.failure != nil {
		c.pass(c.failure)
		return
	}
	switch {
	case e.Outcome == outcome.NotRun:
		c.refuse(reason, e.RetryAfter)
	case !time.Now().Before(c.deadline):
		c.end(platform.StatusTimeout, reason, 0)
	default:
		c.end(platform.StatusUnknown, reason, 0)
	}
}

// refuse says that the request has not run and never will.
func (c *call) refuse(reason string, comeback time.Duration) {
	c.end(platform.StatusNotRun, reason, comeback)
}

// end sends an answer of the gateway's own.
func (c *call) end(status int, reason string, comeback time.Duration) {
	metricRequests.Add(strconv.Itoa(status), 1)
	metricRefusals.Add(reasonClass(reason), 1)
	platform.SetOwnAnswer(c.w.Header(), c.req.ID, comeback)
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
	c.log.Info("request", "id", c.req.ID, "service", c.service, "status", status, "reason", reason,
		"patience-ms", c.req.Patience.Milliseconds(), "ms", time.Since(c.arrived).Milliseconds(), "errors", c.attempts.Errors, "retry-after-ms", comeback.Milliseconds())
}

// reasonClass cuts off of a reason what differs from request to request, such as
// the name of a target.
func reasonClass(reason string) string {
	for _, class := range []string{"refused by", "failed by", "request not sent", "answer broken"} {
		if strings.HasPrefix(reason, class) {
			return class
		}
	}
	return reason
}
