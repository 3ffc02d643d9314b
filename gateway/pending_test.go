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

// hanging is a server that answers nothing once it is told to, and how to tell it.
func hanging(t *testing.T) (s *scripted.Server, hang *atomic.Bool) {
	hang = &atomic.Bool{}
	return scripted.Serve(t, func(x *scripted.Exchange) {
		if hang.Load() {
			x.WaitForClose(time.Minute)
			return
		}
		x.Whole(200, "ok")
	}), hang
}

// warm sends requests until the gateway knows how long both servers take.
func (r *rig) warm() {
	for range 40 {
		r.ask()
	}
}

// traffic sends an attempt each few milliseconds until the test has ended: a gateway knows
// by the answers to others that the path to the servers is well. It returns how many have
// failed so far.
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

// Guards against losing each request that is sent to a server which takes requests, answers
// nothing and says that it is well: requests that may be repeated go on elsewhere, and the
// server gets no new ones.
func TestLookupLeavesAServerThatAnswersNothing(t *testing.T) {
	first, hang := hanging(t)
	second := scripted.Serve(t, func(x *scripted.Exchange) { x.Whole(200, "ok") })
	route := routeOf(deployment.Safe)
	route.Timeout = 1500 * time.Millisecond
	r := newRig(t, route, first, second)
	r.warm()
	hang.Store(true)
	failed := r.traffic()
	for range 40 {
		_, got := r.ask()
		r.Equal(got.Status, http.StatusOK)
	}
	// It is known by now, and gets a probe now and then at most.
	before, all := len(first.Seen()), len(second.Seen())
	for range 40 {
		r.ask()
	}
	r.True(len(first.Seen())-before <= (len(second.Seen())-all)/10)
	time.Sleep(route.Timeout)
	r.Equal(failed(), int64(0))
}

// Guards against a second run of a request that may run once, and against sending more of
// them to a server that answers nothing.
func TestBookingStaysWithAServerThatAnswersNothing(t *testing.T) {
	first, hang := hanging(t)
	second := scripted.Serve(t, func(x *scripted.Exchange) { x.Whole(200, "ok") })
	route := routeOf(deployment.Unsafe)
	route.Timeout = 500 * time.Millisecond
	r := newRig(t, route, first, second)
	r.warm()
	hang.Store(true)
	r.traffic()
	asked, lost := 60, 0
	for range asked {
		if _, got := r.ask(); got.Status != http.StatusOK {
			lost++
		}
	}
	r.True(lost <= asked/10)
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
