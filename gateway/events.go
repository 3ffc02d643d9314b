package main

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
)

// maxEvent is the longest event that is passed on. Without a bound a server that never ends one would
// take all memory.
const maxEvent = 1 << 20

// errEventTooLong says that a server has sent an event of more than maxEvent bytes, or none of them
// has ended.
var errEventTooLong = errors.New("event too long")

// eventEnd is the delimiter after an event of a stream.
var eventEnd = []byte("\n\n")

// The memory of events in bytes: at first, and at most unless an event is longer.
const (
	firstEvents  = 512
	eventsBuffer = 2 * streamBuffer
)

// events splits a stream into complete events. A server may stop in the middle of
// one: only complete events reach the caller, so that another server can resume the stream.
// Its memory is that of the longest event in progress, up to twice.
type events struct {
	// buf[start:] are the bytes that are left, of which searched have no end of an event.
	buf             []byte
	start, searched int
}

// size returns how much memory there must be to add n bytes.
func (e *events) size(n int) int64 {
	size := max(cap(e.buf), firstEvents)
	for size < len(e.buf)-e.start+n {
		size *= 2
	}
	return int64(size)
}

// add appends bytes of the stream. Size bytes of memory must be there for them.
func (e *events) add(b []byte) {
	if len(e.buf)+len(b) > cap(e.buf) {
		e.move(int(e.size(len(b))))
	}
	e.buf = append(e.buf, b...)
}

// move moves what is left to the beginning of a buffer of a number of bytes.
func (e *events) move(size int) {
	left := e.buf[e.start:]
	if size > cap(e.buf) {
		e.buf = make([]byte, 0, size)
	}
	e.buf, e.start = append(e.buf[:0], left...), 0
}

// shrink returns the memory of a long event once the next one is short, and reports whether there was any.
func (e *events) shrink() bool {
	if cap(e.buf) <= eventsBuffer || len(e.buf)-e.start > streamBuffer {
		return false
	}
	left := e.buf[e.start:]
	e.buf, e.start = slices.Clone(left), 0
	return true
}

// next returns the next complete event with its delimiter, or nil. The event is valid
// until the next call of add or shrink.
func (e *events) next() []byte {
	left := e.buf[e.start:]
	from := max(e.searched-len(eventEnd)+1, 0)
	i := bytes.Index(left[from:], eventEnd)
	if i < 0 {
		e.searched = len(left)
		return nil
	}
	n := from + i + len(eventEnd)
	e.start, e.searched = e.start+n, 0
	return left[:n]
}

// unfinished returns how many bytes of an unfinished event there are.
func (e *events) unfinished() int64 { return int64(len(e.buf) - e.start) }

// tooLong reports whether an event is longer than is passed on.
func (e *events) tooLong() bool { return e.unfinished() > maxEvent }

// partial reports whether bytes of an unfinished event are left.
func (e *events) partial() bool { return e.unfinished() > 0 }

// eventID returns the identifier of an event, or -1 if it has none.
func eventID(event []byte) int64 {
	for line := range bytes.Lines(event) {
		v, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
		if err != nil {
			return -1
		}
		return id
	}
	return -1
}

func formatID(id int64) string { return strconv.FormatInt(id, 10) }
