package heads

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestScan(t *testing.T) {
	for name, tt := range map[string]struct {
		text        string
		size, lines int
	}{
		"empty line":       {"\r\nGET", 2, 0},
		"bare newline":     {"\nGET", 1, 0},
		"one line":         {"GET / HTTP/1.1\r\n\r\nbody", 18, 1},
		"bare newlines":    {"GET / HTTP/1.1\nA: b\n\nbody", 21, 2},
		"continued line":   {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 28, 3},
		"carriage returns": {"GET / HTTP/1.1\r\nA: \r\r\n\r\n", 24, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Scan
			for n := range tt.size {
				is.True(!s.Ends([]byte(tt.text[:n])))
			}
			is.True(s.Ends([]byte(tt.text)))
			is.Equal(s.Size(), tt.size)
			is.Equal(s.Lines(), tt.lines)
		})
	}
}

// lines returns n header lines.
func lines(n int, line func(i int) string) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(line(i))
	}
	return b.String()
}

// Guards against heads whose parsed form takes more memory than they are weighed with.
func TestWeightBoundsTheParsedForm(t *testing.T) {
	for name, line := range map[string]func(i int) string{
		"distinct names":  func(i int) string { return fmt.Sprintf("%x:\n", 0x100+i) },
		"one name":        func(int) string { return "b:\n" },
		"short values":    func(int) string { return "b:y\n" },
		"two names":       func(i int) string { return fmt.Sprintf("%x:y\n", i%2) },
		"names of ten":    func(i int) string { return fmt.Sprintf("name%06d: v\r\n", i) },
		"values of forty": func(i int) string { return fmt.Sprintf("n%d: %s\r\n", i, strings.Repeat("v", 40)) },
		"continued":       func(int) string { return "b:\n c\n" },
	} {
		for _, n := range []int{1, 12, 100, 1000, 1500, 5000, 20000} {
			head := "GET / HTTP/1.1\nHost: a\n" + lines(n, line) + "\n"
			if len(head) > 72<<10 {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d", name, n), func(t *testing.T) { checkWeight(t, head) })
		}
	}
	for _, size := range []int{100, 5000, 60000} {
		for _, head := range []string{
			"GET /" + strings.Repeat("%41", size/3) + " HTTP/1.1\nHost: a\n\n",
			"GET / HTTP/1.1\nHost: a\nCookie: " + strings.Repeat("a=b; ", size/5) + "\n\n",
		} {
			t.Run(fmt.Sprintf("%.5s, %d bytes", head, size), func(t *testing.T) { checkWeight(t, head) })
		}
	}
}

// overhead is what any request takes, in bytes.
const overhead = 2 << 10

// checkWeight compares the weight of a head with what its parsed form takes.
func checkWeight(t *testing.T, head string) {
	is := is.New(t)
	const copies = 32
	var before, after runtime.MemStats
	kept := make([]*http.Request, 0, copies)
	r := bufio.NewReader(nil)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range copies {
		r.Reset(strings.NewReader(head))
		req, err := http.ReadRequest(r)
		is.NoErr(err)
		kept = append(kept, req)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	var s Scan
	is.True(s.Ends([]byte(head)))
	is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) <= copies*(s.Weight()+overhead))
}

// Guards against valid heads that are taken for ones that no room can hold.
func TestMaxWeight(t *testing.T) {
	is := is.New(t)
	for _, line := range []string{"b:\n", "b:\r\n", "name: value\r\n"} {
		head := []byte("G / HTTP/1.1\r\n" + strings.Repeat(line, 1000) + "\r\n")
		var s Scan
		is.True(s.Ends(head))
		is.True(s.Weight() <= MaxWeight(len(head)))
	}
}

func TestBodyOf(t *testing.T) {
	const post = "POST / HTTP/1.1\r\n"
	for name, tt := range map[string]struct {
		head string
		want Body
	}{
		"none":              {post + "Host: a\r\n\r\n", Body{}},
		"length":            {post + "Host: a\r\ncontent-length: 12 \r\n\r\n", Body{Length: 12}},
		"continued length":  {post + "Content-Length:\r\n 12\r\n\r\n", Body{Length: 12}},
		"no length":         {post + "Content-Length: x\r\n\r\n", Body{}},
		"negative length":   {post + "Content-Length: -1\r\n\r\n", Body{}},
		"chunked":           {post + "Transfer-Encoding: chunked\r\n\r\n", Body{Chunked: true}},
		"chunked of 1.0":    {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", Body{Length: 3}},
		"a name within one": {post + "X-Content-Length: 5\r\nX: Content-Length: 6\r\n\r\n", Body{}},
		"a continued value": {post + "X: a\r\n Content-Length: 6\r\n\r\n", Body{}},
		"empty":             {"\r\n", Body{}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(BodyOf([]byte(tt.head)), tt.want)
		})
	}
}

// Guards against an end of a chunked body that is not where the server finds it: the head after it would
// not be weighed.
func TestChunksEndWhereTheServerEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var b strings.Builder
		for range rapid.IntRange(0, 4).Draw(t, "chunks") {
			n := rapid.IntRange(1, 40).Draw(t, "size")
			ext := rapid.SampledFrom([]string{"", ";a=b", " ", ";0"}).Draw(t, "extension")
			fmt.Fprintf(&b, rapid.SampledFrom([]string{"%x%s\r\n%s\r\n", "00%X%s\r\n%s\r\n"}).Draw(t, "form"), n, ext, strings.Repeat("\n", n))
		}
		b.WriteString("0\r\n")
		for range rapid.IntRange(0, 3).Draw(t, "trailers") {
			b.WriteString("Trailer-A: b\r\n")
		}
		b.WriteString("\r\n")
		body := b.String()
		text := body + "GET / HTTP/1.1\r\n"

		var c Chunks
		ended, total := false, 0
		for !ended && total < len(text) {
			n, part := 0, text[total:min(total+rapid.IntRange(1, 30).Draw(t, "part"), len(text))]
			n, ended = c.End([]byte(part))
			is.True(ended || n == len(part))
			total += n
		}
		is.True(ended)
		is.Equal(total, len(body))

		r := bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + text))
		req, err := http.ReadRequest(r)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, req.Body)
		is.NoErr(err)
		rest, err := io.ReadAll(r)
		is.NoErr(err)
		is.Equal(string(rest), text[total:])
	})
}

// Guards against a malformed body that seems to end.
func TestMalformedChunksDoNotEnd(t *testing.T) {
	for _, text := range []string{"\r\n", "x\r\n", "-1\r\n", "1234567890abcdef0\r\n0\r\n\r\n", ";\r\n0\r\n\r\n"} {
		is := is.New(t)
		var c Chunks
		n, ended := c.End([]byte(text + "0\r\n\r\n0\r\n\r\n"))
		is.True(!ended)
		is.Equal(n, len(text)+10)
	}
}

func TestHasField(t *testing.T) {
	for head, has := range map[string]bool{
		"HTTP/1.0 200 OK\r\nA: 1\r\n\r\n":          true,
		"HTTP/1.0 200 OK\r\nB: 1\r\na:\r\n\r\n":    true,
		"HTTP/1.0 200 OK\nB: 1\na: 1\n\n":          true,
		"HTTP/1.0 200 OK\r\nB: 1\r\n A: 1\r\n\r\n": false,
		"HTTP/1.0 200 A: OK\r\n\r\n":               false,
		"HTTP/1.0 200 OK\r\nAA: 1\r\nB: A\r\n\r\n": false,
		"A: 1\r\n\r\n": false,
		"":             false,
	} {
		is.New(t).Equal(HasField([]byte(head), "A"), has)
	}
}
