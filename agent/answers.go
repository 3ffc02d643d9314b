package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"verbenashift/core/request/draft"
)

// answer is the answer of one request that this agent runs or has run.
type answer struct {
	id        string
	workspace string
	attempt   uint32
	// base is the number of data frames of the answer before the first one in
	// log.
	base         uint64
	mayNotRepeat bool
	log          *draft.Log
	cancel       context.CancelFunc
	// idleSince is when the last reader disconnected, or the answer ended.
	idleSince time.Time
}

// answers holds the answers by request id. It is safe for concurrent use.
type answers struct {
	// protectedRetention is how long an ended answer of a key is retained,
	// otherRetention how long any other is.
	protectedRetention time.Duration
	otherRetention     time.Duration
	// detachedTimeout is how long a repeatable answer continues without a reader.
	detachedTimeout time.Duration
	// memory bounds the ended answers, in bytes.
	memory int

	mu   sync.Mutex
	byID map[string]*answer
}

func newAnswers(cfg Settings) *answers {
	return &answers{
		protectedRetention: cfg.Keep, otherRetention: cfg.KeepRead, detachedTimeout: cfg.Detached, memory: cfg.AnswerMemory,
		byID: make(map[string]*answer),
	}
}

// put adds a and reports whether it did. An older attempt of the same request is
// cancelled and replaced; a is not added if its attempt is not newer than the one
// held.
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
	a.idleSince = time.Now()
	s.byID[a.id] = a
	return true
}

// get returns a workspace's answer. The answer of another workspace is reported as
// not found, so that its existence is not disclosed.
func (s *answers) get(id, workspace string) (*answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byID[id]
	if !ok || a.workspace != workspace {
		return nil, false
	}
	return a, true
}

// touch records that a reader has disconnected or the answer has ended.
func (s *answers) touch(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.idleSince = time.Now()
}

// expire removes answers that ended long ago and cancels repeatable ones that have
// had no reader for detachedTimeout: the entry died and no caller has reconnected.
func (s *answers) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []*answer
	for id, a := range s.byID {
		_, done := a.log.Ended()
		idle := now.Sub(a.idleSince)
		switch {
		case a.log.Readers() > 0:
		case done && idle > s.retention(a):
			delete(s.byID, id)
		case done:
			ended = append(ended, a)
		case !a.mayNotRepeat && idle > s.detachedTimeout:
			a.cancel()
		}
	}
	s.shrink(ended)
}

// retention returns how long an ended answer is retained: that of a key may be
// requested by a second attempt, any other only by a caller whose connection broke
// at the end of the answer.
func (s *answers) retention(a *answer) time.Duration {
	if a.mayNotRepeat {
		return s.protectedRetention
	}
	return s.otherRetention
}

// shrink removes the answers that ended first while all together exceed the memory
// limit. Without it a burst of long answers would exhaust the memory of the
// instance.
func (s *answers) shrink(ended []*answer) {
	slices.SortFunc(ended, func(a, b *answer) int { return b.idleSince.Compare(a.idleSince) })
	total := 0
	for _, a := range ended {
		total += a.log.Size()
		if total > s.memory {
			delete(s.byID, a.id)
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

// protected counts the answers in progress that may not be repeated.
func (s *answers) protected() int {
	n := 0
	s.forEachRunning(func(a *answer) {
		if a.mayNotRepeat {
			n++
		}
	})
	return n
}

// forEachRunning calls f for every answer that has not ended.
func (s *answers) forEachRunning(f func(*answer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.byID {
		if _, ended := a.log.Ended(); !ended {
			f(a)
		}
	}
}
