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
// idle for longest makes room for a new one, then the one whose request has not begun for longest; if
// there is neither, the new one is refused. While timers fire late, as they do if the processor is
// busy, an Overload refuses a growing share of the new connections.
//
// Callers may send heads of any length and form. A head is received as a whole before the server
// parses it, into a buffer of its own if it is long, and must find room for what it takes once it is
// parsed, which is many times its bytes if its lines are short. The room is shared by all
// connections; small heads need none. If heads in reception exceed their half of it, the connection
// whose head began first is closed. A complete head waits for a while for its room, and is then
// refused with status 503; one that is too long is refused with status 431.
//
// # Usage
//
//	l, err := intake.Listen(addr, intake.Limits{Connections: n, HeadRoom: bytes}, log)
//	go l.Watch(ctx)
//	err = l.Serve(&http.Server{Handler: h})
//
// In the handler, once the header of a request is not needed any more:
//
//	r.Header = nil
//	intake.Retain(r.Context(), bytes)
package intake

import (
	"cmp"
	"container/list"
	"context"
	"crypto/tls"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"verbenashift/core/plumbing/heads"
	"verbenashift/core/plumbing/pause"
)

const (
	// connectionBytes is the memory that a connection may take with a request in progress: its
	// goroutines and buffers, those of the connection to a server, a small head, and what the
	// system has received and the process has not read.
	connectionBytes = 64<<10 + receiveBuffer
	// receiveBuffer is how many bytes of a connection the system may receive before they are read.
	receiveBuffer = 32 << 10
	// memoryShare is the part of the memory for connections.
	memoryShare = 0.5
	// otherDescriptors are those that are not for connections of requests, and
	// connectionDescriptors those of one connection: its own, and one to a server, which may be
	// kept when the request has ended.
	otherDescriptors      = 400
	connectionDescriptors = 3
	// defaultConnections is the largest number of connections if the Limits have none.
	defaultConnections = 4096
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

// Patience is the usual Patience of Limits: callers give up a request that is not read for as long.
const Patience = time.Second

// Limits are the limits of a Listener.
type Limits struct {
	// Name is the name of the address in the log and the counters; empty for that of callers.
	Name string
	// Connections is the largest number of open connections; 0 means 4,096.
	Connections int
	// HeadBytes is the longest head of a request in bytes; 0 means 64 KB.
	HeadBytes int
	// HeadRoom is the memory in bytes for heads of requests beyond small ones, on all connections
	// together. A small number means the least that serves any single head.
	HeadRoom int64
	// TLS makes the connections those of TLS with HTTP/1, if it is not nil.
	TLS *tls.Config
	// Unseen says that heads cannot be seen, since a server above handles TLS: only the connections
	// are bounded.
	Unseen bool
	// Patience is how long a connection may be without a request before a new one may take its
	// place. A connection that has had a request before does not count here: it is idle.
	Patience time.Duration
}

// The reasons for which connections and heads are refused.
const (
	reasonFull       = "full"
	reasonOverloaded = "overloaded"
	// reasonTooLong is a head over its limit, reasonNoRoom one without room, and reasonReplaced a
	// connection without a request that has made room for a new one.
	reasonTooLong  = "head-too-long"
	reasonNoRoom   = "no-room-for-head"
	reasonReplaced = "replaced"
)

var (
	metricOpen    = expvar.NewInt("caller-connections")
	metricRefused = expvar.NewMap("caller-connections-refused")
	metricLate    = expvar.NewInt("timers-late-ms")
	// The same by name for the addresses that are not for callers.
	metricOtherOpen    = expvar.NewMap("other-connections")
	metricOtherRefused = expvar.NewMap("other-connections-refused")
)

// Listener bounds the connections of callers. Its methods are safe for concurrent use.
type Listener struct {
	net.Listener
	log    *slog.Logger
	limits Limits
	heads  *headRoom

	mu       sync.Mutex
	open     int
	overload Overload
	// idle holds the connections that have had a request, incoming the others without a request.
	// Those that have been there for longest are in front.
	idle, incoming list.List
	// refused counts the connections that were refused since loggedAt, by reason.
	refused  map[string]int
	loggedAt time.Time
}

// Listen listens on a TCP address, with a bound on what the system receives for a connection.
func Listen(addr string, limits Limits, log *slog.Logger) (*Listener, error) {
	cfg := net.ListenConfig{Control: limitReceiveBuffer}
	inner, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	if limits.TLS != nil {
		cfg := limits.TLS.Clone()
		cfg.NextProtos = []string{"http/1.1"}
		inner = tls.NewListener(inner, cfg)
	}
	return NewListener(inner, limits, log), nil
}

// limitReceiveBuffer sets the receive buffer of a listener, which its connections inherit.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without it the bound is that of the system.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}

// NewListener returns a Listener that accepts the connections of another one.
func NewListener(inner net.Listener, limits Limits, log *slog.Logger) *Listener {
	limits.Connections = cmp.Or(limits.Connections, defaultConnections)
	limits.HeadBytes = cmp.Or(limits.HeadBytes, defaultHeadBytes)
	return &Listener{
		Listener: inner, limits: limits, log: log,
		heads: newHeadRoom(limits.HeadRoom, limits.HeadBytes), refused: map[string]int{},
	}
}

// Serve serves the connections with an HTTP server, whose limits of heads and hooks for connections it
// sets, until the server is shut down.
func (l *Listener) Serve(server *http.Server) error {
	server.MaxHeaderBytes = l.limits.HeadBytes + headSlack
	server.ConnState = l.Track
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = l.weigh(server.Handler)
	if server.TLSConfig != nil {
		return server.ServeTLS(l, "", "")
	}
	return server.Serve(l)
}

// weigh returns a handler that makes room for the heads that were not seen before they were parsed.
func (l *Listener) weigh(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor < 2 && !l.limits.Unseen {
			next.ServeHTTP(w, r)
			return
		}
		weight := heads.WeightOf(r)
		if weight <= smallHead {
			next.ServeHTTP(w, r)
			return
		}
		var c conn // It stands for the request.
		defer l.heads.end(&c)
		if weight > l.heads.half || !l.heads.hold(&c, weight) {
			l.countHead(reasonNoRoom)
			w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// LimitHeads states the longest head of a request in bytes, up to that of the Limits, and how long its
// reception may take; 0 leaves either as it is. The length that was stated before holds as well.
func (l *Listener) LimitHeads(bytes int, timeout time.Duration) { l.heads.state(bytes, timeout) }

// HeldForHeads returns how many bytes the heads of all connections hold.
func (l *Listener) HeldForHeads() int64 { return l.heads.held() }

// Accept returns the next connection that is not refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, old := l.admit(inner, time.Now())
		if old != nil {
			old.abandon()
		}
		if c != nil {
			return c, nil
		}
		reset(inner)
	}
}

// admit counts a new connection, or returns nil if it is refused. Old is a connection without a request
// that has to be closed for it.
func (l *Listener) admit(inner net.Conn, now time.Time) (c, old *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.overload.Share() > rand.Float64():
		l.refuse(reasonOverloaded)
		return nil, nil
	case l.open < l.limits.Connections:
	case l.idle.Len() > 0:
		old = l.idle.Front().Value.(*conn)
		l.forget(old)
	default:
		if old = l.oldestIncoming(now); old == nil {
			l.refuse(reasonFull)
			return nil, nil
		}
		l.refuse(reasonReplaced)
		l.forget(old)
	}
	l.countOpen(1)
	c = &conn{Conn: inner, listener: l}
	if l.limits.Unseen {
		c.phase = unseen
	}
	c.since = now
	c.incoming = l.incoming.PushBack(c)
	return c, old
}

// oldestIncoming returns the connection that has been without a request for longest, or nil if none has
// for as long as the limits say. The lock must be held.
func (l *Listener) oldestIncoming(now time.Time) *conn {
	e := l.incoming.Front()
	if e == nil {
		return nil
	}
	if c := e.Value.(*conn); now.Sub(c.since) >= l.limits.Patience {
		return c
	}
	return nil
}

// countHead counts a head that was refused, or whose connection was closed.
func (l *Listener) countHead(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse(reason)
}

// refuse counts a refused connection. The lock must be held.
func (l *Listener) refuse(reason string) {
	l.refused[reason]++
	if l.limits.Name == "" {
		metricRefused.Add(reason, 1)
		return
	}
	metricOtherRefused.Add(l.limits.Name+" "+reason, 1)
	l.logRefused(time.Now())
}

// reset closes a connection so that its caller knows at once that nothing was read.
func reset(c net.Conn) {
	c = transport(c)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close() // It is refused in any case.
}

// release counts a connection as closed, and returns its room.
func (l *Listener) release(c *conn) {
	l.mu.Lock()
	l.forget(c)
	l.mu.Unlock()
	l.heads.end(c)
}

// forget counts a connection as closed. The lock must be held.
func (l *Listener) forget(c *conn) {
	l.leave(c)
	if c.closed {
		return
	}
	c.closed = true
	l.countOpen(-1)
}

// countOpen changes the number of open connections. The lock must be held.
func (l *Listener) countOpen(n int) {
	l.open += n
	if l.limits.Name == "" {
		metricOpen.Add(int64(n))
		return
	}
	metricOtherOpen.Add(l.limits.Name, int64(n))
}

// leave removes a connection from those without a request. The lock must be held.
func (l *Listener) leave(c *conn) {
	if c.idle != nil {
		l.idle.Remove(c.idle)
		c.idle = nil
	}
	if c.incoming != nil {
		l.incoming.Remove(c.incoming)
		c.incoming = nil
	}
}

// headBegins records that a part of a head was received.
func (l *Listener) headBegins(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed || c.incoming != nil {
		return
	}
	l.leave(c)
	c.since = time.Now()
	c.incoming = l.incoming.PushBack(c)
}

// begin records that a head is complete. It reports false if the connection was closed: its request
// must not run.
func (l *Listener) begin(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leave(c)
	return !c.closed
}

// Track records the state of a connection; it is the ConnState of the server.
func (l *Listener) Track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		c, ok = transport(nc).(*conn)
	}
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		if c.weighed {
			l.heads.retain(c, 0)
			c.weighed = false
		}
		l.setIdle(c)
	case http.StateClosed, http.StateHijacked:
		l.release(c)
	case http.StateActive:
		if c.phase == unseen {
			l.begin(c) // Others are active from when their head is complete.
		}
	case http.StateNew:
	}
}

// setIdle records that a connection has no request any more.
func (l *Listener) setIdle(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leave(c)
	if !c.closed {
		c.idle = l.idle.PushBack(c)
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
	l.logRefused(now)
}

// logRefused logs what was refused, at most once in logInterval. The lock must be held.
func (l *Listener) logRefused(now time.Time) {
	if len(l.refused) == 0 || now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.log.Warn("connections refused", "address", cmp.Or(l.limits.Name, "callers"), "full", l.refused[reasonFull], "overloaded", l.refused[reasonOverloaded],
		"replaced", l.refused[reasonReplaced], "heads-too-long", l.refused[reasonTooLong], "no-room-for-heads", l.refused[reasonNoRoom],
		"head-bytes", l.heads.held(), "open", l.open, "most", l.limits.Connections,
		"share", l.overload.Share(), "timers-late-ms", l.overload.mean.Milliseconds())
	clear(l.refused)
	l.loggedAt = now
}
