package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"verbenashift/core/peer/wire"
	"verbenashift/core/peer/wire/wireconnect"
)

// answer returns a complete answer of several frames.
func answer() []*wire.Frame {
	return []*wire.Frame{
		{Kind: wire.FrameKind_FRAME_KIND_HEAD, Status: 200, Headers: []*wire.Header{{Name: "Content-Type", Values: []string{"text/event-stream"}}}},
		{Sequence: 1, Attempt: 2, Kind: wire.FrameKind_FRAME_KIND_DATA, Data: []byte("a long first piece")},
		{Sequence: 2, Attempt: 2, Kind: wire.FrameKind_FRAME_KIND_DATA, Data: []byte(strings.Repeat("x", 3*readBufferSize))},
		{Sequence: 3, Attempt: 2, Kind: wire.FrameKind_FRAME_KIND_DATA},
		{Sequence: 4, Kind: wire.FrameKind_FRAME_KIND_END, Outcome: wire.Outcome_OUTCOME_COMPLETE, Load: &wire.Load{Queued: 3}},
	}
}

// libraryAgent answers with the library's own handler.
type libraryAgent struct {
	wireconnect.UnimplementedAgentServiceHandler
	err error
}

func (a *libraryAgent) Submit(_ context.Context, _ *connect.Request[wire.SubmitRequest], s *connect.ServerStream[wire.Frame]) error {
	return a.serve(s)
}

func (a *libraryAgent) serve(s interface{ Send(m *wire.Frame) error }) error {
	for _, f := range answer() {
		if err := s.Send(f); err != nil {
			return err
		}
	}
	return a.err
}

// start serves h and returns its address.
func start(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, nil)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// handlers returns the two handlers for the same answer.
func handlers(err error) map[string]http.Handler {
	a := &libraryAgent{err: err}
	_, library := wireconnect.NewAgentServiceHandler(a)
	own := HandleFrames(func(_ context.Context, _ *wire.SubmitRequest, s *FrameWriter) error { return a.serve(s) })
	return map[string]http.Handler{"library": library, "own": own}
}

func TestFramesSpeakConnect(t *testing.T) {
	for name, h := range handlers(nil) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := NewDialer(DialConfig{})
			defer d.Close()
			addr := start(t, h)
			own, err := d.Submit(t.Context(), addr, &wire.SubmitRequest{RequestId: "r"})
			is.NoErr(err)
			defer func() { _ = own.Close() }()
			library, err := wireconnect.NewAgentServiceClient(d.streams, "http://"+addr).Submit(t.Context(), connect.NewRequest(&wire.SubmitRequest{RequestId: "r"}))
			is.NoErr(err)
			defer func() { _ = library.Close() }()
			var m wire.Frame
			for _, want := range answer() {
				is.NoErr(own.Receive(&m))
				is.True(proto.Equal(&m, want))
				is.True(library.Receive())
				is.True(proto.Equal(library.Msg(), want))
			}
			is.Equal(own.Receive(&m), io.EOF)
			is.True(!library.Receive())
			is.NoErr(library.Err())
		})
	}
}

// Guards against an error of the agent in the middle of an answer that looks like the end
// of the stream: the caller would take a partial answer for a complete one.
func TestErrorIsNoEnd(t *testing.T) {
	for name, h := range handlers(errors.New("target lost")) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := NewDialer(DialConfig{})
			defer d.Close()
			s, err := d.Submit(t.Context(), start(t, h), &wire.SubmitRequest{})
			is.NoErr(err)
			defer func() { _ = s.Close() }()
			var m wire.Frame
			for range answer() {
				is.NoErr(s.Receive(&m))
			}
			err = s.Receive(&m)
			is.True(err != nil && !errors.Is(err, io.EOF))
			is.True(strings.Contains(err.Error(), "target lost"))
		})
	}
}

// Guards against a closed connection that is taken for the end of a stream. If an agent is
// killed while it streams, the connection closes after a complete frame or within one, and
// the caller would take a truncated answer for a complete one.
func TestCutStreamIsNoEnd(t *testing.T) {
	whole, err := appendMessage(nil, answer()[1])
	if err != nil {
		t.Fatal(err)
	}
	for _, cut := range []int{0, 3, prefixSize, len(whole) - 1, len(whole)} {
		is := is.New(t)
		s := &FrameReader{body: io.NopCloser(strings.NewReader(string(whole[:cut]))), buf: make([]byte, 8)}
		var m wire.Frame
		err := s.Receive(&m)
		if cut == len(whole) {
			is.NoErr(err)
			err = s.Receive(&m)
		}
		is.Equal(err, io.ErrUnexpectedEOF)
	}
}

func TestFrameTooLarge(t *testing.T) {
	is := is.New(t)
	s := &FrameReader{body: io.NopCloser(strings.NewReader("\x00\xff\xff\xff\xff")), buf: make([]byte, 8)}
	is.True(s.Receive(&wire.Frame{}) != nil)
	is.Equal(len(s.buf), 8) // nothing was allocated
}

func TestDataFramesDoNotAllocate(t *testing.T) {
	is := is.New(t)
	b, err := proto.Marshal(answer()[1])
	is.NoErr(err)
	var m wire.Frame
	is.NoErr(decodeFrame(b, &m))
	is.Equal(testing.AllocsPerRun(100, func() { _ = decodeFrame(b, &m) }), 0.0)
}

func FuzzDecodeFrame(f *testing.F) {
	for _, m := range answer()[:2] {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var want wire.Frame
		got := wire.Frame{Data: []byte("of the frame before"), Reason: "left over"}
		wantErr, gotErr := proto.Unmarshal(b, &want), decodeFrame(b, &got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("error %v, the library has %v", gotErr, wantErr)
		}
		if wantErr == nil && !proto.Equal(&got, &want) {
			t.Fatalf("%v, the library has %v", &got, &want)
		}
	})
}
