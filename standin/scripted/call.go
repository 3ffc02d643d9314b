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
	// Front is the address of the gateway.
	Front                  string
	Method, Path, Host, ID string
	Body                   string
	// Key is the caller's secret; empty for none.
	Key string
	// Patience is how long the caller says it waits; 0 for not saying.
	Patience time.Duration
	// Keep says that the caller would use the connection again.
	Keep bool
	// Over is where the caller keeps its connections; nil for a connection of the
	// call's own.
	Over *http.Transport
	// Header is sent beside what a Call sets itself.
	Header http.Header
}

// Answer is what a caller saw.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Whole says that the answer has ended as complete.
	Whole bool
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

// ClaimWorkspace adds a claim that a caller has no right to make.
func ClaimWorkspace(h http.Header, name string) { h.Set("X-Tenant", name) }

// Comeback returns when the caller may come back; 0 if it was not told.
func (a Answer) Comeback() time.Duration {
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
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Whole: err == nil, Closes: resp.Close, Err: err}
}

func (c Call) open(ctx context.Context) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Front+c.Path, strings.NewReader(c.Body))
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
	if c.Patience > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Patience.Milliseconds(), 10))
	}
	t := c.Over
	if t == nil {
		t = &http.Transport{DisableKeepAlives: !c.Keep, DisableCompression: true}
	}
	return t.RoundTrip(req)
}

// OneConnection returns a place for connections that holds one, which is used
// again as long as the gateway lets it.
func OneConnection() *http.Transport {
	return &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
}

// Left returns how long a server was told that its caller still waits.
func (r Request) Left() time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Workspace returns the workspace that a server was told.
func (r Request) Workspace() string { return r.Header.Get("X-Tenant") }

// Meant returns the server that the request was meant for.
func (r Request) Meant() string { return r.Header.Get("X-Expect-Instance") }

// DoParts is like Do, and tells of each part of the body as it arrives.
func (c Call) DoParts(ctx context.Context, part func(string)) Answer {
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
			got.Whole = err == io.EOF
			return got
		}
	}
}
