package answers

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		major, status int
		part          string
	}{
		{1, 100, ""},
		{1, 200, ""},
		{1, 599, ""},
		{1, 0, PartStatus},
		{1, 99, PartStatus},
		{1, http.StatusSwitchingProtocols, PartStatus},
		{1, 600, PartStatus},
		{1, 999, PartStatus},
		{0, 200, PartVersion},
		{2, 200, PartVersion},
	} {
		is := is.New(t)
		err := Check(&http.Response{ProtoMajor: tt.major, StatusCode: tt.status})
		is.Equal(err == nil, tt.part == "")
		var invalid *InvalidError
		is.Equal(errors.As(err, &invalid), tt.part != "")
		if invalid != nil {
			is.Equal(invalid.Part, tt.part)
		}
	}
}

func TestCheckNames(t *testing.T) {
	for name, ok := range map[string]bool{
		"X-Request-Id": true, "a": true, "!#$%&'*+-.^_`|~09azAZ": true,
		"": false, "X Y": false, "X ": false, " X": false, "X\tY": false, "X\x00": false, "X\x7f": false, "X(": false, "\xe9": false, "é": false, "X:": false,
	} {
		is := is.New(t)
		err := Check(&http.Response{ProtoMajor: 1, StatusCode: 200, Header: http.Header{name: {"1"}}})
		is.Equal(err == nil, ok)
	}
}

// serve answers each request on each connection with the next of a list of texts.
func serve(t *testing.T, texts ...string) (url string) {
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
			defer c.Close()
			for in := bufio.NewReader(c); len(texts) > 0; texts = texts[1:] {
				if _, err := http.ReadRequest(in); err != nil {
					break
				}
				_, _ = io.WriteString(c, texts[0])
			}
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against using the connection of an invalid answer again, on which anything may follow.
func TestInvalidAnswerEndsItsConnection(t *testing.T) {
	is := is.New(t)
	url := serve(t, "HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo")
	client := http.Client{Transport: &Transport{Transport: &http.Transport{}}}
	_, err := client.Get(url)
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	reused := false
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	is.NoErr(err)
	resp, err := client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.True(!reused)
}
