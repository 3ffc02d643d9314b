// Package tcp opens connections that break when the other end no longer answers.
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

// The limits of connections. Links inside a region take a few milliseconds, so
// that a second without an answer to a connect, or most of one without an
// acknowledgement of sent bytes, means that the other end is gone or cut off:
// two lost packets in a row are sent again after 600 ms.
const (
	dialTimeout = time.Second
	ackTimeout  = 800 * time.Millisecond
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT: how long sent
// bytes may stay without an acknowledgement before the connection is closed.
const tcpUserTimeout = 18

// Dial opens a TCP connection that breaks if the other end no longer answers.
//
// An instance without power or behind a cut sends no reset: without the socket
// option a write to it would hang for minutes.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: limitUnacknowledged}
	return d.DialContext(ctx, network, addr)
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
