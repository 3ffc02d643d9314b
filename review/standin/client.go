package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one request of a client and how it ended.
type attempt struct {
	id     string
	front  *front
	prefix string
	sent   time.Time
	// kept is set if its connection had carried a request before.
	kept bool
	// status is 0 if there was no complete answer; err says why.
	status int
	seal   string
	body   string
	took   time.Duration
	err    error
}

// client is one client with at most one connection.
type client struct {
	front *front
	conn  net.Conn
	br    *bufio.Reader
	used  bool
}

// clientDeadline is how long clients wait for an answer.
const clientDeadline = 4 * time.Second

// do sends one attempt, over the kept connection if there is one.
func (c *client) do(method, prefix, body string) attempt {
	out := attempt{id: fmt.Sprintf("%016x", rand.Uint64()), front: c.front, prefix: prefix}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front.addr, time.Second)
		if err != nil {
			out.sent, out.err = time.Now(), err
			return out
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	}
	out.sent, out.kept, c.used = time.Now(), c.used, true
	_ = c.conn.SetDeadline(out.sent.Add(clientDeadline))
	head := fmt.Sprintf("%s %s1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, prefix, routeHost, out.id, clientDeadline.Milliseconds(), apiKey)
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, out.err = io.WriteString(c.conn, head+"\r\n"+body); out.err != nil {
		c.close()
		return out
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		out.err = err
		c.close()
		return out
	}
	answer, err := io.ReadAll(resp.Body)
	if out.err = err; err == nil {
		out.status, out.seal, out.body, out.took = resp.StatusCode, resp.Header.Get("X-Response-Seal"), string(answer), time.Since(out.sent)
	}
	if out.err != nil || resp.Close {
		c.close()
	}
	return out
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// traffic is the clients of a case.
type traffic struct {
	mu       sync.Mutex
	attempts []attempt
	wg       sync.WaitGroup
}

// perFront is the number of clients of each front, and sendEvery the time from an answer to the next
// request: some 80 requests a second at two fronts, as many as the sheet has in all.
const (
	perFront  = 5
	sendEvery = 60 * time.Millisecond
)

// start has clients of each front send requests to some routes in turn until a time. A route has a
// method, a prefix and a body.
func (t *traffic) start(s *site, until time.Time, routes ...[3]string) {
	for _, f := range s.fronts {
		for range perFront {
			t.wg.Go(func() {
				c := &client{front: f}
				defer c.close()
				for i := 0; time.Now().Before(until); i++ {
					route := routes[i%len(routes)]
					a := c.do(route[0], route[1], route[2])
					t.mu.Lock()
					t.attempts = append(t.attempts, a)
					t.mu.Unlock()
					time.Sleep(sendEvery)
				}
			})
		}
	}
}

// wait returns all attempts by their identifiers.
func (t *traffic) wait() map[string]attempt {
	t.wg.Wait()
	byID := map[string]attempt{}
	for _, a := range t.attempts {
		byID[a.id] = a
	}
	return byID
}
