// Package draft keeps one answer while it grows, so that it can be read more
// than once.
//
// An agent writes what its target sends into a Log; each caller that reads the
// answer has a Reader of its own, which may start anywhere. The answer goes on
// growing when a reader's connection breaks, and a second reader gets the same
// bytes. Frames are numbered from 1 without gaps: the head, the pieces, the
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

// Kind tells what a frame carries.
type Kind int

// The kinds of frames, in the order in which they stand in an answer.
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
	// Data is valid for ever and must not be changed.
	Data []byte
	// Status and Headers are set in a Head.
	Status  int
	Headers []Header
	// Ending is set in an End.
	Ending Ending
}

// Ending is how an answer ended.
type Ending struct {
	Outcome    outcome.Outcome
	Reason     string
	RetryAfter time.Duration
	// Handover says that the answer goes on at another agent.
	Handover bool
}

// FullError is returned by Append when the answer has outgrown its limit.
type FullError struct {
	// Limit is in bytes.
	Limit int
}

// Error returns the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("answer is over the limit of %d bytes", e.Limit)
}

// Log is one growing answer. It is safe for use by several goroutines.
type Log struct {
	limit int

	mu      sync.Mutex
	status  int
	headers []Header
	headed  bool
	buf     []byte
	ends    []int
	ending  *Ending
	readers map[*Reader]struct{}
}

// New returns an empty answer that may grow to limit bytes.
func New(limit int) *Log {
	return &Log{limit: limit, readers: make(map[*Reader]struct{}, 1)}
}

// Head sets the status and the headers. Only the first call counts.
func (l *Log) Head(status int, headers []Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.headed {
		return
	}
	l.headed = true
	l.status, l.headers = status, headers
	l.wake()
}

// Append copies one piece of the answer in. It returns *FullError once the
// limit is reached and does nothing after End.
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
	l.ends = append(l.ends, len(l.buf))
	l.wake()
	return nil
}

// End closes the answer. Only the first call counts.
func (l *Log) End(e Ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending != nil {
		return
	}
	l.ending = &e
	l.headed = true
	l.wake()
}

// Ended returns the ending, and false while the answer still grows.
func (l *Log) Ended() (Ending, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending == nil {
		return Ending{}, false
	}
	return *l.ending, true
}

// Size returns the bytes held.
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

// wake tells the readers that there is more. The caller holds mu.
func (l *Log) wake() {
	for r := range l.readers {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}

// frame returns frame n, and false if it is not there yet.
func (l *Log) frame(n uint64) (Frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n == 1 {
		return Frame{Sequence: 1, Kind: Head, Status: l.status, Headers: l.headers}, l.headed
	}
	piece := int(n) - 2
	if piece < len(l.ends) {
		start := 0
		if piece > 0 {
			start = l.ends[piece-1]
		}
		return Frame{Sequence: n, Kind: Data, Data: l.buf[start:l.ends[piece]:l.ends[piece]]}, true
	}
	if l.ending == nil {
		return Frame{}, false
	}
	return Frame{Sequence: uint64(len(l.ends)) + 2, Kind: End, Ending: *l.ending}, true
}

// Reader reads one answer from some frame on.
type Reader struct {
	log     *Log
	next    uint64
	changed chan struct{}
}

// Next returns the next frame and waits for it if need be. After an End frame
// it returns the same End again. The error is that of ctx.
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

// Close lets go of the answer.
func (r *Reader) Close() {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	delete(r.log.readers, r)
}
