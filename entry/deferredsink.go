package main

import (
	"net/http"
	"strings"
	"sync"

	"verbenashift/core/peer/wire"
	"verbenashift/core/request/outcome"
)

// deferredSink is the sink of a caller that reads an earlier answer. Only the
// head of the answer shows whether it is a stream of events or one document, so
// that the sink is chosen then. An answer that is read on from the middle is
// always a stream.
type deferredSink struct {
	stream   func() sink
	document func() sink

	mu     sync.Mutex
	chosen sink
}

func (s *deferredSink) choose(stream bool) sink {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chosen != nil {
		return s.chosen
	}
	s.chosen = s.document()
	if stream {
		s.chosen = s.stream()
	}
	return s.chosen
}

func (s *deferredSink) head(status int, headers []*wire.Header) {
	stream := false
	for _, h := range headers {
		if http.CanonicalHeaderKey(h.Name) == "Content-Type" && len(h.Values) > 0 {
			stream = strings.HasPrefix(h.Values[0], "text/event-stream")
		}
	}
	s.choose(stream).head(status, headers)
}

func (s *deferredSink) data(id uint64, p []byte) error {
	return s.choose(true).data(id, p)
}

func (s *deferredSink) restart() bool {
	return s.choose(true).restart()
}

// setID does nothing: the caller has requested the answer by its id.
func (s *deferredSink) setID(string) {}

// sendKeepAlive sends nothing before the form of the answer is known.
func (s *deferredSink) sendKeepAlive() {
	s.mu.Lock()
	chosen := s.chosen
	s.mu.Unlock()
	if chosen != nil {
		chosen.sendKeepAlive()
	}
}

func (s *deferredSink) finish(err *outcome.Error) {
	s.choose(err == nil).finish(err)
}

func (s *deferredSink) handover() {
	s.choose(true).handover()
}
