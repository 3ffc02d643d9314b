package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/standin/scripted"
)

// newHangingRig starts a gateway with two servers and sends requests until the gateway has
// learned how long both take. The first server does not answer any more after that.
func newHangingRig(t *testing.T, kind deployment.RouteKind, timeout time.Duration) (r *rig, hangs, answers *scripted.Server) {
	t.Helper()
	var hang atomic.Bool
	hangs = scripted.Serve(t, func(x *scripted.Exchange) {
		if hang.Load() {
			x.WaitForClose(time.Minute)
			return
		}
		x.Respond(200, "ok")
	})
	answers = scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	route := routeOf(kind)
	route.Timeout = timeout
	r = newRig(t, route, hangs, answers)
	r.warm()
	hang.Store(true)
	return r, hangs, answers
}

// warm sends requests until the gateway knows how long answers take.
func (r *rig) warm() {
	for range 40 {
		r.send()
	}
}

// traffic sends an attempt every few milliseconds until the test has ended: their answers show
// the gateway that the path to the servers works. It returns a function that returns how many
// have failed so far.
func (r *rig) traffic() (failed func() int64) {
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var failures atomic.Int64
	r.t.Cleanup(func() { stop(); all.Wait() })
	first := r.call()
	all.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			c := first
			c.ID = fmt.Sprintf("traffic-%d", i)
			all.Go(func() {
				if got := c.Do(ctx); got.Status >= http.StatusBadRequest {
					failures.Add(1)
				}
			})
			time.Sleep(15 * time.Millisecond)
		}
	})
	return failures.Load
}

// Guards against losing each request to a server which accepts requests, does not answer and
// reports that it is healthy: repeatable requests are sent elsewhere, and the server gets no
// new ones.
func TestLookupLeavesAServerThatAnswersNothing(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	r, first, second := newHangingRig(t, deployment.Safe, timeout)
	failed := r.traffic()
	for range 40 {
		_, got := r.send()
		r.Equal(got.Status, http.StatusOK)
	}
	// It is suspected by now, and gets at most an occasional probe.
	before, all := len(first.Seen()), len(second.Seen())
	for range 40 {
		r.send()
	}
	r.True(len(first.Seen())-before <= (len(second.Seen())-all)/10)
	time.Sleep(timeout)
	r.Equal(failed(), int64(0))
}

// Guards against a second run of a request that may run only once, and against sending more of
// them to a server that does not answer.
func TestBookingStaysWithAServerThatAnswersNothing(t *testing.T) {
	r, first, second := newHangingRig(t, deployment.Unsafe, 500*time.Millisecond)
	r.traffic()
	sent, lost := 60, 0
	for range sent {
		if _, got := r.send(); got.Status != http.StatusOK {
			lost++
		}
	}
	r.True(lost <= sent/10)
	runs := map[string]int{}
	for _, s := range []*scripted.Server{first, second} {
		for _, seen := range s.Seen() {
			runs[seen.ID()]++
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
}
