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

// recordingSink is a sink that records what the caller receives.
type recordingSink struct {
	sink
	text string
}

func (s *recordingSink) head(int, []*wire.Header) {}

func (s *recordingSink) data(_ uint64, p []byte) error {
	s.text += string(p)
	return nil
}

// A stream is resumed at another agent, which repeats frames that the caller has
// and later skips one. The caller must get no frame twice, and an answer with a
// gap, or a truncated one, must never look complete.
func TestFramesReachCallerOnceAndWhole(t *testing.T) {
	is := is.New(t)
	s := &recordingSink{}
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

// A target crashes when part of a long answer of a service has been sent. The
// caller must see a broken connection: a part with a regular end would be taken
// for the complete answer.
func TestPartOfAnswerIsAborted(t *testing.T) {
	is := is.New(t)
	s := newBufferedSink(httptest.NewRecorder(), "r1", 2)
	is.NoErr(s.data(1, []byte("abc"))) // over the buffer
	is.True(!s.restart())
	defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
	s.finish(&outcome.Error{Outcome: outcome.Failed})
	t.Fatal("the partial answer was ended regularly")
}

// An entry is suspended between the grant of a key and its submission, and resumes
// when the grant is no longer remembered. The key may have run elsewhere since.
func TestOldGrantIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := &flow{keyState: keyState{callerKey: true, claimedAt: time.Now().Add(-booking.DefaultGrantLife - time.Second)}}
	is.True(f.grantExpired())
	f.claimedAt = time.Now()
	is.True(!f.grantExpired())
}

// An entry without a configuration refuses a request with a key. The caller's
// earlier attempt may have run; after "not run" the caller could send the work
// again under another key.
func TestRefusalOfKeyIsUnknown(t *testing.T) {
	is := is.New(t)
	refusal := &outcome.Error{Outcome: outcome.NotRun, Reason: "not-ready"}
	h := http.Header{}
	is.Equal(unknownForKey(refusal, h).Outcome, outcome.NotRun)
	h.Set(caller.HeaderIdempotencyKey, "k1")
	is.Equal(unknownForKey(refusal, h).Outcome, outcome.Unknown)
	is.Equal(unknownForKey(errUnauthorized, h), errUnauthorized)
}

// A caller that waited for an answer was handed over and reads it at another
// entry. It must get a document as the target produced it, and a stream must stay
// a stream.
func TestResumedAnswerKeepsItsForm(t *testing.T) {
	for form, want := range map[string]string{
		"application/json":  "{\"a\":\n1}",
		"text/event-stream": "id: 1\ndata: x\n\ndata: [DONE]\n\n",
	} {
		is := is.New(t)
		w := httptest.NewRecorder()
		s := &deferredSink{
			stream:   func() sink { return newStreamSink(w, "r1", time.Second, time.Second) },
			document: func() sink { return newBufferedSink(w, "r1", 100) },
		}
		s.sendKeepAlive() // the form isn't known yet, so that nothing may be sent
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

// A caller sends part of its body and then nothing. A few such callers would use up
// their workspace's capacity; each must be refused after a timeout, with a reason.
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
