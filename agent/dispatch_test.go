package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/follow"
	"verbenashift/core/membership/member"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/peer/wire/wireconnect"
	"verbenashift/core/request/draft"
	"verbenashift/core/request/queue"
	"verbenashift/core/request/target"
)

// Guards against sending a target more requests than the rate limit that it set.
func TestQueueKeepsToTheLimitOfItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		a := &Agent{dispatcher: newDispatcher(Settings{Slots: 4, QueueItems: 100, QueueTokens: 10000, Rate: 1000}), log: slog.New(slog.DiscardHandler)}
		go a.dispatcher.loop.Run(ctx)
		limit := 2.0
		(&run{agent: a, req: &wire.SubmitRequest{}}).applyBackpressure(target.Backpressure{Limit: &limit})
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
		(&run{agent: a, req: &wire.SubmitRequest{}}).applyBackpressure(target.Backpressure{})
		synctest.Wait()
		is.Equal(started.Load(), int32(20)) // the target has cleared its limit
	})
}

// Guards against starting requests during a pause that the target requested, and against
// starting none after its end.
func TestQueueKeepsToThePauseOfItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		a := &Agent{dispatcher: newDispatcher(Settings{Slots: 4, QueueItems: 100, QueueTokens: 10000, Rate: 1000}), log: slog.New(slog.DiscardHandler)}
		go a.dispatcher.loop.Run(ctx)
		(&run{agent: a, req: &wire.SubmitRequest{}}).applyBackpressure(target.Backpressure{Pause: 3 * time.Second})
		started := make(chan time.Time, 1)
		began := time.Now()
		go func() {
			if a.dispatcher.wait(ctx, queue.Item{ID: "r", Cost: 1}) == nil {
				started <- time.Now()
			}
		}()
		is.Equal((<-started).Sub(began), 3*time.Second)
		is.Equal(a.dispatcher.paused(), time.Duration(0))
	})
}

// Guards against queueing requests for a target that requested a pause, while other targets
// have free slots.
func TestAgentOfAPausedTargetRefuses(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	a := &Agent{dispatcher: newDispatcher(Settings{Slots: 1}), follower: follow.New(follow.Config{}), log: slog.New(slog.DiscardHandler)}
	go a.dispatcher.loop.Run(ctx)
	r := &run{agent: a, req: &wire.SubmitRequest{}, answer: &answer{log: draft.New(100)}}
	refused := &target.RefusedError{Status: http.StatusServiceUnavailable, Backpressure: target.Backpressure{Pause: time.Minute}}
	end := r.failure(ctx, refused)
	is.Equal(end.Reason, peer.ReasonPaused)
	is.Equal(end.RetryAfter, time.Minute)
	r.applyBackpressure(refused.Backpressure)
	is.NoErr(a.dispatcher.loop.Do(ctx, func() {}))
	m := http.NewServeMux()
	m.Handle(wireconnect.AgentServiceSubmitProcedure, peer.HandleFrames(a.submit))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peer.NewServer(m, nil)
	go func() { _ = peer.Serve(server, l) }()
	defer func() { _ = server.Close() }()
	frames, err := peer.NewDialer(peer.DialConfig{}).Submit(ctx, l.Addr().String(), &wire.SubmitRequest{RequestId: "r1"})
	is.NoErr(err)
	var last wire.Frame
	is.NoErr(frames.Receive(&last))
	is.Equal(last.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	is.Equal(last.Reason, peer.ReasonPaused)
	is.True(last.RetryAfterMs > 50000 && last.RetryAfterMs <= 60000)
}

// Guards against new requests to a target that has announced its shutdown.
func TestAgentOfALeavingTargetDrains(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	log := slog.New(slog.DiscardHandler)
	f := follow.New(follow.Config{})
	a := &Agent{
		dispatcher: newDispatcher(Settings{Slots: 1}), follower: f, log: log,
		members:  follow.NewMembers(member.Self{Name: "a"}),
		register: newRegister(Settings{}, identity{}, nil, nil, f, log),
	}
	go a.dispatcher.loop.Run(ctx)
	go a.register.loop.Run(ctx)
	(&run{agent: a, req: &wire.SubmitRequest{}}).applyBackpressure(target.Backpressure{Leaving: true})
	is.True(a.draining.Load())
	is.True(a.load().Draining)
}

// Guards against an agent that ignores the rate limit in an answer of its target.
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
			serviceTarget: target.NewService(s.Listener.Addr().String(), target.Options{}),
		}
		go a.dispatcher.loop.Run(ctx)
		r := &run{agent: a, answer: &answer{log: draft.New(100)}, req: &wire.SubmitRequest{Call: &wire.Call{Method: http.MethodGet, Path: path}}}
		r.service(ctx)
		paced := false
		is.NoErr(a.dispatcher.loop.Do(ctx, func() { paced = !a.dispatcher.pacer.ReadyAt().IsZero() }))
		is.True(paced)
	}
}
