package changefeed

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/messages"
	"verbenashift/core/plumbing/tcp"
)

const (
	// maxWait is the longest time that a follower may wait for a change.
	maxWait = 5 * time.Second
	// dialTimeout and answerTimeout bound a connection and an answer beyond the wait.
	dialTimeout   = 500 * time.Millisecond
	answerTimeout = 900 * time.Millisecond
	// idleTimeout is how long a follower may leave its connection unused.
	idleTimeout = 30 * time.Second
	// compressFrom is the size in bytes from which values are compressed.
	compressFrom = 1024
	// maxRequest and maxResponse are the longest messages in bytes, maxValues is the longest that the
	// values of a response may be when they are decompressed.
	maxRequest  = 4 << 10
	maxResponse = 8 << 20
	maxValues   = 16 << 20
	// maxFollowers bounds the connections of followers.
	maxFollowers = 256
)

// request asks for the changes after a revision.
type request struct {
	After int64
	Wait  time.Duration
}

// response holds changes. Gone says that the feed can't serve them.
type response struct {
	Gone     bool
	Changes  []change
	Revision int64
	// Age is how long ago the store has confirmed the revision.
	Age time.Duration
}

// Serve answers followers until the listener is closed.
func Serve(l net.Listener, f *Feed) error {
	slots := make(chan struct{}, maxFollowers)
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				// The follower connects again.
				_ = serve(c, f)
			}()
		default:
			_ = c.Close()
		}
	}
}

// serve answers the requests on one connection, one at a time, until it fails.
func serve(c net.Conn, f *Feed) error {
	defer func() { _ = c.Close() }()
	read := messages.NewReader(c, maxRequest)
	in, out := gob.NewDecoder(read), gob.NewEncoder(c)
	for {
		read.Next()
		if err := c.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		var req request
		if err := in.Decode(&req); err != nil {
			return err
		}
		resp := answer(&req, f)
		if err := c.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		if err := out.Encode(resp); err != nil {
			return err
		}
	}
}

// answer returns the changes that a follower wants, and waits for one if there is none.
func answer(req *request, f *Feed) *response {
	timeout := time.NewTimer(min(max(req.Wait, 0), maxWait))
	defer timeout.Stop()
	for waiting := true; ; {
		b, err := f.since(req.After)
		if err != nil {
			return &response{Gone: true}
		}
		if len(b.changes) > 0 || !waiting {
			return &response{Changes: b.changes, Revision: b.revision, Age: time.Since(b.confirmed)}
		}
		select {
		case <-b.changed:
		case <-timeout.C:
			waiting = false
		}
	}
}

// compressed returns an item as a change, with its value compressed if it is large.
func compressed(it kv.Item) change {
	if len(it.Value) < compressFrom {
		return change{Item: it}
	}
	it.Value = compress(it.Value)
	return change{it, true}
}

func compress(value []byte) []byte {
	var b bytes.Buffer
	// Neither the level nor a write into memory can fail.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

// Client follows one feed. It is not safe for concurrent use, except for Close.
type Client struct {
	addr string

	mu   sync.Mutex
	conn net.Conn
	read *messages.Reader
	in   *gob.Decoder
	out  *gob.Encoder
}

// NewClient returns a client of the feed at addr.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Addr returns the address of the feed.
func (c *Client) Addr() string { return c.addr }

// Watch waits for changes after a revision. It returns no items if there were none in the time
// given, and how long ago the store has confirmed the answer. The error is a *kv.StatusError like
// that of a compacted store if the feed lacks some of the changes.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (kv.Page, time.Duration, error) {
	if err := c.connect(ctx); err != nil {
		return kv.Page{}, 0, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	r, err := c.exchange(&request{After: after, Wait: wait})
	if err != nil {
		c.Close()
		return kv.Page{}, 0, err
	}
	if r.Gone {
		return kv.Page{}, 0, &kv.StatusError{Call: "changes of " + c.addr, Status: http.StatusGone}
	}
	page := kv.Page{Revision: r.Revision}
	left := int64(maxValues)
	for _, ch := range r.Changes {
		if ch.Compressed {
			if ch.Value, err = decompress(ch.Value, left); err != nil {
				c.Close()
				return kv.Page{}, 0, err
			}
		}
		left -= int64(len(ch.Value))
		page.Items = append(page.Items, ch.Item)
	}
	return page, r.Age, nil
}

// decompress decompresses a value of at most limit bytes.
func decompress(value []byte, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &messages.TooLongError{Limit: maxValues}
	}
	return data, err
}

// connect makes a connection if there is none.
func (c *Client) connect(ctx context.Context) error {
	c.mu.Lock()
	connected := c.conn != nil
	c.mu.Unlock()
	if connected {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := tcp.Dial(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.read, c.out = conn, messages.NewReader(conn, maxResponse), gob.NewEncoder(conn)
	c.in = gob.NewDecoder(c.read)
	return nil
}

// exchange sends a request and waits for its response.
func (c *Client) exchange(req *request) (*response, error) {
	c.mu.Lock()
	conn, read, in, out := c.conn, c.read, c.in, c.out
	c.mu.Unlock()
	if conn == nil {
		return nil, net.ErrClosed
	}
	if err := conn.SetDeadline(time.Now().Add(req.Wait + answerTimeout)); err != nil {
		return nil, err
	}
	if err := out.Encode(req); err != nil {
		return nil, err
	}
	var r response
	read.Next()
	err := in.Decode(&r)
	return &r, err
}

// Close closes the connection, if there is one, and ends a Watch in progress.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		// The connection is abandoned, so that an error in closing it does not matter.
		_ = c.conn.Close()
		c.conn = nil
	}
}
