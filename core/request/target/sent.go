package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// watched wraps the connections that dial opens.
func watched(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn}, nil
	}
}

// watchedConn counts the writes that may have let a byte out. A write counts
// from before it starts, because a cancelled request is reported while its
// write may still be under way; it is taken back if it wrote nothing.
type watchedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// tracker tells whether a byte of one request may have left. It watches every
// connection that the request was given; HTTP/1.1 has one request at a time
// on a connection, so each write on it since then belongs to the request.
type tracker struct {
	mu    sync.Mutex
	conns []given
}

type given struct {
	conn *watchedConn
	from int64
}

func (t *tracker) watch(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*watchedConn)
	if !ok {
		return
	}
	t.conns = append(t.conns, given{conn, conn.writes.Load()})
}

func (t *tracker) any() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.conns {
		if g.conn.writes.Load() > g.from {
			return true
		}
	}
	return false
}
