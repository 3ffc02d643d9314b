package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenashift/core/peer/wire"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
)

// sink takes one request's answer to its caller. Its methods are called by
// one goroutine, but for alive.
type sink interface {
	// head takes the status and headers of the answer.
	head(status int, headers []*wire.Header)
	// data takes the piece numbered id, from 1.
	data(id uint64, p []byte) error
	// restart forgets what was taken; false if some of it has left.
	restart() bool
	// rename sets the request id that the caller is told, if none was yet.
	rename(id string)
	// alive shows the caller that the request waits.
	alive()
	// finish ends the answer; err is nil for a complete one.
	finish(err *outcome.Error)
	// handover ends the connection but not the answer.
	handover()
}

// streamSink writes server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	id      string
	timeout time.Duration
	// silence is how long the caller may hear nothing.
	silence time.Duration

	mu      sync.Mutex
	stream  *caller.Stream
	refused *wholeSink
	ended   bool
	// written is when the caller was last sent anything.
	written time.Time
}

func newStreamSink(w http.ResponseWriter, id string, timeout, silence time.Duration) *streamSink {
	return &streamSink{w: w, id: id, timeout: timeout, silence: silence}
}

func (s *streamSink) open() *caller.Stream {
	if s.stream == nil {
		s.stream = caller.NewStream(s.w, s.id, s.timeout)
	}
	return s.stream
}

// head keeps an answer that is no stream, such as a target's 400, as it is.
func (s *streamSink) head(status int, headers []*wire.Header) {
	if status == http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream == nil {
		s.refused = newWholeSink(s.w, s.id, 1<<20)
		s.refused.head(status, headers)
	}
}

func (s *streamSink) data(id uint64, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused != nil {
		return s.refused.data(id, p)
	}
	s.written = time.Now()
	return s.open().Event(id, p)
}

// restart is not needed: a stream is continued, never begun again.
func (s *streamSink) restart() bool {
	return true
}

func (s *streamSink) rename(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream == nil && s.refused == nil {
		s.id = id
	}
}

func (s *streamSink) alive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.refused != nil || time.Since(s.written) < s.silence {
		return
	}
	_ = s.open().Comment("waiting")
}

func (s *streamSink) finish(err *outcome.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	switch {
	case s.refused != nil:
		s.refused.finish(err)
	case err == nil:
		_ = s.open().Done()
	case s.stream == nil:
		caller.WriteError(s.w, s.id, err)
	default:
		_ = s.stream.Error(s.id, err)
	}
}

func (s *streamSink) handover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.open().Handover(s.id)
}

// wholeSink holds an answer back until its end is known, so that a broken one
// can be begun again unseen. Past its buffer it passes the answer on.
type wholeSink struct {
	w       http.ResponseWriter
	id      string
	buffer  int
	status  int
	headers []*wire.Header
	buf     []byte
	sent    bool
}

func newWholeSink(w http.ResponseWriter, id string, buffer int) *wholeSink {
	return &wholeSink{w: w, id: id, buffer: buffer}
}

func (s *wholeSink) head(status int, headers []*wire.Header) {
	s.status, s.headers = status, headers
}

func (s *wholeSink) data(_ uint64, p []byte) error {
	s.buf = append(s.buf, p...)
	if len(s.buf) <= s.buffer {
		return nil
	}
	return s.flush()
}

func (s *wholeSink) flush() error {
	if !s.sent {
		s.sent = true
		s.writeHead()
	}
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}

func (s *wholeSink) writeHead() {
	h := s.w.Header()
	for _, x := range s.headers {
		h[http.CanonicalHeaderKey(x.Name)] = x.Values
	}
	h.Set(caller.HeaderRequestID, s.id)
	if s.status == 0 {
		s.status = http.StatusOK
	}
	s.w.WriteHeader(s.status)
}

func (s *wholeSink) restart() bool {
	s.buf = s.buf[:0]
	return !s.sent
}

func (s *wholeSink) rename(id string) {
	s.id = id
}

func (s *wholeSink) alive() {}

// finish aborts the connection when an answer that has partly left cannot be
// ended whole: a truncated answer must never look complete.
func (s *wholeSink) finish(err *outcome.Error) {
	if err != nil && s.sent {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		caller.WriteError(s.w, s.id, err)
		return
	}
	if !s.sent {
		s.w.Header().Set("Content-Length", strconv.Itoa(len(s.buf)))
	}
	_ = s.flush()
}

func (s *wholeSink) handover() {
	if s.sent {
		panic(http.ErrAbortHandler)
	}
	caller.WriteHandover(s.w, s.id)
}
