package rankpeer

import (
	"context"
	"time"
)

// Client asks one agent over a connection that it makes when it is needed and
// gives up after an error. It is not safe for concurrent use.
type Client struct {
	addr string
	conn *Conn
}

// NewClient returns a client of the agent at an address.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Connected reports whether there is a connection.
func (c *Client) Connected() bool { return c.conn != nil }

// Connect makes a connection if there is none.
func (c *Client) Connect(ctx context.Context, wait time.Duration) error {
	if c.conn != nil {
		return nil
	}
	conn, err := Dial(ctx, c.addr, wait)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// Do asks over the connection that Connect has made.
func (c *Client) Do(ask Request, wait time.Duration) (Response, error) {
	tell, err := c.conn.Do(ask, wait)
	if err != nil {
		c.Close()
	}
	return tell, err
}

// Close gives the connection up.
func (c *Client) Close() {
	if c.conn != nil {
		// It is given up; an error in closing it changes nothing.
		_ = c.conn.Close()
		c.conn = nil
	}
}
