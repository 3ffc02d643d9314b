package main

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
)

// Guards against telling a caller that a request with a key has not run when an earlier attempt may have:
// without its body the key cannot be looked up.
func TestBodyWithoutRoom(t *testing.T) {
	full := &outcome.Error{Outcome: outcome.NotRun, Reason: caller.ReasonNoRoom, Status: http.StatusServiceUnavailable}
	large := &outcome.Error{Outcome: outcome.NotRun, Reason: "body-too-large", Status: http.StatusRequestEntityTooLarge}
	key := http.Header{}
	key.Set(caller.HeaderIdempotencyKey, "k")
	for name, tt := range map[string]struct {
		err    *outcome.Error
		header http.Header
		want   outcome.Outcome
	}{
		"no key":          {full, http.Header{}, outcome.NotRun},
		"key":             {full, key, outcome.Unknown},
		"key, other than": {large, key, outcome.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := bodyRefusal(tt.err, tt.header).(*outcome.Error)
			is.True(ok)
			is.Equal(got.Outcome, tt.want)
		})
	}
}
