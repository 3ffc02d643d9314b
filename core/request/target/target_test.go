package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"verbenashift/core/request/target"
)

func address(s *httptest.Server) string { return s.Listener.Addr().String() }

// A booking is sent on a kept-alive connection and the application crashes
// before it answers. net/http assumes that the idle connection had timed out
// and, because of the Idempotency-Key, sends the booking again by itself: it
// would run twice.
func TestRequestIsSentOnce(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{http.MethodPost, `{"chapel":"erie"}`},
		{http.MethodPost, ""},
		{http.MethodDelete, ""},
		{http.MethodGet, ""},
	} {
		t.Run(c.method+c.body, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer s.Close()
			p := target.NewService(address(s), target.Options{})
			a, err := p.Do(t.Context(), target.Call{Method: http.MethodGet, Path: "/warm"})
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, a.Body)
			is.NoErr(a.Body.Close())

			call := target.Call{Method: c.method, Path: "/bookings", Body: []byte(c.body)}
			call.IdempotencyKey = "k1"
			_, err = p.Do(t.Context(), call)
			var broken *target.BrokenError
			is.True(errors.As(err, &broken)) // may have run
			is.Equal(runs.Load(), int32(1))
		})
	}
}

// An agent reports "not run" to its caller after a dial that failed, a context
// that ended before the dial, or a connection that accepted no byte. If one
// byte was sent, the target may have run the request and the agent must not
// report that.
func TestNotSentIsReported(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	dead := func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		_ = there.Close()
		return here, nil
	}
	cut := func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			_, _ = there.Read(make([]byte, 1))
			_ = there.Close()
		}()
		return here, nil
	}
	for _, c := range []struct {
		name    string
		dial    func(context.Context, string, string) (net.Conn, error)
		notSent bool
	}{{"refused", refused, true}, {"dead", dead, true}, {"cut after one byte", cut, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := target.NewEngine("192.0.2.1:1", target.Options{Dial: c.dial})
			_, err := e.Start(t.Context(), target.Completion{Path: target.CompletionsPath, Body: []byte(`{}`)})
			var notSent *target.NotSentError
			var broken *target.BrokenError
			is.Equal(errors.As(err, &notSent), c.notSent)
			is.Equal(errors.As(err, &broken), !c.notSent)
		})
	}
}

func start(t *testing.T, answer string) *target.Stream {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		whole, cut := strings.CutSuffix(answer, "<cut>")
		_, _ = io.WriteString(w, whole)
		if cut {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.Close)
	e := target.NewEngine(address(s), target.Options{})
	stream, err := e.Start(t.Context(), target.Completion{Path: target.CompletionsPath, Body: []byte(`{}`)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}

// An engine crashes in the middle of a response. Unless the client requires the
// end marker, the part that arrived looks like the complete response.
func TestStreamEnds(t *testing.T) {
	long := strings.Repeat("x", 20000)
	for _, c := range []struct {
		name, answer string
		want         []string
		whole        bool
	}{
		{"whole", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", []string{"a", "b"}, true},
		{"carriage returns and no space", "data:a\r\n\r\ndata:[DONE]\r\n\r\n", []string{"a"}, true},
		{"comments and other fields", ": hi\n\nid: 1\nevent: x\ndata: a\n\ndata: [DONE]\n\n", []string{"a"}, true},
		{"several data lines", "data: a\ndata\ndata: b\n\ndata: [DONE]\n\n", []string{"a\n\nb"}, true},
		{"longer than the buffer", "data: a\n\ndata: " + long + "\n\ndata: [DONE]\n\n", []string{"a", long}, true},
		{"no end mark", "data: a\n\n", []string{"a"}, false},
		{"half an event", "data: a\n\ndata: b", []string{"a"}, false},
		{"half an end mark", "data: a\n\ndata: [DONE]\n", []string{"a"}, false},
		{"cut", "data: a\n\n<cut>", []string{"a"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			stream := start(t, c.answer)
			var got []string
			var err error
			var data []byte
			for data, err = stream.Next(); err == nil; data, err = stream.Next() {
				got = append(got, string(data))
			}
			is.Equal(got, c.want)
			var broken *target.BrokenError
			is.Equal(errors.As(err, &broken), !c.whole)
			is.Equal(errors.Is(err, io.EOF), c.whole)
		})
	}
}

func TestNextDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	const events = 3000
	stream := start(t, strings.Repeat("data: {\"choices\":[{\"text\":\"w00000000 \"}]}\n\n", events)+"data: [DONE]\n\n")
	allocs := testing.AllocsPerRun(events-2, func() {
		if _, err := stream.Next(); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocs, 0.0)
}

func TestEngineRefusals(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Authorization") == "Bearer t", r.URL.Path == "/v1/orders")
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":"stale-fence","fence":9}`)
	}))
	defer s.Close()
	e := target.NewEngine(address(s), target.Options{OrderToken: "t"})
	var stale *target.StaleFenceError
	is.True(errors.As(e.Order(t.Context(), target.Order{Fence: 3}), &stale))
	is.Equal(stale.Fence, uint64(9))
	_, err := e.Resume(t.Context(), target.CompletionsPath, "r1", 2)
	var refused *target.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.RetryAfter, "3")
	is.True(!strings.Contains(err.Error(), "stale")) // no content in the error's text
}

func TestInject(t *testing.T) {
	fields := target.Fields{Priority: 1, CacheSalt: "s"}
	resume := target.Fields{Resume: &target.Resume{Text: "w ", Tokens: 1}, Stream: true}
	for _, c := range []struct {
		name, body string
		fields     target.Fields
		want       string
	}{
		{"empty", `{}`, fields, `{"priority":1,"cache_salt":"s"}`},
		{"kept byte for byte", `{ "n" : 1e2, "b":[{"priority":7}],"u":"\u00e9" }`, fields, `{"n" : 1e2,"b":[{"priority":7}],"u":"\u00e9","priority":1,"cache_salt":"s"}`},
		{
			"the caller's own are replaced", `{"Priority":-9,"CACHE_SALT":"theirs","\u0072esume":{"request-id":"theirs"},"a":1}`,
			fields, `{"a":1,"priority":1,"cache_salt":"s"}`,
		},
		{"resume", `{"stream":false,"model":"m"}`, resume, `{"model":"m","priority":0,"resume":{"text":"w ","tokens":1},"stream":true}`},
		{"stream is the caller's", `{"stream":false}`, fields, `{"stream":false,"priority":1,"cache_salt":"s"}`},
		{"no object", `[1]`, fields, ""},
		{"cut", `{"a":`, fields, ""},
		{"no end", `{"a":1`, fields, ""},
		{"more", `{} {}`, fields, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := target.Inject([]byte(c.body), c.fields)
			var bad *target.BodyError
			is.Equal(errors.As(err, &bad), c.want == "")
			is.Equal(string(got), c.want)
		})
	}
}

// raw serves one connection: it passes on the request and writes answer.
func raw(t *testing.T, answer string) (addr string, request chan *http.Request) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	request = make(chan *http.Request, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		req.Header.Set("Test-Body", string(body))
		request <- req
		_, _ = io.WriteString(conn, answer)
	}()
	return ln.Addr().String(), request
}

func TestServiceResponsePassesThrough(t *testing.T) {
	is := is.New(t)
	addr, request := raw(t, "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Encoding: gzip\r\n"+
		"Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-Two: a\r\nX-Two: b\r\nContent-Length: 2\r\n\r\nhi")
	h := http.Header{
		"Connection": {"close, X-Drop"}, "X-Drop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Authorization": {"Bearer secret"}, "X-Workspace": {"theirs"}, "Idempotency-Key": {"theirs"}, "X-Keep": {"a", "b"},
	}
	call := target.Call{Method: "PATCH", Path: "/a%2Fb/%C3%A9?q=1&q=%20", Header: h, Body: []byte("body")}
	call.RequestID, call.Workspace = "r1", "erie"
	a, err := target.NewService(addr, target.Options{}).Do(t.Context(), call)
	is.NoErr(err)
	got := <-request
	is.Equal(got.Method, "PATCH")
	is.Equal(got.RequestURI, "/a%2Fb/%C3%A9?q=1&q=%20")
	is.Equal(fmt.Sprint(got.Header), "map[Content-Length:[4] Test-Body:[body] X-Keep:[a b] X-Request-Id:[r1] X-Workspace:[erie]]")
	is.Equal(h.Get("X-Drop"), "1") // the caller's headers are not changed

	is.Equal(a.Status, http.StatusFound)
	is.Equal(fmt.Sprint(a.Header), "map[Content-Encoding:[gzip] Content-Length:[2] Location:[/elsewhere] X-Two:[a b]]")
	body, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(body), "hi")
}

// A service crashes while it sends a response: a reader that takes any end of
// the body for the end of the response would show half a page.
func TestTruncatedServiceBodyIsBroken(t *testing.T) {
	is := is.New(t)
	addr, _ := raw(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	a, err := target.NewService(addr, target.Options{}).Do(t.Context(), target.Call{Method: "GET", Path: "/visitations/1"})
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	var broken *target.BrokenError
	is.True(errors.As(err, &broken))
}

// A service answers before it has read the request, without a length, and resets the connection while
// that is written: the system reports the reset to the writer alone.
func TestResetServiceBodyIsBroken(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(10 * time.Millisecond)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	s := target.NewService(ln.Addr().String(), target.Options{})
	for range 20 {
		a, err := s.Do(t.Context(), target.Call{Method: "POST", Path: "/visitations", Body: make([]byte, 8<<20)})
		if err == nil {
			_, err = io.ReadAll(a.Body)
		}
		var broken *target.BrokenError
		is.True(errors.As(err, &broken))
	}
}

// A target in trouble sends an invalid status: the agent would pass it on, or what follows its head,
// as the answer.
func TestInvalidStatusIsBroken(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/2.0 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			var broken *target.BrokenError
			addr, _ := raw(t, line+"\r\nContent-Length: 2\r\n\r\n{}")
			_, err := target.NewService(addr, target.Options{}).Do(t.Context(), target.Call{Method: "GET", Path: "/visitations/1"})
			is.True(errors.As(err, &broken))
			addr, _ = raw(t, line+"\r\nContent-Length: 2\r\n\r\n{}")
			_, err = target.NewEngine(addr, target.Options{}).Start(t.Context(), target.Completion{Path: target.CompletionsPath, Body: []byte(`{}`)})
			is.True(errors.As(err, &broken))
		})
	}
}

// A target in trouble sends a line of the head with a blank in its name. If that would say how the body
// ends, the agent would pass on a body that is not the target's.
func TestInvalidFieldIsBroken(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding : chunked", "Content-Length : 2", "Content Length: 2", "X Y: 1"} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			addr, _ := raw(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
			_, err := target.NewService(addr, target.Options{}).Do(t.Context(), target.Call{Method: "GET", Path: "/visitations/1"})
			var broken *target.BrokenError
			is.True(errors.As(err, &broken))
		})
	}
}

// An engine sends a document without end. The agent would be killed for its
// memory, with all that is in progress.
func TestDocumentWithoutEnd(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"state":"`)
		part := strings.Repeat("x", 64<<10)
		for sent := 0; err == nil && sent < 16<<20; sent += len(part) {
			_, err = io.WriteString(w, part)
		}
	}))
	defer s.Close()
	e := target.NewEngine(address(s), target.Options{})
	var tooLong *http.MaxBytesError
	_, err := e.Load(t.Context())
	is.True(errors.As(err, &tooLong))
	stream, err := e.Start(t.Context(), target.Completion{Path: target.CompletionsPath, Body: []byte(`{}`)})
	is.NoErr(err)
	defer func() { _ = stream.Close() }()
	_, err = stream.Next()
	is.True(errors.As(err, &tooLong))
}
