package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Wrap returns a connection whose Read reports the error that has ended it even if a Write was told
// first. It returns connections that are not TCP unchanged.
//
// The system reports a pending error of a socket, such as a reset, only once: to the call that comes
// first. If that is a Write, a Read returns io.EOF afterwards, as if the peer had closed the connection.
func Wrap(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &conn{Conn: tcp, tcp: tcp}
}

// conn is a TCP connection. Those methods of net.TCPConn that read and write by other ways are hidden.
type conn struct {
	net.Conn
	tcp *net.TCPConn

	// mu is held during a Write; writeErr is the first error of one.
	mu       sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. A Write in progress fails when Read returns io.EOF.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF if the peer has closed the connection, or the error that was reported to a
// Write. A Write in progress may have got it already and not returned yet.
func (c *conn) endError() error {
	if !c.mu.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // On a closed connection the Write returns anyway.
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.writeErr == nil || endsOnlyWrites(c.writeErr) {
		return io.EOF
	}
	return c.writeErr
}

// endsOnlyWrites reports whether an error of Write says nothing about the bytes of the peer. If the peer
// resets a connection after it has closed it, the error is EPIPE.
func endsOnlyWrites(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetLinger sets what Close does with unsent bytes, as of net.TCPConn.
func (c *conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }
