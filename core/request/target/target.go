// Package target is the client through which an agent uses the one target
// beside it: a model engine (Engine) or a plain service (Plain).
//
// The package is strict about what it claims. An error tells how far a
// request came: a *NotSentError says that no byte of it left this process, so
// that the target can't have run it; a *RefusedError holds the target's own
// refusal; a *BrokenError says that the connection was lost when the target
// may have begun. A request is sent once: the automatic retry of net/http,
// which repeats a request with an Idempotency-Key after a lost connection, is
// kept from it.
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
//		data, err := stream.Next() // io.EOF after the end mark
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
	// IdleConns is how many unused connections are kept; 0 means 256.
	IdleConns int
	// OrderToken is the bearer token of orders, for a target that checks who
	// gives them.
	OrderToken string
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Tags identify a request to the target; empty ones are left out.
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

// setHeader sets name, or removes it if value is empty, so that a caller
// can't name a workspace or request of its own choice.
func setHeader(h http.Header, name, value string) {
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

// client sends requests to one address; Engine and Plain embed it.
type client struct {
	address   string
	transport *http.Transport
	// single opens a connection for each request.
	single *http.Transport
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
		DialContext:            watched(dial),
		DisableCompression:     true,
		MaxIdleConns:           idle,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	single := transport.Clone()
	single.DisableKeepAlives = true
	return client{address: address, transport: transport, single: single}
}

// CloseIdle closes the connections that are not in use.
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
	// A request with an Idempotency-Key, or a GET, whose body can be rewound is
	// one that http.Transport sends again by itself when a kept connection
	// breaks before the answer: the target would run it twice. A body without
	// GetBody, set even where it is empty, can't be rewound, and the transport
	// then repeats nothing of which a byte was written.
	req.Body = io.NopCloser(bytes.NewReader(body))
	if len(body) == 0 && !usuallyLacksBody(method) {
		// net/http would send this body as chunked; without one it would
		// repeat the request, but not on a connection of its own.
		req.Body, req.Close = nil, true
	}
	return req, nil
}

// usuallyLacksBody reports whether net/http finds out by itself that the body
// of such a request is empty and sends none.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// send sends req once and returns the target's answer whatever its status.
func (c *client) send(req *http.Request) (*http.Response, error) {
	var sent tracker
	transport := c.transport
	if req.Close {
		transport = c.single
	}
	resp, err := transport.RoundTrip(sent.watch(req))
	if err == nil {
		return resp, nil
	}
	if sent.any() {
		return nil, &BrokenError{Cause: err}
	}
	return nil, &NotSentError{Cause: err}
}

// refusal reads the body of an answer that is not a success.
func refusal(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return &BrokenError{Cause: err}
	}
	return &RefusedError{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After"), Backpressure: backpressureOf(resp.StatusCode, resp.Header), Body: body}
}
