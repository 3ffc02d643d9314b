package rankpeer

import (
	"expvar"
	"net"
	"sync/atomic"
)

// metricBytes counts the bytes on connections between agents and gateways, by the kind of
// the request. "asked" and "told" are requests that this process sent and their responses;
// "heard" and "answered" are requests that it received and their responses. In a large
// group the coordinator's link is the first to saturate.
var metricBytes = expvar.NewMap("peer-bytes-by-kind")

// kind returns the kind of a request for metrics.
func (a *Request) kind() string {
	switch {
	case a.Digest:
		return "digest"
	case a.View != nil:
		return "view"
	case a.Branch != nil:
		return "branch"
	}
	return "rank"
}

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	in, out atomic.Int64
}

// Read reads and counts the bytes read.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes written.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// record adds to the metrics the bytes sent and received since the last call.
func (c *countingConn) record(kind, out, in string) {
	metricBytes.Add(kind+"-"+out, c.out.Swap(0))
	metricBytes.Add(kind+"-"+in, c.in.Swap(0))
}
