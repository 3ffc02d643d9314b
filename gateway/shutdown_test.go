package main

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/platform"
	"verbenashift/standin/scripted"
)

// shutDown begins to stop the gateway, which has a time for it and then ends as its process would. It
// returns once no connections are accepted any more.
func (r *rig) shutDown(grace time.Duration) (done <-chan error) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	r.t.Cleanup(cancel)
	r.gateway.rotationDelay = time.Millisecond
	stopped := make(chan error, 1)
	go func() {
		err := r.gateway.stop(ctx, r.server)
		_ = r.server.Close() // The connections end with the process.
		stopped <- err
	}()
	for {
		c, err := net.Dial("tcp", r.front)
		if err != nil {
			return stopped
		}
		_ = c.Close()
		time.Sleep(time.Millisecond)
	}
}

// heldConn sends the end of each write when it is released.
type heldConn struct {
	net.Conn
	release <-chan struct{}
}

func (c heldConn) Write(b []byte) (int, error) {
	held := len(b) / 8
	n, err := c.Conn.Write(b[:len(b)-held])
	if err != nil {
		return n, err
	}
	<-c.release
	rest, err := c.Conn.Write(b[n:])
	return n + rest, err
}

// Guards against passing a request on that was received late in a shutdown, and is cut at its end.
func TestLateRequestIsRefused(t *testing.T) {
	s := scripted.Serve(t, func(x *scripted.Exchange) { x.WaitForClose(time.Minute) })
	r := newRig(t, routeOf(deployment.Unsafe), s)
	received, release := make(chan struct{}), make(chan struct{})
	r.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		close(received)
		r.gateway.ServeHTTP(w, req)
	})
	c := r.call()
	c.Body = strings.Repeat("x", 1000)
	c.Transport = &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return heldConn{conn, release}, err
	}}
	got := make(chan scripted.Answer, 1)
	go func() { got <- c.Do(t.Context()) }()
	<-received
	r.shutDown(2 * time.Second)
	close(release)
	answer := <-got
	r.Equal(answer.Status, platform.StatusNotRun)
	r.True(answer.Closes)
	r.Equal(total(s), 0)
}

// Guards against cutting the requests in progress at the end of a shutdown, without an answer, and against
// sending them once more then.
func TestRequestsInProgressAreAnsweredBeforeTheEnd(t *testing.T) {
	for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe, deployment.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			silent := func(x *scripted.Exchange) { x.WaitForClose(time.Minute) }
			a, b := scripted.Serve(t, silent), scripted.Serve(t, silent)
			r := newRig(t, routeOf(kind), a, b)
			got := make(chan scripted.Answer, 1)
			go func(c scripted.Call) { got <- c.Do(t.Context()) }(r.call())
			for total(a, b) == 0 {
				time.Sleep(time.Millisecond)
			}
			done := r.shutDown(2*answerMargin + 100*time.Millisecond)
			<-done
			answer := <-got
			r.Equal(answer.Status, platform.StatusUnknown)
			r.True(answer.Complete)
			r.Equal(answer.Signature(), "")
			r.Equal(total(a, b), 1)
		})
	}
}

// Guards against ending requests of which the answer comes in time.
func TestAnswersInTimeAreCompletedInAShutdown(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		<-release
		x.Respond(http.StatusOK, "whole")
	})
	r := newRig(t, routeOf(deployment.Unsafe), s)
	got := make(chan scripted.Answer, 1)
	go func(c scripted.Call) { got <- c.Do(t.Context()) }(r.call())
	for total(s) == 0 {
		time.Sleep(time.Millisecond)
	}
	done := r.shutDown(rigTimeout)
	close(release)
	answer := <-got
	r.Equal(answer.Body, "whole")
	r.NoErr(<-done)
}
