package main

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/request/admission"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/queue"
	"verbenashift/core/request/retry"
	"verbenashift/platform"
)

func testAdmitter(slots int) *admitter {
	a := newAdmitter("pool", slog.New(slog.NewTextHandler(io.Discard, nil)))
	a.resize(map[string]int{"": slots})
	return a
}

// refusedAdmitter returns the admitter of a service whose targets have all just refused, and the slot
// of the request that they have refused.
func refusedAdmitter(t *testing.T) (*admitter, slot) {
	t.Helper()
	a := testAdmitter(192)
	probe, refusal := a.acquire(t.Context(), caller(false))
	if refusal != nil {
		t.Fatal(refusal)
	}
	for _, target := range []string{"x", "y", "z"} {
		a.refused(probe, target)
	}
	return a, probe
}

// limit returns how many requests an admitter with one group may send to the engines.
func limit(a *admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pool.Groups(time.Now())[0].Limit
}

// caller returns a call that has just arrived.
func caller(returning bool) *call {
	now := time.Now()
	return &call{
		gateway: &gateway{retries: &retry.SharedBudgets{Budgets: retry.NewBudgets(retry.Limits{KeyStart: 10, HopStart: 10})}},
		request: request{
			route: &deployment.Route{Objective: 500 * time.Millisecond, StreamIdleTimeout: 2 * time.Second}, returning: returning,
			arrived: now, deadline: now.Add(8 * time.Second), req: platform.Request{PromptTokens: 800, AnswerTokens: 100},
		},
	}
}

// acquireAll starts callers at once and returns the channels of their refusals.
func acquireAll(ctx context.Context, a *admitter, callers ...*call) []chan *outcome.Error {
	out := make([]chan *outcome.Error, len(callers))
	for i, c := range callers {
		out[i] = make(chan *outcome.Error, 1)
		go func() {
			_, refusal := a.acquire(ctx, c)
			out[i] <- refusal
		}()
		synctest.Wait()
	}
	return out
}

// Guards against refusing callers during a restart of all targets that takes half a second.
func TestCallersWaitForARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, probe := refusedAdmitter(t)
		waiting := acquireAll(t.Context(), a, caller(false), caller(false), caller(true))
		time.Sleep(500 * time.Millisecond)
		a.accepted(probe)
		synctest.Wait()
		for _, w := range waiting {
			is.Equal(<-w, nil)
		}
	})
}

// Guards against holding callers of a service that is down until their deadline.
func TestCallersOfAServiceThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, probe := refusedAdmitter(t)
		// There is no free slot for a probe.
		a.reportLoad(admission.Load{Complete: true, Running: 10000})
		c := caller(false)
		waiting := acquireAll(t.Context(), a, c)
		began := time.Now()
		for range 300 {
			if len(waiting[0]) > 0 {
				break
			}
			// Probes would start it: as long as the service is down they are
			// refused.
			time.Sleep(10 * time.Millisecond)
			a.refused(probe, "x")
			a.reportLoad(admission.Load{Complete: true, Running: 10000})
			synctest.Wait()
		}
		is.Equal(len(waiting[0]), 1)
		refusal := <-waiting[0]
		is.Equal(refusal.Outcome, outcome.NotRun)
		took := time.Since(began)
		longest := queue.Wait{CallerTimeout: c.firstEventTimeout(), Closed: true, Service: (&queue.ServiceTime{}).P90()}.Longest()
		is.True(took >= longest && took < longest+100*time.Millisecond && took < c.firstEventTimeout())
		is.True(refusal.RetryAfter > 1500*time.Millisecond && refusal.RetryAfter < 8*time.Second/3)
	})
}

// Guards against pointless waits, and against never detecting that a service has recovered.
func TestServiceThatStaysDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := refusedAdmitter(t)
		time.Sleep(8 * time.Second)
		at, refusal := a.acquire(t.Context(), caller(false)) // the probe
		is.Equal(refusal, nil)
		a.refused(at, "x")
		a.release(at, 0)
		for _, returning := range []bool{false, true} {
			began := time.Now()
			_, refusal = a.acquire(t.Context(), caller(returning))
			is.Equal(time.Since(began), time.Duration(0))
			is.True(refusal != nil)
			is.Equal(refusal.Outcome, outcome.NotRun)
			is.True(refusal.RetryAfter > 1500*time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		at, refusal = a.acquire(t.Context(), caller(false)) // the next probe
		is.Equal(refusal, nil)
		a.accepted(at)
		_, refusal = a.acquire(t.Context(), caller(false))
		is.Equal(refusal, nil)
	})
}

// Guards against holding a refused request until its deadline while other requests find out
// that the service is down.
func TestRefusedProbeIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, probe := refusedAdmitter(t)
		others := make(chan struct{})
		defer func() { others <- struct{}{} }()
		go func() { // their probes
			for {
				select {
				case <-others:
					return
				case <-time.After(time.Millisecond):
					a.mayRetry(probe, true)
				}
			}
		}()
		c := caller(false)
		c.slot = probe
		time.Sleep(time.Millisecond)
		_, ok := a.awaitRetry(t.Context(), c)
		is.True(!ok)
		is.True(time.Since(c.arrived) < c.firstEventTimeout())
		begun := caller(false)
		begun.begun, begun.slot = true, probe
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, ok = a.awaitRetry(ctx, begun)
		is.True(ok)
		is.True(ctx.Err() != nil)
	})
}

// Guards against failing a request because the retry budget is empty while its caller would still wait.
func TestRefusedRequestWaitsForARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmitter(192)
		c := caller(false)
		c.service = "pool"
		c.retries = &retry.SharedBudgets{Budgets: retry.NewBudgets(retry.Limits{Ratio: 0.1, KeyBurst: 2, Window: 10 * time.Second})}
		is.True(c.retries.For(c.key()).Take(time.Now()))
		at, refusal := a.acquire(t.Context(), c)
		is.Equal(refusal, nil)
		c.slot = at
		passed := make(chan bool)
		go func() {
			waited, ok := a.awaitRetry(t.Context(), c)
			passed <- waited && ok
		}()
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		c.mu.Lock()
		for range 20 {
			c.retries.Request(c.key(), time.Now())
		}
		c.mu.Unlock()
		is.True(<-passed)
		is.True(time.Since(c.arrived) < 600*time.Millisecond)
	})
}

// Guards against a second refusal, which is usually the last attempt, while new callers are served.
func TestReturningCallersGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmitter(1)
		at, refusal := a.acquire(t.Context(), caller(false))
		is.Equal(refusal, nil)
		waiting := acquireAll(t.Context(), a, caller(false), caller(true))
		a.release(at, 900)
		synctest.Wait()
		is.Equal(len(waiting[1]), 1)
		is.Equal(len(waiting[0]), 0)
		is.Equal(<-waiting[1], nil)
		time.Sleep(2 * time.Second)
		a.tick()
		synctest.Wait()
		is.True(<-waiting[0] != nil) // late by then, and refused as such
	})
}

// Guards against slots that stay reserved for callers who have disconnected.
func TestCallerLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmitter(1)
		at, _ := a.acquire(t.Context(), caller(false))
		ctx, cancel := context.WithCancel(t.Context())
		gone := acquireAll(ctx, a, caller(false))
		next := acquireAll(t.Context(), a, caller(false))
		cancel()
		synctest.Wait()
		is.True(<-gone[0] != nil)
		a.release(at, 900)
		synctest.Wait()
		is.Equal(<-next[0], nil)
	})
}

// Guards against requests that queue at full engines, and a limit that outlasts the digest it
// is based on.
func TestLimitByDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmitter(192)
		for range 60 {
			_, refusal := a.acquire(t.Context(), caller(false))
			is.Equal(refusal, nil)
		}
		a.reportLoad(admission.Load{Complete: true, Running: 192, Queued: 48})
		is.Equal(limit(a), 48)
		time.Sleep(3 * time.Second)
		a.tick()
		is.Equal(limit(a), 192)
	})
}

// Guards against refusing callers during a change of the expert map.
func TestCallersWaitForAMapChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmitter(1)
		at, _ := a.acquire(t.Context(), caller(false))
		waiting := acquireAll(t.Context(), a, caller(false))
		time.Sleep(700 * time.Millisecond)
		waiting = append(waiting, acquireAll(t.Context(), a, caller(false))...)
		time.Sleep(600 * time.Millisecond)
		a.tick()
		a.resize(map[string]int{"": 3})
		a.release(at, 900)
		synctest.Wait()
		for _, w := range waiting {
			is.Equal(<-w, nil)
		}
	})
}

// Guards against a queue in which all requests are late because none that can only be late is refused.
func TestRequestThatCanOnlyBeLateIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := testAdmitter(1)
		at, _ := a.acquire(t.Context(), caller(false))
		first := acquireAll(t.Context(), a, caller(true))
		time.Sleep(1100 * time.Millisecond)
		waiting := acquireAll(t.Context(), a, caller(false))
		limit := 500*time.Millisecond - (&queue.ServiceTime{}).P90()
		time.Sleep(limit - time.Millisecond)
		a.tick()
		synctest.Wait()
		is.Equal(len(waiting[0]), 0)
		time.Sleep(time.Millisecond)
		a.tick()
		synctest.Wait()
		is.Equal(len(waiting[0]), 1)
		refusal := <-waiting[0]
		is.True(refusal != nil)
		is.Equal(refusal.Outcome, outcome.NotRun)
		a.resize(map[string]int{"": 2})
		a.release(at, 900)
		synctest.Wait()
		is.Equal(<-first[0], nil)
		_, refusal = a.acquire(t.Context(), caller(false))
		is.Equal(refusal, nil)
	})
}
