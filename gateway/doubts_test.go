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

// written is a store that keeps what it is told.
type written struct{ changes []kv.Txn }

func (w *written) Change(_ context.Context, c kv.Txn) (int64, error) {
	w.changes = append(w.changes, c)
	return int64(len(w.changes)), nil
}

// item returns a change as a watch tells it.
func (w *written) item(n int) kv.Item {
	put := w.changes[n].Puts[0]
	return kv.Item{Key: put.Key, Value: put.Value, Revision: int64(n + 1)}
}

// Guards against a fault that each gateway finds out for itself: two others have doubted a
// target, and this one sends no more there. The word of one of them is not enough, nor is
// one on an earlier life of the target.
func TestDoubtsOfOthersAreHeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store written
		ctx, stop := context.WithCancel(t.Context())
		tellers := []*doubts{newDoubts("front-1", &store, slog.New(slog.DiscardHandler)), newDoubts("front-2", &store, slog.New(slog.DiscardHandler))}
		for _, d := range tellers {
			go d.run(ctx)
			d.tell(doubt{Target: "t0", Born: 7, Cause: causeUnanswered})
			time.Sleep(tellEvery)
		}
		stop()
		synctest.Wait()
		is.Equal(len(store.changes), 2)

		var heard []string
		reader := newDoubts("front-3", &store, slog.New(slog.DiscardHandler))
		reader.report = func(d doubt, source string, _ time.Time) { heard = append(heard, d.Target+" by "+source) }
		reader.take([]kv.Item{store.item(0), store.item(1), {Key: doubtsPrefix + "x", Value: []byte("{")}})
		is.Equal(len(heard), 2)
		is.True(heard[0] != heard[1])
	})
}

// Guards against requests to a target that others have found to fail.
func TestDoubtedTargetGetsNothingNew(t *testing.T) {
	first := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	second := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Unsafe), first, second)
	now := time.Now()
	r.gateway.fleet.doubted(doubt{Target: "t0", Born: 99}, "front-1", now)
	r.gateway.fleet.doubted(doubt{Target: "t0", Born: 99}, "front-2", now)
	r.gateway.fleet.doubted(doubt{Target: "t0"}, "front-1", now)
	for range 30 {
		r.ask()
	}
	r.True(len(first.Seen()) > 0)
	r.gateway.fleet.doubted(doubt{Target: "t0"}, "front-2", now)
	before := len(first.Seen())
	for range 30 {
		r.ask()
	}
	r.Equal(len(first.Seen()), before)
}

// Guards against a server that fails what the others do not and says that it is well: each
// request that may run once and is sent there is lost.
func TestFailingServerIsDoubted(t *testing.T) {
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
		if _, got := r.ask(); got.Status != 200 {
			lost++
		}
	}
	r.True(lost > 0 && lost <= 3)
}
