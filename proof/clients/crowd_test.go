package clients

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
)

// crowd is a number of connections that all send the same form of bytes.
type crowd struct {
	connections int
	// first is sent on all connections before last is sent on any. The connection's number is
	// added to the identifiers in them.
	first, last func(n int) string
	// again is sent on each connection up to most bytes.
	again string
	most  int
	// stays leaves the connections open until the process closes them; else they are closed once
	// they have got an answer.
	stays bool
}

// send sends what the crowd has to send to an address, and returns when all its connections are closed.
func (c crowd) send(ctx context.Context, addr string) {
	var ready, ended sync.WaitGroup
	ready.Add(c.connections)
	for n := range c.connections {
		ended.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				ready.Done() // It was refused.
				return
			}
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			if c.first != nil {
				_, err = conn.Write([]byte(c.first(n)))
			}
			ready.Done()
			ready.Wait()
			if err != nil {
				return
			}
			c.finish(conn, n)
		})
	}
	ended.Wait()
}

// finish sends the rest on one connection, and waits for an answer.
func (c crowd) finish(conn net.Conn, n int) {
	if c.last != nil {
		if _, err := conn.Write([]byte(c.last(n))); err != nil {
			return
		}
	}
	part := bytes.Repeat([]byte(c.again), max(1, 4096/max(1, len(c.again))))
	for sent := 0; sent < c.most; sent += len(part) {
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
	_, err := conn.Read(make([]byte, 1))
	if c.stays && err == nil {
		_, _ = io.Copy(io.Discard, conn) // Its error is the end of the connection.
	}
}

// The contents of requests, as the stand-in of the platform configures them.
const (
	host   = "desk.example"
	secret = "key-of-harbor-home"
)

// head returns the lines of a request that the gateway forwards, without the empty line.
func head(method string, n int, more string) string {
	return fmt.Sprintf("%s /lookups/%d HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: %d\r\nX-Deadline-Ms: 4000\r\n%s",
		method, n, host, secret, n, more)
}

// ordinary returns a request.
func ordinary(n int) string { return head("GET", n, "") + "\r\n" }

// distinctNames returns header lines of three-letter names that differ, of a number of bytes or less.
func distinctNames(size int) string {
	const letters = "bcdfghjklmnpqrstvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len()+5 <= size; i++ {
		n := len(letters)
		b.Write([]byte{letters[i/n/n%n], letters[i/n%n], letters[i%n], ':', '\n'})
	}
	return b.String()
}

// oneName returns header lines of a one-letter name, of a number of bytes or less.
func oneName(size int) string { return strings.Repeat("b:\n", size/3) }

// always returns a text for all connections.
func always(text string) func(int) string { return func(int) string { return text } }
