package rankpeer

import (
	"expvar"
	"net"
	"sync/atomic"
)

// metricBytes counts what goes over connections between agents and gateways, by the kind
// of the ask: asked and told are asks that this process has sent and their answers, heard
// and answered those that it has got. A steward's link is the first to be full in a large
// group.
var metricBytes = expvar.NewMap("peer-bytes-by-kind")

// kind is what an ask is for, in metrics.
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

// counted is a connection that counts its bytes.
type counted struct {
	net.Conn
	in, out atomic.Int64
}

// Read reads and counts.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// record adds what has gone out and come in since the last record.
func (c *counted) record(kind, out, in string) {
	metricBytes.Add(kind+"-"+out, c.out.Swap(0))
	metricBytes.Add(kind+"-"+in, c.in.Swap(0))
}
