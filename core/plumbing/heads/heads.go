// Package heads examines the heads of HTTP/1 messages before they are parsed: where a head ends, what
// it takes in memory once it is parsed, and how long the body after it is.
//
// The parsed form of a head takes many times its bytes if its lines are short, so that bytes alone
// do not bound the memory of a process that parses many heads.
//
// # Usage
//
//	var scan heads.Scan
//	for !scan.Ends(b) {
//		b = append(b, more()...)
//	}
//	need := scan.Weight()
//	body := heads.BodyOf(b[:scan.Size()])
package heads

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	// byteWeight is the memory in bytes that a byte of a head may take while it is parsed by net/http,
	// and lineWeight what a line takes beyond that.
	byteWeight = 5
	lineWeight = 160
	// shortestLine is the length in bytes of the shortest header line that is valid: a name, a colon
	// and the end.
	shortestLine = 3
)

// Scan searches for the end of a head in a growing buffer. The zero value is at the beginning of a head.
type Scan struct {
	// line is where the current line begins, seen how many bytes were searched.
	line, seen int
	lines      int
}

// Ends reports whether the head ends in b, which begins with what earlier calls were given.
func (s *Scan) Ends(b []byte) bool {
	for s.seen < len(b) {
		i := bytes.IndexByte(b[s.seen:], '\n')
		if i < 0 {
			s.seen = len(b)
			return false
		}
		line := b[s.line : s.seen+i]
		s.seen += i + 1
		s.line = s.seen
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return true
		}
		s.lines++
	}
	return false
}

// Size returns how many bytes were searched: the length of the head once it has ended.
func (s *Scan) Size() int { return s.seen }

// Lines returns the number of lines that have ended, without the empty one.
func (s *Scan) Lines() int { return s.lines }

// Weight returns how much memory in bytes the head may take while it is parsed and until what is not
// needed of that is collected.
func (s *Scan) Weight() int64 { return byteWeight*int64(s.seen) + lineWeight*int64(s.lines) }

// MaxWeight returns the greatest weight of a valid head of a number of bytes.
func MaxWeight(bytes int) int64 {
	return byteWeight*int64(bytes) + lineWeight*int64(bytes/shortestLine)
}

// WeightOf returns the weight of the head of a request that was parsed already.
func WeightOf(r *http.Request) int64 {
	s := Scan{seen: len(r.Method) + len(r.RequestURI) + len(r.Host), lines: 1}
	for name, values := range r.Header {
		for _, v := range values {
			s.seen += len(name) + len(v)
			s.lines++
		}
	}
	return s.Weight()
}

// Body is how the body after the head of a request ends.
type Body struct {
	// Length is the length of the body in bytes, unless it is Chunked.
	Length  int64
	Chunked bool
}

// BodyOf returns how the body after the head of a request ends. For a head that net/http rejects the
// result has no meaning.
func BodyOf(head []byte) Body {
	var b Body
	request, rest, _ := bytes.Cut(head, newline)
	old := bytes.HasSuffix(bytes.TrimRight(request, " \r"), http10)
	for len(rest) > 0 {
		var line []byte
		line, rest = nextField(rest)
		name, value, _ := bytes.Cut(line, colon)
		switch {
		case len(name) == len(contentLength) && bytes.EqualFold(name, contentLength):
			// Without a valid length the server rejects the request.
			b.Length, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			b.Length = max(b.Length, 0)
		case len(name) == len(transferEncoding) && bytes.EqualFold(name, transferEncoding):
			b.Chunked = !old
		}
	}
	return b
}

// HasField reports whether a complete head has a header field with a name.
func HasField(head []byte, name string) bool {
	_, rest, _ := bytes.Cut(head, newline)
	for len(rest) > 0 {
		var line []byte
		line, rest = nextField(rest)
		if field, _, ok := bytes.Cut(line, colon); ok && len(field) == len(name) && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}

var (
	newline          = []byte("\n")
	colon            = []byte(":")
	http10           = []byte("HTTP/1.0")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// nextField returns the next header field with the lines that continue it, and what follows it.
func nextField(b []byte) (field, rest []byte) {
	end := 0
	for {
		i := bytes.IndexByte(b[end:], '\n')
		if i < 0 {
			return b, nil
		}
		end += i + 1
		if end == len(b) || b[end] != ' ' && b[end] != '\t' {
			return b[:end], b[end:]
		}
	}
}
