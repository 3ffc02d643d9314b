package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"verbenashift/core/peer/wire"
	"verbenashift/core/request/booking"
	"verbenashift/core/request/caller"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/relay"
)

// taken is a sink that keeps what the caller is given.
type taken struct {
	sink
	text string
}

func (s *taken) head(int, []*wire.Header) {}

func (s *taken) data(_ uint64, p []byte) error {
	s.text += string(p)
	return nil
}

// A stream is read on at another place, from before the caller's last piece,
// and later with a piece missing. The caller must get no piece twice, and an
// answer with a hole, or one cut short, must never look whole.
func TestFramesReachCallerOnceAndWhole(t *testing.T) {
	is := is.New(t)
	s := &taken{}
	f := &flow{entry: &Entry{metrics: processMetrics()}, sink: s}
	data := func(n uint64, text string) *wire.Frame {
		return &wire.Frame{Kind: wire.FrameKind_FRAME_KIND_DATA, Sequence: n, Data: []byte(text)}
	}
	for _, m := range []*wire.Frame{data(1, "a"), data(2, "b"), data(1, "a"), data(2, "b"), data(3, "c")} {
		done, _ := f.frame(m)
		is.True(!done)
	}
	done, ev := f.frame(data(5, "e"))
	is.True(done)
	is.Equal(ev.Kind, relay.Disconnected)
	is.Equal(s.text, "abc")
	end := &wire.Frame{Kind: wire.FrameKind_FRAME_KIND_END, Outcome: wire.Outcome_OUTCOME_COMPLETE, Sequence: 5}
	is.Equal(endEvent(end, 3).Kind, relay.Disconnected)
	end.Sequence = 4
	is.Equal(endEvent(end, 3).Kind, relay.Ended)
}

// A long answer of a service has partly left when its target dies. The caller
// must see a broken connection: a part that ends well would be taken for the
// whole.
func TestPartOfAnswerIsAborted(t *testing.T) {
	is := is.New(t)
	s := newWholeSink(httptest.NewRecorder(), "r1", 2)
	is.NoErr(s.data(1, []byte("abc"))) // over the buffer
	is.True(!s.restart())
	defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
	s.finish(&outcome.Error{Outcome: outcome.Failed})
	t.Fatal("the answer ended well")
}

// An entry is frozen between the grant of a key and its submission, and wakes
// when everybody has forgotten the grant. The key may have run elsewhere since.
func TestOldGrantIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := &flow{booked: booked{callerKey: true, claimedAt: time.Now().Add(-booking.DefaultGrantLife - time.Second)}}
	is.True(f.expired())
	f.claimedAt = time.Now()
	is.True(!f.expired())
}

// An entry that has no configuration yet refuses a request with a key. Its
// caller's earlier try may have run; "not run" would have it book again under
// another key.
func TestRefusalOfKeyIsUnknown(t *testing.T) {
	is := is.New(t)
	refusal := &outcome.Error{Outcome: outcome.NotRun, Reason: "not-ready"}
	h := http.Header{}
	is.Equal(unsure(refusal, h).Outcome, outcome.NotRun)
	h.Set(caller.HeaderIdempotencyKey, "k1")
	is.Equal(unsure(refusal, h).Outcome, outcome.Unknown)
	is.Equal(unsure(errUnauthorized, h), errUnauthorized)
}

// A caller that waited for a whole answer was handed over and reads it at
// another entry. It must get the document as the target made it, and a stream
// must stay a stream.
func TestReadAgainKeepsItsForm(t *testing.T) {
	for form, want := range map[string]string{
		"application/json":  "{\"a\":\n1}",
		"text/event-stream": "id: 1\ndata: x\n\ndata: [DONE]\n\n",
	} {
		is := is.New(t)
		w := httptest.NewRecorder()
		s := &lateSink{
			stream: func() sink { return newStreamSink(w, "r1", time.Second, time.Second) },
			whole:  func() sink { return newWholeSink(w, "r1", 100) },
		}
		s.alive() // nothing is known yet, and nothing may be said
		s.head(http.StatusOK, []*wire.Header{{Name: "content-type", Values: []string{form}}})
		piece := "x"
		if form == "application/json" {
			piece = want
		}
		is.NoErr(s.data(1, []byte(piece)))
		s.finish(nil)
		is.Equal(w.Body.String(), want)
		is.Equal(w.Header().Get("Content-Type"), form)
	}
}

// A caller sends a part of its body and falls silent. A few such callers would
// hold every place of their workspace; each is refused after a while, with a
// word that says why.
func TestSlowBodyIsRefused(t *testing.T) {
	is := is.New(t)
	e := &Entry{cfg: Settings{SlowCaller: 20 * time.Millisecond, Body: 100}}
	got := make(chan error, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := e.read(w, r)
		got <- err
	}))
	defer srv.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{"))
	is.NoErr(err)
	var refused *outcome.Error
	is.True(errors.As(<-got, &refused))
	is.Equal(refused.Reason, "body-too-slow")
	is.Equal(refused.Outcome, outcome.NotRun)
}
