package scripted

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one HTTP request of a caller.
type Call struct {
	// Gateway is the address of the gateway.
	Gateway                string
	Method, Path, Host, ID string
	Body                   string
	// Key is the caller's secret; empty for none.
	Key string
	// Timeout is the time that the caller announces to wait; 0 announces none.
	Timeout time.Duration
	// KeepAlive asks to keep the call's own connection open.
	KeepAlive bool
	// Transport holds the caller's connections; if nil, the call uses a new
	// connection.
	Transport *http.Transport
	// Header is sent in addition to the headers that the call sets itself.
	Header http.Header
}

// Answer is the response that a caller received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Complete reports that the body was received to its end.
	Complete bool
	// Closes reports that the connection closes after the response.
	Closes bool
	// Err is the reason why there is no response or only an incomplete one.
	Err error
}

// Signature returns the server's signature of the response, or "".
func (a Answer) Signature() string { return a.Header.Get("X-Response-Seal") }

// Sealed reports whether the response has the signature for request id.
func (a Answer) Sealed(id string) bool { return a.Signature() == Seal(id) }

// PromptHeader returns the headers by which a caller describes its prompt.
func PromptHeader(model, tokens, parts string) http.Header {
	h := http.Header{}
	h.Set("X-Model", model)
	h.Set("X-Token-Usage", tokens)
	h.Set("X-Prompt-Prefix", parts)
	return h
}

// ForgeWorkspace adds the header for a workspace, which callers may not set.
func ForgeWorkspace(h http.Header, name string) { h.Set("X-Tenant", name) }

// RetryAfter returns the delay in the Retry-After header, or 0 if there is none.
func (a Answer) RetryAfter() time.Duration {
	s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Do sends the call and reads the response to its end.
func (c Call) Do(ctx context.Context) Answer {
	resp, err := c.open(ctx)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Complete: err == nil, Closes: resp.Close, Err: err}
}

func (c Call) open(ctx context.Context) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Gateway+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	req.Host = c.Host
	req.GetBody = nil // The transport must not retry on its own.
	req.Header.Set("X-Request-Id", c.ID)
	if c.Key != "" {
		req.Header.Set("Authorization", "Token "+c.Key)
	}
	if c.Timeout > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	}
	t := c.Transport
	if t == nil {
		t = &http.Transport{DisableKeepAlives: !c.KeepAlive, DisableCompression: true}
	}
	return t.RoundTrip(req)
}

// SingleConnection returns a transport with a single connection, which is reused
// as long as the gateway keeps it open.
func SingleConnection() *http.Transport {
	return &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
}

// RemainingTime returns how long the caller still waits, as reported to the
// server.
func (r Request) RemainingTime() time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Workspace returns the workspace that was reported to the server.
func (r Request) Workspace() string { return r.Header.Get("X-Tenant") }

// ExpectedInstance returns the server that the request is intended for.
func (r Request) ExpectedInstance() string { return r.Header.Get("X-Expect-Instance") }

// DoStreaming is like Do, and calls part for each part of the body as it arrives.
func (c Call) DoStreaming(ctx context.Context, part func(string)) Answer {
	resp, err := c.open(ctx)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	got := Answer{Status: resp.StatusCode, Header: resp.Header}
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			got.Body += string(buf[:n])
			part(string(buf[:n]))
		}
		if err != nil {
			got.Complete = err == io.EOF
			return got
		}
	}
}

// Sign adds a server's signature of the response to a request.
func Sign(h http.Header, id string) { h.Set("X-Response-Seal", Seal(id)) }
