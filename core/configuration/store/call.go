package store

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/store/wire"
)

// The kinds of calls, as they appear in errors and counters.
const (
	opGet            = "get"
	opList           = "list"
	opCompareAndSwap = "compare-and-swap"
	opDelete         = "delete"
	opGrant          = "grant"
	opKeepAlive      = "keep-alive"
	opRevoke         = "revoke"
	opWatch          = "watch"
)

// The metrics of this process: attempts by kind of call, and errors by kind.
var (
	callCount  = expvar.NewMap("store-calls")
	errorCount = expvar.NewMap("store-errors")
)

// call describes one call; key and lease are used in its errors only.
type call struct {
	op    string
	path  string
	key   string
	lease int64
}

// errNoAddress is the cause if the client has no address.
var errNoAddress = errors.New("no address is configured")

// errIncompleteResponse says that an answer lacked a field that the protocol requires.
var errIncompleteResponse = errors.New("answer lacks a required field")

// unavailable returns and counts an *UnavailableError.
func unavailable(op string, err error) error {
	errorCount.Add("unavailable", 1)
	return &UnavailableError{Op: op, Err: err}
}

// unknownOutcome returns and counts an *UnknownError.
func unknownOutcome(op string, err error) error {
	errorCount.Add("unknown", 1)
	return &UnknownError{Op: op, Err: err}
}

// read makes a call without effect, once at each address until one answers. It returns the era of
// the service.
func (c *Client) read(ctx context.Context, cl call, req, resp any) (era int64, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	last, first := errNoAddress, int(c.preferred.Load())
	for i := range c.bases {
		index := (first + i) % len(c.bases)
		era, _, err := c.attempt(ctx, index, cl, body, resp)
		var large *TooLargeError
		if err == nil || isDecision(err) || errors.As(err, &large) {
			return era, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return 0, unavailable(cl.op, last)
}

// write makes a call with an effect. It tries another address only if the call
// cannot have reached the first.
//
// If the answer was lost after the write, a second attempt elsewhere would find
// the effect of the first, and would report a conflict with the caller's own
// value. So once a connection was assigned to the request, each failure without
// an answer is an *UnknownError. It returns the era of the service.
func (c *Client) write(ctx context.Context, cl call, req, resp any) (era int64, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	last, first := errNoAddress, int(c.preferred.Load())
	for i := range c.bases {
		index := (first + i) % len(c.bases)
		era, sent, err := c.attempt(ctx, index, cl, body, resp)
		if err == nil || isDecision(err) {
			return era, err
		}
		if sent {
			return 0, unknownOutcome(cl.op, err)
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return 0, unavailable(cl.op, last)
}

// isDecision reports whether err means that the store itself rejected the call.
func isDecision(err error) bool {
	var notFound *LeaseNotFoundError
	var refused *RefusedError
	return errors.As(err, &notFound) || errors.As(err, &refused)
}

// attempt makes one call at the address with that index, and returns the era of the service. With an
// error, sent reports whether the request may have reached the store.
func (c *Client) attempt(ctx context.Context, index int, cl call, body []byte, resp any) (era int64, sent bool, err error) {
	callCount.Add(cl.op, 1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, sent, err := c.post(ctx, c.bases[index]+cl.path, body)
	if err != nil {
		c.preferNext(index)
		return 0, sent, err
	}
	defer res.Body.Close()
	if era, err = c.era.Observe(res.Header.Get(wire.EraHeader)); err != nil {
		return 0, true, errors.Wrap(err, "read era")
	}
	if res.StatusCode != http.StatusOK {
		sent, err := refusal(cl, res)
		return era, sent, err
	}
	if err := json.NewDecoder(&boundedReader{r: res.Body, n: maxResponse, key: cl.key}).Decode(resp); err != nil {
		return 0, true, errors.Wrap(err, "read answer")
	}
	return era, true, nil
}

// preferNext makes the address after index the preferred one, unless another
// goroutine has done so already.
func (c *Client) preferNext(index int) {
	c.preferred.CompareAndSwap(int32(index), int32((index+1)%len(c.bases)))
}

// post sends one request. sent reports whether a connection was assigned to it;
// the transport writes nothing before that, so the store cannot have received
// the request otherwise.
func (c *Client) post(ctx context.Context, url string, body []byte) (res *http.Response, sent bool, err error) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err = c.transport.RoundTrip(req)
	return res, got.Load(), err
}

// statusError is an answer whose status does not determine the call's effect.
type statusError struct {
	Status int
}

func (e *statusError) Error() string { return http.StatusText(e.Status) }

// refusal converts a status into an error. Only the statuses with which the
// store's JSON gateway rejects a call before it reaches the store prove that it
// had no effect; a 5xx may come from a store that lost its leader after it had
// accepted the write.
func refusal(cl call, res *http.Response) (sent bool, err error) {
	switch res.StatusCode {
	case http.StatusTooManyRequests:
		return false, &statusError{Status: res.StatusCode}
	case http.StatusNotFound:
		if cl.lease != 0 {
			return false, &LeaseNotFoundError{ID: cl.lease}
		}
		return false, &RefusedError{Op: cl.op, Status: res.StatusCode}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return false, &RefusedError{Op: cl.op, Status: res.StatusCode}
	default:
		return true, &statusError{Status: res.StatusCode}
	}
}

// boundedReader fails with a *TooLargeError after n bytes.
type boundedReader struct {
	r   io.Reader
	n   int
	key string
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.n <= 0 {
		return 0, &TooLargeError{Key: b.key, Limit: maxResponse}
	}
	n, err := b.r.Read(p[:min(len(p), b.n)])
	b.n -= n
	return n, err
}
