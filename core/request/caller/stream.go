package caller

import (
	"net/http"
	"strconv"
	"time"

	"verbenashift/core/request/outcome"
)

// Stream writes server-sent events to one caller. It reuses its buffer, so that an event needs
// no allocation.
type Stream struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	buf        []byte
	timeout    time.Duration
	extendedAt time.Time
}

// NewStream starts an event stream with the status 200. A write that a slow caller does not
// accept within timeout fails.
func NewStream(w http.ResponseWriter, requestID string, timeout time.Duration) *Stream {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderRequestID, requestID)
	w.WriteHeader(http.StatusOK)
	return &Stream{w: w, rc: http.NewResponseController(w), timeout: timeout}
}

// Event writes one event with its identifier and flushes it.
func (s *Stream) Event(id uint64, data []byte) error {
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = strconv.AppendUint(s.buf, id, 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	return s.flush()
}

// Comment writes a line that clients ignore. It shows that the request is still alive while
// there is nothing else to send.
func (s *Stream) Comment(text string) error {
	s.buf = append(s.buf[:0], ": "...)
	s.buf = append(s.buf, text...)
	s.buf = append(s.buf, "\n\n"...)
	return s.flush()
}

// Done ends a complete answer.
func (s *Stream) Done() error {
	s.buf = append(s.buf[:0], "data: [DONE]\n\n"...)
	return s.flush()
}

// Error ends an answer that is not complete. The retry delay goes into the event, since the
// headers have already been sent.
func (s *Stream) Error(requestID string, err error) error {
	e := asOutcome(err)
	s.buf = s.buf[:0]
	if e.RetryAfter > 0 {
		s.buf = append(s.buf, "retry: "...)
		s.buf = strconv.AppendInt(s.buf, e.RetryAfter.Milliseconds(), 10)
		s.buf = append(s.buf, '\n')
	}
	s.buf = append(s.buf, "event: error\ndata: "...)
	s.buf = append(s.buf, encode(requestID, e)...)
	s.buf = append(s.buf, '\n')
	return s.flush()
}

// Handover ends this connection but not the answer: the caller continues to read at another
// entry with the request identifier.
func (s *Stream) Handover(requestID string) error {
	s.buf = append(s.buf[:0], "event: handover\ndata: {\"request-id\":"...)
	s.buf = strconv.AppendQuote(s.buf, requestID)
	s.buf = append(s.buf, "}\n\n"...)
	return s.flush()
}

func (s *Stream) flush() error {
	s.extendDeadline()
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.rc.Flush()
}

// extendDeadline moves the write deadline, at most a few times per timeout, since each move
// needs a timer.
func (s *Stream) extendDeadline() {
	now := time.Now()
	if now.Sub(s.extendedAt) < s.timeout/4 {
		return
	}
	s.extendedAt = now
	_ = s.rc.SetWriteDeadline(now.Add(s.timeout))
}

// WriteHandover makes a caller that waits for a complete answer request it at another entry.
func WriteHandover(w http.ResponseWriter, requestID string) {
	w.Header().Set("Retry-After", "0")
	WriteError(w, requestID, &outcome.Error{Outcome: outcome.Unknown, Reason: "handover", Status: http.StatusServiceUnavailable})
}
