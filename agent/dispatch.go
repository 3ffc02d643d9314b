package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"verbenashift/core/plumbing/eventloop"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/permit"
	"verbenashift/core/request/queue"
)

// dispatchQueueSize bounds the events that wait for the dispatcher.
const dispatchQueueSize = 1024

// dispatcher owns the queue of the target: it starts requests when the target has
// a free slot and refuses those that cannot wait or run.
type dispatcher struct {
	loop    *eventloop.Loop
	queue   *queue.Queue
	waiters map[string]*waiter
	shed    []queue.Shed
	load    atomic.Pointer[queue.Load]
	// pacer enforces the rate limit and the pauses that the target requests.
	pacer permit.Pacer
	// pausedUntil is the end of the pause that the target requested last, nil if it has
	// never requested one.
	pausedUntil atomic.Pointer[time.Time]
}

// pause stops starting requests for a time. It runs on the event loop.
func (d *dispatcher) pause(span time.Duration, now time.Time) {
	if span <= 0 {
		return
	}
	d.pacer.Pause(span, now)
	until := now.Add(d.pacer.Paused(now))
	d.pausedUntil.Store(&until)
}

// paused returns the rest of the pause that the target requested, 0 if there is none.
func (d *dispatcher) paused() time.Duration {
	until := d.pausedUntil.Load()
	if until == nil {
		return 0
	}
	return max(time.Until(*until), 0)
}

// waiter is a queued request. result receives nil when it may start, or its
// refusal.
type waiter struct {
	item   queue.Item
	result chan *outcome.Error
}

func newDispatcher(cfg Settings) *dispatcher {
	d := &dispatcher{
		loop: eventloop.New(dispatchQueueSize),
		queue: queue.New(queue.Limits{
			Slots: cfg.Slots, Items: cfg.QueueItems, Tokens: int64(cfg.QueueTokens), Rate: float64(cfg.Rate),
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiters: make(map[string]*waiter),
	}
	d.load.Store(&queue.Load{Slots: cfg.Slots, Rate: float64(cfg.Rate)})
	d.loop.After(d.update, d.next)
	return d
}

// update starts the requests that can start, refuses those that were shed and
// publishes the load.
func (d *dispatcher) update() {
	now := time.Now()
	d.queue.Expire(now)
	d.startReady(now)
	d.shed = d.queue.TakeShed(d.shed[:0])
	for _, s := range d.shed {
		d.resolve(s.ID, s.Refusal)
	}
	load := d.queue.Load()
	d.load.Store(&load)
}

// startReady starts the requests that can start, no faster than the target allows.
func (d *dispatcher) startReady(now time.Time) {
	for !now.Before(d.pacer.ReadyAt()) {
		item, ok := d.queue.Next(now)
		if !ok {
			return
		}
		d.pacer.RecordSent(now)
		d.resolve(item.ID, nil)
	}
}

// next returns when update is due without a new event: when a waiting request reaches its
// deadline, or when the target accepts the next request.
func (d *dispatcher) next() (time.Time, bool) {
	at, ok := d.queue.NextDeadline()
	ready := d.pacer.ReadyAt()
	if d.queue.Load().Items > 0 && ready.After(time.Now()) && (!ok || ready.Before(at)) {
		return ready, true
	}
	return at, ok
}

func (d *dispatcher) resolve(id string, refusal *outcome.Error) {
	if w, ok := d.waiters[id]; ok {
		delete(d.waiters, id)
		w.result <- refusal
	}
}

// wait queues item and returns nil when it may start. The request is removed when
// ctx ends, as when its caller has disconnected.
func (d *dispatcher) wait(ctx context.Context, item queue.Item) *outcome.Error {
	w := &waiter{item: item, result: make(chan *outcome.Error, 1)}
	err := d.loop.Post(ctx, func() {
		if refusal := d.queue.Enqueue(item, time.Now()); refusal != nil {
			w.result <- refusal
			return
		}
		d.waiters[item.ID] = w
	})
	if err != nil {
		return errCancelled
	}
	select {
	case refusal := <-w.result:
		return refusal
	case <-ctx.Done():
		return d.withdraw(ctx, w)
	}
}

// errCancelled is the refusal of a request whose caller disconnected before it
// started.
var errCancelled = &outcome.Error{Outcome: outcome.NotRun, Reason: "cancelled"}

func (d *dispatcher) withdraw(ctx context.Context, w *waiter) *outcome.Error {
	_ = d.loop.Post(context.WithoutCancel(ctx), func() {
		if _, ok := d.queue.Remove(w.item.ID); ok {
			delete(d.waiters, w.item.ID)
			w.result <- errCancelled
		}
	})
	return <-w.result
}

// served charges tokens to a running request.
func (d *dispatcher) served(ctx context.Context, id string, tokens int64) {
	_ = d.loop.Post(ctx, func() { d.queue.Served(id, tokens, time.Now()) })
}

// done ends a running request that took the given number of tokens in total.
func (d *dispatcher) done(id string, tokens int64) {
	_ = d.loop.Post(context.Background(), func() { d.queue.Done(id, tokens, time.Now()) })
}
