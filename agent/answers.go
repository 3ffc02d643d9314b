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
	// keep is how long an ended answer of a key is kept, keepRead how long any
	// other is.
	keep     time.Duration
	keepRead time.Duration
	// detached is how long a repeatable answer goes on without a reader.
	detached time.Duration
	// memory bounds the ended answers, in bytes.
	memory int

	mu   sync.Mutex
	byID map[string]*answer
}

func newAnswers(cfg Settings) *answers {
	return &answers{
		keep: cfg.Keep, keepRead: cfg.KeepRead, detached: cfg.Detached, memory: cfg.AnswerMemory,
		byID: make(map[string]*answer),
	}
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
	var ended []*answer
	for id, a := range s.byID {
		_, done := a.log.Ended()
		idle := now.Sub(a.idle)
		switch {
		case a.log.Readers() > 0:
		case done && idle > s.life(a):
			delete(s.byID, id)
		case done:
			ended = append(ended, a)
		case !a.mayNotRepeat && idle > s.detached:
			a.cancel()
		}
	}
	s.shrink(ended)
}

// life is how long an ended answer is kept: that of a key may be asked for by
// a second try, any other only by a caller whose connection broke at its end.
func (s *answers) life(a *answer) time.Duration {
	if a.mayNotRepeat {
		return s.keep
	}
	return s.keepRead
}

// shrink forgets the longest ended answers while all together take more memory
// than they may. Without it a burst of long answers would take the memory of
// the instance.
func (s *answers) shrink(ended []*answer) {
	slices.SortFunc(ended, func(a, b *answer) int { return b.idle.Compare(a.idle) })
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
	s.each(func(a *answer) {
		if a.mayNotRepeat {
			n++
		}
	})
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
