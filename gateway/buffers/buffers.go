// Package buffers bounds the memory that a process holds for bodies which it must have as a whole:
// those of requests, since they may be sent again, and complete answers, which are passed on only if
// they do not break off.
//
// A body takes room as it is read, not as it is announced: a sender that is slow or stops holds little.
// While there is no room nothing is read, which slows the sender down, but only for a time: others may
// wait for what this one holds.
//
// # Usage
//
//	pool := buffers.NewPool(size, wait)
//	body, err := pool.Read(ctx, r.Body, r.ContentLength, limit)
//	if err != nil {
//		return err
//	}
//	defer body.Release()
package buffers

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/semaphore"
)

// firstPart is for how many bytes a body starts with, if it is not shorter.
const firstPart = 16 << 10

// Pool bounds the bytes of all its buffers. The nil Pool has no bound. It is safe for concurrent use.
type Pool struct {
	size int64
	wait time.Duration
	room *semaphore.Weighted
}

// NewPool returns a pool of a number of bytes, for which a body waits at most a given time.
func NewPool(size int64, wait time.Duration) *Pool {
	return &Pool{size: size, wait: wait, room: semaphore.NewWeighted(size)}
}

// acquire takes room for more bytes. It reports a *FullError if there is none in time.
func (p *Pool) acquire(ctx context.Context, n int64) error {
	if p == nil || p.room.TryAcquire(n) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()
	if p.room.Acquire(ctx, n) != nil {
		return &FullError{n, p.size}
	}
	return nil
}

func (p *Pool) release(n int64) {
	if p != nil {
		p.room.Release(n)
	}
}

// TooLongError reports a body that is longer than allowed.
type TooLongError struct {
	// Limit is the greatest length in bytes.
	Limit int64
}

// Error returns a message with the limit.
func (e *TooLongError) Error() string { return fmt.Sprintf("body longer than %d bytes", e.Limit) }

// FullError reports that there was no room for a body.
type FullError struct {
	// Bytes is how many bytes were needed, Size how many the pool has.
	Bytes, Size int64
}

// Error returns a message with the sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("no room for %d bytes in buffers of %d", e.Bytes, e.Size)
}

// Buffer is a body that was read as a whole. The nil Buffer is empty.
type Buffer struct {
	pool *Pool
	held int64
	data []byte
}

// Bytes returns the body; it must not be used after Release.
func (b *Buffer) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Release returns the room of the buffer. Further calls do nothing.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	b.pool.release(b.held)
	b.held, b.data = 0, nil
}

// Reserve returns an empty buffer that has room for at least n bytes, so that a body of that length
// can be read into it even if there is no room by then. The error is a *FullError.
func (p *Pool) Reserve(ctx context.Context, n int64) (*Buffer, error) {
	if err := p.acquire(ctx, n); err != nil {
		return nil, err
	}
	return &Buffer{pool: p, held: n}, nil
}

// Read reads a body into a new buffer, see Buffer.Read.
func (p *Pool) Read(ctx context.Context, r io.Reader, length, limit int64) (*Buffer, error) {
	b := &Buffer{pool: p}
	if err := b.Read(ctx, r, length, limit); err != nil {
		return nil, err
	}
	return b, nil
}

// Read reads a body to its end. Length is its length, or negative if that is not known; a longer one
// than limit is a *TooLongError, and one for which there is no room a *FullError. Other errors are
// those of the reader. After an error the buffer is released.
func (b *Buffer) Read(ctx context.Context, r io.Reader, length, limit int64) error {
	err := error(&TooLongError{limit})
	if length <= limit {
		if length >= 0 {
			limit = length
		}
		err = b.fill(ctx, r, limit)
	}
	if err != nil {
		b.Release()
	}
	return err
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
		return false, &TooLongError{limit}
	}
	larger := max(2*size, firstPart)
	if size < b.held {
		larger = b.held // It was reserved.
	}
	larger = min(larger, limit)
	if more := larger - b.held; more > 0 {
		if err := b.pool.acquire(ctx, more); err != nil {
			return false, err
		}
		b.held = larger
	}
	b.data = append(append(make([]byte, 0, larger), b.data...), next[0])
	return false, nil
}
