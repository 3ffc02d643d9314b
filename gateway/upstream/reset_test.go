package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/plumbing/tcp"
)

// plays is how often a race is played: the system reports a reset to a reader or to a writer.
const plays = 20

// answerEarly answers each request before it has read the body, without a length, and then gives the
// connection to end.
func answerEarly(t *testing.T, body string, end func(*net.TCPConn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, statusLine+"Id: 1\r\n\r\n"+body)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func upload() *Request {
	return &Request{Method: "POST", Target: "/", Host: "h", ID: "1", Body: make([]byte, unbuffered/8), HasBody: true, Fresh: true}
}

// Guards against an answer without a length that looks complete because its connection was reset while
// the request was still being written.
func TestResetDuringTheUpload(t *testing.T) {
	is := is.New(t)
	addr := answerEarly(t, "part", func(c *net.TCPConn) {
		time.Sleep(10 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	p := NewPool(addr, tcp.Dial, echoes)
	for range plays {
		_, err := read(t, p, upload())
		var broken *BrokenError
		is.True(errors.As(err, &broken))
		is.Equal(p.NumOpen(), 0)
	}
}

// Guards against losing the answer of a server that closes its sending side in the ordinary way before
// it has read the request, whatever it does with the rest of that.
func TestEndDuringTheUpload(t *testing.T) {
	for name, then := range map[string]func(*net.TCPConn){
		"reads nothing": func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) },
		"reads on":      func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"reads slowly": func(c *net.TCPConn) {
			for buf := make([]byte, 64<<10); ; time.Sleep(time.Millisecond) {
				if _, err := c.Read(buf); err != nil {
					return
				}
			}
		},
		"resets": func(c *net.TCPConn) { _ = c.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := answerEarly(t, "all of it", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(10 * time.Millisecond)
				then(c)
			})
			p := NewPool(addr, tcp.Dial, echoes)
			for range plays {
				got, err := read(t, p, upload())
				is.NoErr(err)
				is.Equal(got, "all of it")
				is.Equal(p.NumOpen(), 0)
			}
		})
	}
}
