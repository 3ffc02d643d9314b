package intake

import (
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"verbenashift/core/plumbing/heads"
)

// phase is what a connection is read for.
type phase int

const (
	// inHead is the time from the end of a request until the head of the next one is complete.
	inHead phase = iota
	// passing is the time until the server has read the complete head.
	passing
	// inBody is the time until the server has read the body.
	inBody
	// unseen is that of a connection whose heads are not seen here, which are those of HTTP/2 or in
	// TLS.
	unseen
)

// conn is a connection of a caller. It gives the server no byte of a head until all of it has been
// received and there is room for what is parsed from it, and no byte after the end of a request
// together with that request, so that the server reads no head that was not weighed.
type conn struct {
	net.Conn
	listener *Listener
	place
	share
	reading
}

// reading is the state of the reception of requests. One goroutine at a time uses it.
type reading struct {
	phase phase
	scan  heads.Scan
	// received is what was received and not read by the server, complete how much of it is a
	// complete head.
	received []byte
	complete int
	// early is the first byte of a head, if the server has read it before; see background.
	early []byte
	// left is how much of the body is to be read. If the body is chunked, chunks finds its end.
	left   int64
	chunks *heads.Chunks
	// weighed says that the head of the request holds room.
	weighed bool
	// http2 says that the head is the beginning of a connection with HTTP/2.
	http2 bool
}

// http2Preface is the beginning of the preface of HTTP/2 in clear text, which has the form of a head.
const http2Preface = "PRI * HTTP/2.0\r\n\r\n"

// Read reads bytes of a request.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.phase == unseen:
		return c.next(p)
	case c.phase == inBody:
		return c.readBody(p)
	case c.phase == inHead && len(p) == 1:
		return c.background(p)
	}
	for c.phase == inHead {
		n, err := c.receive(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
	return c.pass(p)
}

// background reads the first byte after a request while that is served: so the server notices that its
// caller has disconnected.
func (c *conn) background(p []byte) (int, error) {
	n, err := c.next(p)
	if n > 0 {
		c.early = append(c.early, p[0])
	}
	return n, err
}

// next reads what was received before, or from the connection.
func (c *conn) next(p []byte) (int, error) {
	if len(c.received) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.received)
	c.consume(n)
	return n, nil
}

// consume drops bytes that the server has read.
func (c *conn) consume(n int) {
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
}

// receive reads until a head is complete and there is room for it. A small head that arrives as a whole
// is read into p.
func (c *conn) receive(p []byte) (int, error) {
	c.scan = heads.Scan{}
	if len(c.early)+len(c.received) > 0 {
		c.received = append(c.early, c.received...)
		return 0, c.receiveRest()
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		return 0, err
	}
	if !c.scan.Ends(p[:n]) || c.scan.Weight() > smallHead {
		c.received = append(make([]byte, 0, firstRead), p[:n]...)
		return 0, c.receiveRest()
	}
	size := c.scan.Size()
	if size < n {
		c.received = append([]byte(nil), p[size:n]...)
	}
	c.complete = 0
	if err := c.begin(p[:size]); err != nil {
		return 0, err
	}
	c.endHead()
	return size, nil
}

// receiveRest reads the rest of a head into a buffer of the connection.
func (c *conn) receiveRest() error {
	limit, timeout := c.listener.heads.limits()
	for waited := false; !c.scan.Ends(c.received); waited = true {
		if len(c.received) >= limit {
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonTooLong)
		}
		if !waited {
			c.listener.headBegins(c)
			if err := c.Conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
				return err
			}
		}
		if err := c.receiveMore(limit); err != nil {
			return err
		}
	}
	weight := c.scan.Weight()
	if c.scan.Size() > limit || weight > c.listener.heads.half {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonTooLong)
	}
	if weight > smallHead {
		if !c.listener.heads.hold(c, weight) {
			return c.refuse(http.StatusServiceUnavailable, reasonNoRoom)
		}
		c.weighed = true
	}
	c.listener.heads.endReception(c)
	if err := c.begin(c.received[:c.scan.Size()]); err != nil {
		return err
	}
	c.complete = c.scan.Size() - len(c.early)
	c.consume(len(c.early))
	c.early = nil
	c.phase = passing
	if c.complete == 0 {
		c.endHead()
	}
	return nil
}

// receiveMore reads more bytes into the buffer of the connection.
func (c *conn) receiveMore(limit int) error {
	if len(c.received) == cap(c.received) {
		if err := c.enlarge(limit); err != nil {
			return err
		}
	}
	n, err := c.Conn.Read(c.received[len(c.received):cap(c.received)])
	c.received = c.received[:len(c.received)+n]
	return err
}

// enlarge makes the buffer of the connection larger.
func (c *conn) enlarge(limit int) error {
	size := min(max(2*cap(c.received), firstRead), limit)
	for _, other := range c.listener.heads.grow(c, int64(size-firstRead)) {
		if other == c {
			return c.refuse(http.StatusServiceUnavailable, reasonNoRoom)
		}
		c.listener.countHead(reasonNoRoom)
		other.abandon()
	}
	c.received = append(make([]byte, 0, size), c.received...)
	return nil
}

// begin records that a request has begun, with a complete head.
func (c *conn) begin(head []byte) error {
	if !c.listener.begin(c) {
		return net.ErrClosed
	}
	c.http2 = string(head) == http2Preface
	body := heads.BodyOf(head)
	c.left, c.chunks = body.Length, nil
	if body.Chunked {
		c.chunks = &heads.Chunks{}
	}
	return nil
}

// pass gives the server a complete head.
func (c *conn) pass(p []byte) (int, error) {
	n := copy(p, c.received[:c.complete])
	c.consume(n)
	if c.complete -= n; c.complete == 0 {
		c.endHead()
	}
	return n, nil
}

// endHead records that the server has read the head.
func (c *conn) endHead() {
	if c.http2 {
		c.phase = unseen
		return
	}
	c.phase = inBody
	c.endBody()
}

// readBody reads the body up to its end.
func (c *conn) readBody(p []byte) (int, error) {
	if c.chunks == nil {
		n, err := c.next(p[:min(int64(len(p)), c.left)])
		c.left -= int64(n)
		c.endBody()
		return n, err
	}
	n, err := c.next(p)
	body, ended := c.chunks.End(p[:n])
	if ended {
		// What follows belongs to the next request.
		c.received = append(append([]byte(nil), p[body:n]...), c.received...)
		c.left, c.chunks = 0, nil
		c.endBody()
	}
	return body, err
}

// endBody ends the request if its body was read.
func (c *conn) endBody() {
	if c.chunks == nil && c.left == 0 {
		c.phase = inHead
	}
}

// retryAfter is when a caller may return whose head has found no room, in seconds.
const retryAfter = 1

// refuse answers a head that is not parsed, and returns the error that ends the connection.
func (c *conn) refuse(status int, reason string) error {
	c.listener.countHead(reason)
	c.listener.heads.endReception(c)
	c.received = nil
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		text += fmt.Sprintf("Retry-After: %d\r\n", retryAfter)
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime)) // A closed connection fails the write.
	if _, err := io.WriteString(c.Conn, text+"\r\n"); err == nil {
		c.linger()
	}
	return io.EOF // The server closes the connection without an answer of its own.
}

const (
	// lingerTime and lingerBytes bound what is read of a refused request, so that its caller can read
	// the answer: closing a connection with unread bytes resets it.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// linger reads the rest of a refused request.
func (c *conn) linger() {
	_ = c.CloseWrite()                                              // The connection is closed afterwards.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes)) // It may end in any way.
}

// abandon closes a connection that has no request, without waiting for its caller. Its reader reports
// the error.
func (c *conn) abandon() {
	c.listener.release(c)
	_ = transport(c.Conn).Close()
}

// transport returns the connection below TLS, if there is one.
func transport(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return c
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.release(c)
	return c.Conn.Close()
}

// CloseWrite closes the writing side. The server does so half a second before it closes a connection
// with unread bytes, which resets it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Retain says that of the head of a request not more than a number of bytes stay in memory until
// the request ends. The context is that of the request; only its handler may call this.
func Retain(ctx context.Context, bytes int64) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && c.weighed {
		c.listener.heads.retain(c, bytes)
	}
}

// place is where a Listener keeps a connection. The lock of the Listener guards it.
type place struct {
	// idle is its element of the connections without a request, incoming that of those whose
	// request has not begun yet; nil if it is not there. since is when it was added there.
	idle, incoming *list.Element
	since          time.Time
	closed         bool
}

// share is the part of a connection in the room for heads. The lock of that room guards it.
type share struct {
	// growing is its element among the heads in reception, and reception how much it holds there.
	growing   *list.Element
	reception int64
	// weight is what its complete head holds.
	weight int64
	ended  bool
}
