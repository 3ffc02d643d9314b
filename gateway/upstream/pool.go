package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Dialer opens a connection. If one is reset, its Read must not return io.EOF, which ends the body of an
// answer without a length; those of tcp.Dial do not.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Matcher reports whether an answer belongs to the request with an identifier.
type Matcher func(status int, h http.Header, id string) bool

// Pool keeps the connections to one server. It is safe for concurrent use.
type Pool struct {
	addr    string
	dial    Dialer
	matches Matcher

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// opened counts the connections that are open.
	opened int
}

// NewPool returns a pool without connections.
func NewPool(addr string, dial Dialer, matches Matcher) *Pool {
	return &Pool{addr: addr, dial: dial, matches: matches}
}

// NumOpen returns the number of open connections.
func (p *Pool) NumOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes idle connections now and the others after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// CloseIdle closes the connections whose idle time has expired.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.until) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// conn is one connection.
type conn struct {
	net.Conn
	br *bufio.Reader
	// enlarged is set once br was replaced by a larger reader.
	enlarged bool
	// until is when it expires if it is idle.
	until time.Time
}

// take returns an idle connection that appears usable, or nil.
func (p *Pool) take(now time.Time) *conn {
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if now.Before(c.until) && c.clean() {
			return c
		}
		p.discard(c)
	}
}

// clean reports whether an idle connection is open and has no bytes to read. Such bytes
// belong to no pending request: read as the next answer, they would give a caller the answer
// to another request.
func (c *conn) clean() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && clean
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	nc, err := p.dial(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// lingerer is a connection that can be reset.
type lingerer interface {
	SetLinger(seconds int) error
}

func (p *Pool) discard(c *conn) {
	// A server that is suspended or disconnected would receive the rest of a request when
	// it recovers, long after the caller has left, and run it for nobody. A reset discards
	// what has not arrived.
	if l, ok := c.Conn.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	// The connection is abandoned, so an error of Close does not matter.
	_ = c.Close()
	p.mu.Lock()
	p.opened--
	p.mu.Unlock()
}

func (p *Pool) put(c *conn, idle time.Duration) {
	c.until = time.Now().Add(idle)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}
