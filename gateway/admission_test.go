package main

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/outcome"
	"verbenashift/core/queue"
	"verbenashift/platform"
)

func testAdmission(slots int) *admission {
	a := newAdmission("pool", slog.New(slog.NewTextHandler(io.Discard, nil)))
	a.resize(slots)
	return a
}

// refusedAdmission is one of a service whose targets have all just refused.
func refusedAdmission() *admission {
	a := testAdmission(192)
	for _, target := range []string{"x", "y", "z"} {
		a.refused(target)
	}
	return a
}

// caller is a call that has just arrived.
func caller(returning bool) *call {
	now := time.Now()
	return &call{
		gateway: &gateway{}, route: &platform.Route{Objective: 500 * time.Millisecond}, returning: returning,
		arrived: now, deadline: now.Add(8 * time.Second), req: platform.Request{PromptTokens: 800, AnswerTokens: 100},
	}
}

// enter starts callers at once and returns where their refusals will come.
func enter(ctx context.Context, a *admission, callers ...*call) []chan *outcome.Error {
	out := make([]chan *outcome.Error, len(callers))
	for i, c := range callers {
		out[i] = make(chan *outcome.Error, 1)
		go func() {
			_, refusal := a.enter(ctx, c)
			out[i] <- refusal
		}()
		synctest.Wait()
	}
	return out
}

// All targets refuse, as after a restart of the service. Callers wait; when one
// is served after half a second, all go on. Nobody is sent away.
func TestCallersWaitForARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := refusedAdmission()
		waiting := enter(t.Context(), a, caller(false), caller(false), caller(true))
		time.Sleep(500 * time.Millisecond)
		a.accepted()
		synctest.Wait()
		for _, w := range waiting {
			is.Equal(<-w, nil)
		}
	})
}

// The service stays down for seconds. New callers are told so after 0.7 s and to
// come back after most of a third of their patience; they are not held until
// their time is over, and it is true that they have not run.
func TestCallersOfAServiceThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := refusedAdmission()
		c := caller(false)
		waiting := enter(t.Context(), a, c)
		began := time.Now()
		for range 300 {
			if len(waiting[0]) > 0 {
				break
			}
			// Probes would start it: as long as the service is down they are
			// refused.
			time.Sleep(10 * time.Millisecond)
			a.mu.Lock()
			a.gate.Refused("x", time.Now())
			a.queue.SetSlots(0)
			a.pump(time.Now())
			a.mu.Unlock()
			synctest.Wait()
		}
		is.Equal(len(waiting[0]), 1)
		refusal := <-waiting[0]
		is.Equal(refusal.Outcome, outcome.NotRun)
		took := time.Since(began)
		closedWait := queue.Wait{Closed: true}.Longest()
		is.True(took >= closedWait && took < closedWait+100*time.Millisecond)
		is.True(refusal.RetryAfter > 1500*time.Millisecond && refusal.RetryAfter < 8*time.Second/3)
	})
}

// A group lacks a rank and stays away for long. After seven seconds a caller is
// told so at once, and not after a wait that helps nobody; now and then one is
// let through, so that the first target that serves is found.
func TestServiceThatStaysDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := refusedAdmission()
		time.Sleep(8 * time.Second)
		place, refusal := a.enter(t.Context(), caller(false)) // the probe
		is.Equal(refusal, nil)
		a.refused("x")
		a.leave(place, 0)
		for _, returning := range []bool{false, true} {
			began := time.Now()
			_, refusal = a.enter(t.Context(), caller(returning))
			is.Equal(time.Since(began), time.Duration(0))
			is.True(refusal != nil)
			is.Equal(refusal.Outcome, outcome.NotRun)
			is.True(refusal.RetryAfter > 1500*time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		_, refusal = a.enter(t.Context(), caller(false)) // the next probe
		is.Equal(refusal, nil)
		a.accepted()
		_, refusal = a.enter(t.Context(), caller(false))
		is.Equal(refusal, nil)
	})
}

// A caller's request was a probe and was refused, and probes of others go on
// being refused. It may not be held until its time is over: it hears that
// nothing has run while it can still come back. A caller that has a part of its
// stream is held, because only the rest can serve it.
func TestRefusedProbeIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := refusedAdmission()
		others := make(chan struct{})
		defer func() { others <- struct{}{} }()
		go func() { // their probes
			for {
				select {
				case <-others:
					return
				case <-time.After(time.Millisecond):
					a.mayPass(time.Now())
				}
			}
		}()
		c := caller(false)
		time.Sleep(time.Millisecond)
		is.True(!a.pass(t.Context(), c))
		is.True(time.Since(c.arrived) < queue.LongestAgain(false)+100*time.Millisecond)
		begun := caller(false)
		begun.begun = true
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		is.True(a.pass(ctx, begun))
		is.True(ctx.Err() != nil)
	})
}

// The engines are full. A caller that has been refused before goes first: a
// second refusal would be its last.
func TestReturningCallersGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmission(1)
		place, refusal := a.enter(t.Context(), caller(false))
		is.Equal(refusal, nil)
		waiting := enter(t.Context(), a, caller(false), caller(true))
		a.leave(place, 900)
		synctest.Wait()
		is.Equal(len(waiting[1]), 1)
		is.Equal(len(waiting[0]), 0)
		is.Equal(<-waiting[1], nil)
		time.Sleep(2 * time.Second)
		a.tick(time.Now())
		synctest.Wait()
		is.True(<-waiting[0] != nil) // late by then, and told so
	})
}

// A caller leaves while it waits. Its place goes to the next.
func TestCallerLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmission(1)
		place, _ := a.enter(t.Context(), caller(false))
		ctx, cancel := context.WithCancel(t.Context())
		gone := enter(ctx, a, caller(false))
		next := enter(t.Context(), a, caller(false))
		cancel()
		synctest.Wait()
		is.True(<-gone[0] != nil)
		a.leave(place, 900)
		synctest.Wait()
		is.Equal(<-next[0], nil)
	})
}

// More requests are at the engines than they have slots: the limit comes down to
// this gateway's part of the slots, and is lifted when nothing has been told for a
// while.
func TestLimitByDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmission(192)
		for range 60 {
			_, refusal := a.enter(t.Context(), caller(false))
			is.Equal(refusal, nil)
		}
		a.engines(192, 48, time.Now())
		is.Equal(a.queue.Load().Slots, 48)
		time.Sleep(2 * digestValid)
		a.tick(time.Now())
		is.Equal(a.queue.Load().Slots, 192)
	})
}

// The group stands still for a moment, as in a change of its map, and nobody has
// waited before. Callers wait for the end, late or not: none is sent away for it.
func TestCallersWaitForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmission(1)
		place, _ := a.enter(t.Context(), caller(false))
		waiting := enter(t.Context(), a, caller(false))
		time.Sleep(700 * time.Millisecond)
		waiting = append(waiting, enter(t.Context(), a, caller(false))...)
		time.Sleep(600 * time.Millisecond)
		a.tick(time.Now())
		a.resize(3)
		a.leave(place, 900)
		synctest.Wait()
		for _, w := range waiting {
			is.Equal(<-w, nil)
		}
	})
}

// There is a line for more than a moment. Whoever comes then and still waits when its
// first event can no longer come in time is told so then, and that it has not run; it
// is not kept in a line in which all who come later would be late as well. The next
// caller that comes when a place is free is served at once.
func TestWhoCannotBeOnTimeIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmission(1)
		place, _ := a.enter(t.Context(), caller(false))
		first := enter(t.Context(), a, caller(true))
		time.Sleep(1100 * time.Millisecond)
		a.queue.SetSlots(1)
		waiting := enter(t.Context(), a, caller(false))
		limit := 500*time.Millisecond - a.firstEvent.Usual()
		time.Sleep(limit - time.Millisecond)
		a.tick(time.Now())
		synctest.Wait()
		is.Equal(len(waiting[0]), 0)
		time.Sleep(time.Millisecond)
		a.tick(time.Now())
		synctest.Wait()
		is.Equal(len(waiting[0]), 1)
		refusal := <-waiting[0]
		is.True(refusal != nil)
		is.Equal(refusal.Outcome, outcome.NotRun)
		a.resize(2)
		a.leave(place, 900)
		synctest.Wait()
		is.Equal(<-first[0], nil)
		_, refusal = a.enter(t.Context(), caller(false))
		is.Equal(refusal, nil)
	})
}

// Engines under load take longer to the first event. A request that was let in at
// the end of the time that is enough at rest could only be late, so that the wait
// becomes shorter as first events take longer.
func TestWaitFollowsTheFirstEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmission(1)
		c := caller(false)
		_ = enter(t.Context(), a, c, caller(true)) // the second one waits
		time.Sleep(1100 * time.Millisecond)
		before := a.latestStart(c, time.Now())
		for range 100 {
			a.began(300 * time.Millisecond)
		}
		after := a.latestStart(c, time.Now())
		is.True(before.Sub(after) > 100*time.Millisecond)
		for range 1000 {
			a.began(time.Second)
		}
		is.Equal(a.latestStart(c, time.Now()), time.Now().Add(queue.Wait{Line: time.Minute}.Longest()))
	})
}
