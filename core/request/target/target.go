// Package target is the client through which an agent uses the one target
// beside it: a model engine (Engine) or any other HTTP service (Service).
//
// An error says how far a request got: a *NotSentError means that no byte of
// it left this process, so that the target can't have run it; a *RefusedError
// holds the target's own refusal; a *BrokenError means that the connection was
// lost when the target may have begun. A request is sent once: the automatic
// retry of net/http, which sends a request with an Idempotency-Key again after
// a lost connection, is disabled.
//
// # Usage
//
//	engine := target.NewEngine("127.0.0.1:9100", target.Options{})
//	stream, err := engine.Start(ctx, target.Completion{
//		Path: target.CompletionsPath,
//		Tags: target.Tags{RequestID: id, Workspace: ws},
//		Body: body,
//	})
//	if err != nil {
//		return err
//	}
//	defer stream.Close()
//	for {
//		data, err := stream.Next() // io.EOF after the end marker
//		...
//	}
package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/plumbing/answers"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleConns   = 256
	idleTimeout        = 90 * time.Second
	maxHeaderBytes     = 64 << 10
	maxRefusalBytes    = 64 << 10
)

// Options holds the settings of a client; the zero value gives defaults.
type Options struct {
	// DialTimeout limits the time to connect; 0 means one second.
	DialTimeout time.Duration
	// IdleConns is how many idle connections are kept open; 0 means 256.
	IdleConns int
	// OrderToken is the bearer token sent with orders, for a target that authenticates them.
	OrderToken string
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Tags identify a request to the target; empty ones are omitted.
type Tags struct {
	RequestID      string
	IdempotencyKey string
	Workspace      string
	// TraceParent is a W3C trace context.
	TraceParent string
}

func (t Tags) set(h http.Header) {
	setHeader(h, "X-Request-Id", t.RequestID)
	setHeader(h, "Idempotency-Key", t.IdempotencyKey)
	setHeader(h, "X-Workspace", t.Workspace)
	setHeader(h, "Traceparent", t.TraceParent)
}

// setHeader sets name, or removes it if value is empty, so that a caller can't choose the
// workspace or the request identifier.
func setHeader(h http.Header, name, value string) {
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

// client sends requests to one address; Engine and Service embed it.
type client struct {
	address   string
	transport *answers.Transport
	// unpooled opens a connection for each request.
	unpooled *answers.Transport
}

func newClient(address string, o Options) client {
	dial := o.Dial
	if dial == nil {
		timeout := o.DialTimeout
		if timeout == 0 {
			timeout = defaultDialTimeout
		}
		dial = (&net.Dialer{Timeout: timeout}).DialContext
	}
	idle := o.IdleConns
	if idle == 0 {
		idle = defaultIdleConns
	}
	transport := &http.Transport{
		DialContext:            countWrites(dial),
		DisableCompression:     true,
		MaxIdleConns:           idle,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	unpooled := transport.Clone()
	unpooled.DisableKeepAlives = true
	return client{address: address, transport: &answers.Transport{Transport: transport}, unpooled: &answers.Transport{Transport: unpooled}}
}

// CloseIdle closes the idle connections.
func (c *client) CloseIdle() { c.transport.CloseIdleConnections() }

// request builds a request; target is a path with an optional query.
func (c *client) request(ctx context.Context, method, target string, h http.Header, body []byte) (*http.Request, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, &NotSentError{Cause: errors.New("bad request path")}
	}
	u.Scheme, u.Host = "http", c.address
	req, err := http.NewRequestWithContext(ctx, method, "/", nil)
	if err != nil {
		return nil, &NotSentError{Cause: errors.New("bad method")}
	}
	req.URL, req.Host, req.Header = u, c.address, h
	req.ContentLength = int64(len(body))
	// http.Transport retries a request by itself when a kept-alive connection breaks before
	// the response, if the body can be rewound and the request is a GET or has an
	// Idempotency-Key: the target would run it twice. A body without GetBody, set even where
	// it is empty, can't be rewound, and the transport then retries nothing of which a byte
	// was written.
	req.Body = io.NopCloser(bytes.NewReader(body))
	if len(body) == 0 && !omitsEmptyBody(method) {
		// net/http would send this body as chunked; without a body it would retry the request,
		// but not on a connection of its own.
		req.Body, req.Close = nil, true
	}
	return req, nil
}

// omitsEmptyBody reports whether net/http detects that the body of a request with this method
// is empty, and sends none.
func omitsEmptyBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// send sends req once and returns the target's response whatever its status.
func (c *client) send(req *http.Request) (*http.Response, error) {
	var sent tracker
	transport := c.transport
	if req.Close {
		transport = c.unpooled
	}
	resp, err := transport.RoundTrip(sent.watch(req))
	if err == nil {
		return resp, nil
	}
	if sent.anySent() {
		return nil, &BrokenError{Cause: err}
	}
	return nil, &NotSentError{Cause: err}
}

// refusedError reads the body of a response that is not a success.
func refusedError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return &BrokenError{Cause: err}
	}
	return &RefusedError{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After"), Backpressure: backpressureOf(resp.StatusCode, resp.Header), Body: body}
}
