package fleet

import (
	"context"
	"fmt"
	"net"
	"strings"
)

const (
	// longName ends the path of requests that get longAnswer bytes.
	longName   = "long"
	longAnswer = 1 << 20
	// slowReadBuffer is how many bytes of an answer the system of a slow caller takes in, and
	// pipelined how many requests it sends: that of the gateway takes in more than one answer.
	slowReadBuffer = 4 << 10
	pipelined      = 3
)

// isLong reports whether a request gets a long answer.
func isLong(path string) bool { return strings.HasSuffix(path, "/"+longName) }

// HoldSlowCallers opens connections to the gateways in turn, and closes them when the context is done.
// By turns, their callers read nothing of long answers, and send only the beginning of a body.
func HoldSlowCallers(ctx context.Context, f *Fleet, n int) {
	var dialer net.Dialer
	for i := range n {
		front := f.Fronts[i%len(f.Fronts)]
		conn, err := dialer.DialContext(ctx, "tcp", front)
		if err != nil {
			continue // The gateway is down.
		}
		defer conn.Close()
		f.Ledger.recordRequest(safePrefix)                    // Of several on a connection, the others may never be read.
		_ = conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer) // The system's own buffer is larger.
		if i/len(f.Fronts)%2 == 0 {
			for range pipelined {
				f.sendSlow(conn, front, "GET", "")
			}
			continue
		}
		f.sendSlow(conn, front, "POST", fmt.Sprintf("Content-Length: %d\r\n", longAnswer))
	}
	<-ctx.Done()
}

// sendSlow sends a request for a long answer, with at most the beginning of a body.
func (f *Fleet) sendSlow(conn net.Conn, front, method, length string) {
	id := newID()
	f.Ledger.recordSent(id, front)
	head := fmt.Sprintf("%s %s%s/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\n%s\r\n",
		method, safePrefix, id, longName, host, secret, id, length)
	if length != "" {
		head += "begin"
	}
	_, _ = conn.Write([]byte(head)) // The gateway may have closed the connection.
}
