package rank

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/experts/group"
	"verbenashift/core/plumbing/answers"
)

const (
	ordersPath         = "/v1/orders"
	defaultDialTimeout = time.Second
	idleConns          = 8
	idleTimeout        = 90 * time.Second
	// maxHead and maxBody are the longest head and body of a response in bytes.
	maxHead = 32 << 10
	maxBody = 1 << 20
)

// Options holds the settings of a client. The zero value gives the defaults.
type Options struct {
	// OrderToken is the bearer token of orders, for an engine that authenticates
	// their sender.
	OrderToken string
	// DialTimeout limits the time to connect; 0 means one second.
	DialTimeout time.Duration
}

// Client is a client of one rank, safe for concurrent use.
type Client struct {
	address string
	token   string
	http    http.Client
}

// NewClient returns a client of the rank in the engine at address, which is an IP
// address and port.
func NewClient(address string, o Options) *Client {
	timeout := o.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		// The default is 10 MB.
		MaxResponseHeaderBytes: maxHead,
	}
	return &Client{address: address, token: o.OrderToken, http: http.Client{Transport: &answers.Transport{Transport: tr}}}
}

// StatusError is a response of the rank with a status other than success.
type StatusError struct {
	Path   string
	Status int
}

// Error returns the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("rank answered %s with status %d", e.Path, e.Status)
}

// ConnectionRefused reports whether err shows that the engine does not run, because
// the connection was refused. An engine that is only slow gives another error.
func ConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// State reads the rank's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.exchange(ctx, http.MethodGet, StatePath, nil, &s)
	return s, err
}

// Map reads the content of a map in the rank's memory. It returns a *StatusError with
// status 404 if the rank does not have the map.
func (c *Client) Map(ctx context.Context, v group.Version) (Placement, error) {
	var p Placement
	err := c.exchange(ctx, http.MethodGet, MapsPath+strconv.FormatUint(uint64(v), 10), nil, &p)
	return p, err
}

// Loads reads the loads of the rank's experts.
func (c *Client) Loads(ctx context.Context) (Loads, error) {
	var l Loads
	err := c.exchange(ctx, http.MethodGet, LoadsPath, nil, &l)
	return l, err
}

// Fetch makes the rank read a part of an expert's weights into its memory, and
// returns the number of bytes that have arrived.
func (c *Client) Fetch(ctx context.Context, w WeightsRequest) (int64, error) {
	var r WeightsResponse
	err := c.exchange(ctx, http.MethodPost, WeightsPath, w, &r)
	return r.Read, err
}

// engineOrder is an order in the engine's format.
type engineOrder struct {
	Fence    uint64 `json:"fence"`
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Argument Order  `json:"argument"`
}

// Apply sends an order to the rank. A *group.RefusedError means that the order changed
// nothing; after any other error it may have taken effect.
func (c *Client) Apply(ctx context.Context, o Order) error {
	in := engineOrder{Fence: o.Number.Fence, Sequence: o.Number.Sequence, Kind: OrderKind, Argument: o}
	resp, err := c.send(ctx, http.MethodPost, ordersPath, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	var r Refusal
	if resp.StatusCode != http.StatusConflict || decode(resp, &r) != nil || r.Error == "" {
		return &StatusError{Path: ordersPath, Status: resp.StatusCode}
	}
	return &group.RefusedError{Order: o.Order, Reason: r.Error}
}

// send sends one request. An order is a POST without an Idempotency-Key, which
// net/http does not retry when a reused connection fails after a byte of the
// request was written.
func (c *Client) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" && path == ordersPath {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "query rank")
	}
	return resp, nil
}

func (c *Client) exchange(ctx context.Context, method, path string, in, out any) error {
	resp, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Path: path, Status: resp.StatusCode}
	}
	if err := decode(resp, out); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// decode decodes a response of at most maxBody bytes.
func decode(resp *http.Response, out any) error {
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxBody)).Decode(out)
}
