package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sendEndlessly answers each request with a beginning and then a text again and again, until the
// peer closes the connection or flood bytes are sent.
func sendEndlessly(t *testing.T, beginning, again string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	again = strings.Repeat(again, max(1, 32<<10/len(again)))
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
				_, err := io.WriteString(c, beginning)
				for sent := 0; err == nil && sent < flood; sent += len(again) {
					_, err = io.WriteString(c, again)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// flood is more than a gateway may hold of one answer, in bytes.
const flood = 64 << 20

const statusLine = "HTTP/1.1 200 OK\r\n"

// Guards against a process that is killed for its memory because a server sends a head without end.
func TestHeadWithoutEnd(t *testing.T) {
	for name, tt := range map[string]struct {
		beginning, again, part string
	}{
		"no line":                  {"", "x", PartHead},
		"status line":              {"HTTP/1.1 200 ", "x", PartHead},
		"header line":              {statusLine + "A: ", "x", PartHead},
		"continued header line":    {statusLine + "A: x\r\n", " x\r\n", PartLines},
		"long header lines":        {statusLine, "A: " + strings.Repeat("x", 1000) + "\r\n", PartHead},
		"short header lines":       {statusLine, "A: x\r\n", PartLines},
		"lines of the least bytes": {statusLine, "a\n", PartLines},
		"1xx head":                 {"HTTP/1.1 103 Early Hints\r\nA: ", "x", PartHead},
		"lines of a 1xx head":      {"HTTP/1.1 103 Early Hints\r\n", "A: x\r\n", PartLines},
		"head after a 1xx head":    {"HTTP/1.1 100 Continue\r\n\r\n" + statusLine + "A: ", "x", PartHead},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(sendEndlessly(t, tt.beginning, tt.again), dial, echoes)
			_, err := p.Do(t.Context(), newRequest("1"))
			var (
				broken *BrokenError
				long   *TooLongError
			)
			is.True(errors.As(err, &broken))
			is.Equal(broken.Phase, "head")
			is.True(errors.As(err, &long))
			is.Equal(long.Part, tt.part)
			is.True(long.Read <= maxHead)
			is.Equal(p.NumOpen(), 0)
		})
	}
}

// Guards against 1xx answers without end.
func TestEndless1xxAnswers(t *testing.T) {
	is := is.New(t)
	p := NewPool(sendEndlessly(t, "", "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"), dial, echoes)
	_, err := p.Do(t.Context(), newRequest("1"))
	is.True(errors.Is(err, errUnexpected))
	is.Equal(p.NumOpen(), 0)
}

// Guards against a caller that waits until its deadline, and a processor that is kept busy, while a
// server sends a body without end that belongs to another request.
func TestUnexpectedBodyWithoutEnd(t *testing.T) {
	for name, tt := range map[string]struct{ beginning, again string }{
		"length": {statusLine + "Id: other\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"chunks": {statusLine + "Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(sendEndlessly(t, tt.beginning, tt.again), dial, echoes)
			_, err := p.Do(t.Context(), newRequest("1"))
			var long *TooLongError
			is.True(errors.As(err, &long))
			is.Equal(long.Part, PartUnexpected)
			is.Equal(p.NumOpen(), 0)
		})
	}
}

// headOfLength returns the head of the answer to a request, of n bytes.
func headOfLength(id, body string, n int) string {
	head := fmt.Sprintf("%sId: %s\r\nContent-Length: %d\r\nPad: \r\n\r\n", statusLine, id, len(body))
	return strings.Replace(head, "Pad: ", "Pad: "+strings.Repeat("x", n-len(head)), 1)
}

// Guards against rejecting heads within the limits, and against losing the bytes after one.
func TestLongestHeads(t *testing.T) {
	const body = "all of it"
	for _, n := range []int{100, readBuffer - 1, readBuffer, readBuffer + 1, maxHead - 1, maxHead} {
		is := is.New(t)
		addr, _ := answerWith(t, []string{headOfLength("1", body, n) + body})
		p := NewPool(addr, dial, echoes)
		got, err := read(t, p, newRequest("1"))
		is.NoErr(err)
		is.Equal(got, body)
		is.Equal(p.NumOpen() == 1, n <= readBuffer) // a larger buffer is not kept
		p.Close()
	}
	is := is.New(t)
	lines := strings.Repeat("A: x\r\n", maxLines-3)
	addr, _ := answerWith(t, []string{strings.Replace(reply("1", body), "Id:", lines+"Id:", 1)})
	got, err := read(t, NewPool(addr, dial, echoes), newRequest("1"))
	is.NoErr(err)
	is.Equal(got, body)
}

// limitedRoom has room for a number of bytes.
type limitedRoom int64

func (r limitedRoom) Extend(_ context.Context, n int64) error {
	if n > int64(r) {
		return errNoRoom
	}
	return nil
}

var errNoRoom = errors.New("no room")

// Guards against memory for long heads that nobody counts.
func TestRoomForLongHeads(t *testing.T) {
	is := is.New(t)
	for room, ok := range map[limitedRoom]bool{headRoom: true, headRoom - 1: false} {
		addr, _ := answerWith(t, []string{headOfLength("1", "b", maxHead) + "b"})
		r := newRequest("1")
		r.Room = room
		_, err := read(t, NewPool(addr, dial, echoes), r)
		is.Equal(err == nil, ok)
		is.Equal(errors.Is(err, errNoRoom), !ok)
	}
	addr, _ := answerWith(t, []string{headOfLength("1", "b", readBuffer) + "b"})
	r := newRequest("1")
	r.Room = limitedRoom(0)
	_, err := read(t, NewPool(addr, dial, echoes), r)
	is.NoErr(err) // it fits the buffer of the connection
}

// Guards against passing on what follows an invalid status line as the answer, and against
// passing such a head on.
func TestInvalidStatus(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	} {
		for name, rest := range map[string]string{
			"answer":            "Id: 1\r\nContent-Length: 5\r\n\r\nother",
			"head":              "\r\n" + reply("1", "other"),
			"answer in a body":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(reply("1", "other")), reply("1", "other")),
			"answer in a chunk": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(reply("1", "other")), reply("1", "other")),
		} {
			t.Run(line+", "+name, func(t *testing.T) {
				is := is.New(t)
				addr, _ := answerWith(t, []string{line + "\r\n" + rest})
				p := NewPool(addr, dial, echoes)
				_, err := read(t, p, newRequest("1"))
				var broken *BrokenError
				is.True(errors.As(err, &broken))
				is.Equal(broken.Phase, "head")
				is.Equal(p.NumOpen(), 0)
			})
		}
	}
}

// Guards against rejecting the valid statuses at the limits, and interim answers.
func TestValidStatus(t *testing.T) {
	for _, status := range []int{200, 299, 304, 404, 599} {
		is := is.New(t)
		interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Other\r\nA: b\r\n\r\n"
		addr, _ := answerWith(t, []string{interim + fmt.Sprintf("HTTP/1.1 %d Any\r\nId: 1\r\nContent-Length: 0\r\n\r\n", status)})
		got, err := NewPool(addr, dial, echoes).Do(t.Context(), newRequest("1"))
		is.NoErr(err)
		is.Equal(got.Status, status)
	}
}

// invalidFields are invalid header lines.
var invalidFields = []string{
	"Content-Length : 4", "Content Length: 4", "Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "Id : 2",
	"X Y: 1", "X\tY: 1", "X\x01Y: 1", "X\x7fY: 1", "\x00: 1", "X\rY: 1", "X\xe9: 1", "X(: 1", ": 1", "no colon",
	"X: a\x01b", "X: a\x00b", "X: a\rb",
}

// Guards against a body that is not the server's, because an invalid header line says how it ends,
// and against passing such a line on.
func TestInvalidFields(t *testing.T) {
	for _, field := range invalidFields {
		for name, body := range map[string]string{
			"chunks":    "Id: 1\r\n" + field + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"length":    "Id: 1\r\nContent-Length: 4\r\n" + field + "\r\n\r\nbody",
			"no length": field + "\r\nId: 1\r\n\r\nbody",
		} {
			t.Run(fmt.Sprintf("%q, %s", field, name), func(t *testing.T) {
				is := is.New(t)
				addr, _ := answerWith(t, []string{statusLine + body, ""})
				p := NewPool(addr, dial, echoes)
				_, err := p.Do(t.Context(), newRequest("1"))
				var broken *BrokenError
				is.True(errors.As(err, &broken))
				is.Equal(broken.Phase, "head")
				is.Equal(p.NumOpen(), 0)
			})
		}
	}
}

// Guards against passing on the sizes of chunks as a part of a body: HTTP/1.0 has no chunks.
func TestChunksOfHTTP10(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding:\r\n chunked", "Content-Length: 4\r\nTransfer-Encoding: chunked"} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			addr, _ := answerWith(t, []string{"HTTP/1.0 200 OK\r\nId: 1\r\n" + field + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""})
			_, err := NewPool(addr, dial, echoes).Do(t.Context(), newRequest("1"))
			var broken *BrokenError
			is.True(errors.As(err, &broken))
			is.Equal(broken.Phase, "head")
		})
	}
}

// Guards against losing the answers of servers of HTTP/1.0.
func TestAnswerOfHTTP10(t *testing.T) {
	is := is.New(t)
	addr, _ := answerWith(t, []string{"HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 28\r\n\r\n\nTransfer-Encoding: chunked\n"})
	got, err := read(t, NewPool(addr, dial, echoes), newRequest("1"))
	is.NoErr(err)
	is.Equal(len(got), 28)
}
