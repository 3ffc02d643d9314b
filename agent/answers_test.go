package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
)

// held returns an answer of some bytes that ended at a time.
func held(id string, mayNotRepeat bool, bytes int, ended time.Time) *answer {
	log := draft.New(1 << 20)
	log.Head(200, nil)
	_ = log.Append(make([]byte, bytes))
	log.End(draft.Ending{Outcome: outcome.Complete})
	return &answer{id: id, workspace: "w", mayNotRepeat: mayNotRepeat, log: log, cancel: func() {}, idle: ended}
}

// A closing leaves thousands of long answers behind. They must not take the
// instance's memory, and the answer of a billed job must stay longest, since
// its caller may ask for it again.
func TestEndedAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newAnswers(Settings{Keep: time.Minute, KeepRead: 10 * time.Second, AnswerMemory: 2500})
	for _, a := range []*answer{
		held("job", true, 1000, now.Add(-30*time.Second)),
		held("old-job", true, 1000, now.Add(-2*time.Minute)),
		held("draft", false, 1000, now.Add(-30*time.Second)),
		held("new-1", true, 1000, now.Add(-2*time.Second)),
		held("new-2", true, 1000, now.Add(-time.Second)),
	} {
		s.byID[a.id] = a
	}
	s.sweep(now)
	is.Equal(len(s.byID), 2)
	for _, id := range []string{"new-1", "new-2"} {
		_, ok := s.get(id, "w")
		is.True(ok)
	}
}

// One funeral home asks for the answer of another by its request id: it must
// look exactly like an answer that does not exist.
func TestForeignAnswerIsNotFound(t *testing.T) {
	is := is.New(t)
	s := newAnswers(Settings{})
	s.put(held("r", true, 1, time.Now()))
	_, ok := s.get("r", "rival")
	is.True(!ok)
}

// A resumed stream's new attempt replaces the old one, whose late pieces must
// not reach the caller; a late copy of the old attempt replaces nothing.
func TestNewerAttemptReplaces(t *testing.T) {
	is := is.New(t)
	s := newAnswers(Settings{})
	stopped := 0
	first, second := held("r", false, 1, time.Now()), held("r", false, 1, time.Now())
	first.attempt, second.attempt = 1, 2
	first.cancel = func() { stopped++ }
	is.True(s.put(first))
	is.True(s.put(second))
	is.True(!s.put(first))
	is.Equal(stopped, 1)
}
