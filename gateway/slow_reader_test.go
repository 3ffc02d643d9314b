package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/membership/health"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/standin/scripted"
)

// open sends a request on a connection of its own, of which nothing is read yet.
func (r *rig) open(method, path, id string) net.Conn {
	c := r.dial()
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", method, path, rigHost, rigKey, id)
	r.NoErr(err)
	return c
}

// dial opens a connection with small buffers.
func (r *rig) dial() net.Conn {
	c, err := net.Dial("tcp", r.front)
	r.NoErr(err)
	r.t.Cleanup(func() { _ = c.Close() })
	r.NoErr(c.(*net.TCPConn).SetReadBuffer(rigWriteBuffer))
	return c
}

// withEngine makes the targets of the rig engines with a number of slots.
func (r *rig) withEngine(slots int) {
	cfg := *r.view.Config
	cfg.Version++
	cfg.Services = []deployment.Service{{Name: "pool", Engine: &deployment.Engine{Slots: slots}}}
	r.view.Config = &cfg
	for id, t := range r.view.Targets {
		t.Slots = slots
		r.view.Targets[id] = t
	}
	r.gateway.update(&r.view)
}

// bigEvent returns an event that fills buffers.
func bigEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 100<<10))
}

// Guards against taking a target for silent because the caller of its stream reads slowly.
func TestSlowReaderDoesNotMakeItsTargetSilent(t *testing.T) {
	const events = 120
	script := func(x *scripted.Exchange) {
		x.Stream()
		for n := range events {
			x.Chunk(bigEvent(n + 1))
		}
		x.End()
	}
	a, b := scripted.Serve(t, script), scripted.Serve(t, script)
	r := newRig(t, routeOf(deployment.Stream), a, b)
	c := r.open(http.MethodPost, "/a/item", "slow")
	blocked := func() bool {
		f := r.gateway.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		for st := range f.streams.open {
			if st.begun && time.Since(st.lastEventAt) > 300*time.Millisecond {
				return true
			}
		}
		return false
	}
	for !blocked() {
		time.Sleep(10 * time.Millisecond)
	}
	r.Equal(r.checkSilence(time.Now().Add(900*time.Millisecond)), 1) // it is not moved
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	r.NoErr(err)
	data, err := io.ReadAll(resp.Body)
	r.NoErr(err)
	r.Equal(strings.Count(string(data), "\ndata: "), events)
	r.Equal(total(a, b), 1)
}

// Guards against a caller that holds the only slot of an engine after it has answered.
func TestSlowReaderFreesItsSlot(t *testing.T) {
	long := strings.Repeat("x", maxAnswer)
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(http.StatusOK, long) })
	r := newRig(t, routeOf(deployment.Safe), s)
	r.withEngine(1)
	slow := r.open(http.MethodPost, "/a/item", "slow")
	for total(s) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	_, got := r.send()
	r.Equal(got.Status, http.StatusOK)
	r.Equal(len(got.Body), len(long))
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	r.NoErr(err)
	data, err := io.ReadAll(resp.Body)
	r.NoErr(err)
	r.Equal(len(data), len(long))
}

// Guards against connections and goroutines that a caller holds for good by not reading its answer.
func TestCallerThatStopsReading(t *testing.T) {
	endless := func(x *scripted.Exchange) {
		x.Stream()
		for n := 1; !x.Ended(); n++ {
			x.Chunk(bigEvent(n))
		}
	}
	long := func(x *scripted.Exchange) { x.Respond(http.StatusOK, strings.Repeat("x", maxAnswer)) }
	for kind, script := range map[deployment.RouteKind]func(*scripted.Exchange){deployment.Safe: long, deployment.Stream: endless} {
		t.Run(string(kind), func(t *testing.T) {
			r := newRig(t, routeOf(kind), scripted.Serve(t, script))
			r.gateway.stallLimit = 200 * time.Millisecond
			before := metricStalled.Value()
			c := r.open(http.MethodPost, "/a/item", "stalled")
			for metricStalled.Value() == before {
				time.Sleep(10 * time.Millisecond)
			}
			r.NoErr(c.SetReadDeadline(time.Now().Add(rigTimeout)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			r.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			r.True(err != nil)                              // it is not complete
			r.True(!errors.Is(err, os.ErrDeadlineExceeded)) // and the connection is closed
		})
	}
}

// Guards against an answer that is cut off although its caller reads it, slowly.
func TestSlowReaderGetsItsAnswer(t *testing.T) {
	long := strings.Repeat("x", maxAnswer)
	r := newRig(t, routeOf(deployment.Safe), scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(http.StatusOK, long) }))
	r.gateway.stallLimit = 200 * time.Millisecond
	c := r.open(http.MethodPost, "/a/item", "slow")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	r.NoErr(err)
	read := int64(0)
	for began := time.Now(); time.Since(began) < 3*r.gateway.stallLimit; time.Sleep(20 * time.Millisecond) {
		n, err := io.CopyN(io.Discard, resp.Body, 16<<10)
		r.NoErr(err)
		read += n
	}
	n, err := io.Copy(io.Discard, resp.Body)
	r.NoErr(err)
	r.Equal(read+n, int64(len(long)))
}

// Guards against a caller that announces a body and never sends it, which holds its connection for good.
func TestCallerThatStopsSending(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(http.StatusOK, "ok") })
	route := routeOf(deployment.Safe)
	route.Timeout = 200 * time.Millisecond
	r := newRig(t, route, s)
	c := r.dial()
	_, err := fmt.Fprintf(c, "POST /a/item HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: half\r\nContent-Length: 100\r\n\r\nhalf", rigHost, rigKey)
	r.NoErr(err)
	r.NoErr(c.SetReadDeadline(time.Now().Add(rigTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	r.True(resp.Close)
	r.Equal(total(s), 0)
}

// Guards against a deadline for the body that is still in force while the request is served.
func TestDeadlineOfTheBodyEndsWithIt(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		time.Sleep(300 * time.Millisecond)
		x.Respond(http.StatusOK, "ok")
	})
	route := routeOf(deployment.Safe)
	route.Timeout = 200 * time.Millisecond
	r := newRig(t, route, s)
	for range 5 {
		c := r.call()
		c.Body = ""
		r.Equal(c.Do(t.Context()).Status, http.StatusGatewayTimeout)
	}
}

// Guards against memory that grows with an event that never ends.
func TestEventWithoutAnEnd(t *testing.T) {
	endless := func(x *scripted.Exchange) {
		x.Stream()
		x.Chunk("id: 1\ndata: ")
		for n := 0; n < 64*maxEvent && !x.Ended(); n += 64 << 10 {
			x.Chunk(strings.Repeat("x", 64<<10))
		}
	}
	r := newRig(t, routeOf(deployment.Stream), scripted.Serve(t, endless))
	read := r.logged()
	_, got := r.send()
	r.True(!got.Complete || got.Status != http.StatusOK)
	own := fmt.Sprint(read())
	r.True(strings.Contains(own, errEventTooLong.Error()))
}

// Guards against memory that grows with many events that do not end, and against taking their targets
// for broken because there was no room.
func TestNoRoomForAnEvent(t *testing.T) {
	script := func(x *scripted.Exchange) {
		x.Stream()
		if x.Body == "long" {
			x.Chunk("id: 1\ndata: " + strings.Repeat("x", 4*smallPool))
			x.WaitForClose(time.Minute)
			return
		}
		for n := range 3 {
			x.Chunk(bigEvent(n + 1))
		}
		x.End()
	}
	r := newRig(t, routeOf(deployment.Stream), scripted.Serve(t, script), scripted.Serve(t, script))
	r.gateway.answers = buffers.NewPool(2*smallPool, shortWait)
	for range 4 {
		c := r.call()
		c.Body = "long"
		r.Equal(c.Do(t.Context()).Status, http.StatusBadGateway)
	}
	f := r.gateway.fleet
	f.mu.Lock()
	for i := range 2 {
		r.Equal(f.monitor.State(i), health.Healthy)
	}
	f.mu.Unlock()
	for range 10 { // each returns its room
		_, got := r.send()
		r.Equal(got.Status, http.StatusOK)
		r.True(got.Complete)
	}
}
