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

// sink writes the answer of one request to its caller. All methods but
// sendKeepAlive are called by one goroutine.
type sink interface {
	// head sets the status and headers of the answer.
	head(status int, headers []*wire.Header)
	// data writes the data frame numbered id; the first is 1.
	data(id uint64, p []byte) error
	// restart discards what was buffered. It returns false if part of the answer
	// has already been sent.
	restart() bool
	// setID sets the request id that the caller receives, if none was sent yet.
	setID(id string)
	// sendKeepAlive shows the caller that the request is still being processed.
	sendKeepAlive()
	// finish ends the answer; err is nil for a complete one.
	finish(err *outcome.Error)
	// handover ends the connection but not the answer, which the caller can read
	// on at another entry.
	handover()
}

// streamSink writes server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	id      string
	timeout time.Duration
	// keepAliveAfter is how long the caller may receive nothing before
	// sendKeepAlive sends a comment.
	keepAliveAfter time.Duration

	mu        sync.Mutex
	stream    *caller.Stream
	nonStream *bufferedSink
	ended     bool
	// lastWrite is when something was last sent to the caller.
	lastWrite time.Time
}

func newStreamSink(w http.ResponseWriter, id string, timeout, keepAliveAfter time.Duration) *streamSink {
	return &streamSink{w: w, id: id, timeout: timeout, keepAliveAfter: keepAliveAfter}
}

func (s *streamSink) open() *caller.Stream {
	if s.stream == nil {
		s.stream = caller.NewStream(s.w, s.id, s.timeout)
	}
	return s.stream
}

// head passes an answer that is no stream, such as a target's 400, on unchanged.
func (s *streamSink) head(status int, headers []*wire.Header) {
	if status == http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream == nil {
		s.nonStream = newBufferedSink(s.w, s.id, 1<<20)
		s.nonStream.head(status, headers)
	}
}

func (s *streamSink) data(id uint64, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nonStream != nil {
		return s.nonStream.data(id, p)
	}
	s.lastWrite = time.Now()
	return s.open().Event(id, p)
}

// restart does nothing: a stream is continued, never started again.
func (s *streamSink) restart() bool {
	return true
}

func (s *streamSink) setID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream == nil && s.nonStream == nil {
		s.id = id
	}
}

func (s *streamSink) sendKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.nonStream != nil || time.Since(s.lastWrite) < s.keepAliveAfter {
		return
	}
	_ = s.open().Comment("waiting")
}

func (s *streamSink) finish(err *outcome.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	switch {
	case s.nonStream != nil:
		s.nonStream.finish(err)
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

// bufferedSink buffers an answer until its end is known, so that a broken one can
// be started again without the caller noticing. If the answer exceeds the buffer,
// it is sent on as it arrives.
type bufferedSink struct {
	w       http.ResponseWriter
	id      string
	buffer  int
	status  int
	headers []*wire.Header
	buf     []byte
	sent    bool
}

func newBufferedSink(w http.ResponseWriter, id string, buffer int) *bufferedSink {
	return &bufferedSink{w: w, id: id, buffer: buffer}
}

func (s *bufferedSink) head(status int, headers []*wire.Header) {
	s.status, s.headers = status, headers
}

func (s *bufferedSink) data(_ uint64, p []byte) error {
	s.buf = append(s.buf, p...)
	if len(s.buf) <= s.buffer {
		return nil
	}
	return s.flush()
}

func (s *bufferedSink) flush() error {
	if !s.sent {
		s.sent = true
		s.writeHead()
	}
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}

func (s *bufferedSink) writeHead() {
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

func (s *bufferedSink) restart() bool {
	s.buf = s.buf[:0]
	return !s.sent
}

func (s *bufferedSink) setID(id string) {
	s.id = id
}

func (s *bufferedSink) sendKeepAlive() {}

// finish aborts the connection when an answer that was partly sent can't be
// completed: a truncated answer must never look complete.
func (s *bufferedSink) finish(err *outcome.Error) {
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

func (s *bufferedSink) handover() {
	if s.sent {
		panic(http.ErrAbortHandler)
	}
	caller.WriteHandover(s.w, s.id)
}
