package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against room that is lost or given twice, whatever happens to the heads and their connections.
func TestRoomIsWholeAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		h := newHeadRoom(0, defaultHeadBytes)
		conns := make([]*conn, 6)
		for i := range conns {
			conns[i] = &conn{}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				h.grow(c, rapid.Int64Range(0, h.half).Draw(t, "grown"))
			case 1:
				h.endReception(c)
			case 2:
				// A head that would wait is not part of this test.
				if n := rapid.Int64Range(1, h.half).Draw(t, "weight"); h.complete+n <= h.half {
					is.Equal(h.hold(c, n), !c.ended)
				}
			case 3:
				h.retain(c, rapid.Int64Range(0, h.half).Draw(t, "retained"))
			case 4:
				h.end(c)
			}
			var received, complete int64
			for _, c := range conns {
				received += c.reception
				complete += c.weight
			}
			is.Equal(h.received, received)
			is.Equal(h.complete, complete)
			is.True(received <= h.half)
			is.True(complete <= h.half)
		}
		for _, c := range conns {
			h.end(c)
		}
		is.Equal(h.held(), int64(0))
		is.Equal(h.growing.Len(), 0)
		is.Equal(h.waiters.Len(), 0)
	})
}

// Guards against heads that wait for ever, that overtake each other, or that lose room when they give up.
func TestCompleteHeadsWaitInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHeadRoom(0, defaultHeadBytes)
		first, second, third := &conn{}, &conn{}, &conn{}
		is.True(h.hold(first, h.half))
		var mu sync.Mutex
		var order []string
		var ended sync.WaitGroup
		for _, w := range []struct {
			name  string
			c     *conn
			bytes int64
		}{{"large", second, h.half}, {"small", third, 1}} {
			ended.Go(func() {
				ok := h.hold(w.c, w.bytes)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(w.name, " ", ok))
			})
			time.Sleep(headWait / 4)
		}
		h.retain(first, 1)
		synctest.Wait()
		mu.Lock()
		is.Equal(len(order), 0) // the large one is first, and does not fit
		mu.Unlock()
		late := h.request(1)
		is.True(late != nil)
		ended.Wait()
		is.True(h.await(late))
		h.mu.Lock()
		h.release(1)
		h.mu.Unlock()
		is.Equal(strings.Join(order, ", "), "large false, small true")
		for _, c := range []*conn{first, second, third} {
			h.end(c)
		}
		is.Equal(h.held(), int64(0))
	})
}

// Guards against connections that get room after their end.
func TestEndedConnectionsGetNoRoom(t *testing.T) {
	is := is.New(t)
	h := newHeadRoom(0, defaultHeadBytes)
	c := &conn{}
	h.end(c)
	is.True(!h.hold(c, 1))
	is.Equal(len(h.grow(c, h.half+1)), 0)
	is.Equal(h.held(), int64(0))
}

// Guards against heads in reception that hold the room for ever: the one that began first yields.
func TestOldestHeadInReceptionYields(t *testing.T) {
	is := is.New(t)
	h := newHeadRoom(0, defaultHeadBytes)
	a, b, c := &conn{}, &conn{}, &conn{}
	is.Equal(len(h.grow(a, h.half/2)), 0)
	is.Equal(len(h.grow(b, h.half/2)), 0)
	is.Equal(len(h.grow(a, h.half/2)), 0)
	got := h.grow(c, h.half)
	is.Equal(len(got), 2)
	is.True(got[0] == a)
	is.True(got[1] == b)
}

// Guards against rejecting callers who keep to the configuration before, while it changes.
func TestLimitBeforeHolds(t *testing.T) {
	is := is.New(t)
	h := newHeadRoom(0, defaultHeadBytes)
	limit := func() int {
		n, _ := h.limits()
		return n - headSlack
	}
	is.Equal(limit(), defaultHeadBytes)
	h.state(16<<10, 3*time.Second)
	is.Equal(limit(), 16<<10)
	h.state(8<<10, 0)
	is.Equal(limit(), 16<<10)
	h.state(8<<10, 0)
	is.Equal(limit(), 16<<10)
	h.state(4<<10, 0)
	is.Equal(limit(), 8<<10)
	h.state(1<<20, 0)
	is.Equal(limit(), defaultHeadBytes)
	_, timeout := h.limits()
	is.Equal(timeout, headTimeFactor*3*time.Second)
}

// echoRig is a server behind a Listener that answers with the method, the number of different header
// lines and the length of the body of each request, and whether its head holds room.
type echoRig struct {
	*is.I
	*Listener
	server *http.Server
	addr   string
	// retain is what handlers retain, or negative.
	retain int64
}

func newEchoRig(t *testing.T) *echoRig {
	t.Helper()
	r := &echoRig{I: is.New(t), retain: -1}
	var err error
	r.Listener, err = Listen("127.0.0.1:0", Limits{Connections: 100}, slog.New(slog.DiscardHandler))
	r.NoErr(err)
	r.addr = r.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		n, room := len(req.Header), r.HeldForHeads() > 0
		if r.retain >= 0 {
			Retain(req.Context(), r.retain)
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s %d %d %t", req.Method, n, len(body), room)
	})}
	go func() { _ = r.Serve(r.server) }() // It ends with the test.
	t.Cleanup(func() { _ = r.server.Close() })
	return r
}

// dial opens a connection.
func (r *echoRig) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	r.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	r.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
	return c, bufio.NewReader(c)
}

// read reads an answer.
func (r *echoRig) read(in *bufio.Reader) (status int, text string) {
	resp, err := http.ReadResponse(in, nil)
	r.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	r.NoErr(err)
	return resp.StatusCode, string(body)
}

// Guards against requests that are lost, joined or not weighed on a connection with several of them,
// in whatever parts they arrive.
func TestRequestsOnOneConnection(t *testing.T) {
	r := newEchoRig(t)
	long := strings.Repeat("b:\n", 3000)
	many := strings.Repeat("A: x\r\n", 20)
	requests := []struct{ text, want string }{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET 0 0 false"},
		{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab\n\nc", "POST 1 5 false"},
		{"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\na\nb\r\n1\r\n\n\r\n0\r\nT: u\r\n\r\n", "POST 0 4 false"},
		{"PUT / HTTP/1.1\nHost: a\n" + long + "\n", "PUT 1 0 true"},
		{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n" + many + "\r\n" + strings.Repeat("\n", 9000), "POST 2 9000 false"},
		{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "POST 1 0 false"},
		{"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET 0 0 false"}, // after a POST the server skips an empty line
	}
	for _, part := range []int{1, 7, 1000, 1 << 20} {
		c, in := r.dial(t)
		var text, want strings.Builder
		for _, req := range requests {
			text.WriteString(req.text)
			want.WriteString(req.want + "\n")
		}
		go func() {
			for rest := text.String(); rest != ""; {
				n := min(part, len(rest))
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		var got strings.Builder
		for range requests {
			status, body := r.read(in)
			r.Equal(status, http.StatusOK)
			got.WriteString(body + "\n")
		}
		r.Equal(got.String(), want.String())
	}
	r.awaitRoom()
}

// awaitRoom waits until no head holds room.
func (r *echoRig) awaitRoom() {
	for r.HeldForHeads() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a head over the limit that is parsed, or answered as if the server were at fault.
func TestTooLongHead(t *testing.T) {
	r := newEchoRig(t)
	r.LimitHeads(8<<10, 0)
	for _, end := range []string{"", "\r\n"} {
		c, in := r.dial(t)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("b:\n", 20000)+end)
		r.NoErr(err)
		status, _ := r.read(in)
		r.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	}
	r.awaitRoom()
}

// Guards against heads that wait for room that there never is, and hold up those after them: the shortest
// lines that are no header lines weigh more than valid ones.
func TestHeavierThanAllRoom(t *testing.T) {
	r := newEchoRig(t)
	c, in := r.dial(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("b\n", 30<<10)+"\r\n")
	r.NoErr(err)
	status, _ := r.read(in)
	r.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a promise that is not kept, and against heads that wait for ever, when there is no room.
func TestNoRoomForAHead(t *testing.T) {
	r := newEchoRig(t)
	holder := &conn{}
	r.True(r.heads.hold(holder, r.heads.half))
	heavy := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("b:\n", 3000) + "\r\n"
	c, in := r.dial(t)
	_, err := io.WriteString(c, heavy)
	r.NoErr(err)
	resp, err := http.ReadResponse(in, nil)
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	r.True(resp.Header.Get("Retry-After") != "")

	c, in = r.dial(t) // a small one needs no room
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	r.NoErr(err)
	status, _ := r.read(in)
	r.Equal(status, http.StatusOK)

	r.heads.end(holder)
	c, in = r.dial(t)
	_, err = io.WriteString(c, heavy)
	r.NoErr(err)
	status, _ = r.read(in)
	r.Equal(status, http.StatusOK)
}

// Guards against heads that keep their room while the handler has no use for it.
func TestRetain(t *testing.T) {
	r := newEchoRig(t)
	r.retain = 100
	c, in := r.dial(t)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"+strings.Repeat("b:\n", 3000)+"\r\n")
	r.NoErr(err)
	for r.HeldForHeads() != r.retain {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(c, "x")
	r.NoErr(err)
	status, _ := r.read(in)
	r.Equal(status, http.StatusOK)
	r.awaitRoom()
	Retain(context.Background(), 0) // a request of another listener
}

// Guards against callers who are refused for connections whose heads never end.
func TestUnfinishedHeadsMakeRoom(t *testing.T) {
	is := is.New(t)
	l := NewListener(nil, Limits{Connections: 2, Patience: time.Second}, slog.New(slog.DiscardHandler))
	now := time.Now()
	admit := func(after time.Duration) (c, old *conn) { return l.admit(nil, now.Add(after)) }
	first, _ := admit(0)
	second, _ := admit(500 * time.Millisecond)
	c, old := admit(900 * time.Millisecond)
	is.True(c == nil && old == nil) // nobody has been without a request for long
	c, old = admit(1100 * time.Millisecond)
	is.True(c != nil)
	is.True(old == first)
	is.True(!l.begin(first)) // its request must not run
	is.True(l.begin(second))
	is.Equal(l.open, 2)
	third, old := admit(1700 * time.Millisecond)
	is.True(third == nil && old == nil) // second has a request, c is new
	l.setIdle(second)
	_, old = admit(1700 * time.Millisecond)
	is.True(old == second)
}
