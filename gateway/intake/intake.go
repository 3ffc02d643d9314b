// Package intake accepts the connections of callers, and refuses at once those that the process
// cannot serve.
//
// The load pattern it handles is a load balancer that sends most new connections of a zone or a
// region to one instance. Each connection takes memory, a goroutine and descriptors; beyond their
// bounds the process would be killed, and beyond what its processor does in time all requests would
// be late. A connection that is reset unread costs its caller one round trip: it may send any request
// again, at another instance.
//
// A Listener has at most a given number of connections open. If it is full, the one that has been
// idle for longest makes room for a new one; if none is idle, the new one is refused. While timers
// fire late, as they do if the processor is busy, an Overload refuses a growing share of the new
// connections.
//
// # Usage
//
//	l := intake.NewListener(inner, intake.Connections(memoryBytes, descriptors), log)
//	go l.Watch(ctx)
//	server := &http.Server{Handler: h, ConnState: l.Track}
//	err := server.Serve(l)
package intake

import (
	"container/list"
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenashift/core/plumbing/pause"
)

const (
	// connectionBytes is the memory that a connection may take with a request in progress: its
	// goroutines and buffers, and those of the connection to a server.
	connectionBytes = 48 << 10
	// memoryShare is the part of the memory for connections.
	memoryShare = 0.5
	// otherDescriptors are those that are not for connections of requests, and
	// connectionDescriptors those of one connection: its own, and one to a server, which may be
	// kept when the request has ended.
	otherDescriptors      = 400
	connectionDescriptors = 3
	// minConnections is the least bound, whatever the settings say.
	minConnections = 64
)

// Connections returns how many connections a process may have, given the memory at which it is
// killed and the number of its descriptors; 0 means unknown.
func Connections(memoryBytes int64, descriptors int) int {
	most := int(memoryShare * float64(memoryBytes) / connectionBytes)
	if byDescriptors := (descriptors - otherDescriptors) / connectionDescriptors; descriptors > 0 {
		most = min(most, byDescriptors)
	}
	return max(most, minConnections)
}

// The reasons for which connections are refused.
const (
	reasonFull       = "full"
	reasonOverloaded = "overloaded"
)

var (
	metricOpen    = expvar.NewInt("caller-connections")
	metricRefused = expvar.NewMap("caller-connections-refused")
	metricLate    = expvar.NewInt("timers-late-ms")
)

// Listener bounds the connections of callers. Its methods are safe for concurrent use.
type Listener struct {
	net.Listener
	log  *slog.Logger
	most int

	mu       sync.Mutex
	open     int
	overload Overload
	// idle holds the connections without a request, those that have been idle for longest first.
	idle list.List
	// refused counts the connections that were refused since loggedAt, by reason.
	refused  map[string]int
	loggedAt time.Time
}

// NewListener returns a Listener that has at most the given number of connections of another one open.
func NewListener(inner net.Listener, most int, log *slog.Logger) *Listener {
	return &Listener{Listener: inner, most: most, log: log, refused: map[string]int{}}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	// idle is its element of the idle connections, or nil. The listener's lock guards it and closed.
	idle   *list.Element
	closed bool
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.release(c)
	return c.Conn.Close()
}

// CloseWrite closes the writing side. The server does so half a second before it closes a connection
// with unread bytes, which resets it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Accept returns the next connection that is not refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		reason, old := l.admit()
		if old != nil {
			_ = old.Close() // Its caller has no request there.
		}
		if reason == "" {
			return &conn{Conn: inner, listener: l}, nil
		}
		reset(inner)
	}
}

// admit counts a new connection, or returns why it is refused. Old is an idle connection that has to
// be closed for it.
func (l *Listener) admit() (reason string, old *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.overload.Share() > rand.Float64():
		l.refuse(reasonOverloaded)
		return reasonOverloaded, nil
	case l.open < l.most:
	case l.idle.Len() > 0:
		old = l.idle.Front().Value.(*conn)
		l.forget(old)
	default:
		l.refuse(reasonFull)
		return reasonFull, nil
	}
	l.open++
	metricOpen.Set(int64(l.open))
	return "", old
}

// refuse counts a refused connection. The lock must be held.
func (l *Listener) refuse(reason string) {
	l.refused[reason]++
	metricRefused.Add(reason, 1)
}

// reset closes a connection so that its caller knows at once that nothing was read.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close() // It is refused in any case.
}

// release counts a connection as closed.
func (l *Listener) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

// forget does the same. The lock must be held.
func (l *Listener) forget(c *conn) {
	l.setActive(c)
	if c.closed {
		return
	}
	c.closed = true
	l.open--
	metricOpen.Set(int64(l.open))
}

// setActive removes a connection from the idle ones. The lock must be held.
func (l *Listener) setActive(c *conn) {
	if c.idle != nil {
		l.idle.Remove(c.idle)
		c.idle = nil
	}
}

// Track records the state of a connection; it is to be the ConnState of the server.
func (l *Listener) Track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		l.setActive(c)
		if !c.closed {
			c.idle = l.idle.PushBack(c)
		}
	case http.StateActive:
		l.setActive(c)
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	case http.StateNew:
	}
}

// Watch observes how late timers fire until the context ends, and logs what was refused.
func (l *Listener) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		pause.For(ctx, watchInterval)
		now := time.Now()
		l.observe(now.Sub(began)-watchInterval, now)
	}
}

// logInterval is how often refused connections are logged.
const logInterval = time.Second

// observe records how late a timer was.
func (l *Listener) observe(late time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overload.Observe(late)
	metricLate.Set(l.overload.mean.Milliseconds())
	if len(l.refused) == 0 || now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.log.Warn("connections refused", "full", l.refused[reasonFull], "overloaded", l.refused[reasonOverloaded],
		"open", l.open, "most", l.most, "share", l.overload.Share(), "timers-late-ms", l.overload.mean.Milliseconds())
	clear(l.refused)
	l.loggedAt = now
}
