// Package draft buffers one answer while it grows, so that it can be read more
// than once.
//
// An agent appends what its target sends to a Log. Each caller that reads the
// answer has its own Reader, which may start at any frame. The answer continues
// to grow when the connection of a reader breaks, and a second reader gets the
// same bytes. Frames are numbered from 1 without gaps: the head, the pieces, the
// end.
//
// # Usage
//
//	log := draft.New(4 << 20)
//	go pump(target, log) // log.Head, log.Append..., log.End
//	r := log.Reader(after)
//	defer r.Close()
//	for {
//		f, err := r.Next(ctx)
//		if err != nil || f.Kind == draft.End {
//			return
//		}
//		send(f)
//	}
package draft

import (
	"context"
	"fmt"
	"sync"
	"time"

	"verbenashift/core/request/outcome"
)

// Kind is the kind of a frame.
type Kind int

// The kinds of frames, in the order in which they appear in an answer.
const (
	// Head carries the status and the headers of the answer.
	Head Kind = iota + 1
	// Data carries one piece of the answer.
	Data
	// End carries the outcome and is the last frame.
	End
)

// Header is one header of an answer.
type Header struct {
	Name   string
	Values []string
}

// Frame is one part of an answer.
type Frame struct {
	// Sequence numbers the frames from 1.
	Sequence uint64
	Kind     Kind
	// Data remains valid and must not be modified.
	Data []byte
	// Status and Headers are set in a Head.
	Status  int
	Headers []Header
	// Ending is set in an End.
	Ending Ending
}

// Ending describes how an answer ended.
type Ending struct {
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
	// Handover means that the answer continues at another agent.
	Handover bool
}

// FullError is returned by Append when the answer exceeds its limit.
type FullError struct {
	// Limit is in bytes.
	Limit int
}

// Error returns a message with the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("answer is over the limit of %d bytes", e.Limit)
}

// Log is one growing answer. It is safe for use by several goroutines.
type Log struct {
	limit int

	mu        sync.Mutex
	status    int
	headers   []Header
	hasHead   bool
	buf       []byte
	pieceEnds []int
	ending    *Ending
	readers   map[*Reader]struct{}
}

// New returns an empty answer that may grow to limit bytes.
func New(limit int) *Log {
	return &Log{limit: limit, readers: make(map[*Reader]struct{}, 1)}
}

// Head sets the status and the headers. Calls after the first have no effect.
func (l *Log) Head(status int, headers []Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasHead {
		return
	}
	l.hasHead = true
	l.status, l.headers = status, headers
	l.notify()
}

// Append copies one piece into the answer. It returns *FullError if the piece would exceed the
// limit, and does nothing after End.
func (l *Log) Append(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending != nil {
		return nil
	}
	if len(l.buf)+len(data) > l.limit {
		return &FullError{Limit: l.limit}
	}
	l.buf = append(l.buf, data...)
	l.pieceEnds = append(l.pieceEnds, len(l.buf))
	l.notify()
	return nil
}

// End closes the answer. Calls after the first have no effect.
func (l *Log) End(e Ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending != nil {
		return
	}
	l.ending = &e
	l.hasHead = true
	l.notify()
}

// Ended returns the ending, and false while the answer is still growing.
func (l *Log) Ended() (Ending, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending == nil {
		return Ending{}, false
	}
	return *l.ending, true
}

// Size returns the number of buffered bytes.
func (l *Log) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buf)
}

// Readers returns how many readers are open.
func (l *Log) Readers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.readers)
}

// Reader returns a reader whose first frame is the one after sequence number
// after.
func (l *Log) Reader(after uint64) *Reader {
	r := &Reader{log: l, next: after + 1, changed: make(chan struct{}, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers[r] = struct{}{}
	return r
}

// notify wakes up the readers after a change. The caller holds mu.
func (l *Log) notify() {
	for r := range l.readers {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}

// frame returns frame n, and false if it does not exist yet.
func (l *Log) frame(n uint64) (Frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n == 1 {
		return Frame{Sequence: 1, Kind: Head, Status: l.status, Headers: l.headers}, l.hasHead
	}
	piece := int(n) - 2
	if piece < len(l.pieceEnds) {
		start := 0
		if piece > 0 {
			start = l.pieceEnds[piece-1]
		}
		return Frame{Sequence: n, Kind: Data, Data: l.buf[start:l.pieceEnds[piece]:l.pieceEnds[piece]]}, true
	}
	if l.ending == nil {
		return Frame{}, false
	}
	return Frame{Sequence: uint64(len(l.pieceEnds)) + 2, Kind: End, Ending: *l.ending}, true
}

// Reader reads one answer, starting at some frame.
type Reader struct {
	log     *Log
	next    uint64
	changed chan struct{}
}

// Next returns the next frame, waiting for it if necessary. After an End frame it returns the
// same End again. The error is that of ctx.
func (r *Reader) Next(ctx context.Context) (Frame, error) {
	for {
		f, ok := r.log.frame(r.next)
		if ok {
			r.next = f.Sequence + 1
			return f, nil
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
			return Frame{}, ctx.Err()
		}
	}
}

// Close detaches the reader from the answer.
func (r *Reader) Close() {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	delete(r.log.readers, r)
}
