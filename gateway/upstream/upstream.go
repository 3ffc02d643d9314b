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
//	pool := upstream.NewPool(addr, tcp.Dial, answersTo)
//	reply, err := pool.Do(ctx, &upstream.Request{Method: "POST", Target: uri, Host: host, Head: head, Body: body, ID: id})
//	if err != nil {
//		return err
//	}
//	defer reply.Close()
//	data, err := io.ReadAll(reply) // nil error: the whole body
package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
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
