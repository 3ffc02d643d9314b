package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/peer/wire"
	"verbenashift/core/request/draft"
	"verbenashift/core/request/queue"
	"verbenashift/core/request/target"
)

// Guards against giving a target more requests than the limit that it names.
func TestQueueKeepsToTheLimitOfItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		a := &Agent{dispatcher: newDispatcher(Settings{Slots: 4, Items: 100, Tokens: 10000, Rate: 1000}), log: slog.New(slog.DiscardHandler)}
		go a.dispatcher.duty.Run(ctx)
		limit := 2.0
		(&run{agent: a, req: &wire.SubmitRequest{}}).heed(target.Asks{Limit: &limit})
		var started atomic.Int32
		for i := range 20 {
			go func() {
				id := fmt.Sprint(i)
				if a.dispatcher.wait(ctx, queue.Item{ID: id, Cost: 1}) == nil {
					started.Add(1)
					a.dispatcher.done(id, 1)
				}
			}()
		}
		time.Sleep(4*time.Second + time.Millisecond)
		is.Equal(started.Load(), int32(8))
		(&run{agent: a, req: &wire.SubmitRequest{}}).heed(target.Asks{})
		synctest.Wait()
		is.Equal(started.Load(), int32(20)) // it names none any more
	})
}

// Guards against an agent that does not read the limit in the answer of its target.
func TestLimitOfTheTargetIsHeeded(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderLimit, "0.5")
		if r.URL.Path == "/refused" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	for _, path := range []string{"/", "/refused"} {
		a := &Agent{
			dispatcher: newDispatcher(Settings{Slots: 1}), log: slog.New(slog.DiscardHandler),
			plain: target.NewPlain(s.Listener.Addr().String(), target.Options{}),
		}
		go a.dispatcher.duty.Run(ctx)
		r := &run{agent: a, answer: &answer{log: draft.New(100)}, req: &wire.SubmitRequest{Call: &wire.Call{Method: http.MethodGet, Path: path}}}
		r.service(ctx)
		paced := false
		is.NoErr(a.dispatcher.duty.Do(ctx, func() { paced = !a.dispatcher.pacer.ReadyAt().IsZero() }))
		is.True(paced)
	}
}
