package main

import (
	"bytes"
	"errors"
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

// events splits a stream into complete events. A server may stop in the middle of
// one: only complete events reach the caller, so that another server can resume the stream.
type events struct {
	buf []byte
}

// add appends bytes of the stream.
func (e *events) add(b []byte) { e.buf = append(e.buf, b...) }

// next returns the next complete event with its delimiter, or nil. The event is valid
// until the next call of add.
func (e *events) next() []byte {
	i := bytes.Index(e.buf, eventEnd)
	if i < 0 {
		return nil
	}
	event := e.buf[:i+len(eventEnd)]
	e.buf = e.buf[i+len(eventEnd):]
	return event
}

// unfinished returns how many bytes of an unfinished event there are.
func (e *events) unfinished() int64 { return int64(len(e.buf)) }

// tooLong reports whether an event is longer than is passed on.
func (e *events) tooLong() bool { return len(e.buf) > maxEvent }

// partial reports whether bytes of an unfinished event are left.
func (e *events) partial() bool { return len(e.buf) > 0 }

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
