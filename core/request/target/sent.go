package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"verbenashift/core/plumbing/tcp"
)

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// countWrites wraps the connections that dial opens.
func countWrites(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: tcp.Wrap(conn)}, nil
	}
}

// countingConn counts the writes that may have sent a byte. A write counts from before it
// starts, because a cancelled request is reported while its write may still be in progress; it
// is subtracted again if it wrote nothing.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// tracker detects whether a byte of one request may have been sent. It watches every
// connection that the request was given; HTTP/1.1 has one request at a time on a connection,
// so each later write on it belongs to the request.
type tracker struct {
	mu    sync.Mutex
	conns []connStart
}

type connStart struct {
	conn *countingConn
	from int64
}

func (t *tracker) watch(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	t.conns = append(t.conns, connStart{conn, conn.writes.Load()})
}

func (t *tracker) anySent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.conns {
		if g.conn.writes.Load() > g.from {
			return true
		}
	}
	return false
}
