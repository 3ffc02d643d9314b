package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerWith serves one connection after the other. Each request line is answered
// by the next text of the list; an empty text closes the connection.
func answerWith(t *testing.T, conns ...[]string) (addr string, requests func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	seen := make(chan struct{}, 100)
	go func() {
		for _, answers := range conns {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for _, a := range answers {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					seen <- struct{}{}
					if a == "" {
						return
					}
					_, _ = io.WriteString(c, a)
				}
				// Kept open until the other side closes.
				_, _ = br.ReadByte()
			}()
		}
	}()
	return l.Addr().String(), func() int { return len(seen) }
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, addr)
}

func echoes(_ int, h http.Header, id string) bool { return h.Get("Id") == id }

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{Method: "GET", Target: "/", Host: "h", ID: id}
}

func read(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	got, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer got.Close()
	body, err := io.ReadAll(got)
	return string(body), err
}

// checkSecondAnswer sends two requests to a server with the given answers on each of its
// connections, and checks that the second request gets its own answer.
func checkSecondAnswer(t *testing.T, answers ...[]string) {
	t.Helper()
	is := is.New(t)
	addr, _ := answerWith(t, answers...)
	p := NewPool(addr, dial, echoes)
	defer p.Close()
	_, err := read(t, p, newRequest("1"))
	is.NoErr(err)
	got, err := read(t, p, newRequest("2"))
	is.NoErr(err)
	is.Equal(got, "two")
}

func TestKeptConnection(t *testing.T) {
	is := is.New(t)
	addr, _ := answerWith(t, []string{reply("1", "one"), reply("2", "two")})
	p := NewPool(addr, dial, echoes)
	defer p.Close()
	for id, want := range []string{"one", "two"} {
		got, err := read(t, p, newRequest(fmt.Sprint(id+1)))
		is.NoErr(err)
		is.Equal(got, want)
	}
	is.Equal(p.NumOpen(), 1)
}

// Guards against returning a second answer to an earlier request to another caller.
func TestLateSecondAnswer(t *testing.T) {
	checkSecondAnswer(t, []string{reply("1", "one"), reply("1", "one") + reply("2", "two")})
}

// Guards against reusing a connection on which bytes follow a complete answer.
func TestBytesAfterTheAnswer(t *testing.T) {
	checkSecondAnswer(t, []string{reply("1", "one") + "garbage"}, []string{reply("2", "two")})
}

// Guards against sending a request a second time when its keep-alive connection breaks.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	is := is.New(t)
	addr, requests := answerWith(t, []string{reply("1", "one"), ""}, []string{reply("2", "two")})
	p := NewPool(addr, dial, echoes)
	defer p.Close()
	_, err := read(t, p, newRequest("1"))
	is.NoErr(err)
	_, err = read(t, p, newRequest("2"))
	var broken *BrokenError
	is.True(errors.As(err, &broken))
	is.Equal(requests(), 2)
}

func TestNothingListens(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = read(t, NewPool(addr, dial, echoes), newRequest("1"))
	var notSent *NotSentError
	is.True(errors.As(err, &notSent))
}

// Guards against treating a truncated answer as complete.
func TestAnswerCutShort(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunk":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := answerWith(t, []string{answer, ""})
			p := NewPool(addr, dial, echoes)
			got, err := p.Do(t.Context(), newRequest("1"))
			is.NoErr(err)
			go func() {
				c, err := net.Dial("tcp", addr)
				if err == nil {
					_ = c.Close()
				}
			}()
			_ = got.conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			_, err = io.ReadAll(got)
			var broken *BrokenError
			is.True(errors.As(err, &broken))
			is.Equal(broken.Phase, "body")
			is.Equal(p.NumOpen(), 0)
		})
	}
}

// Guards against losing an answer without a length, and against reusing its connection.
func TestAnswerWithoutLength(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
		}
		_ = c.Close()
	}()
	p := NewPool(l.Addr().String(), dial, echoes)
	got, err := read(t, p, newRequest("1"))
	is.NoErr(err)
	is.Equal(got, "all of it")
	is.Equal(p.NumOpen(), 0)
}

// Guards against work for a caller that has disconnected.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	ended := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err == nil {
			_, _ = br.ReadByte()
		}
		close(ended)
	}()
	ctx, cancel := context.WithCancelCause(t.Context())
	left := errors.New("caller left")
	time.AfterFunc(20*time.Millisecond, func() { cancel(left) })
	_, err = NewPool(l.Addr().String(), dial, echoes).Do(ctx, newRequest("1"))
	is.True(errors.Is(err, left))
	<-ended
}

// unbuffered is the length of a body that exceeds the buffers of a connection, so
// that it cannot be written completely before it is read.
const unbuffered = 64 << 20

// Guards against a request that its server reads as the rest of the previous body.
func TestAnswerBeforeTheBody(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	p := NewPool(l.Addr().String(), dial, echoes)
	req := &Request{Method: "POST", Target: "/", Host: "h", ID: "1", Body: make([]byte, unbuffered), HasBody: true}
	got, err := p.Do(t.Context(), req)
	is.NoErr(err)
	is.Equal(got.Status, 503)
	_, err = io.ReadAll(got)
	is.NoErr(err)
	is.Equal(p.NumOpen(), 0)
}

func TestIdleTime(t *testing.T) {
	is := is.New(t)
	is.Equal(idleTime(http.Header{}), defaultIdle)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"timeout=2, max=10"}}), 2*time.Second-idleMargin)
	is.Equal(idleTime(http.Header{"Keep-Alive": {"timeout=60"}}), defaultIdle)
	is.True(idleTime(http.Header{"Keep-Alive": {"timeout=0"}}) < idleMargin)
}

func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		// Serve returns when the listener is closed.
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			_, _ = io.WriteString(w, "answer")
		}))
	}()
	p := NewPool(l.Addr().String(), dial, echoes)
	b.ReportAllocs()
	for b.Loop() {
		r, err := p.Do(context.Background(), &Request{Method: "GET", Target: "/", Host: "h", ID: "1", Head: []byte("Id: 1\r\n")})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r); err != nil {
			b.Fatal(err)
		}
	}
}
