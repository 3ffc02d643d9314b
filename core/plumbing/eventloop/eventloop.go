// Package eventloop implements an event loop that runs functions on one goroutine.
//
// State that decisions depend on is owned by one Loop. Other goroutines submit
// functions through a bounded ring and the loop runs them one after the other, so
// that the state needs no lock and each decision sees it consistent. A full ring
// blocks the callers.
//
// # Usage
//
//	l := eventloop.New(256)
//	go l.Run(ctx)
//	err := l.Do(ctx, func() { verdict = register.Accept(submission) })
package eventloop

import (
	"context"
	"time"

	"verbenashift/core/plumbing/ring"
)

// task is a submitted function; done, if not nil, is closed when it has returned.
type task struct {
	fn   func()
	done chan struct{}
}

// Loop is an event loop. Use New to make one.
type Loop struct {
	tasks *ring.Ring[task]
	// after, if set, runs after each task and at the time that next returns.
	after func()
	next  func() (time.Time, bool)
}

// New returns a loop whose ring holds up to capacity tasks.
func New(capacity int) *Loop {
	return &Loop{tasks: ring.New[task](capacity)}
}

// After has fn run on the loop's goroutine after each task, and also at the time
// that next returns. It must be called before Run.
func (l *Loop) After(fn func(), next func() (time.Time, bool)) {
	l.after, l.next = fn, next
}

// Run runs tasks until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := l.pop(ctx)
		if err == nil {
			t.fn()
			if t.done != nil {
				close(t.done)
			}
		}
		if l.after != nil {
			l.after()
		}
	}
}

// pop waits for a task, at most until the time that next returns.
func (l *Loop) pop(ctx context.Context) (task, error) {
	if t, ok := l.tasks.TryPop(); ok {
		return t, nil
	}
	if l.next == nil {
		return l.tasks.Pop(ctx)
	}
	at, ok := l.next()
	if !ok {
		return l.tasks.Pop(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, at)
	defer cancel()
	return l.tasks.Pop(ctx)
}

// Do runs fn on the loop's goroutine and waits until it returns. An error means that
// fn was not accepted, or that ctx ended during the wait; in the latter case fn may
// still run.
func (l *Loop) Do(ctx context.Context, fn func()) error {
	t := task{fn: fn, done: make(chan struct{})}
	if err := l.tasks.PushWait(ctx, t); err != nil {
		return err
	}
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Post submits fn and does not wait until it has run. It blocks while the ring is
// full, until ctx is done.
func (l *Loop) Post(ctx context.Context, fn func()) error {
	return l.tasks.PushWait(ctx, task{fn: fn})
}
