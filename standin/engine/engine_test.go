package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/standin/answer"
	"verbenashift/standin/ledger"
)

const step = 10 * time.Millisecond

// testEngine is an engine in a synctest bubble.
type testEngine struct {
	*Engine
	handler http.Handler
}

// inBubble runs f in a synctest bubble, with an engine whose steps take fake time.
func inBubble(t *testing.T, cfg Config, f func(is *is.I, b *testEngine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l, _ := ledger.Open("")
		cfg.Step, cfg.Keep = step, time.Second
		b := &testEngine{Engine: New(cfg, l)}
		b.handler = b.Handler()
		ctx, stop := context.WithCancel(t.Context())
		go b.Run(ctx)
		f(is.New(t), b)
		stop()
		synctest.Wait()
	})
}

// post sends a completion request. It returns the status, the answer's text
// and whether the stream ended with the [DONE] marker.
func (b *testEngine) post(ctx context.Context, id, body string) (status int, text string, complete bool) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, completionsPath, strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // a broken generation aborts the handler
		b.handler.ServeHTTP(w, r)
	}()
	for data := range strings.SplitSeq(w.Body.String(), "\n\n") {
		var piece struct {
			Choices []struct{ Text string }
		}
		data = strings.TrimPrefix(data, "data: ")
		complete = complete || data == "[DONE]"
		if json.Unmarshal([]byte(data), &piece) == nil && len(piece.Choices) > 0 {
			text += piece.Choices[0].Text
		}
	}
	return w.Code, text, complete
}

func (b *testEngine) do(method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func prompt(tokens int, more string) string {
	return fmt.Sprintf(`{"model":"m","prompt":"p","stream":true,"max_tokens":%d%s}`, tokens, more)
}

// A stalled step must delay all streams of the engine. A fake that delayed only
// one stream would hide a straggling rank.
func TestStallHoldsEveryStream(t *testing.T) {
	inBubble(t, Config{Slots: 3}, func(is *is.I, b *testEngine) {
		began := time.Now()
		b.do(http.MethodPost, "/faults", `{"stall-ms":100}`)
		var all sync.WaitGroup
		var took [3]time.Duration
		for i := range took {
			all.Go(func() {
				_, text, complete := b.post(context.Background(), fmt.Sprint(i), prompt(5, ""))
				took[i] = time.Since(began)
				is.True(complete)
				is.Equal(text, answer.Text("m", "p", 5))
			})
		}
		all.Wait()
		for _, d := range took {
			is.True(d >= 5*step+100*time.Millisecond && d <= 6*step+100*time.Millisecond)
		}
	})
}

func TestWaitingRunByPriority(t *testing.T) {
	inBubble(t, Config{Slots: 1}, func(is *is.I, b *testEngine) {
		var all sync.WaitGroup
		for _, r := range []struct{ id, more string }{{"first", ""}, {"later", `,"priority":2`}, {"urgent", `,"priority":0`}} {
			all.Go(func() { b.post(context.Background(), r.id, prompt(2, r.more)) })
			synctest.Wait()
		}
		all.Wait()
		var order []string
		for _, run := range b.ledger.Report().Runs {
			order = append(order, run.RequestID)
		}
		is.Equal(order, []string{"first", "urgent", "later"})
	})
}

// Guards against losing a generation when its connection breaks midway: it
// continues, a second connection gets exactly the remaining tokens, and the engine
// drops it after Config.Keep.
func TestGenerationOutlivesItsConnection(t *testing.T) {
	inBubble(t, Config{Slots: 1}, func(is *is.I, b *testEngine) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*step+step/2)
		defer cancel()
		_, text, complete := b.post(ctx, "r", prompt(6, ""))
		is.True(!complete)
		is.Equal(text, answer.Text("m", "p", 3))
		again := `{"stream":true,"resume":{"request-id":"r","from":3}}`
		_, rest, complete := b.post(context.Background(), "", again)
		is.True(complete)
		is.Equal(text+rest, answer.Text("m", "p", 6))
		is.Equal(len(b.ledger.Report().Runs), 1) // re-attaching is no second run
		time.Sleep(2 * time.Second)
		status, _, _ := b.post(context.Background(), "", again)
		is.Equal(status, http.StatusNotFound)
	})
}

func TestResumeByText(t *testing.T) {
	inBubble(t, Config{Slots: 1}, func(is *is.I, b *testEngine) {
		had := answer.Text("m", "p", 2)
		_, rest, complete := b.post(context.Background(), "r", prompt(5, `,"resume":{"tokens":2,"text":"`+had+`"}`))
		is.True(complete)
		is.Equal(had+rest, answer.Text("m", "p", 5))
		run := b.ledger.Report().Runs[0]
		is.Equal([]int{run.Resumed, run.Tokens}, []int{2, 3})
		for _, wrong := range []string{`{"tokens":2,"text":"other "}`, `{"tokens":2}`, `{"tokens":9,"text":"x"}`} {
			status, _, _ := b.post(context.Background(), "r", prompt(5, `,"resume":`+wrong))
			is.Equal(status, http.StatusBadRequest)
		}
	})
}

// A caller disconnects. A waiting request must never run nor appear in the
// ledger; a running one is stopped and the ledger shows the tokens it produced.
func TestCancel(t *testing.T) {
	inBubble(t, Config{Slots: 1}, func(is *is.I, b *testEngine) {
		var all sync.WaitGroup
		for _, id := range []string{"running", "waiting"} {
			all.Go(func() {
				_, _, complete := b.post(context.Background(), id, prompt(9, ""))
				is.True(!complete)
			})
			synctest.Wait()
		}
		time.Sleep(2*step + step/2)
		for _, id := range []string{"waiting", "running"} {
			is.Equal(strings.TrimSpace(b.do(http.MethodDelete, "/v1/requests/"+id, "").Body.String()), `{"state":"`+id+`"}`)
		}
		all.Wait()
		time.Sleep(20 * step)
		runs := b.ledger.Report().Runs
		is.Equal(len(runs), 1)
		is.Equal(runs[0].Result, ledger.Result{Tokens: 2, Cancelled: true})
		is.Equal(b.do(http.MethodDelete, "/v1/requests/running", "").Code, http.StatusNotFound)
	})
}

func TestFaults(t *testing.T) {
	inBubble(t, Config{Slots: 1}, func(is *is.I, b *testEngine) {
		b.do(http.MethodPost, "/faults", `{"break-after-tokens":2,"count":1}`)
		_, text, complete := b.post(context.Background(), "r", prompt(5, ""))
		is.True(!complete)
		is.Equal(text, answer.Text("m", "p", 2))
		is.True(b.ledger.Report().Runs[0].Broken)
		is.Equal(b.do(http.MethodDelete, "/v1/requests/r", "").Code, http.StatusNotFound)

		b.do(http.MethodPost, "/faults", `{"refuse":true}`)
		status, _, _ := b.post(context.Background(), "s", prompt(5, ""))
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(len(b.ledger.Report().Runs), 1) // a refusal is no run
		is.Equal(b.do(http.MethodPost, "/faults", `{"refusee":true}`).Code, http.StatusBadRequest)
	})
}

func TestLoadLags(t *testing.T) {
	inBubble(t, Config{Slots: 1, LoadLag: 5 * step}, func(is *is.I, b *testEngine) {
		go b.post(context.Background(), "a", prompt(100, ""))
		synctest.Wait()
		go b.post(context.Background(), "b", prompt(1, ""))
		time.Sleep(3 * step)
		is.Equal(b.delayedLoad().Running, 0) // not seen yet
		time.Sleep(4 * step)
		load := b.delayedLoad()
		is.Equal([]int{load.Running, load.Waiting}, []int{1, 1})
		is.Equal(load.TokensPerSecond, 100.0)
		b.do(http.MethodPost, "/faults", `{"report-load":3}`)
		is.Equal(b.delayedLoad().Running, 3)
		time.Sleep(200 * step)
	})
}

// A coordinator resumes after a pause and sends an order with an old fencing
// token. An engine that honours fencing rejects it and returns its own token, one
// that ignores fencing applies it, and one that checks the bearer token rejects an
// unknown sender.
func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name   string
		cfg    Config
		token  string
		status int
		body   string
	}{
		{"honours", Config{HonourFencing: true}, "", 409, `{"error":"stale-fence","fence":4}`},
		{"ignores", Config{}, "", 200, `{"fence":3,"sequence":1,"kind":"set-map"}`},
		{"checks", Config{OrderToken: "t"}, "Bearer x", 401, `{"error":"unauthorized"}`},
		{"admits", Config{OrderToken: "t"}, "Bearer t", 200, `{"fence":3,"sequence":1,"kind":"set-map"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, _ := ledger.Open("")
			e := New(c.cfg, l)
			e.lastOrder = Order{Fence: 4, Sequence: 2, Kind: "drain"}
			r := httptest.NewRequest(http.MethodPost, "/v1/orders", strings.NewReader(`{"fence":3,"sequence":1,"kind":"set-map"}`))
			r.Header.Set("Authorization", c.token)
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
			is.Equal(strings.TrimSpace(w.Body.String()), c.body)
			is.Equal(len(l.Report().Orders) == 1, c.status == 200)
		})
	}
}
