// Package tcp opens TCP connections that fail promptly when the peer becomes
// unreachable, and on which a reset is never taken for an ordinary end.
//
// # Usage
//
//	conn, err := tcp.Dial(ctx, "tcp", "10.0.0.1:80")
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"
)

// The timeouts of a connection. Links inside a region have latencies of a few
// milliseconds, so a second without an answer to a connect, or 800 ms without an
// acknowledgement of sent bytes, means that the peer is down or unreachable: two
// packets lost in a row are retransmitted within 600 ms.
const (
	dialTimeout = time.Second
	ackTimeout  = 800 * time.Millisecond
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT: how long sent
// bytes may stay unacknowledged before the connection is closed.
const tcpUserTimeout = 18

// Dial opens a TCP connection that fails if the peer stops acknowledging data.
//
// An instance that lost power or is behind a network partition sends no reset:
// without the socket option a write to it would hang for minutes.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: limitUnacknowledged}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}

func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
