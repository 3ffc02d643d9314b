package main

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"verbenashift/core/draft"
	"verbenashift/core/outcome"
	"verbenashift/core/target"
)

// A target refuses, breaks off or cannot be reached. "Not run" is said only
// where it surely did not run: a caller books again on that word.
func TestFailureIsTold(t *testing.T) {
	for _, tt := range []struct {
		err  error
		want outcome.Outcome
	}{
		{&target.NotSentError{Cause: errors.New("refused")}, outcome.NotRun},
		{&target.BrokenError{Cause: errors.New("reset")}, outcome.Unknown},
		{errors.New("anything else"), outcome.Unknown},
		{&target.RefusedError{Status: 503}, outcome.NotRun},
		{&target.RefusedError{Status: 500}, outcome.Failed},
		{&target.RefusedError{Status: 400}, outcome.Complete}, // the target's own answer
	} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			is := is.New(t)
			r := &run{answer: &answer{log: draft.New(100)}}
			is.Equal(r.failure(t.Context(), tt.err).Outcome, tt.want)
		})
	}
}
