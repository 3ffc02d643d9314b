package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/request/outcome"
)

const (
	requestIDHeader = "X-Request-Id"
	eventStream     = "text/event-stream"
	doneData        = "[DONE]"
	maxErrorBody    = 1 << 20
)

// progress is the part of one answer received so far, over all attempts.
type progress struct {
	text strings.Builder
	// requestID is set once the response header of a stream has arrived.
	requestID string
	// lastID is the ID of the last event.
	lastID uint64
	first  time.Time
	// begun counts the requests that have received a part of their answer.
	begun *atomic.Int64
}

func (p *progress) add(text string) {
	if p.first.IsZero() && text != "" {
		p.first = time.Now()
		p.begun.Add(1)
	}
	p.text.WriteString(text)
}

// attemptResult is the result of one attempt. Outcome None means that the
// connection was lost or that the entry handed the request over.
type attemptResult struct {
	outcome    outcome.Outcome
	reason     string
	requestID  string
	retryAfter time.Duration
	// notSent means that no connection was established.
	notSent bool
	// handover means that the answer continues at any entry.
	handover bool
}

// exchanger sends HTTP requests to entries.
type exchanger struct {
	http *http.Client
}

func newExchanger(conns int) *exchanger {
	return &exchanger{&http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// submit sends a call to an entry.
func (x *exchanger) submit(ctx context.Context, entry, token string, c *call, p *progress) attemptResult {
	req, err := http.NewRequestWithContext(ctx, c.method, base(entry)+c.target, bytes.NewReader(c.body))
	if err != nil {
		return attemptResult{reason: "bad-call", notSent: true}
	}
	// Without GetBody, net/http does not retry the request by itself; the record
	// would not show such a retry.
	req.GetBody = nil
	h := req.Header
	if len(c.body) > 0 {
		h.Set("Content-Type", "application/json")
	}
	setIf(h, "Idempotency-Key", c.line.IdempotencyKey)
	setIf(h, "X-Priority", c.priority)
	if c.line.MayNotRepeat {
		h.Set("X-May-Not-Repeat", "true")
	}
	return x.do(req, token, c, p)
}

// attach requests the rest of a stream from an entry.
func (x *exchanger) attach(ctx context.Context, entry, token string, c *call, p *progress) attemptResult {
	target := base(entry) + "/v1/requests/" + url.PathEscape(p.requestID) + "?after=" + strconv.FormatUint(p.lastID, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return attemptResult{reason: "bad-call", notSent: true}
	}
	return x.do(req, token, c, p)
}

func base(entry string) string {
	if strings.Contains(entry, "://") {
		return entry
	}
	return "http://" + entry
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func (x *exchanger) do(req *http.Request, token string, c *call, p *progress) attemptResult {
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := x.http.Do(req)
	if err != nil {
		var op *net.OpError
		return attemptResult{reason: "connection", notSent: errors.As(err, &op) && op.Op == "dial"}
	}
	defer func() { _ = resp.Body.Close() }()
	e := attemptResult{requestID: resp.Header.Get(requestIDHeader)}
	switch {
	case strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream):
		return e.readStream(resp.Body, p)
	case c.line.Model != "":
		return e.readDocument(resp, p)
	}
	return e.readBody(resp, p)
}

type errorBody struct {
	Error struct {
		Outcome   string `json:"outcome"`
		Reason    string `json:"reason"`
		RequestID string `json:"request-id"`
	} `json:"error"`
}

// takeError sets the result from an entry's error in body, and reports whether
// body is such an error.
func (e *attemptResult) takeError(body []byte) bool {
	var b errorBody
	if json.Unmarshal(body, &b) != nil {
		return false
	}
	for _, o := range []outcome.Outcome{outcome.NotRun, outcome.Unknown, outcome.Failed} {
		if b.Error.Outcome != o.String() {
			continue
		}
		e.outcome, e.reason = o, b.Error.Reason
		if b.Error.RequestID != "" {
			e.requestID = b.Error.RequestID
		}
		return true
	}
	return false
}

func (e *attemptResult) setRetryAfter(h http.Header) {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err == nil {
		e.retryAfter = time.Duration(seconds * float64(time.Second))
	}
}

// readBody reads a service's answer unchanged.
func (e attemptResult) readBody(resp *http.Response, p *progress) attemptResult {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		e.reason = "connection"
		return e
	}
	e.setRetryAfter(resp.Header)
	if resp.StatusCode >= http.StatusBadRequest {
		if !e.takeError(body) {
			// The error is the service's own, not an entry's.
			e.outcome, e.reason = outcome.Failed, "target-status-"+strconv.Itoa(resp.StatusCode)
		}
		return e
	}
	p.text.Reset()
	p.add(string(body))
	e.outcome = outcome.Complete
	return e
}

type chunk struct {
	Choices []struct {
		Text    string       `json:"text"`
		Delta   chunkContent `json:"delta"`
		Message chunkContent `json:"message"`
	} `json:"choices"`
}

type chunkContent struct {
	Content string `json:"content"`
}

func (c *chunk) text() string {
	var b strings.Builder
	for _, choice := range c.Choices {
		b.WriteString(choice.Text)
		b.WriteString(choice.Delta.Content)
		b.WriteString(choice.Message.Content)
	}
	return b.String()
}

// readDocument reads a model's answer that is one JSON document.
func (e attemptResult) readDocument(resp *http.Response, p *progress) attemptResult {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		e.reason = "connection"
		return e
	}
	e.setRetryAfter(resp.Header)
	if e.takeError(body) {
		return e
	}
	if resp.StatusCode != http.StatusOK {
		e.outcome, e.reason = outcome.Failed, "target-status-"+strconv.Itoa(resp.StatusCode)
		return e
	}
	var doc chunk
	if json.Unmarshal(body, &doc) != nil {
		e.reason = "bad-answer"
		return e
	}
	p.text.Reset()
	p.add(doc.text())
	e.outcome = outcome.Complete
	return e
}

// readStream reads events up to an explicit end. Without one, the outcome stays
// None because the answer was cut off.
func (e attemptResult) readStream(body io.Reader, p *progress) attemptResult {
	if e.requestID != "" {
		p.requestID = e.requestID
	}
	evs := newEvents(body)
	for {
		ev, err := evs.next()
		if err != nil {
			e.reason = "connection"
			return e
		}
		if ev.id > 0 {
			p.lastID = ev.id
		}
		switch {
		case ev.name == "error":
			if !e.takeError(ev.data) {
				e.outcome, e.reason = outcome.Failed, "unreadable-error"
			}
			return e
		case ev.name == "handover":
			return e.handOver(ev.data, p)
		case string(ev.data) == doneData:
			e.outcome = outcome.Complete
			return e
		}
		var piece chunk
		if json.Unmarshal(ev.data, &piece) != nil {
			e.reason = "bad-answer"
			return e
		}
		p.add(piece.text())
	}
}

func (e attemptResult) handOver(data []byte, p *progress) attemptResult {
	var body struct {
		RequestID string `json:"request-id"`
	}
	if json.Unmarshal(data, &body) == nil && body.RequestID != "" {
		p.requestID = body.RequestID
	}
	e.handover, e.reason = true, "handover"
	return e
}
