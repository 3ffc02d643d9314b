package main

import (
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/request/retry"
	"verbenashift/standin/scripted"
)

// Guards against aborting a stream that its slow server still finishes, when no other server may
// run it.
func TestSilentStreamThatMayNotBeRepeatedStays(t *testing.T) {
	for name, tt := range map[string]struct {
		attempts int
		retries  float64
		moves    bool
	}{
		"another server may": {2, 9, true},
		"one run only":       {1, 9, false},
		"no retry left":      {2, 0.5, false},
	} {
		t.Run(name, func(t *testing.T) {
			first, proceed := make(chan string, 2), make(chan struct{})
			script := func(x *scripted.Exchange) {
				x.Stream()
				if x.Header.Get("Last-Event-Id") != "" {
					x.Chunk(scripted.Event(2))
					x.End()
					return
				}
				x.Chunk(scripted.Event(1))
				first <- x.Expect()
				<-proceed
				x.Chunk(scripted.Event(2))
				x.End()
			}
			a, b := scripted.Serve(t, script), scripted.Serve(t, script)
			route := routeOf(deployment.Stream)
			route.MaxAttempts = tt.attempts
			r := newRig(t, route, a, b)
			r.gateway.mu.Lock()
			r.gateway.retries = &retry.SharedBudgets{Budgets: retry.NewBudgets(retry.Limits{Ratio: 1e-9, KeyBurst: 2 * tt.retries, Window: time.Minute})}
			r.gateway.mu.Unlock()
			got, begun := make(chan scripted.Answer, 1), make(chan struct{}, 8)
			go func() { got <- r.call().DoStreaming(t.Context(), func(string) { begun <- struct{}{} }) }()
			<-first
			<-begun
			r.awaitPassedOn()
			left := r.checkSilence(time.Now().Add(900 * time.Millisecond))
			r.Equal(left == 0, tt.moves)
			var answer scripted.Answer
			if tt.moves {
				answer = <-got // the silent server has said nothing more
			}
			close(proceed)
			if !tt.moves {
				answer = <-got
			}
			r.True(answer.Complete)
			r.Equal(answer.Body, scripted.Event(1)+scripted.Event(2))
			r.Equal(total(a, b) == 2, tt.moves)
		})
	}
}

// awaitPassedOn waits until the gateway has recorded that the first events were passed on. Callers
// may read them before.
func (r *rig) awaitPassedOn() {
	f := r.gateway.fleet
	pending := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for st := range f.streams.open {
			if st.writing || !st.begun {
				return true
			}
		}
		return false
	}
	for pending() {
		time.Sleep(time.Millisecond)
	}
}

// checkSilence runs the gateway's silence check at a time at which another target of the
// service has just sent an event. It returns how many streams are not moved.
func (r *rig) checkSilence(now time.Time) int {
	f := r.gateway.fleet
	f.mu.Lock()
	f.streams.groups[groupKey{service: "pool"}] = now
	f.mu.Unlock()
	r.gateway.tick(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streams.open)
}
