package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"verbenashift/core/plumbing/duty"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/permit"
	"verbenashift/core/request/queue"
)

// dispatchRing is how many events may wait for the dispatcher.
const dispatchRing = 1024

// dispatcher owns the queue of the target: it starts requests when the target
// has room and refuses them when it must.
type dispatcher struct {
	duty  *duty.Loop
	queue *queue.Queue
	jobs  map[string]*job
	shed  []queue.Shed
	load  atomic.Pointer[queue.Load]
	// pacer keeps to the limit and the pauses that the target asks for.
	pacer permit.Pacer
	// pausedUntil is until when the target wants nothing, nil if it has never asked for that.
	pausedUntil atomic.Pointer[time.Time]
}

// pause starts nothing for a time. It is called on the duty's goroutine.
func (d *dispatcher) pause(span time.Duration, now time.Time) {
	if span <= 0 {
		return
	}
	d.pacer.Pause(span, now)
	until := now.Add(d.pacer.Paused(now))
	d.pausedUntil.Store(&until)
}

// paused returns for how long the target wants nothing; 0 if it takes requests.
func (d *dispatcher) paused() time.Duration {
	until := d.pausedUntil.Load()
	if until == nil {
		return 0
	}
	return max(time.Until(*until), 0)
}

// job is a request that waits for its turn. verdict gets nil when it may
// start, or its refusal.
type job struct {
	item    queue.Item
	verdict chan *outcome.Error
}

func newDispatcher(cfg Settings) *dispatcher {
	d := &dispatcher{
		duty: duty.New(dispatchRing),
		queue: queue.New(queue.Limits{
			Slots: cfg.Slots, Items: cfg.Items, Tokens: int64(cfg.Tokens), Rate: float64(cfg.Rate),
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		jobs: make(map[string]*job),
	}
	d.load.Store(&queue.Load{Slots: cfg.Slots, Rate: float64(cfg.Rate)})
	d.duty.After(d.settle, d.next)
	return d
}

// settle starts what can start, answers what was shed and publishes the load.
func (d *dispatcher) settle() {
	now := time.Now()
	d.queue.Expire(now)
	d.startReady(now)
	d.shed = d.queue.TakeShed(d.shed[:0])
	for _, s := range d.shed {
		d.answer(s.ID, s.Refusal)
	}
	load := d.queue.Load()
	d.load.Store(&load)
}

// startReady starts what can start, as fast as the target takes it.
func (d *dispatcher) startReady(now time.Time) {
	for !now.Before(d.pacer.ReadyAt()) {
		item, ok := d.queue.Next(now)
		if !ok {
			return
		}
		d.pacer.RecordSent(now)
		d.answer(item.ID, nil)
	}
}

// next returns when there is work without a new event: a request that waits is too late, or
// the target takes the next one.
func (d *dispatcher) next() (time.Time, bool) {
	at, ok := d.queue.NextDeadline()
	ready := d.pacer.ReadyAt()
	if d.queue.Load().Items > 0 && ready.After(time.Now()) && (!ok || ready.Before(at)) {
		return ready, true
	}
	return at, ok
}

func (d *dispatcher) answer(id string, refusal *outcome.Error) {
	if j, ok := d.jobs[id]; ok {
		delete(d.jobs, id)
		j.verdict <- refusal
	}
}

// wait queues item and returns nil when it may start. The request of a caller
// that has gone is taken out again.
func (d *dispatcher) wait(ctx context.Context, item queue.Item) *outcome.Error {
	j := &job{item: item, verdict: make(chan *outcome.Error, 1)}
	err := d.duty.Post(ctx, func() {
		if refusal := d.queue.Enqueue(item, time.Now()); refusal != nil {
			j.verdict <- refusal
			return
		}
		d.jobs[item.ID] = j
	})
	if err != nil {
		return errCancelled
	}
	select {
	case refusal := <-j.verdict:
		return refusal
	case <-ctx.Done():
		return d.withdraw(ctx, j)
	}
}

// errCancelled is the end of a request whose caller went before it started.
var errCancelled = &outcome.Error{Outcome: outcome.NotRun, Reason: "cancelled"}

func (d *dispatcher) withdraw(ctx context.Context, j *job) *outcome.Error {
	_ = d.duty.Post(context.WithoutCancel(ctx), func() {
		if _, ok := d.queue.Remove(j.item.ID); ok {
			delete(d.jobs, j.item.ID)
			j.verdict <- errCancelled
		}
	})
	return <-j.verdict
}

// served charges tokens to a running request.
func (d *dispatcher) served(ctx context.Context, id string, tokens int64) {
	_ = d.duty.Post(ctx, func() { d.queue.Served(id, tokens, time.Now()) })
}

// done ends a running request that took tokens in all.
func (d *dispatcher) done(id string, tokens int64) {
	_ = d.duty.Post(context.Background(), func() { d.queue.Done(id, tokens, time.Now()) })
}
