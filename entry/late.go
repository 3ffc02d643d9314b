package main

import (
	"net/http"
	"strings"
	"sync"

	"verbenashift/core/peer/wire"
	"verbenashift/core/request/outcome"
)

// lateSink is the sink of a caller that reads an earlier answer: only the head
// of the answer tells whether it is a stream of events or one document. Reading
// on from the middle is always a stream.
type lateSink struct {
	stream func() sink
	whole  func() sink

	mu     sync.Mutex
	chosen sink
}

func (s *lateSink) choose(stream bool) sink {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chosen != nil {
		return s.chosen
	}
	s.chosen = s.whole()
	if stream {
		s.chosen = s.stream()
	}
	return s.chosen
}

func (s *lateSink) head(status int, headers []*wire.Header) {
	stream := false
	for _, h := range headers {
		if http.CanonicalHeaderKey(h.Name) == "Content-Type" && len(h.Values) > 0 {
			stream = strings.HasPrefix(h.Values[0], "text/event-stream")
		}
	}
	s.choose(stream).head(status, headers)
}

func (s *lateSink) data(id uint64, p []byte) error {
	return s.choose(true).data(id, p)
}

func (s *lateSink) restart() bool {
	return s.choose(true).restart()
}

// rename does nothing: the caller has named the answer itself.
func (s *lateSink) rename(string) {}

// alive says nothing before the answer's form is known.
func (s *lateSink) alive() {
	s.mu.Lock()
	chosen := s.chosen
	s.mu.Unlock()
	if chosen != nil {
		chosen.alive()
	}
}

func (s *lateSink) finish(err *outcome.Error) {
	s.choose(err == nil).finish(err)
}

func (s *lateSink) handover() {
	s.choose(true).handover()
}
