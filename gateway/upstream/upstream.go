// Package upstream sends requests to servers over HTTP/1.1 and never sends one
// twice.
//
// The standard client repeats some requests by itself when a keep-alive connection
// breaks. Here that is the caller's decision: Do makes one attempt, and a
// *NotSentError distinguishes attempts of which no byte was sent from the others,
// after which the server may have run the request.
//
// A server may also answer twice, answer late, or send bytes that belong to no
// request. An answer is therefore matched by the identifier that it echoes, a
// keep-alive connection with unexpected bytes is closed, and a body is complete only
// when its framing says so.
//
// A server may send bytes without end. A head is parsed only when it is in the buffer as a
// whole, within its limits; a body is read by the caller of Do, who limits it.
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

	"verbenashift/core/plumbing/answers"
)

const (
	// readBuffer holds the head of most answers and a few events.
	readBuffer = 4 << 10
	// defaultIdle is the idle timeout of a connection if the server does not state one; it
	// is shorter than that of most servers.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the server's timeout an idle connection is
	// closed, so that a request is not sent while the server closes the connection.
	idleMargin = 600 * time.Millisecond
	// maxUnexpected is how many answers to other requests are skipped before the
	// connection is abandoned.
	maxUnexpected = 3
	// maxUnexpectedBody is the longest body of such an answer in bytes.
	maxUnexpectedBody = 1 << 20
	// inlineBody is the largest body written before the answer is read; a
	// longer one is written concurrently, because a server may answer before it has
	// read the body.
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
	// HasBody states a length also for an empty body.
	HasBody bool
	// ID is the identifier that the answer must echo.
	ID string
	// Fresh requires a new connection: a keep-alive connection may break just as the
	// request is sent, and then it is unknown whether the request has run.
	Fresh bool
	// Room is the room for a head that does not fit the buffer of the connection; nil means
	// that there is always some. What was taken is needed until the reply is closed, or as long
	// as its header is used.
	Room Room
}

// Room is a part of a limited amount of memory.
type Room interface {
	// Extend makes room for n bytes in all, or returns an error if there is none.
	Extend(ctx context.Context, n int64) error
}

// Do sends the request once and returns the head of its answer. When the context
// ends, Do returns and closes the connection, which shows the server that the caller
// no longer waits.
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
	reply, err := p.exchange(ctx, c, r)
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

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Reply, error) {
	head := headOf(r)
	if len(r.Body) <= inlineBody {
		head = append(head, r.Body...)
		n, err := c.Write(head)
		if err != nil && n == 0 {
			return nil, &NotSentError{err}
		}
		// A server that refuses early may have answered before the write failed, so
		// the answer is read in any case.
		return p.readHead(ctx, c, r, err)
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
	reply, err := p.readHead(ctx, c, r, err)
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
func (p *Pool) readHead(ctx context.Context, c *conn, r *Request, writeErr error) (*Reply, error) {
	for range maxUnexpected {
		resp, err := c.readResponse(ctx, r)
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
	return nil, &BrokenError{"head", errUnexpected}
}

// readResponse reads the head of the next answer.
func (c *conn) readResponse(ctx context.Context, r *Request) (*http.Response, error) {
	head, err := c.bufferHead(ctx, r.Room)
	if err != nil {
		return nil, err
	}
	if hasFaultyFraming(head) {
		return nil, errFraming
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
	if err != nil {
		return nil, err
	}
	return resp, answers.Check(resp)
}

// skip reads the body of an answer to another request.
func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnexpected
	}
	if resp.ContentLength > maxUnexpectedBody {
		return &TooLongError{PartUnexpected, 0, maxUnexpectedBody}
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnexpectedBody+1))
	if n > maxUnexpectedBody {
		return &TooLongError{PartUnexpected, n, maxUnexpectedBody}
	}
	return err
}
