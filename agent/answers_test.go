package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
)

// endedAnswer returns an answer with the given size and end time.
func endedAnswer(id string, mayNotRepeat bool, bytes int, ended time.Time) *answer {
	log := draft.New(1 << 20)
	log.Head(200, nil)
	_ = log.Append(make([]byte, bytes))
	log.End(draft.Ending{Outcome: outcome.Complete})
	return &answer{id: id, workspace: "w", mayNotRepeat: mayNotRepeat, log: log, cancel: func() {}, idleSince: ended}
}

// A burst leaves thousands of long ended answers. They must not exhaust the
// instance's memory, and the answer of a request that may not be repeated must be
// retained longest, because its caller may request it again.
func TestEndedAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := newAnswers(Settings{Keep: time.Minute, KeepRead: 10 * time.Second, AnswerMemory: 2500})
	for _, a := range []*answer{
		endedAnswer("job", true, 1000, now.Add(-30*time.Second)),
		endedAnswer("old-job", true, 1000, now.Add(-2*time.Minute)),
		endedAnswer("draft", false, 1000, now.Add(-30*time.Second)),
		endedAnswer("new-1", true, 1000, now.Add(-2*time.Second)),
		endedAnswer("new-2", true, 1000, now.Add(-time.Second)),
	} {
		s.byID[a.id] = a
	}
	s.expire(now)
	is.Equal(len(s.byID), 2)
	for _, id := range []string{"new-1", "new-2"} {
		_, ok := s.get(id, "w")
		is.True(ok)
	}
}

// A workspace requests the answer of another workspace by its request id: it must
// look exactly like an answer that does not exist.
func TestForeignAnswerIsNotFound(t *testing.T) {
	is := is.New(t)
	s := newAnswers(Settings{})
	s.put(endedAnswer("r", true, 1, time.Now()))
	_, ok := s.get("r", "rival")
	is.True(!ok)
}

// A resumed stream's new attempt replaces the old one, whose late frames must not
// reach the caller; a late copy of the old attempt must replace nothing.
func TestNewerAttemptReplaces(t *testing.T) {
	is := is.New(t)
	s := newAnswers(Settings{})
	stopped := 0
	first, second := endedAnswer("r", false, 1, time.Now()), endedAnswer("r", false, 1, time.Now())
	first.attempt, second.attempt = 1, 2
	first.cancel = func() { stopped++ }
	is.True(s.put(first))
	is.True(s.put(second))
	is.True(!s.put(first))
	is.Equal(stopped, 1)
}
