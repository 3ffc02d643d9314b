package client

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"verbenashift/core/request/outcome"
	"verbenashift/standin/answer"
	"verbenashift/standin/judge"
)

func TestReadWorkload(t *testing.T) {
	for _, c := range []struct {
		name, file string
		// bad is the number of the invalid line; 0 means none.
		bad int
	}{
		{"valid", `{"workspace":"w","model":"m","prompt":"p","more":1}` + "\n\n" + `{"workspace":"w","service":"s","body":{"a":1}}`, 0},
		{"not JSON", "\n" + `{"workspace":"w","model":"m"}` + "\nhello", 3},
		{"cut", `{"workspace":"w","model":"m"`, 1},
		{"wrong type", `{"workspace":"w","model":"m","may-not-repeat":"yes"}`, 1},
		{"no workspace", `{"model":"m"}`, 1},
		{"no target", `{"workspace":"w"}`, 1},
		{"two targets", `{"workspace":"w","model":"m","service":"s"}`, 1},
		{"negative length", `{"workspace":"w","model":"m","max-tokens":-1}`, 1},
		{"relative path", `{"workspace":"w","service":"s","path":"jobs"}`, 1},
		{"call of a model", `{"workspace":"w","model":"m","method":"PUT"}`, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			lines, err := ReadWorkload(strings.NewReader(c.file))
			var bad *LineError
			is.Equal(errors.As(err, &bad), c.bad > 0)
			if c.bad > 0 {
				is.Equal(bad.Number, c.bad)
				return
			}
			is.Equal([]int{lines[0].Number, lines[1].Number}, []int{1, 3})
		})
	}
}

func TestBuiltIn(t *testing.T) {
	for _, deployment := range []string{Lightbox, Lakeshore} {
		is := is.New(t)
		lines, err := BuiltIn(deployment, Names{Workspaces: []string{"a", "b"}, Nonce: "n"})
		is.NoErr(err)
		is.True(len(lines) >= 190 && len(lines) <= 220)
		keys, repeated := make(map[string]bool), 0
		for _, l := range lines {
			is.NoErr(l.check())
			is.True(newCall(&l).checked) // every answer can be predicted
			is.Equal(l.MayNotRepeat, l.IdempotencyKey != "")
			if keys[l.IdempotencyKey] {
				repeated++
			}
			keys[l.IdempotencyKey] = l.IdempotencyKey != ""
		}
		is.True(repeated >= 5)
	}
}

// script answers requests in order, one step per request, at any entry.
type script struct {
	mu       sync.Mutex
	steps    []func(w http.ResponseWriter)
	received []string
}

// ServeHTTP implements http.Handler.
func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("Idempotency-Key"))
	step := s.steps[0]
	s.steps = s.steps[1:]
	step(w)
}

func (s *script) requests() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.received, ", ")
}

// stream sends tokens [from, to) as events, followed by end, and aborts the
// connection if end is empty.
func stream(from, to int, end string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", eventStream)
		w.Header().Set(requestIDHeader, "r1")
		for i := from; i < to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"%s\"}]}\n\n", i+1, answer.Token("m", "p", i))
		}
		_, _ = fmt.Fprint(w, end)
		if end == "" {
			cut(w)
		}
	}
}

func cut(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func drop(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func refuse(status int, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

const (
	done     = "data: [DONE]\n\n"
	handover = "event: handover\ndata: {\"request-id\":\"r2\"}\n\n"
	failed   = "event: error\ndata: {\"error\":{\"outcome\":\"failed\",\"reason\":\"x\"}}\n\n"
	notRun   = `{"error":{"outcome":"not-run","reason":"queue-full","request-id":"r0"}}`
)

// Every verdict relies on the client's record. When entries die, hand streams
// over or refuse, the record must distinguish a complete answer from one with a
// gap or a repeated part, and the client must not repeat a request that may not
// be repeated.
func TestPlayer(t *testing.T) {
	type steps = []func(http.ResponseWriter)
	model := Line{Workspace: "w", Model: "m", Prompt: "p", MaxTokens: 4}
	once, keyed, job := model, model, Line{Workspace: "w", Service: "s", Class: "job", Prompt: "p"}
	once.MayNotRepeat = true
	keyed.MayNotRepeat, keyed.IdempotencyKey = true, "k"
	for _, c := range []struct {
		name     string
		line     Line
		steps    steps
		outcome  outcome.Outcome
		answer   judge.Answer
		received string
	}{
		{"whole", once, steps{stream(0, 4, done)}, outcome.Complete, judge.Exact, "POST /v1/completions "},
		{"ended early", once, steps{stream(0, 3, done)}, outcome.Complete, judge.Truncated, "POST /v1/completions "},
		{"error after the head", once, steps{stream(0, 3, failed)}, outcome.Failed, judge.Truncated, "POST /v1/completions "},
		{"cut and re-attached", once, steps{stream(0, 2, ""), stream(2, 4, done)}, outcome.Complete, judge.Exact, "POST /v1/completions , GET /v1/requests/r1?after=2 "},
		{"re-attached with a repeat", once, steps{stream(0, 2, ""), stream(1, 4, done)}, outcome.Complete, judge.Foreign, "POST /v1/completions , GET /v1/requests/r1?after=2 "},
		{"re-attached with a gap", once, steps{stream(0, 2, ""), stream(3, 4, done)}, outcome.Complete, judge.Foreign, "POST /v1/completions , GET /v1/requests/r1?after=2 "},
		{"handed over", once, steps{stream(0, 1, handover), stream(1, 4, done)}, outcome.Complete, judge.Exact, "POST /v1/completions , GET /v1/requests/r2?after=1 "},
		{"refused, then run", once, steps{refuse(429, notRun), stream(0, 4, done)}, outcome.Complete, judge.Exact, "POST /v1/completions , POST /v1/completions "},
		{"refused at every attempt", once, steps{refuse(429, notRun), refuse(429, notRun), refuse(503, notRun)}, outcome.NotRun, judge.Missing, "POST /v1/completions , POST /v1/completions , POST /v1/completions "},
		{"lost without a key", once, steps{drop}, outcome.None, judge.Missing, "POST /v1/completions "},
		{"lost with a key", keyed, steps{drop, stream(0, 4, done)}, outcome.Complete, judge.Exact, "POST /v1/completions k, POST /v1/completions k"},
		{"service", job, steps{refuse(202, `{"kind":"job","digest":"bc703b01b9ac715e3534e76148da67561e3c57e28a12552676de7f3eb0b10db5"}`+"\n")}, outcome.Complete, judge.Exact, "POST /services/s/jobs "},
		{"service's own error", job, steps{refuse(500, `{"error":"x"}`)}, outcome.Failed, judge.Missing, "POST /services/s/jobs "},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &script{steps: c.steps}
			a, b := httptest.NewServer(s), httptest.NewServer(s)
			defer a.Close()
			defer b.Close()
			p := &Player{
				Entries: []string{a.URL, b.URL}, Tokens: map[string]string{"w": "t"},
				Attempts: 3, Timeout: time.Minute, Concurrency: 1,
			}
			r := p.Play(t.Context(), []Line{c.line})[0]
			is.Equal(r.Outcome, c.outcome)
			is.Equal(r.Answer, c.answer)
			is.Equal(s.requests(), c.received)
			for i := 1; i < len(r.Attempts); i++ {
				is.True(r.Attempts[i].Entry != r.Attempts[i-1].Entry) // the next attempt is at another entry
			}
		})
	}
}

// A caller that gets no answer from one entry retries at another entry with the
// same key. The workload must do so too, because otherwise the judge's check for
// doubled runs has no evidence.
func TestRepeatedKeyGoesToAnotherEntry(t *testing.T) {
	is := is.New(t)
	p := &Player{Entries: []string{"a", "b", "c"}, firstEntry: make(map[string]int)}
	l := &Line{Workspace: "w", IdempotencyKey: "k"}
	first := p.entry(l)
	for range 2 {
		p.entry(&Line{Workspace: "w"})
	}
	is.True(p.entry(l)%3 != first%3)
}
