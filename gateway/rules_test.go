package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/boot"
	"verbenashift/core/plumbing/instance"
	"verbenashift/core/request/retry"
	"verbenashift/gateway/startup"
	"verbenashift/platform"
	"verbenashift/standin/scripted"
)

// rig is a gateway between callers and scripted servers.
type rig struct {
	*is.I
	t       *testing.T
	gateway *gateway
	front   string
	server  *http.Server
	view    mirror.Snapshot
	calls   int
}

const (
	rigHost  = "desk.example"
	rigKey   = "key-of-harbor-home"
	rigSpace = "harbor-home"
	rigBody  = "a family's own words"
	// rigRetries is the burst of retries of all gateways: far more than a test needs.
	rigRetries = 10_000
	// rigWriteBuffer is how much the system holds of what a caller has not read, in bytes.
	rigWriteBuffer = 64 << 10
	// rigTimeout is how long callers wait unless a test says otherwise.
	rigTimeout = 5 * time.Second
)

// routeOf returns a route of one of the kinds that a configuration may have.
func routeOf(kind deployment.RouteKind) deployment.Route {
	return deployment.Route{
		Name: "a", Host: rigHost, Prefix: "/a/", Kind: kind, Timeout: 4 * time.Second, Objective: 300 * time.Millisecond,
		MaxEventGap: 120 * time.Millisecond, MaxAttempts: 2, Resumable: kind == deployment.Stream,
		Split: []deployment.Share{{Service: "pool", Weight: 1}},
	}
}

// newRig starts a gateway whose route leads to servers, which are the targets t0, t1 and so
// on.
func newRig(t *testing.T, route deployment.Route, servers ...*scripted.Server) *rig {
	t.Helper()
	env := instance.Env{Log: slog.New(slog.DiscardHandler)}
	env.Boot.Bounds = boot.Bounds{RetryRatio: 0.2, RetryBurst: rigRetries}
	g := newGateway(env, noop.NewTracerProvider().Tracer("test"), nil)
	g.retries = retry.NewSharedBudgets(retry.Allowance{Ratio: 0.2, Burst: rigRetries, Window: 10 * time.Second}, time.Time{})
	r := &rig{I: is.New(t), t: t, gateway: g, view: mirror.Snapshot{
		Config: &deployment.Config{
			Version: 7, Routes: []deployment.Route{route}, Services: []deployment.Service{{Name: "pool"}},
			Workspaces: []deployment.Workspace{{Name: rigSpace, Keys: []string{rigKey}}},
			Limits:     deployment.Limits{BodyBytes: 1 << 20},
		},
		Targets: map[string]deployment.Target{},
	}}
	for i, s := range servers {
		id := fmt.Sprintf("t%d", i)
		r.view.Targets[id] = deployment.Target{ID: id, Service: "pool", Addr: s.Addr, Slots: 12}
	}
	g.update(&r.view)
	front := httptest.NewUnstartedServer(g)
	front.Config.ErrorLog = log.New(io.Discard, "", 0) // Streams break off on purpose.
	front.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(rigWriteBuffer)
		return ctx
	}
	front.Start()
	ctx, stop := context.WithCancel(context.Background())
	go g.run(ctx)
	t.Cleanup(func() {
		stop()
		front.CloseClientConnections()
		front.Close()
	})
	r.front, r.server = front.Listener.Addr().String(), front.Config
	return r
}

// call returns the next attempt of a caller.
func (r *rig) call() scripted.Call {
	r.calls++
	return scripted.Call{
		Gateway: r.front, Method: http.MethodPost, Path: "/a/item?q=1", Host: rigHost, Key: rigKey,
		ID: fmt.Sprintf("r%d", r.calls), Body: rigBody, Timeout: rigTimeout,
	}
}

// send sends the next attempt.
func (r *rig) send() (scripted.Call, scripted.Answer) {
	c := r.call()
	return c, c.Do(r.t.Context())
}

// restart puts the gateway in the state after a start, without a configuration.
func (r *rig) restart() {
	r.gateway.catalog.Store(nil)
	r.gateway.startup = startup.New()
}

// total counts the arrivals at servers.
func total(servers ...*scripted.Server) int {
	n := 0
	for _, s := range servers {
		n += len(s.Seen())
	}
	return n
}

// broken returns the ways in which a server's answer may be unusable.
func broken() map[string]func(*scripted.Exchange) {
	return map[string]func(*scripted.Exchange){
		"closed without an answer": func(x *scripted.Exchange) { x.Close() },
		"no signature":             func(x *scripted.Exchange) { x.Unsealed("other") },
		"body cut off": func(x *scripted.Exchange) {
			x.Write(scripted.Head(200, x.ID(), "Content-Length: 100\r\n") + "half")
			x.Close()
		},
		"no bytes of the protocol": func(x *scripted.Exchange) {
			x.Write("\x00\x01 what is this\r\n\r\n")
			x.Close()
		},
		"answer to another request": func(x *scripted.Exchange) {
			x.Write(scripted.Head(200, "another", "Content-Length: 5\r\n") + "other")
			x.Close()
		},
		"status 000": func(x *scripted.Exchange) {
			x.Write(scripted.Head(0, x.ID(), "Content-Length: 5\r\n") + "other")
			x.Close()
		},
		"status 000 before a whole answer": func(x *scripted.Exchange) {
			x.Write("HTTP/1.1 000 Trouble\r\n\r\n")
			x.Respond(200, "other")
			x.Close()
		},
		"status 600": func(x *scripted.Exchange) {
			x.Write(scripted.Head(600, x.ID(), "Content-Length: 5\r\n") + "other")
			x.Close()
		},
		"blank in the name of a field": func(x *scripted.Exchange) {
			x.Write(scripted.Head(200, x.ID(), "Content-Length: 5\r\nX Y: 1\r\n") + "other")
			x.Close()
		},
		"chunks after a line with a blank": func(x *scripted.Exchange) {
			x.Write(scripted.Head(200, x.ID(), "Transfer-Encoding : chunked\r\n") + "5\r\nother\r\n0\r\n\r\n")
			x.Close()
		},
		"identifiers of two requests": func(x *scripted.Exchange) {
			x.Write(scripted.Head(200, x.ID(), "X-Request-Id: another\r\nContent-Length: 5\r\n") + "other")
			x.Close()
		},
		"encoded": func(x *scripted.Exchange) {
			x.Write(scripted.Head(200, x.ID(), "Content-Encoding: gzip\r\nContent-Length: 3\r\n") + "zip")
		},
	}
}

// Guards against an answer that broke off, lost its signature or belongs to another request and
// looks complete to the caller of a lookup.
func TestBrokenLookupIsRepeated(t *testing.T) {
	for name, spoil := range broken() {
		t.Run(name, func(t *testing.T) {
			var answered atomic.Bool
			script := func(x *scripted.Exchange) {
				if !answered.Swap(true) {
					spoil(x)
					return
				}
				x.Respond(200, "whole answer")
			}
			a, b := scripted.Serve(t, script), scripted.Serve(t, script)
			r := newRig(t, routeOf(deployment.Safe), a, b)
			c, got := r.send()
			r.Equal(got.Status, 200)
			r.True(got.Complete)
			r.True(got.Sealed(c.ID))
			r.Equal(got.Body, "whole answer")
			r.Equal(total(a, b), 2)
		})
	}
}

// Guards against rejecting an answer whose identifier is repeated.
func TestRepeatedIdentifier(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		x.Write(scripted.Head(200, x.ID(), "X-Request-Id: "+x.ID()+"\r\nContent-Length: 5\r\n") + "whole")
	})
	r := newRig(t, routeOf(deployment.Unsafe), s)
	_, got := r.send()
	r.Equal(got.Body, "whole")
}

// Guards against a second run of a booking that may have run, and against the outcomes "not run"
// and success for it.
func TestBrokenBookingIsUnknown(t *testing.T) {
	for name, spoil := range broken() {
		t.Run(name, func(t *testing.T) {
			a, b := scripted.Serve(t, spoil), scripted.Serve(t, spoil)
			r := newRig(t, routeOf(deployment.Unsafe), a, b)
			_, got := r.send()
			r.Equal(got.Status, platform.StatusUnknown)
			r.Equal(got.Signature(), "")
			r.Equal(got.Body, "")
			r.Equal(total(a, b), 1) // sent once
		})
	}
}

// Guards against sending a booking over a kept connection that its server closes just then.
func TestBookingsUseNewConnections(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "booked") })
	r := newRig(t, routeOf(deployment.Unsafe), s)
	for range 3 {
		_, got := r.send()
		r.Equal(got.Status, 200)
	}
	conns := map[int]bool{}
	for _, seen := range s.Seen() {
		conns[seen.Conn] = true
	}
	r.Equal(len(conns), 3)
}

// Guards against failing a booking that a full server has not run while another one may take it.
func TestRefusedBookingGoesElsewhere(t *testing.T) {
	refuse := func(x *scripted.Exchange) { x.Refuse() }
	a := scripted.Serve(t, refuse)
	b := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "booked") })
	r := newRig(t, routeOf(deployment.Unsafe), a, b)
	for range 20 { // whichever is tried first
		_, got := r.send()
		r.Equal(got.Status, 200)
		r.Equal(got.Body, "booked")
	}
	r.True(len(a.Seen()) > 0) // the refusing one was asked
	all := newRig(t, routeOf(deployment.Unsafe), scripted.Serve(t, refuse), scripted.Serve(t, refuse))
	_, got := all.send()
	all.Equal(got.Status, platform.StatusNotRun)
	all.True(got.RetryAfter() > 0)
	all.True(got.RetryAfter() <= rigTimeout/3) // the longest that callers honour
}

// Guards against a run by another service, at the address of a removed server.
func TestAddressOfAnotherServer(t *testing.T) {
	other := scripted.Serve(t, func(x *scripted.Exchange) { x.Misdirected() })
	own := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "own") })
	r := newRig(t, routeOf(deployment.Unsafe), other, own)
	for range 30 {
		_, got := r.send()
		r.Equal(got.Status, 200)
		r.Equal(got.Body, "own")
	}
	for _, seen := range other.Seen() {
		r.Equal(seen.ExpectedInstance(), "t0")
	}
	r.True(len(other.Seen()) <= 1)
}

// Guards against modifying a request, passing its key to a server, and trusting the workspace
// that the caller states.
func TestServerGetsWhatTheCallerSent(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), s)
	c := r.call()
	c.Method, c.Path, c.Body = http.MethodPut, "/a/x%2Fy//z?b=2&a=%20", "line 1\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n"
	prompt := scripted.PromptHeader("m", "14,80", "5c:8,91:4")
	c.Header = prompt.Clone()
	c.Header["X-Own"] = []string{"1", "2"}
	scripted.ForgeWorkspace(c.Header, "a-competitor")
	r.Equal(c.Do(t.Context()).Status, 200)
	r.Equal(len(s.Seen()), 1) // the body is no second request
	got := s.Seen()[0]
	r.Equal(got.Method, c.Method)
	r.Equal(got.Target, c.Path)
	r.Equal(got.Host, rigHost)
	r.Equal(got.Body, c.Body)
	r.Equal(got.ID(), c.ID)
	r.Equal(got.Workspace(), rigSpace)
	r.Equal(got.Header.Get("Authorization"), "")
	r.Equal(got.Header["X-Own"], c.Header["X-Own"])
	for name := range prompt {
		r.Equal(got.Header[name], prompt[name])
	}
	r.True(!strings.Contains(fmt.Sprint(got.Header), rigKey))
}

// Guards against replacing a server's own error answer by one of the gateway.
func TestFailureOfTheServerIsPassedOn(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(500, "the desk is closed") })
	r := newRig(t, routeOf(deployment.Unsafe), s)
	c, got := r.send()
	r.Equal(got.Status, 500)
	r.Equal(got.Body, "the desk is closed")
	r.True(got.Sealed(c.ID))
	r.Equal(len(s.Seen()), 1)
}

// Guards against running a lookup on more servers than the operator allows.
func TestNoMoreServersThanAllowed(t *testing.T) {
	fail := func(x *scripted.Exchange) { x.Respond(500, "no") }
	a, b, c := scripted.Serve(t, fail), scripted.Serve(t, fail), scripted.Serve(t, fail)
	r := newRig(t, routeOf(deployment.Safe), a, b, c)
	_, got := r.send()
	r.Equal(got.Status, 500)
	r.Equal(total(a, b, c), 2)
}

// Guards against answers after the route's or the caller's time limit, and against passing
// servers more than the remaining time.
func TestTimeOfARequestIsKept(t *testing.T) {
	for name, tt := range map[string]struct{ route, caller time.Duration }{
		"the route's":  {200 * time.Millisecond, 5 * time.Second},
		"the caller's": {4 * time.Second, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := scripted.Serve(t, func(x *scripted.Exchange) { x.WaitForClose(time.Minute) })
			route := routeOf(deployment.Unsafe)
			route.Timeout = tt.route
			r := newRig(t, route, s)
			c := r.call()
			c.Timeout = tt.caller
			got := c.Do(t.Context())
			r.Equal(got.Status, platform.StatusTimeout) // it may have run: no promise
			r.True(s.Seen()[0].RemainingTime() <= 200*time.Millisecond)
			<-s.Disconnects() // the server hears that nobody waits any more
		})
	}
}

// Guards against work for a caller that has disconnected.
func TestCallerThatLeavesFreesTheServer(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		x.Stream()
		x.Chunk(scripted.Event(1))
		leave()
		x.WaitForClose(time.Minute)
	})
	r := newRig(t, routeOf(deployment.Stream), s)
	got := r.call().Do(ctx)
	r.True(got.Err != nil)
	<-s.Disconnects()
	r.Equal(len(s.Seen()), 1) // and it is sent nowhere else
}

// Guards against a stream that is lost, or has missing or duplicate events, when its server dies
// in the middle of an event.
func TestStreamGoesOnElsewhere(t *testing.T) {
	dies := func(x *scripted.Exchange) {
		x.Stream()
		x.Chunk(scripted.Event(1))
		x.Chunk(scripted.Event(2) + "id: 3\nda")
		x.Close()
	}
	goesOn := func(x *scripted.Exchange) {
		x.Stream()
		for n := 2; n <= 4; n++ { // it repeats one, as it may
			x.Chunk(scripted.Event(n))
		}
		x.End()
	}
	script := func(x *scripted.Exchange) {
		if x.Header.Get("Last-Event-Id") == "" {
			dies(x)
			return
		}
		goesOn(x)
	}
	a, b := scripted.Serve(t, script), scripted.Serve(t, script)
	r := newRig(t, routeOf(deployment.Stream), a, b)
	c, got := r.send()
	r.Equal(got.Status, 200)
	r.True(got.Complete)
	r.True(got.Sealed(c.ID))
	r.Equal(got.Body, scripted.Event(1)+scripted.Event(2)+scripted.Event(3)+scripted.Event(4))
	last := append(a.Seen(), b.Seen()...)
	r.Equal(len(last), 2)
	r.True(last[0].Header.Get("Last-Event-Id") == "2" || last[1].Header.Get("Last-Event-Id") == "2")
}

// Guards against a group that waits in each forward pass for a slow rank because streams stay there.
func TestStreamLeavesASlowRank(t *testing.T) {
	const ranks = 5
	for name, tt := range map[string]struct {
		slow, attempts int
		moves          bool
	}{
		"one rank slow":  {1, 2, true},
		"one run only":   {1, 1, false},
		"two ranks slow": {2, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			first, proceed := make(chan string, 1), make(chan struct{})
			script := func(x *scripted.Exchange) {
				x.Stream()
				if x.Header.Get("Last-Event-Id") != "" {
					x.Chunk(scripted.Event(2) + scripted.Event(3))
					x.End()
					return
				}
				x.Chunk(scripted.Event(1))
				first <- x.Expect()
				<-proceed
				x.Chunk(scripted.Event(2) + scripted.Event(3))
				x.End()
			}
			var servers []*scripted.Server
			for range ranks {
				servers = append(servers, scripted.Serve(t, script))
			}
			route := routeOf(deployment.Stream)
			route.MaxAttempts = tt.attempts
			r := newRig(t, route, servers...)
			got := make(chan scripted.Answer, 1)
			begun := make(chan struct{}, 8)
			go func() { got <- r.call().DoStreaming(t.Context(), func(string) { begun <- struct{}{} }) }()
			at := <-first
			<-begun
			r.awaitPassedOn()
			r.gateway.digest(slowDigest(ranks, at, tt.slow), time.Now())
			var answer scripted.Answer
			if tt.moves {
				answer = <-got // the slow server has said nothing more
			}
			close(proceed)
			if !tt.moves {
				answer = <-got
			}
			r.True(answer.Complete)
			r.Equal(answer.Body, scripted.Event(1)+scripted.Event(2)+scripted.Event(3))
			r.Equal(total(servers...) == 2, tt.moves)
		})
	}
}

// slowDigest returns the digest of a group with the given numbers of ranks and slow ranks, one
// of them the given target.
func slowDigest(ranks int, target string, slow int) *rankpeer.Digest {
	const slowPace = 12
	d := &rankpeer.Digest{Running: make([]uint16, ranks), Queued: make([]uint16, ranks)}
	others := slow - 1
	for i := range ranks {
		id, pace := fmt.Sprintf("t%d", i), uint16(rankpeer.PaceUnit)
		switch {
		case id == target:
			pace *= slowPace
		case others > 0:
			others--
			pace *= slowPace
		}
		d.Targets, d.Pace = append(d.Targets, id), append(d.Pace, pace)
	}
	return d
}

// Guards against a second run that the operator does not allow, and a partial stream that looks
// complete.
func TestStreamThatMayNotBeRepeatedBreaksOff(t *testing.T) {
	script := func(x *scripted.Exchange) {
		x.Stream()
		x.Chunk(scripted.Event(1))
		x.Close()
	}
	a, b := scripted.Serve(t, script), scripted.Serve(t, script)
	route := routeOf(deployment.Stream)
	route.Resumable = false
	r := newRig(t, route, a, b)
	_, got := r.send()
	r.True(!got.Complete)
	r.Equal(total(a, b), 1)
}

// Guards against delaying events on their way to the caller.
func TestEventsAreNotHeldBack(t *testing.T) {
	read := make(chan struct{})
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		x.Stream()
		x.Chunk(scripted.Event(1))
		<-read
		x.Chunk(scripted.Event(2))
		x.End()
	})
	r := newRig(t, routeOf(deployment.Stream), s)
	got := r.call().DoStreaming(t.Context(), func(part string) {
		if strings.Contains(part, "part 1") {
			close(read)
		}
	})
	r.True(got.Complete)
	r.Equal(got.Body, scripted.Event(1)+scripted.Event(2))
}

// Guards against returning a second answer to an earlier lookup to another caller.
func TestSecondAnswerIsSkipped(t *testing.T) {
	before := ""
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		if before != "" {
			x.Write(scripted.Head(200, before, "Content-Length: 12\r\n") + "for another!")
		}
		before = x.ID()
		x.Respond(200, "own")
	})
	r := newRig(t, routeOf(deployment.Safe), s)
	for range 3 {
		c, got := r.send()
		r.Equal(got.Body, "own")
		r.True(got.Sealed(c.ID))
	}
	r.Equal(len(s.Seen()), 3)
	r.Equal(s.Seen()[2].Conn, s.Seen()[0].Conn)
}

// bodyTimeout is more than a body of 64 MB takes on a machine that has other work to do.
const bodyTimeout = 2 * time.Minute

// Guards against a request that its server reads as the rest of an earlier long body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	sent := make(chan struct{})
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		x.Respond(200, "early")
		if x.ReadsLate() {
			<-sent
			x.ReadBody()
		}
	})
	r := newRig(t, routeOf(deployment.Safe), s)
	long := r.call()
	long.Timeout = bodyTimeout
	r.view.Config.Routes[0].Timeout = bodyTimeout
	// More than the buffers of a connection take in.
	long.Body, long.Header = strings.Repeat("x", 64<<20), scripted.ReadLate()
	r.view.Config.Limits.BodyBytes = 128 << 20
	r.Equal(long.Do(t.Context()).Body, "early")
	c := r.call()
	answer := make(chan scripted.Answer)
	go func() { answer <- c.Do(t.Context()) }()
	time.Sleep(50 * time.Millisecond) // it is in progress by now
	close(sent)
	r.Equal((<-answer).Status, 200)
	r.Equal(s.Seen()[1].ID(), c.ID)
	r.Equal(s.Seen()[1].Body, c.Body)
	r.True(s.Seen()[1].Conn != s.Seen()[0].Conn)
}

// Guards against serving requests that the configuration does not allow, and against rejecting,
// before it is known, requests that it may allow.
func TestWhatIsNotAllowed(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), s)
	for name, tt := range map[string]struct {
		change func(*scripted.Call)
		status int
	}{
		"no route":    {func(c *scripted.Call) { c.Path = "/b/item" }, http.StatusNotFound},
		"other host":  {func(c *scripted.Call) { c.Host = "other.example" }, http.StatusNotFound},
		"no key":      {func(c *scripted.Call) { c.Key = "" }, http.StatusUnauthorized},
		"unknown key": {func(c *scripted.Call) { c.Key = "made-up" }, http.StatusUnauthorized},
	} {
		c := r.call()
		tt.change(&c)
		if got := c.Do(t.Context()); got.Status != tt.status {
			t.Errorf("%s: %d", name, got.Status)
		}
	}
	r.Equal(len(s.Seen()), 0)
	r.restart()
	r.gateway.startup.Unreachable()
	c := r.call()
	c.Key = "made-up"
	r.Equal(c.Do(t.Context()).Status, platform.StatusNotRun)
}

// Guards against refusing the callers of a gateway that is reading its configuration: many have
// lost an attempt already and get no third one.
func TestStartingGatewayHoldsCallers(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), s)
	r.restart()
	answers := make(chan scripted.Answer)
	c := r.call()
	go func() { answers <- c.Do(t.Context()) }()
	for r.gateway.startup.Held() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.Equal(len(s.Seen()), 0)
	r.gateway.update(&r.view)
	r.Equal((<-answers).Status, http.StatusOK)
}

// Guards against applying an older configuration after a newer one is in force.
func TestNewVersionIsInForce(t *testing.T) {
	before := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "before") })
	after := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "after") })
	r := newRig(t, routeOf(deployment.Safe), before)
	_, got := r.send()
	r.Equal(got.Body, "before")
	cfg := *r.view.Config
	cfg.Version += 4
	route := routeOf(deployment.Safe)
	route.Split = []deployment.Share{{Service: "annex", Weight: 1}}
	cfg.Routes = []deployment.Route{route}
	cfg.Workspaces = []deployment.Workspace{{Name: rigSpace, Keys: []string{"new-key"}}}
	view := mirror.Snapshot{Config: &cfg, Targets: map[string]deployment.Target{
		"t0": r.view.Targets["t0"], "t1": {ID: "t1", Service: "annex", Addr: after.Addr, Slots: 12},
	}}
	r.gateway.update(&view)
	_, got = r.send()
	r.Equal(got.Status, http.StatusUnauthorized)
	c := r.call()
	c.Key = "new-key"
	r.Equal(c.Do(t.Context()).Body, "after")
	r.Equal(len(before.Seen()), 1)
}

// Guards against a gateway that only knows the routes from its start.
func TestLaterRoutesAreServed(t *testing.T) {
	const later = 30
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, x.Target) })
	r := newRig(t, routeOf(deployment.Safe), s)
	for i := range later {
		cfg := *r.view.Config
		cfg.Version++
		added := routeOf(deployment.Safe)
		added.Name, added.Prefix = fmt.Sprintf("later-%d", i), fmt.Sprintf("/later-%d/", i)
		cfg.Routes = append(slices.Clone(cfg.Routes), added)
		r.view.Config = &cfg
		view := r.view
		r.gateway.update(&view)
		for _, path := range []string{added.Prefix + "item", "/a/item"} {
			c := r.call()
			c.Path = path
			got := c.Do(r.t.Context())
			r.Equal(got.Status, 200)
			r.Equal(got.Body, path)
		}
	}
}

// Guards against closing a keep-alive connection without an answer to a request that was read.
func TestKeptConnectionGetsAnswers(t *testing.T) {
	scripts := []func(*scripted.Exchange){
		func(x *scripted.Exchange) { x.Respond(200, "ok") },
		func(x *scripted.Exchange) { x.Respond(200, "ok"); x.Close() },
		func(x *scripted.Exchange) { x.Close() },
		func(x *scripted.Exchange) { x.Refuse() },
	}
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe, deployment.Stream} {
		var n atomic.Int64
		script := func(x *scripted.Exchange) { scripts[int(n.Add(1))%len(scripts)](x) }
		r := newRig(t, routeOf(kind), scripted.Serve(t, script), scripted.Serve(t, script))
		over := scripted.SingleConnection()
		for i := range 60 {
			c := r.call()
			c.Transport = over
			switch i % 10 {
			case 4:
				c.Path = "/nowhere"
			case 9:
				c.Key = "no key"
			}
			got := c.Do(r.t.Context())
			r.NoErr(got.Err)
			r.True(got.Complete)
			r.True(!got.Closes) // the caller may go on
		}
		over.CloseIdleConnections()
	}
}

// Guards against new requests to a draining server, also over keep-alive connections.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	hold := make(chan struct{})
	leaving := scripted.Serve(t, func(x *scripted.Exchange) {
		<-hold
		x.Respond(200, "from the one that leaves")
	})
	r := newRig(t, routeOf(deployment.Safe), leaving)
	answer := make(chan scripted.Answer)
	go func() { answer <- r.call().Do(t.Context()) }()
	for len(leaving.Seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	stays := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "from the one that stays") })
	t0 := r.view.Targets["t0"]
	t0.Draining = true
	view := r.view
	view.Targets = map[string]deployment.Target{"t0": t0, "t1": {ID: "t1", Service: "pool", Addr: stays.Addr, Slots: 12}}
	r.gateway.update(&view)
	close(hold)
	r.Equal((<-answer).Body, "from the one that leaves")
	for i := range 20 {
		c := r.call()
		c.ID = fmt.Sprintf("later%d", i)
		r.Equal(c.Do(t.Context()).Body, "from the one that stays")
	}
	r.Equal(len(leaving.Seen()), 1)
}

// Guards against aborting requests on shutdown.
func TestStoppingGatewayServesToTheEnd(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), s)
	r.True(r.gateway.ready())
	r.gateway.shuttingDown.Store(true)
	r.True(!r.gateway.ready())
	c := r.call()
	c.KeepAlive = true
	got := c.Do(t.Context())
	r.Equal(got.Status, 200)
	r.True(got.Closes)
}
