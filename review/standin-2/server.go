package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a plain server of a service. It runs every request that names it, for a time that the
// request states, and ends abruptly when it is stopped.
type server struct {
	id, service, addr string
	l                 net.Listener
	// arrived is called with each request that it begins to run, ended when its answer was sent or
	// could not be.
	arrived func(s *server, r *http.Request, at time.Time)
	ended   func(s *server, r *http.Request, err error)

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	leaving bool
	stopped bool
	// failing is the share of the requests that it fails.
	failing float64
}

// fail sets the share of the requests that the server fails.
func (s *server) fail(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = share
}

// workHeader states how long a request runs, in milliseconds.
const workHeader = "X-Work-Ms"

func startServer(id, service, addr string) *server {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(&notRunError{err.Error()})
	}
	s := &server{
		id: id, service: service, addr: l.Addr().String(), l: l, conns: map[net.Conn]struct{}{},
		arrived: func(*server, *http.Request, time.Time) {}, ended: func(*server, *http.Request, error) {},
	}
	return s
}

// entry returns the server's entry in the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"backend": s.service, "addr": s.addr, "zone": "bole-hall", "version": "v1", "slots": 6, "state": state, "coldMs": 0, "seq": 1,
	}
}

func (s *server) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		stopped := s.stopped
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		if stopped {
			c.Close()
			return
		}
		go s.serveConn(c)
	}
}

// leave makes the server say that it closes its connections.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// stop ends the server like the end of its process.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.l.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (s *server) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if s.answer(c, r) != nil {
			return
		}
	}
}

func (s *server) answer(c net.Conn, r *http.Request) error {
	id := r.Header.Get("X-Request-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err
	}
	s.arrived(s, r, time.Now())
	ms, _ := strconv.Atoi(r.Header.Get(workHeader))
	time.Sleep(time.Duration(ms) * time.Millisecond)
	body := "done " + id + "\n"
	closing := ""
	s.mu.Lock()
	if s.leaving {
		closing = "Connection: close\r\n"
	}
	status := "200 OK"
	if rand.Float64() < s.failing {
		status = "500 Internal Server Error"
	}
	s.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Seal: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, s.id, id, closing, len(body), body)
	s.ended(s, r, err)
	if closing != "" {
		return io.EOF
	}
	return err
}
