// Package upstream sends requests to servers over HTTP/1.1 and never sends one
// twice.
//
// The standard client repeats some requests by itself when a kept connection
// breaks. Here that is the caller's decision: Do makes one attempt, and a
// *NotSentError tells the attempts of which no byte has left from the others,
// after which the server may have run the request.
//
// A server may also answer twice, answer late, or send bytes that belong to no
// request. An answer is therefore told by the identifier that it echoes, a kept
// connection with unexpected bytes is closed, and a body is complete only when
// its framing says so.
//
// # Usage
//
//	pool := upstream.NewPool(addr, platform.Dial, answersTo)
//	reply, err := pool.Do(ctx, &upstream.Request{Method: "POST", Target: uri, Host: host, Head: head, Body: body, ID: id})
//	if err != nil {
//		return err
//	}
//	defer reply.Close()
//	data, err := io.ReadAll(reply) // nil error: the whole body
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readBuffer holds the header of an answer and a few events.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept for the next request where
	// the server does not say, less than servers usually keep theirs.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the server says a kept connection is
	// given up, so that a request does not cross the server's close.
	idleMargin = 600 * time.Millisecond
	// maxStray is how many answers to other requests are skipped before the
	// connection is given up.
	maxStray = 3
	// inlineBody is the largest body written before the answer is read; a
	// longer one is written while the answer is awaited, because a server may
	// answer before it has read it.
	inlineBody = 32 << 10
)

// Request is one attempt.
type Request struct {
	Method string
	// Target is the request line's target as the caller sent it.
	Target string
	Host   string
	// Head is the header lines without Host and Content-Length.
	Head []byte
	Body []byte
	// HasBody says that a length is stated also for an empty body.
	HasBody bool
	// ID is what the answer must echo.
	ID string
	// Fresh asks for a new connection: a kept one may break just as the
	// request is sent, and then nobody can tell whether it has run.
	Fresh bool
}

// NotSentError says that no byte of the request has left.
type NotSentError struct{ Err error }

// Error tells the cause.
func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError says that the answer did not come, or not whole, after bytes of
// the request had left: the server may have run it.
type BrokenError struct {
	// Phase is what was going on: write, head or body.
	Phase string
	Err   error
}

// Error tells the phase and the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer broken in %s: %v", e.Phase, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// errStray is the cause when a server sent something that answers no request.
var errStray = errors.New("unexpected answer on the connection")

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Matcher reports whether an answer is that to the request with an identifier.
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

// Open returns the number of open connections.
func (p *Pool) Open() int {
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

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
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
	// until is when it is no longer used, if idle.
	until time.Time
}

// take returns an idle connection that seems usable, or nil.
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
		if now.Before(c.until) && c.quiet() {
			return c
		}
		p.discard(c)
	}
}

// quiet reports whether an idle connection is open and has nothing to read. A
// byte there belongs to no request: taken for the next answer, it would give a
// caller another one's answer.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
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

func (p *Pool) discard(c *conn) {
	// A server that is frozen or cut off would get the rest of a request when
	// it is back, long after the caller has left, and run it for nobody: a
	// reset takes back what has not arrived.
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// The connection is given up; an error in closing it changes nothing.
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

// Do sends the request once and returns the head of its answer. It ends early
// when the context does, and closes the connection then, which tells the server
// that nobody waits any more.
func (p *Pool) Do(ctx context.Context, r *Request) (*Reply, error) {
	var c *conn
	if !r.Fresh {
		c = p.take(time.Now())
	}
	if c == nil {
		var err error
		if c, err = p.open(ctx); err != nil {
			return nil, &NotSentError{err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	reply, err := p.exchange(c, r)
	if err != nil {
		stop()
		p.discard(c)
		if ctx.Err() != nil {
			err = withCause(err, context.Cause(ctx))
		}
		return nil, err
	}
	reply.stop = stop
	return reply, nil
}

// withCause tells why the attempt was ended rather than how it showed.
func withCause(err, cause error) error {
	var broken *BrokenError
	if errors.As(err, &broken) {
		return &BrokenError{Phase: broken.Phase, Err: cause}
	}
	return &NotSentError{cause}
}

func (p *Pool) exchange(c *conn, r *Request) (*Reply, error) {
	head := headOf(r)
	if len(r.Body) <= inlineBody {
		head = append(head, r.Body...)
		n, err := c.Write(head)
		if err != nil && n == 0 {
			return nil, &NotSentError{err}
		}
		// A server that refuses early may have answered before the write
		// broke: the answer is read in any case.
		return p.readHead(c, r, err)
	}
	n, err := c.Write(head)
	if err != nil && n == 0 {
		return nil, &NotSentError{err}
	}
	written := make(chan error, 1)
	go func() {
		_, werr := c.Write(r.Body)
		written <- werr
	}()
	reply, err := p.readHead(c, r, err)
	if reply != nil {
		reply.written = written
	}
	return reply, err
}

func headOf(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Head) + len(r.Target) + len(r.Host) + 64 + min(len(r.Body), inlineBody))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	b.Write(r.Head)
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads answers until the one to this request.
func (p *Pool) readHead(c *conn, r *Request, writeErr error) (*Reply, error) {
	asked := &http.Request{Method: r.Method}
	for range maxStray {
		resp, err := http.ReadResponse(c.br, asked)
		if err != nil {
			if writeErr != nil {
				return nil, &BrokenError{"write", writeErr}
			}
			return nil, &BrokenError{"head", err}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !p.matches(resp.StatusCode, resp.Header, r.ID) {
			// A late second answer to an earlier request: the one to this
			// request follows.
			if err := skip(resp); err != nil {
				return nil, &BrokenError{"head", err}
			}
			continue
		}
		return &Reply{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, pool: p, conn: c, resp: resp}, nil
	}
	return nil, &BrokenError{"head", errStray}
}

func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errStray
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// Reply is the answer to a request. Its body must be read to the end or closed.
type Reply struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if the answer does not state it.
	Length int64

	pool    *Pool
	conn    *conn
	resp    *http.Response
	written chan error
	stop    func() bool
	done    bool
}

// Read reads the body. io.EOF means that the body is complete by its framing;
// any other error is a *BrokenError.
func (r *Reply) Read(b []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	n, err := r.resp.Body.Read(b)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		r.finish(false)
		return n, &BrokenError{"body", err}
	}
	r.finish(true)
	return n, io.EOF
}

// Close gives up what is left of the body.
func (r *Reply) Close() { r.finish(false) }

// finish keeps the connection if the answer was read whole and nothing else
// came with it.
func (r *Reply) finish(whole bool) {
	if r.done {
		return
	}
	r.done = true
	stopped := r.stop == nil || r.stop()
	if !whole || !stopped || !r.reusable() {
		r.pool.discard(r.conn)
		return
	}
	r.pool.put(r.conn, idleTime(r.Header))
}

func (r *Reply) reusable() bool {
	if r.resp.Close || r.conn.br.Buffered() > 0 {
		return false
	}
	if r.Length < 0 && len(r.resp.TransferEncoding) == 0 {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		// The server answered before it had read the body: what is left of it
		// would be taken for the next request.
		return false
	}
}

// idleTime is how long a connection may wait for the next request.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil {
			return min(max(time.Duration(s)*time.Second-idleMargin, idleMargin/2), defaultIdle)
		}
	}
	return defaultIdle
}
