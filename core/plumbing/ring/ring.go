// Package ring joins the goroutines of two duties by a bounded queue.
//
// A Ring has a fixed capacity, keeps the order of its items and allocates
// nothing per item. A full ring is visible at once: Push reports it, so that
// the producer can shed work or refuse it, and PushWait holds the producer
// back. Any number of goroutines may push and pop, although the usual case is
// one of each.
//
// Close ends the flow without losing an item that was taken in: pops go on
// until the ring is empty and only then return ErrClosed.
//
// # Usage
//
//	jobs := ring.New[Job](64)
//	go func() {
//		for {
//			job, err := jobs.Pop(ctx)
//			if err != nil {
//				return
//			}
//			run(job)
//		}
//	}()
//	if !jobs.Push(job) {
//		return errBusy
//	}
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by PushWait on a closed ring, and by Pop on a closed
// ring that is empty.
var ErrClosed = errors.New("ring: closed")

// Ring is a bounded first-in first-out queue. Use New to make one.
type Ring[T any] struct {
	mu     sync.Mutex
	buf    []T
	head   int
	n      int
	closed bool

	items chan struct{} // holds a token when an item may be waiting
	space chan struct{} // holds a token when a slot may be free
	done  chan struct{} // closed by Close
}

// New returns an empty ring that holds up to capacity items. A capacity below
// one counts as one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		buf:   make([]T, max(capacity, 1)),
		items: make(chan struct{}, 1),
		space: make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
}

// Push adds v without waiting. It reports whether v was taken in: false means
// that the ring is full or closed.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.n == len(r.buf) {
		return false
	}
	r.buf[(r.head+r.n)%len(r.buf)] = v
	r.n++
	wake(r.items)
	if r.n < len(r.buf) {
		wake(r.space)
	}
	return true
}

// PushWait adds v and waits for space as long as ctx allows. The error is
// ErrClosed or that of ctx; v was not taken in when there is one.
func (r *Ring[T]) PushWait(ctx context.Context, v T) error {
	for !r.Push(v) {
		select {
		case <-r.space:
		case <-r.done:
			return ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// TryPop removes the oldest item without waiting. It reports false if the ring
// is empty.
func (r *Ring[T]) TryPop() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == 0 {
		return v, false
	}
	var zero T
	v, r.buf[r.head] = r.buf[r.head], zero
	r.head = (r.head + 1) % len(r.buf)
	r.n--
	wake(r.space)
	if r.n > 0 {
		wake(r.items)
	}
	return v, true
}

// Pop removes the oldest item and waits for one as long as ctx allows. The
// error is that of ctx, or ErrClosed once a closed ring is empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		if v, ok := r.TryPop(); ok {
			return v, nil
		}
		select {
		case <-r.items:
		case <-r.done:
			return r.last()
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}

// last pops from a closed ring, to which nothing is added any more.
func (r *Ring[T]) last() (T, error) {
	v, ok := r.TryPop()
	if !ok {
		return v, ErrClosed
	}
	return v, nil
}

// Close refuses further items and lets pops drain the rest. It may be called
// more than once.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
}

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return len(r.buf) }

// wake leaves a token in ch unless one is there. A waiter that takes it looks
// at the ring again, and leaves a token for the next waiter if there is more.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
