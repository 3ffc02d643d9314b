package rankpeer

import (
	"context"
	"time"
)

// Client sends requests to one agent over a connection that it makes on demand and
// closes after an error. It is not safe for concurrent use.
type Client struct {
	addr string
	conn *Conn
}

// NewClient returns a client of the agent at addr.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Connected reports whether there is a connection.
func (c *Client) Connected() bool { return c.conn != nil }

// Connect makes a connection if there is none.
func (c *Client) Connect(ctx context.Context, timeout time.Duration) error {
	if c.conn != nil {
		return nil
	}
	conn, err := Dial(ctx, c.addr, timeout)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// Do sends a request over the connection that Connect has made.
func (c *Client) Do(req Request, timeout time.Duration) (Response, error) {
	resp, err := c.conn.Do(req, timeout)
	if err != nil {
		c.Close()
	}
	return resp, err
}

// Close closes the connection, if there is one.
func (c *Client) Close() {
	if c.conn != nil {
		// The connection is abandoned, so that an error in closing it does not matter.
		_ = c.conn.Close()
		c.conn = nil
	}
}
