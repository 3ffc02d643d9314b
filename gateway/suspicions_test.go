package main

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/kv"
	"verbenashift/standin/scripted"
)

// recordingStore is a store that records all changes.
type recordingStore struct{ changes []kv.Txn }

func (w *recordingStore) Change(_ context.Context, c kv.Txn) (int64, error) {
	w.changes = append(w.changes, c)
	return int64(len(w.changes)), nil
}

// item returns the nth change as an item of a watch.
func (w *recordingStore) item(n int) kv.Item {
	put := w.changes[n].Puts[0]
	return kv.Item{Key: put.Key, Value: put.Value, Revision: int64(n + 1)}
}

// Guards against each gateway detecting a fault on its own: when two others suspect a target,
// this one sends no more requests there. One suspicion is not enough, nor is one of an earlier
// incarnation of the target.
func TestSuspicionsOfOthersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store recordingStore
		ctx, stop := context.WithCancel(t.Context())
		sharers := []*suspicionExchange{newSuspicionExchange("front-1", &store, slog.New(slog.DiscardHandler)), newSuspicionExchange("front-2", &store, slog.New(slog.DiscardHandler))}
		for _, d := range sharers {
			go d.run(ctx)
			d.share(suspicion{Target: "t0", StartedAt: 7, Cause: causeUnanswered})
			time.Sleep(shareInterval)
		}
		stop()
		synctest.Wait()
		is.Equal(len(store.changes), 2)

		var received []string
		reader := newSuspicionExchange("front-3", &store, slog.New(slog.DiscardHandler))
		reader.report = func(d suspicion, source string, _ time.Time) { received = append(received, d.Target+" by "+source) }
		reader.apply([]kv.Item{store.item(0), store.item(1), {Key: suspicionsPrefix + "x", Value: []byte("{")}})
		is.Equal(len(received), 2)
		is.True(received[0] != received[1])
	})
}

// Guards against requests to a target that others report as failing.
func TestSuspectedTargetGetsNothingNew(t *testing.T) {
	first := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	second := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Unsafe), first, second)
	now := time.Now()
	r.gateway.fleet.addSuspicion(suspicion{Target: "t0", StartedAt: 99}, "front-1", now)
	r.gateway.fleet.addSuspicion(suspicion{Target: "t0", StartedAt: 99}, "front-2", now)
	r.gateway.fleet.addSuspicion(suspicion{Target: "t0"}, "front-1", now)
	for range 30 {
		r.send()
	}
	r.True(len(first.Seen()) > 0)
	r.gateway.fleet.addSuspicion(suspicion{Target: "t0"}, "front-2", now)
	before := len(first.Seen())
	for range 30 {
		r.send()
	}
	r.Equal(len(first.Seen()), before)
}

// Guards against a server that fails requests which others serve, and reports that it is healthy:
// each request that may run only once and is sent there is lost.
func TestFailingServerIsSuspected(t *testing.T) {
	var fail atomic.Bool
	bad := scripted.Serve(t, func(x *scripted.Exchange) {
		if fail.Load() {
			x.Respond(500, "no")
			return
		}
		x.Respond(200, "ok")
	})
	good := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Unsafe), bad, good)
	r.warm()
	fail.Store(true)
	lost := 0
	for range 60 {
		if _, got := r.send(); got.Status != 200 {
			lost++
		}
	}
	r.True(lost > 0 && lost <= 3)
}

// Guards against waiting for a server that is many times slower than its peers, but not slow enough to be
// taken for silent.
func TestSlowServerIsSuspected(t *testing.T) {
	var slow atomic.Bool
	bad := scripted.Serve(t, func(x *scripted.Exchange) {
		if slow.Load() {
			time.Sleep(200 * time.Millisecond)
		}
		x.Respond(200, "ok")
	})
	good := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	route := routeOf(deployment.Unsafe)
	route.Objective = 100 * time.Millisecond
	r := newRig(t, route, bad, good)
	r.warm()
	slow.Store(true)
	before := total(bad)
	for range 40 {
		r.send()
	}
	r.True(total(bad) > before)
	r.True(total(bad) <= before+4)
}
