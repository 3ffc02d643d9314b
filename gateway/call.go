package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/core/plumbing/intake"
	"verbenashift/core/request/admission"
	"verbenashift/core/request/residency"
	"verbenashift/core/request/retry"
	"verbenashift/core/request/route"
	"verbenashift/platform"
)

// maxAnswer is the longest answer that is buffered completely before its head is passed
// on, so that an answer that breaks off can be replaced.
const maxAnswer = 1 << 20

// call is one request of a caller in progress.
type call struct {
	*gateway
	w http.ResponseWriter
	r *http.Request
	request
	progress
	delivery
	quarantineState
}

// request is what a call asks for. It does not change once the call is admitted.
type request struct {
	req platform.Request
	// headers are the headers that targets get as they are, parent is the caller's trace context.
	headers []byte
	parent  string

	route           *deployment.Route
	callerWorkspace *deployment.Workspace
	service         string
	body            *buffers.Buffer
	arrived         time.Time
	// deadline is the earlier of what the route and the caller allow.
	deadline time.Time
	// zones are the availability zones in which its target may be; nil for any.
	zones residency.Set
	// version is that of the configuration that applies to the request.
	version int64
	// class is its rank among the classes of the service, urgency the priority that its engine
	// gets with it; 0 is the first of either. classes is how many the service has.
	class, urgency, classes int
	// returning is set if the caller was refused or has failed before.
	returning bool
}

// progress is the state of the attempts of a call.
type progress struct {
	attempts retry.Attempts
	// startupWait is how long the call waited for the gateway to start, queued how long it
	// took until it got a slot; last is its last attempt.
	startupWait time.Duration
	queued      time.Duration
	// hold is what kept it from getting a slot.
	hold admission.Hold
	last activeAttempt
	// ran counts the servers that may have run it.
	ran     int
	exclude route.Exclude
	// admitter is that of the service, if it has one; slot is where the request runs.
	admitter *admitter
	slot     slot
	// stream tracks a stream that may be resumed at another target.
	stream *activeStream
	// pending tracks a plain request.
	pending *pending
	// failure is a server's own error answer, passed on if no attempt succeeds; answer is what is
	// passed on when the attempts have ended, or nil.
	failure, answer *answer
	// reserved is room for an answer, until one is read into it; head is the room for a long head
	// of the current attempt's answer.
	reserved, head *buffers.Buffer
	// abandon ends the current attempt.
	abandon context.CancelCauseFunc
	// retryAfter is how long it takes until a throttled target may take the request; 0 if
	// that is not known.
	retryAfter time.Duration
}

// delivery is what the caller has received so far.
type delivery struct {
	// begun is set once the head of a stream was sent, answeredByTarget once a target has answered
	// completely.
	begun, answeredByTarget bool
	// sentHead is the room for the head that was sent, if it was long.
	sentHead  *buffers.Buffer
	lastEvent string
	lastID    int64
	// extendedAt is when the deadline for writing was moved last.
	extendedAt time.Time
	// eventAt is when the last event was passed on, firstAfter the time from the arrival
	// of the request to its first event, longestPause the longest time between two events.
	eventAt      time.Time
	firstAfter   time.Duration
	longestPause time.Duration
}

// newCall returns the call of a caller that has just arrived.
func newCall(g *gateway, w http.ResponseWriter, r *http.Request) *call {
	c := &call{
		gateway: g, w: w, r: r,
		request:  request{req: platform.ParseRequest(r.Header), headers: platform.EncodeHeaders(r.Header), parent: r.Header.Get(parentHeader), arrived: time.Now()},
		delivery: delivery{lastID: -1},
	}
	c.dropHeader()
	return c
}

// uriCopies is how many copies of the request's target there may be in memory.
const uriCopies = 4

// dropHeader drops the parsed header of the request, which can take many times its bytes, while the call
// waits for its body, a slot or its answer.
func (c *call) dropHeader() {
	c.r.Header = nil
	// All else that was decoded stands in the headers that are forwarded.
	own := len(c.req.Key) + len(c.req.LastEvent)
	intake.Retain(c.r.Context(), int64(2*cap(c.headers)+uriCopies*len(c.r.RequestURI)+own))
}

// answer is one complete answer of a server. The nil answer is none.
type answer struct {
	status int
	header http.Header
	// head is the room for the header if it is long.
	head, body *buffers.Buffer
}

// release returns the room of the answer.
func (a *answer) release() {
	if a == nil {
		return
	}
	a.head.Release()
	a.body.Release()
}

// defaultTimeout is the time limit of a request whose caller does not state one.
const defaultTimeout = 60 * time.Second

// errDeadline is the cause when a request has reached its deadline.
var errDeadline = errors.New("the time of the request is over")

// admit finds the route and the workspace and reads the body. If the request cannot be
// served, it answers the request and reports false.
func (c *call) admit(cat *catalog) bool {
	c.version = cat.config.Version
	c.route = cat.route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		c.respond(http.StatusNotFound, "no route", 0)
		return false
	}
	var ok bool
	if c.callerWorkspace, ok = cat.workspace(c.route, c.req.Key); !ok {
		c.respond(http.StatusUnauthorized, "unknown key", 0)
		return false
	}
	timeout := c.req.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	c.attempts.MayNotRepeat = !c.route.Repeatable()
	c.lastEvent = c.req.LastEvent
	limit := cat.config.Limits.BodyBytes
	if limit <= 0 {
		limit = maxAnswer
	}
	if err := c.readBody(limit); err != nil {
		c.rejectBody(err)
		return false
	}
	if err := c.reserveAnswer(); err != nil {
		c.refuse(reasonNoRoom, 0)
		return false
	}
	c.service = c.drawService()
	c.class = cat.class(c.service, c.route, c.callerWorkspace)
	c.classes = cat.orders[c.service].Classes()
	c.urgency = cat.urgency(c.service, c.route, c.callerWorkspace)
	c.zones = c.fleet.zonesFor(c.route, c.callerWorkspace)
	c.returning = c.gateway.isReturning(c.route, c.req.Timeout)
	return true
}

func (c *call) drawService() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return service(c.route, c.rng)
}

// key returns the key of the retry budget that the request draws on. The platform bounds retries by
// service, not by workspace.
func (c *call) key() retry.Key { return retry.ServiceKey(c.service) }

func (c *call) decide(kind retry.Kind) retry.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.ran >= c.route.MaxAttempts && kind != retry.Refused && kind != retry.NotSent {
		// The operator limits how many servers may run one request.
		kind = retry.RefusedAll
		if !c.attempts.HasFailed {
			c.attempts.MayHaveRun = true
		}
	}
	return retry.Decide(&c.attempts, kind, c.retries.For(c.key()), &c.returnScheduler, c.deadline, now, c.rng)
}

// cost returns the expected work of the request in tokens.
func (c *call) cost() float64 {
	return float64(max(c.req.PromptTokens+c.req.AnswerTokens, 1))
}

// releaseBuffers returns the room of the bodies that the call still holds.
func (c *call) releaseBuffers() {
	c.body.Release()
	c.reserved.Release()
	c.head.Release()
	c.sentHead.Release()
	c.failure.release()
	c.answer.release()
}

// callerLeft reports whether the caller has closed its connection.
func (c *call) callerLeft() bool {
	if c.r.Context().Err() == nil {
		return false
	}
	c.logOutcome("outcome", "caller-left")
	return true
}
