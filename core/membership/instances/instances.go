// Package instances is the client of the platform's list of live and leaving
// instances.
//
// The list is eventually consistent: it may contain a removed instance for some
// seconds, and a new one may be missing. It is a hint for where to look, never a
// proof that an instance serves.
//
// # Usage
//
//	c := instances.New(instances.Config{Address: "10.0.0.6:8080"})
//	err := c.Poll(ctx, 2*time.Second, func(list []instances.Instance, err error) {
//		if err == nil {
//			members.Replace(list)
//		}
//	})
package instances

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// The states of an instance.
const (
	// Live says that the instance runs.
	Live = "live"
	// Leaving says that the instance is about to be removed.
	Leaving = "leaving"
)

const (
	// DefaultTimeout bounds one call if Config sets no timeout.
	DefaultTimeout = 2 * time.Second
	// maxList bounds the list, in bytes; a thousand instances take about a
	// tenth of a megabyte.
	maxList = 4 << 20
	// maxHead is the longest head of an answer in bytes.
	maxHead = 32 << 10
	path    = "/instances"
)

// Instance is one entry of the list.
type Instance struct {
	Name string `json:"name"`
	// Address is the IP address and port of the instance's process.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is Live or Leaving.
	State string `json:"state"`
}

// StatusError says that the platform answered with a status other than 200.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string { return fmt.Sprintf("instances: status %d", e.Status) }

// Config holds the settings of a Client.
type Config struct {
	// Address is a host:port pair or a URL.
	Address string
	// Timeout bounds one call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Transport carries the calls; nil means http.DefaultTransport with a bound on the heads of answers.
	Transport http.RoundTripper
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	url  string
	http http.Client
}

// New returns a client. It makes no call.
func New(cfg Config) *Client {
	url := cfg.Address
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	timeout := cfg.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	transport := cfg.Transport
	if transport == nil {
		transport = newTransport()
	}
	return &Client{
		url:  strings.TrimSuffix(url, "/") + path,
		http: http.Client{Transport: transport, Timeout: timeout},
	}
}

func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHead
	return t
}

// List reads the list once. An error never comes with a part of the list, so
// that a truncated answer cannot be taken for a small fleet.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "instances")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "instances")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: res.StatusCode}
	}
	var list []Instance
	if err := json.NewDecoder(io.LimitReader(res.Body, maxList)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "instances: read list")
	}
	return list, nil
}

// Poll reads the list about every period and passes each result to f, one after
// the other, until ctx ends, whose error it returns. The first read is made at
// once; later ones are jittered by up to a tenth of the period, so that
// instances started together do not stay synchronized.
func (c *Client) Poll(ctx context.Context, every time.Duration, f func([]Instance, error)) error {
	const spread = 10
	for {
		list, err := c.List(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f(list, err)
		wait := every - every/spread + rand.N(2*every/spread+1)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
