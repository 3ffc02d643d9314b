package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// unbuffered is more than the system buffers of a connection, in bytes.
const unbuffered = 64 << 20

// pair returns the two ends of a connection, the first one of Dial.
func pair(t *testing.T) (net.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = peer.Close()
	})
	return c, peer.(*net.TCPConn)
}

// writeUntilError writes until a Write fails, and returns its error.
func writeUntilError(c net.Conn) error {
	for part := make([]byte, 64<<10); ; {
		if _, err := c.Write(part); err != nil {
			return err
		}
	}
}

// Guards against a reset that looks like an ordinary end because a Write was told of it.
func TestResetThatAWriteWasTold(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	_, err := io.WriteString(peer, "part")
	is.NoErr(err)
	is.NoErr(peer.SetLinger(0))
	go peer.Close()
	is.True(errors.Is(writeUntilError(c), syscall.ECONNRESET))
	got, err := io.ReadAll(c)
	is.Equal(string(got), "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against taking an ordinary end for a broken one because the peer reads nothing more.
func TestEndBeforeAReset(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	_, err := io.WriteString(peer, "all of it")
	is.NoErr(err)
	is.NoErr(peer.CloseWrite())
	is.NoErr(peer.SetLinger(0))
	go peer.Close()
	is.True(errors.Is(writeUntilError(c), syscall.EPIPE))
	got, err := io.ReadAll(c)
	is.Equal(string(got), "all of it")
	is.NoErr(err)
}

// Guards against a Read that waits for a Write after the end of what the peer sends.
func TestEndDuringAWrite(t *testing.T) {
	is := is.New(t)
	c, peer := pair(t)
	written := make(chan error)
	go func() {
		_, err := c.Write(make([]byte, unbuffered))
		written <- err
	}()
	_, err := io.ReadFull(peer, make([]byte, 1))
	is.NoErr(err)
	is.NoErr(peer.CloseWrite())
	got, err := io.ReadAll(c)
	is.Equal(string(got), "")
	is.NoErr(err)
	is.True(errors.Is(<-written, os.ErrDeadlineExceeded))
}
