package buffers

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// room is the room for one part of all bodies. The lock of the pool guards it.
type room struct {
	size, used int64
	// reclaiming is how much of used was taken back and is not released yet.
	reclaiming int64
	// waiters are those who wait, in the order of compare.
	waiters []*waiter
	// sweeping is set while a sweep is due.
	sweeping bool
	// arrivals counts those who have waited.
	arrivals int
}

// waiter is a buffer that waits for room.
type waiter struct {
	buffer *Buffer
	bytes  int64
	// size is what the buffer will hold if it is in reception, or 0. Smaller ones go first.
	size    int64
	arrival int
	// since is when it began to wait.
	since time.Time
	// blocked is set while nothing can be taken back for it: it does not hold up those after it.
	blocked bool
	granted chan struct{}
}

// compare orders by size, then by arrival.
func compare(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.size, b.size), cmp.Compare(a.arrival, b.arrival))
}

// fits reports whether a number of bytes is free.
func (r *room) fits(n int64) bool { return r.used+n <= r.size }

// acquire takes room for a number of bytes more of a part. It reports a *FullError if there is none in
// time.
func (p *Pool) acquire(ctx context.Context, b *Buffer, part int, n int64) error {
	full := &FullError{n, p.rooms[part].size}
	if n > full.Room {
		return full
	}
	w := p.request(b, part, n)
	if w == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()
	p.startSweeps(part)
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		if p.withdraw(w, part) {
			return full
		}
		return nil
	}
}

// request takes room if there is some, or returns a waiter for it.
func (p *Pool) request(b *Buffer, part int, n int64) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.rooms[part]
	r.arrivals++
	b.waiting = true
	w := &waiter{buffer: b, bytes: n, arrival: r.arrivals, since: time.Now(), granted: make(chan struct{})}
	if b.abandon != nil {
		w.size = b.held + n
	}
	i, _ := slices.BinarySearchFunc(r.waiters, w, compare)
	r.waiters = slices.Insert(r.waiters, i, w)
	p.grantWaiting(part)
	select {
	case <-w.granted:
		return nil
	default:
		return w
	}
}

// grant gives a waiter its room. The lock must be held.
func (p *Pool) grant(w *waiter, part int) {
	b := w.buffer
	p.rooms[part].used += w.bytes
	if b.reclaimed {
		p.rooms[part].reclaiming += w.bytes
	}
	b.held += w.bytes
	b.waiting = false
	b.Progress()
	close(w.granted)
}

// withdraw ends the wait of a buffer. It reports false if the buffer has got its room before.
func (p *Pool) withdraw(w *waiter, part int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.rooms[part]
	i := slices.Index(r.waiters, w)
	if i < 0 {
		return false
	}
	r.waiters = slices.Delete(r.waiters, i, i+1)
	w.buffer.waiting = false
	p.grantWaiting(part)
	return true
}

// release returns the room of a buffer to those who wait.
func (p *Pool) release(b *Buffer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endReception(b)
	for part := range p.rooms {
		p.rooms[part].used -= b.heldOf(part)
	}
	b.held = 0
	for part := range p.rooms {
		p.grantWaiting(part)
	}
}

// grantWaiting gives room to those who wait, as far as there is some. The lock must be held.
func (p *Pool) grantWaiting(part int) {
	r := &p.rooms[part]
	ended := false
	r.waiters = slices.DeleteFunc(r.waiters, func(w *waiter) bool {
		if ended || !r.fits(w.bytes) {
			ended = ended || !w.blocked
			return false
		}
		p.grant(w, part)
		return true
	})
}
