package caller_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/plumbing/buffers"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
)

func read(method, path, body string, header map[string]string) (caller.Request, error) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return caller.Read(httptest.NewRecorder(), r, caller.Limits{Body: 200, MaxTokens: 100})
}

func TestReadRefuses(t *testing.T) {
	tests := []struct {
		name, path, body, reason string
		header                   map[string]string
		status                   int
	}{
		{name: "not JSON", body: "{", reason: "body-not-json", status: 400},
		{name: "no model", body: `{"prompt":"p"}`, reason: "model-missing", status: 400},
		{name: "no prompt", body: `{"model":"m"}`, reason: "prompt-missing", status: 400},
		{name: "too many tokens", body: `{"model":"m","prompt":"p","max_tokens":101}`, reason: "max-tokens-out-of-bounds", status: 400},
		{name: "negative tokens", body: `{"model":"m","prompt":"p","max_tokens":-1}`, reason: "max-tokens-out-of-bounds", status: 400},
		{name: "large body", body: strings.Repeat("x", 201), reason: "body-too-large", status: 413},
		{name: "priority", body: "{}", header: map[string]string{caller.HeaderPriority: "high"}, reason: "bad-priority", status: 400},
		{name: "deadline", body: "{}", header: map[string]string{caller.HeaderDeadline: "0"}, reason: "bad-deadline", status: 400},
		{name: "long key", body: "{}", header: map[string]string{caller.HeaderIdempotencyKey: strings.Repeat("k", 257)}, reason: "idempotency-key-too-long", status: 400},
		{name: "no service", path: "/services/", reason: "unknown-service", status: 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := tt.path
			if path == "" {
				path = caller.PathCompletions
			}
			_, err := read(http.MethodPost, path, tt.body, tt.header)
			var e *outcome.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Outcome, outcome.NotRun) // nothing has run yet
			is.Equal(e.Reason, tt.reason)
			is.Equal(e.Status, tt.status)
		})
	}
}

func TestReadServicePassesThrough(t *testing.T) {
	is := is.New(t)
	req, err := read(http.MethodPut, "/services/desk/a%2Fb?x=1&y=%20", "body", nil)
	is.NoErr(err)
	is.Equal(req.Service, "desk")
	is.Equal(req.Path, "/a%2Fb?x=1&y=%20") // as the caller escaped it
	is.Equal(string(req.Body), "body")
}

func TestSamePrefixSameHash(t *testing.T) {
	is := is.New(t)
	a, err := read(http.MethodPost, caller.PathChat, `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`, nil)
	is.NoErr(err)
	b, err := read(http.MethodPost, caller.PathChat, `{"stream":false,"messages":[{"role":"user","content":"x"}],"model":"m"}`, nil)
	is.NoErr(err)
	is.Equal(a.Prefix, b.Prefix)
	is.True(a.Stream && !b.Stream)
}

// Guards against a truncated answer that looks complete: the last event of an interrupted
// stream must state the error.
func TestStreamEndsAreExplicit(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	s := caller.NewStream(w, "r1", time.Second)
	is.NoErr(s.Event(1, []byte(`{"a":1}`)))
	is.NoErr(s.Error("r1", &outcome.Error{Outcome: outcome.Failed, Reason: "interrupted", RetryAfter: 2 * time.Second}))
	want := "id: 1\ndata: {\"a\":1}\n\nretry: 2000\nevent: error\ndata: {\"error\":{\"outcome\":\"failed\",\"reason\":\"interrupted\",\"request-id\":\"r1\"}}\n\n"
	is.Equal(w.Body.String(), want)
	is.True(!bytes.Contains(w.Body.Bytes(), []byte("[DONE]")))
	w = httptest.NewRecorder()
	is.NoErr(caller.NewStream(w, "r2", time.Second).Done())
	is.Equal(w.Body.String(), "data: [DONE]\n\n")
}

// Guards against leaking parts of a request to another workspace's caller through the text of
// an internal error.
func TestForeignErrorTextStaysInside(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	caller.WriteError(w, "r1", errors.New("prompt: dear family"))
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(strings.TrimSpace(w.Body.String()), `{"error":{"outcome":"unknown","reason":"internal","request-id":"r1"}}`)
}

func TestRetryAfterRoundsUp(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	caller.WriteError(w, "", &outcome.Error{Outcome: outcome.NotRun, Reason: "queue-full", RetryAfter: 1100 * time.Millisecond})
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "2")
}

func FuzzRead(f *testing.F) {
	f.Add(`{"model":"m","prompt":"p","max_tokens":3}`)
	f.Add(`{"model":"m","messages":[]}`)
	f.Fuzz(func(t *testing.T, body string) {
		req, err := read(http.MethodPost, caller.PathCompletions, body, nil)
		if err == nil && (req.Model == "" || req.Cost == 0 || req.Cost > 400) {
			t.Fatalf("accepted %v with cost %d", req, req.Cost)
		}
	})
}

// Guards against memory for the bodies of all callers together.
func TestBodiesShareTheirRoom(t *testing.T) {
	is := is.New(t)
	pool := buffers.NewPool(64<<10, time.Millisecond)
	post := func(size int) (caller.Request, error) {
		r := httptest.NewRequest(http.MethodPost, caller.PathServices+"desk/pings", strings.NewReader(strings.Repeat("x", size)))
		return caller.Read(httptest.NewRecorder(), r, caller.Limits{Body: 100 << 10, Bodies: pool})
	}
	first, err := post(30 << 10)
	is.NoErr(err)
	is.Equal(len(first.Body), 30<<10)
	_, err = post(40 << 10)
	var refused *outcome.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Outcome, outcome.NotRun)
	is.Equal(refused.Reason, caller.ReasonNoRoom)
	_, err = post(200 << 10)
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status, http.StatusRequestEntityTooLarge)
	first.Release()
	is.Equal(pool.Held(), int64(0))
	again, err := post(30 << 10)
	is.NoErr(err)
	again.Release()
	again.Release()
	is.Equal(pool.Held(), int64(0))
}
