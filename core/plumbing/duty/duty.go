// Package duty runs the work of one duty on one goroutine.
//
// State that decisions are made on has a single owner: a Duty. Others hand it
// functions through a bounded ring, and the duty runs them one after the
// other, so that the state needs no lock and each decision sees a whole one. A
// full ring holds the callers back.
//
// # Usage
//
//	d := duty.New(256)
//	go d.Run(ctx)
//	err := d.Do(ctx, func() { verdict = register.Accept(submission) })
package duty

import (
	"context"
	"time"

	"verbenashift/core/plumbing/ring"
)

// task is one function with the channel that tells its end.
type task struct {
	fn   func()
	done chan struct{}
}

// Loop is one goroutine's work. Use New to make one.
type Loop struct {
	tasks *ring.Ring[task]
	// after, if set, runs after each task and at the time that next names.
	after func()
	next  func() (time.Time, bool)
}

// New returns a duty whose ring holds up to capacity tasks.
func New(capacity int) *Loop {
	return &Loop{tasks: ring.New[task](capacity)}
}

// After has fn run on the duty's goroutine after each task, and also when the
// time that next returns has come. It must be called before Run.
func (d *Loop) After(fn func(), next func() (time.Time, bool)) {
	d.after, d.next = fn, next
}

// Run runs tasks until ctx ends.
func (d *Loop) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := d.pop(ctx)
		if err == nil {
			t.fn()
			if t.done != nil {
				close(t.done)
			}
		}
		if d.after != nil {
			d.after()
		}
	}
}

// pop waits for a task, or until the next time at which there is work.
func (d *Loop) pop(ctx context.Context) (task, error) {
	if t, ok := d.tasks.TryPop(); ok {
		return t, nil
	}
	if d.next == nil {
		return d.tasks.Pop(ctx)
	}
	at, ok := d.next()
	if !ok {
		return d.tasks.Pop(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, at)
	defer cancel()
	return d.tasks.Pop(ctx)
}

// Do runs fn on the duty's goroutine and waits for its end. An error says that
// fn was not taken in, or that ctx ended while it waited; in that last case fn
// may still run.
func (d *Loop) Do(ctx context.Context, fn func()) error {
	t := task{fn: fn, done: make(chan struct{})}
	if err := d.tasks.PushWait(ctx, t); err != nil {
		return err
	}
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Post hands fn over and does not wait for its end. It waits for room in the
// ring as long as ctx allows.
func (d *Loop) Post(ctx context.Context, fn func()) error {
	return d.tasks.PushWait(ctx, task{fn: fn})
}
