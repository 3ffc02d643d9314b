package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one request of a client.
type request struct {
	method, host, path, id string
	deadline               time.Duration
	headers                string
	body                   string
}

// result is what a client has seen. Status is 0 if the connection ended without a complete answer.
type result struct {
	status int
	sealed bool
	body   string
	err    error
}

// send sends a request on a new connection and waits for its answer until its deadline.
func send(addr string, q request) result {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	length := ""
	if q.body != "" || q.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds(), length, q.headers)
	if _, err := io.Copy(c, strings.NewReader(head+q.body)); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{err: err}
	}
	return result{status: resp.StatusCode, sealed: resp.Header.Get("X-Response-Seal") != "", body: string(body)}
}
