// Package ring implements a bounded queue between goroutines.
//
// A Ring has a fixed capacity, is first-in first-out and allocates nothing per
// item. A full ring applies backpressure: Push reports it, so that the producer can
// shed or reject work, and PushWait blocks the producer. Any number of goroutines
// may push and pop, although the usual case is one of each.
//
// Close does not lose an item that was accepted: pops continue until the ring is
// empty and only then return ErrClosed.
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

// Push adds v without blocking. It reports whether v was accepted: false means
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

// PushWait adds v, blocking until there is space or ctx is done. The error is
// ErrClosed or that of ctx; v was not accepted if there is one.
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

// TryPop removes the oldest item without blocking. It reports false if the ring
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

// Pop removes the oldest item, blocking until there is one or ctx is done. The
// error is that of ctx, or ErrClosed once a closed ring is empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		if v, ok := r.TryPop(); ok {
			return v, nil
		}
		select {
		case <-r.items:
		case <-r.done:
			return r.popClosed()
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}

// popClosed pops from a closed ring, to which nothing can be added any more.
func (r *Ring[T]) popClosed() (T, error) {
	v, ok := r.TryPop()
	if !ok {
		return v, ErrClosed
	}
	return v, nil
}

// Close rejects further items and lets pops drain the rest. It may be called
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

// wake puts a token into ch unless it holds one. A waiter that receives the token
// checks the ring again, and puts a token back for the next waiter if more items or
// slots are available.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
