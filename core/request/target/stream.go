package target

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	readSize     = 4 << 10
	maxEventSize = 4 << 20
	eventStream  = "text/event-stream"
	drainTimeout = 250 * time.Millisecond
)

var (
	dataField  = []byte("data")
	doneMarker = []byte("[DONE]")

	errNoEndMarker   = errors.New("stream ended without its end mark")
	errEventTooLarge = errors.New("event too large")
)

// Stream reads the events of one response. It is not safe for concurrent use.
//
// A response that is one JSON document instead of events counts as one event.
type Stream struct {
	// Header holds the headers of the response.
	Header       http.Header
	Backpressure Backpressure

	body   io.ReadCloser
	events bool
	// buf[r:w] holds bytes that were read and not yet consumed.
	buf  []byte
	r, w int
	// joined holds the data of an event with several data lines.
	joined []byte
	err    error
}

func newStream(resp *http.Response) *Stream {
	return &Stream{
		Header:       resp.Header,
		Backpressure: backpressureOf(resp.StatusCode, resp.Header),
		body:         resp.Body,
		events:       strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream),
		buf:          make([]byte, readSize),
	}
}

// Next returns the data of the next event; it is valid until the next call. After the end
// marker [DONE] it returns io.EOF, and a *BrokenError if the connection ends before. After an
// error it returns the same error again.
func (s *Stream) Next() (data []byte, err error) {
	if s.err != nil {
		return nil, s.err
	}
	if !s.events {
		return s.document()
	}
	data, err = s.event()
	if err == nil && bytes.Equal(data, doneMarker) {
		err = io.EOF
	}
	if err != nil {
		s.err = err
		return nil, err
	}
	return data, nil
}

// Close releases the connection. If the response has not ended, the engine sees a broken
// connection and continues. After the end Close waits up to 250 ms for the end of the HTTP
// body, so that the connection can be reused.
func (s *Stream) Close() error {
	if s.events && errors.Is(s.err, io.EOF) {
		late := time.AfterFunc(drainTimeout, func() { _ = s.body.Close() })
		_, _ = s.body.Read(s.buf)
		late.Stop()
	}
	return s.body.Close()
}

func (s *Stream) document() ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, s.body, maxEventSize))
	if err != nil {
		s.err = &BrokenError{Cause: err}
		return nil, s.err
	}
	s.err = io.EOF
	return data, nil
}

// event reads lines up to a blank one and returns the joined data lines. Events without data,
// such as keep-alive comments, are skipped.
func (s *Stream) event() ([]byte, error) {
	// at is the offset of the next line from s.r: earlier lines of the event
	// stay in the buffer, because data may point to one of them.
	at, lines := 0, 0
	from, to := 0, 0
	for {
		line, next, err := s.line(at)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			base := s.r
			s.r += next
			switch lines {
			case 0:
				at = 0
				continue
			case 1:
				return s.buf[base+from : base+to], nil
			}
			return s.joined, nil
		}
		if value, ok := field(line, dataField); ok {
			lines++
			if lines == 2 {
				s.joined = append(s.joined[:0], s.buf[s.r+from:s.r+to]...)
			}
			if lines > 1 {
				s.joined = append(append(s.joined, '\n'), value...)
			}
			to = at + len(line)
			from = to - len(value)
		}
		at = next
	}
}

// line returns the line that starts at offset at, without its line ending, and the offset of
// the next one.
func (s *Stream) line(at int) (line []byte, next int, err error) {
	seen := at
	for {
		window := s.buf[s.r:s.w]
		if i := bytes.IndexByte(window[seen:], '\n'); i >= 0 {
			end := seen + i
			return bytes.TrimSuffix(window[at:end], []byte{'\r'}), end + 1, nil
		}
		seen = len(window)
		if err := s.fill(); err != nil {
			return nil, 0, err
		}
	}
}

// fill reads more bytes, after making space for them.
func (s *Stream) fill() error {
	if s.r > 0 && s.w == len(s.buf) {
		s.w = copy(s.buf, s.buf[s.r:s.w])
		s.r = 0
	}
	if s.w == len(s.buf) {
		if len(s.buf) >= maxEventSize {
			return &BrokenError{Cause: errEventTooLarge}
		}
		s.buf = append(s.buf, make([]byte, len(s.buf))...)
	}
	n, err := s.body.Read(s.buf[s.w:])
	s.w += n
	switch {
	case n > 0 || err == nil:
		return nil
	case errors.Is(err, io.EOF):
		return &BrokenError{Cause: errNoEndMarker}
	}
	return &BrokenError{Cause: err}
}

// field returns the value of a line if its field has that name. One space
// after the colon is not part of the value.
func field(line, name []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, name)
	if !ok {
		return nil, false
	}
	if len(value) == 0 {
		return value, true
	}
	if value[0] != ':' {
		return nil, false
	}
	value = value[1:]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return value, true
}
