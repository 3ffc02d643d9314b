package scripted

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one attempt of a caller.
type Call struct {
	// Gateway is the address of the gateway.
	Gateway                string
	Method, Path, Host, ID string
	Body                   string
	// Key is the caller's secret; empty for none.
	Key string
	// Timeout is how long the caller says it waits; 0 for not saying.
	Timeout time.Duration
	// KeepAlive says that the caller would use the connection again.
	KeepAlive bool
	// Transport is where the caller keeps its connections; nil for a connection of the
	// call's own.
	Transport *http.Transport
	// Header is sent beside what a Call sets itself.
	Header http.Header
}

// Answer is what a caller saw.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Complete says that the answer has ended as complete.
	Complete bool
	// Closes says that the connection ends with the answer.
	Closes bool
	// Err is why there is no answer, or no whole one.
	Err error
}

// Signature returns that of the answer, or "".
func (a Answer) Signature() string { return a.Header.Get("X-Response-Seal") }

// Sealed reports whether the answer bears the signature for a request.
func (a Answer) Sealed(id string) bool { return a.Signature() == Seal(id) }

// PromptHeader returns what a caller says of its prompt.
func PromptHeader(model, tokens, parts string) http.Header {
	h := http.Header{}
	h.Set("X-Model", model)
	h.Set("X-Token-Usage", tokens)
	h.Set("X-Prompt-Prefix", parts)
	return h
}

// ForgeWorkspace adds a claim that a caller has no right to make.
func ForgeWorkspace(h http.Header, name string) { h.Set("X-Tenant", name) }

// RetryAfter returns when the caller may come back; 0 if it was not told.
func (a Answer) RetryAfter() time.Duration {
	s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Do sends the call and reads the answer to its end.
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
	req.GetBody = nil // The transport must not send it again by itself.
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

// SingleConnection returns a place for connections that holds one, which is used
// again as long as the gateway lets it.
func SingleConnection() *http.Transport {
	return &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
}

// RemainingTime returns how long a server was told that its caller still waits.
func (r Request) RemainingTime() time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Workspace returns the workspace that a server was told.
func (r Request) Workspace() string { return r.Header.Get("X-Tenant") }

// ExpectedInstance returns the server that the request was meant for.
func (r Request) ExpectedInstance() string { return r.Header.Get("X-Expect-Instance") }

// DoStreaming is like Do, and tells of each part of the body as it arrives.
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
