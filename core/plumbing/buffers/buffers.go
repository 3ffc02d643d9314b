// Package buffers bounds the memory that a process holds for bodies which it must have as a whole:
// those of requests, since they may be sent again, and complete answers, which are passed on only if
// they do not break off.
//
// A body takes room as it is read, not as it is announced: a sender that is slow or stops holds little.
// While there is no room nothing is read, which slows the sender down, but only for a time: others may
// wait for what this one holds. Half of the room is for the beginnings of bodies, so that long ones
// leave some to short ones.
//
// Some senders send bodies that stop or never end. Buffers in reception are taken back while others wait
// for room: those first that get no bytes, then those that wait themselves, the last one first, then those
// that are larger than what waits. So bodies that are sent in time and are not the longest find
// room, however many senders there are. What has been received to its end is never taken back.
//
// # Usage
//
//	pool := buffers.NewPool(size, wait)
//	body, err := pool.Read(ctx, r.Body, r.ContentLength, limit)
//	if err != nil {
//		return err
//	}
//	defer body.Release()
//
// From a sender whose answer ends when the context is canceled:
//
//	ctx, cancel := context.WithCancelCause(ctx)
//	body := pool.Buffer()
//	body.Receive(cancel)
//	err := body.Read(ctx, answer, length, limit)
package buffers

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// firstPart is how many bytes of a body are its beginning.
const firstPart = 16 << 10

// Pool bounds the bytes of all its buffers. The nil Pool has no bound. It is safe for concurrent use.
type Pool struct {
	wait time.Duration

	mu sync.Mutex
	// rooms are the room for the beginnings of bodies, and that for the rest of them.
	rooms [2]room
	// receiving holds the buffers in reception, reclaimed counts those that were taken back.
	receiving map[*Buffer]struct{}
	reclaimed int64
}

// The parts of a body, which have a room each.
const (
	beginning = iota
	rest
)

// NewPool returns a pool of a number of bytes, for which a body waits at most a given time.
func NewPool(size int64, wait time.Duration) *Pool {
	half := room{size: size / 2}
	return &Pool{wait: wait, rooms: [2]room{half, half}, receiving: map[*Buffer]struct{}{}}
}

// Held returns how many bytes the buffers of the pool hold.
func (p *Pool) Held() int64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rooms[beginning].used + p.rooms[rest].used
}

// Reclaimed returns how many buffers were taken back.
func (p *Pool) Reclaimed() int64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reclaimed
}

// TooLongError reports a body that is longer than allowed.
type TooLongError struct {
	// Limit is the greatest length in bytes, Read how much was read, or 0 if the body was announced
	// to be longer.
	Limit, Read int64
}

// Error returns a message with the limit.
func (e *TooLongError) Error() string { return fmt.Sprintf("body longer than %d bytes", e.Limit) }

// FullError reports that there was no room for a body.
type FullError struct {
	// Bytes is how many bytes were needed, of Room in all.
	Bytes, Room int64
}

// Error returns a message with the sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("no room for %d bytes in %d", e.Bytes, e.Room)
}

// ReclaimedError reports that the room of a body was taken back for others.
type ReclaimedError struct {
	// Bytes is how many bytes were taken back.
	Bytes int64
}

// Error returns a message with the size.
func (e *ReclaimedError) Error() string {
	return fmt.Sprintf("room of %d bytes taken back", e.Bytes)
}

// Buffer is a body that was read as a whole. The nil Buffer is empty.
type Buffer struct {
	pool *Pool
	// held is how many bytes it has room for, of which reserved are never taken back.
	held, reserved int64
	data           []byte
	// progress is when bytes were received last, in nanoseconds of Unix time.
	progress atomic.Int64
	reception
}

// Bytes returns the body; it must not be used after Release.
func (b *Buffer) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Held returns how many bytes the buffer has room for.
func (b *Buffer) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held
}

// Release returns the room of the buffer. Further calls do nothing.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	if p := b.pool; p != nil {
		p.release(b)
	}
	b.held, b.data = 0, nil
}

// Extend makes room for a number of bytes in all. The error is a *FullError; what was held before is
// held still.
func (b *Buffer) Extend(ctx context.Context, n int64) error {
	for b.held < n {
		if err := b.extend(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// extend makes room for a number of bytes, or for the beginning of a body if that is not complete.
func (b *Buffer) extend(ctx context.Context, n int64) error {
	if b.pool == nil {
		b.held = n
		return nil
	}
	part := rest
	if b.held < firstPart {
		part, n = beginning, min(n, firstPart)
	}
	return b.pool.acquire(ctx, b, part, n-b.held)
}

// heldOf returns how much room the buffer holds for a part of the body.
func (b *Buffer) heldOf(part int) int64 {
	if part == beginning {
		return min(b.held, firstPart)
	}
	return max(b.held-firstPart, 0)
}

// Buffer returns an empty buffer.
func (p *Pool) Buffer() *Buffer { return &Buffer{pool: p} }

// Reserve returns an empty buffer that has room for a beginning of n bytes, so that a body of that
// length can be read into it even if there is no room by then. The error is a *FullError.
func (p *Pool) Reserve(ctx context.Context, n int64) (*Buffer, error) {
	b := p.Buffer()
	if err := b.Extend(ctx, min(n, firstPart)); err != nil {
		return nil, err
	}
	b.reserved = b.held
	return b, nil
}

// Read reads a body into a new buffer, see Buffer.Read.
func (p *Pool) Read(ctx context.Context, r io.Reader, length, limit int64) (*Buffer, error) {
	b := p.Buffer()
	if err := b.Read(ctx, r, length, limit); err != nil {
		return nil, err
	}
	return b, nil
}

// Read reads a body to its end. Length is its length, or negative if that is not known; a longer one
// than limit is a *TooLongError, and one for which there is no room a *FullError. Other errors are
// those of the reader. After an error the buffer is released.
func (b *Buffer) Read(ctx context.Context, r io.Reader, length, limit int64) error {
	err := error(&TooLongError{Limit: limit})
	if length <= limit {
		if length >= 0 {
			limit = length
		}
		err = b.fill(ctx, r, limit)
	}
	if err != nil {
		b.Release()
		return err
	}
	b.Complete()
	return nil
}

// fill reads a body of at most limit bytes to its end.
func (b *Buffer) fill(ctx context.Context, r io.Reader, limit int64) error {
	for {
		if len(b.data) == cap(b.data) {
			done, err := b.grow(ctx, r, limit)
			if done || err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		b.Progress()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow makes a full buffer larger, unless the body ends there.
func (b *Buffer) grow(ctx context.Context, r io.Reader, limit int64) (done bool, err error) {
	var next [1]byte
	switch _, err := io.ReadFull(r, next[:]); err {
	case nil:
	case io.EOF:
		return true, nil
	default:
		return false, err
	}
	size := int64(cap(b.data))
	if size >= limit {
		return false, &TooLongError{Limit: limit, Read: size + 1}
	}
	if b.held <= size {
		if err := b.Extend(ctx, min(max(2*size, firstPart), limit)); err != nil {
			return false, err
		}
	}
	larger := min(b.held, limit)
	b.data = append(append(make([]byte, 0, larger), b.data...), next[0])
	return false, nil
}
