package target

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// Service is a client of one service that is not a model engine. It is safe for concurrent
// use.
type Service struct{ client }

// NewService returns a client of the service at address, an IP address and port.
func NewService(address string, o Options) *Service {
	return &Service{newClient(address, o)}
}

// Call is a request to a service.
type Call struct {
	Method string
	// Path is the request target: a path and an optional query, as the caller
	// escaped them.
	Path string
	Tags
	// Header holds the caller's headers; Do does not change it.
	Header http.Header
	Body   []byte
}

// Response is a service's response, whatever its status.
type Response struct {
	Status       int
	Header       http.Header
	Backpressure Backpressure
	// Body ends with io.EOF if the response is complete, and with a *BrokenError if the
	// connection was lost before. The receiver closes it.
	Body io.ReadCloser
}

// Do sends a request and returns the service's response unchanged, redirects and errors of the
// service included, except for hop-by-hop headers. Its errors are *NotSentError and
// *BrokenError.
func (p *Service) Do(ctx context.Context, c Call) (*Response, error) {
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	RemoveHopByHop(h)
	for _, name := range entryHeaders {
		h.Del(name)
	}
	c.set(h)
	if h.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	req, err := p.request(ctx, c.Method, c.Path, h, c.Body)
	if err != nil {
		return nil, err
	}
	resp, err := p.send(req)
	if err != nil {
		return nil, err
	}
	RemoveHopByHop(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Backpressure: backpressureOf(resp.StatusCode, resp.Header), Body: &answerBody{resp.Body}}, nil
}

// entryHeaders are addressed to the entry and are not forwarded to the target: it must not see
// the workspace's token, and the body has already been read, so that Expect is pointless.
var entryHeaders = []string{"Authorization", "Expect", "Content-Length", "Host"}

// hopByHop are the headers of RFC 9110 section 7.6.1 that apply to one connection whether or
// not Connection names them, those of proxies (section 11.7), and Trailer, because trailers
// are not forwarded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "TE", "Transfer-Encoding",
	"Upgrade", "Trailer", "Proxy-Authenticate", "Proxy-Authorization",
}

// RemoveHopByHop removes the hop-by-hop headers, and those that the Connection header names
// (RFC 9110 section 7.6.1).
func RemoveHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// answerBody reports the loss of a connection as a *BrokenError.
type answerBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &BrokenError{Cause: err}
	}
	return n, err
}
