package intake

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestConnections(t *testing.T) {
	for name, tt := range map[string]struct {
		memory      int64
		descriptors int
		want        int
	}{
		"by memory":      {96 << 20, 100_000, 512},
		"by descriptors": {1 << 30, 4100, 1233},
		"not known":      {96 << 20, 0, 512},
		"hardly any":     {1 << 10, 100, minConnections},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Connections(tt.memory, tt.descriptors), tt.want)
		})
	}
}

// rig is a server behind a Listener, and its callers.
type rig struct {
	*is.I
	*Listener
	addr string
	// hold makes requests wait.
	hold    chan struct{}
	running atomic.Int64
}

func newRig(t *testing.T, most int) *rig {
	t.Helper()
	r := &rig{I: is.New(t), hold: make(chan struct{})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	r.NoErr(err)
	r.Listener = NewListener(inner, Limits{Connections: most}, slog.New(slog.DiscardHandler))
	r.addr = inner.Addr().String()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		r.running.Add(1)
		defer r.running.Add(-1)
		if req.URL.Path == "/hold" {
			<-r.hold
		}
	}))
	_ = server.Listener.Close()
	server.Listener = r.Listener
	server.Config.ConnState = r.Track
	server.Start()
	t.Cleanup(func() {
		close(r.hold)
		server.Close()
	})
	return r
}

// caller opens a connection and sends a request on it. Both may fail if it is refused.
func (r *rig) caller(path string) net.Conn {
	c, err := net.Dial("tcp", r.addr)
	if errors.Is(err, syscall.ECONNRESET) {
		c, _ = net.Pipe()
		_ = c.Close()
		return c
	}
	r.NoErr(err)
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
	return c
}

// answered reports whether a connection gets an answer.
func (r *rig) answered(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // It may be closed.
	n, _ := c.Read(make([]byte, 512))
	return n > 0
}

// Guards against memory, descriptors and goroutines that grow with the connections of callers.
func TestConnectionsAreBounded(t *testing.T) {
	const most, callers = 8, 200
	r := newRig(t, most)
	for range most {
		defer r.caller("/hold").Close()
	}
	for r.running.Load() < most {
		time.Sleep(time.Millisecond)
	}
	for range callers {
		c := r.caller("/")
		r.True(!r.answered(c)) // refused at once, unread
		_ = c.Close()
	}
	r.Equal(r.running.Load(), int64(most))
	r.Equal(r.open, most)
}

// Guards against refusing new callers for connections that are open without a request.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const most = 4
	r := newRig(t, most)
	var kept []net.Conn
	for range most {
		c := r.caller("/")
		r.True(r.answered(c))
		kept = append(kept, c)
		r.awaitIdle(len(kept)) // A caller may read its answer before its connection is idle.
	}
	for range 3 {
		c := r.caller("/")
		r.True(r.answered(c))
		defer c.Close()
		r.awaitIdle(most)
	}
	// The last one of the first callers still has its connection.
	_, err := io.WriteString(kept[most-1], "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	r.NoErr(err)
	r.True(r.answered(kept[most-1]))
	r.True(!r.answered(kept[0]))
}

// awaitIdle waits until so many connections are idle.
func (r *rig) awaitIdle(n int) {
	for {
		r.mu.Lock()
		idle := r.idle.Len()
		r.mu.Unlock()
		if idle == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against connections that are counted for ever, or twice.
func TestClosedConnectionsAreNotCounted(t *testing.T) {
	r := newRig(t, 100)
	for range 50 {
		c := r.caller("/")
		r.True(r.answered(c))
		r.NoErr(c.Close())
	}
	for {
		r.mu.Lock()
		open, idle := r.open, r.idle.Len()
		r.mu.Unlock()
		if open == 0 && idle == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against accepting more and more while the requests that were accepted are late, and against
// refusing callers after a short delay or a suspension.
func TestOverload(t *testing.T) {
	second := int(time.Second / watchInterval)
	for name, tt := range map[string]struct {
		late func(i int) time.Duration
		// low and high bound the share that is refused in the end.
		low, high float64
	}{
		"calm":              {func(int) time.Duration { return 2 * time.Millisecond }, 0, 0},
		"a pause":           {func(i int) time.Duration { return time.Duration(i/59) * 200 * time.Millisecond }, 0, 0},
		"suspended for 4 s": {func(i int) time.Duration { return time.Duration(i/59) * 4 * time.Second }, 0, 0},
		"each quota spent":  {func(i int) time.Duration { return time.Duration(i%2) * 90 * time.Millisecond }, 0, 0},
		"overloaded":        {func(int) time.Duration { return 150 * time.Millisecond }, 0.8, maxShare},
		"overloaded before": {func(i int) time.Duration { return max(0, time.Duration(20-i)) * 20 * time.Millisecond }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var o Overload
			for i := range 3 * second {
				o.Observe(tt.late(i))
			}
			is.True(o.Share() >= tt.low && o.Share() <= tt.high)
		})
	}
}

// Guards against callers that are all refused while the process is overloaded.
func TestOverloadedListenerRefusesAShare(t *testing.T) {
	r := newRig(t, 1000)
	for range 100 {
		r.observe(time.Second, time.Now())
	}
	served, refused := 0, 0
	for range 300 {
		c := r.caller("/")
		if r.answered(c) {
			served++
		} else {
			refused++
		}
		_ = c.Close()
	}
	r.True(refused > served)
	r.True(served > 0)
	for range 100 {
		r.observe(0, time.Now())
	}
	c := r.caller("/")
	r.True(r.answered(c))
	r.NoErr(c.Close())
}

// Guards against a watch that ends with its first context check or never.
func TestWatchEnds(t *testing.T) {
	l := NewListener(nil, Limits{Connections: 1}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		l.Watch(ctx)
		close(done)
	}()
	cancel()
	<-done
}
