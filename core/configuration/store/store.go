// Package store is the client of the platform's key-value service.
//
// The service stores what must outlive the instances: the operators'
// configuration and the leases of the roles. It speaks the JSON form of the
// etcd version 3 protocol (see package wire). Each call counts against its
// rate limits, and so does a waiting watch; the client does not retry a call,
// except at another address as described below.
//
// A key's Version is the store's revision at its last change. It grows with
// each change, is never reused, and is 0 for an absent key. If the service comes back
// from an older copy of its data, it gives its revisions and leases out again; versions
// and the numbers of leases then grow by its era (see kv.NewRevision), and those of an
// earlier era are no longer found.
//
// # Failures
//
// A write ends in one of four ways: success; *ConflictError,
// *LeaseNotFoundError, *RefusedError or *TooLargeError if the store or the client
// rejected it; *UnavailableError if it certainly had no effect; and *UnknownError
// if its answer was lost and it may have taken effect. *UnavailableError is
// limited to calls that never got a connection and to rejections by the rate
// limit: once a connection was assigned to a request, no failure proves that the
// store did not run it. The caller resolves an *UnknownError by reading the key
// back, with an identifier of its own inside the value.
//
// With several addresses a read that fails is tried once at each. A write is
// tried at the next address only if it certainly had no effect.
//
// # Usage
//
//	c := store.New(store.Config{Addresses: []string{"10.0.0.5:2379"}})
//	cur, err := c.Get(ctx, "config/head")
//	if err != nil {
//		return err
//	}
//	version, err := c.CompareAndSwap(ctx, cur.Key, cur.Version, next, 0)
//	var unknown *store.UnknownError
//	if errors.As(err, &unknown) {
//		return readBack(ctx, c, changeID)
//	}
package store

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/configuration/store/wire"
	"verbenashift/core/plumbing/answers"
)

const (
	// DefaultTimeout bounds one attempt of a call if Config sets no timeout.
	DefaultTimeout = 2 * time.Second
	// MaxValue is the largest value that can be written, in bytes.
	MaxValue = wire.MaxValue
	// maxHead is the longest head of an answer in bytes.
	maxHead = 32 << 10
	// maxResponse bounds what is read of one answer, in bytes. It leaves room
	// for about twenty values of the largest size in base64.
	maxResponse = 32 << 20
)

// KV is a key with its value.
type KV struct {
	Key   string
	Value []byte
	// Version is the store's revision at the key's last change; 0 means that
	// the key is absent.
	Version int64
	// Era counts how often the service had come back from an older copy when it answered.
	Era int64
	// Deleted marks a deletion seen by a watch. Version is then that of the
	// deletion, from which a watch continues; the key itself is absent and is
	// created again with version 0.
	Deleted bool
}

// Lease is a lease that the store has granted: it retains the lease's keys for
// the TTL. The holder counts TTL from before it sent the call that granted or
// renewed the lease.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Config configures a Client.
type Config struct {
	// Addresses are host:port pairs or URLs, in order of preference.
	Addresses []string
	// Timeout bounds one attempt at one address; 0 means DefaultTimeout.
	Timeout time.Duration
	// Transport carries the calls; nil means a new one for this client.
	Transport http.RoundTripper
}

// Client makes calls to the service. It is safe for concurrent use.
type Client struct {
	bases     []string
	timeout   time.Duration
	transport http.RoundTripper
	preferred atomic.Int32 // index in bases of the address that answered last
	era       kv.LatestEra
}

// New returns a client. It makes no call.
func New(cfg Config) *Client {
	c := &Client{timeout: cfg.Timeout, transport: cfg.Transport}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.transport == nil {
		c.transport = newTransport(c.timeout)
	}
	for _, a := range cfg.Addresses {
		c.bases = append(c.bases, baseURL(a))
	}
	return c
}

// newTransport returns a transport that detects a dead peer by TCP keep-alive
// probes in about ten seconds, since an idle watch sends nothing by itself.
func newTransport(timeout time.Duration) http.RoundTripper {
	const idleConns = 4
	dialer := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	return &answers.Transport{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		// The default is 10 MB.
		MaxResponseHeaderBytes: maxHead,
	}}
}

// baseURL turns an address into the URL before a call's path.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// Get reads one key. An absent key has Version 0 and is not an error.
func (c *Client) Get(ctx context.Context, key string) (KV, error) {
	kvs, era, err := c.readRange(ctx, opGet, wire.RangeRequest{Key: []byte(key)})
	if err != nil {
		return KV{}, err
	}
	if len(kvs) == 0 {
		return KV{Key: key, Era: era}, nil
	}
	return fromWire(kvs[0], era)
}

// List reads all keys that begin with prefix, in order of their names. The
// answer is limited to 32 MB, beyond which it is a *TooLargeError.
func (c *Client) List(ctx context.Context, prefix string) ([]KV, error) {
	req := wire.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if prefix == "" {
		req.Key = []byte{0} // the protocol has no empty key; this one sorts before all others
	}
	kvs, era, err := c.readRange(ctx, opList, req)
	if err != nil {
		return nil, err
	}
	list := make([]KV, len(kvs))
	for i, w := range kvs {
		if list[i], err = fromWire(w, era); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (c *Client) readRange(ctx context.Context, op string, req wire.RangeRequest) (kvs []wire.KeyValue, era int64, err error) {
	var resp wire.RangeResponse
	era, err = c.read(ctx, call{op: op, path: wire.RangePath, key: string(req.Key)}, req, &resp)
	if err != nil {
		return nil, 0, err
	}
	// An answer without a revision is not from a store: treating it as an absent
	// key would make a node drop its configuration.
	if resp.Header.Revision <= 0 {
		return nil, 0, unavailable(op, errIncompleteResponse)
	}
	return resp.KVs, era, nil
}

// prefixEnd returns the first key after all that begin with prefix. A zero byte
// means the end of all keys, as the protocol defines it.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
