package main

import (
	"context"
	"sync"
	"time"

	"verbenashift/core/draft"
)

// answer is the answer of one request that this agent runs or has run.
type answer struct {
	id        string
	workspace string
	attempt   uint32
	// base is how many data frames of the answer came before this one's.
	base         uint64
	mayNotRepeat bool
	log          *draft.Log
	cancel       context.CancelFunc
	// idle is when the last reader left, or the answer ended.
	idle time.Time
}

// answers holds the answers by request id. It is safe for use by several
// goroutines.
type answers struct {
	keep     time.Duration
	detached time.Duration

	mu   sync.Mutex
	byID map[string]*answer
}

func newAnswers(keep, detached time.Duration) *answers {
	return &answers{keep: keep, detached: detached, byID: make(map[string]*answer)}
}

// put adds a. An older attempt of the same request is stopped and replaced; a
// is not added if its attempt is not newer than the one held.
func (s *answers) put(a *answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.byID[a.id]
	if ok && old.attempt >= a.attempt {
		return false
	}
	if ok {
		old.cancel()
	}
	a.idle = time.Now()
	s.byID[a.id] = a
	return true
}

// get returns a workspace's answer. Another workspace's is not found, so that
// nothing shows that it exists.
func (s *answers) get(id, workspace string) (*answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byID[id]
	if !ok || a.workspace != workspace {
		return nil, false
	}
	return a, true
}

// touch notes that a reader has left.
func (s *answers) touch(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.idle = time.Now()
}

// sweep forgets answers that ended long ago and stops repeatable ones whose
// readers have all gone: the entry died and nobody has come back.
func (s *answers) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, a := range s.byID {
		_, ended := a.log.Ended()
		unread := a.log.Readers() == 0
		switch {
		case ended && unread && now.Sub(a.idle) > s.keep:
			delete(s.byID, id)
		case !ended && unread && !a.mayNotRepeat && now.Sub(a.idle) > s.detached:
			a.cancel()
		}
	}
}

// running counts the answers that have not ended.
func (s *answers) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.byID {
		if _, ended := a.log.Ended(); !ended {
			n++
		}
	}
	return n
}

// each calls f for every answer that has not ended.
func (s *answers) each(f func(*answer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.byID {
		if _, ended := a.log.Ended(); !ended {
			f(a)
		}
	}
}
