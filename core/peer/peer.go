// Package peer connects the processes of the system to each other.
//
// Entries and agents use the Connect protocol over HTTP/2, with TLS if keys are
// configured and in clear text otherwise, which is meant for loopback only. A Dialer
// holds at most two connections to each peer in use, one for streams and one for
// unary calls. HTTP/2 pings detect connections to a process that does not respond;
// these are closed, which breaks the streams on them.
//
// # Usage
//
//	d := peer.NewDialer(peer.DialConfig{})
//	stream, err := d.Submit(ctx, "127.0.0.1:7001", req)
package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"verbenashift/core/peer/wire/wireconnect"
	"verbenashift/core/plumbing/buffers"
)

// The timeouts after which an idle connection is probed with a ping, and closed.
const (
	defaultDialTimeout = time.Second
	defaultPingAfter   = time.Second
	defaultPingTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	// streamIdleTimeout is shorter, since connections for streams are probed every
	// second: at 16 requests per second to 670 agents a few dozen are idle.
	streamIdleTimeout = 5 * time.Second
	// callPingAfter is for connections for unary calls, whose callers set deadlines.
	// Their pings only detect dead connections in the pool.
	callPingAfter = 15 * time.Second
)

// MaxHead is the longest head of a call between processes, in bytes.
const MaxHead = 8 << 10

// maxMessage is the largest message between processes, in bytes.
const maxMessage = 16 << 20

// DialConfig configures the connections to other processes. A duration of zero means a
// default.
type DialConfig struct {
	// TLS is nil for clear text.
	TLS *tls.Config
	// DialTimeout limits how long it takes to establish a connection.
	DialTimeout time.Duration
	// PingAfter is how long a connection for streams may receive nothing before it is
	// probed, PingTimeout how long the probe may take.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open. In a fleet where every
	// process has connected to every other, the pings and the memory of idle connections
	// would exceed what a node may spend on control.
	IdleTimeout time.Duration
}

// Dialer creates clients for agents by address. It is safe for concurrent use.
//
// Streams have separate connections, since streams from an agent that does not respond
// must break within seconds: their connections are probed often, those for unary calls
// rarely.
type Dialer struct {
	streams *http.Client
	calls   *http.Client
	scheme  string
	// service makes the unary calls to all agents.
	service wireconnect.AgentServiceClient
}

// NewDialer returns a dialer without connections.
func NewDialer(cfg DialConfig) *Dialer {
	scheme := "https"
	if cfg.TLS == nil {
		scheme = "http"
	}
	calls := newClient(cfg, callPingAfter, orDefault(cfg.IdleTimeout, defaultIdleTimeout))
	return &Dialer{
		streams: newClient(cfg, orDefault(cfg.PingAfter, defaultPingAfter), orDefault(cfg.IdleTimeout, streamIdleTimeout)),
		calls:   calls,
		scheme:  scheme,
		service: wireconnect.NewAgentServiceClient(addressClient{calls}, scheme+"://agent",
			connect.WithReadMaxBytes(maxMessage), connect.WithAcceptCompression("gzip", nil, nil)),
	}
}

func newClient(cfg DialConfig, pingAfter, idle time.Duration) *http.Client {
	dialTimeout := orDefault(cfg.DialTimeout, defaultDialTimeout)
	var p http.Protocols
	p.SetHTTP2(cfg.TLS != nil)
	p.SetUnencryptedHTTP2(cfg.TLS == nil)
	return &http.Client{Transport: &http.Transport{
		Protocols:           &p,
		TLSClientConfig:     cfg.TLS,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idle,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     orDefault(cfg.PingTimeout, defaultPingTimeout),
		},
	}}
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// Close closes the idle connections.
func (d *Dialer) Close() {
	d.streams.CloseIdleConnections()
	d.calls.CloseIdleConnections()
}

// NotSent reports whether err shows that a call was never sent, since the connection
// could not be established. After any other transport error it is unknown whether the
// peer has received the call.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// NewServer returns a server that handles calls from other processes with h. It uses
// HTTP/2 in clear text if cfg is nil.
func NewServer(h http.Handler, cfg *tls.Config) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(cfg == nil)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		TLSConfig:         cfg,
		ReadHeaderTimeout: 10 * time.Second,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 4096},
		BaseContext:       func(net.Listener) context.Context { return context.Background() },
	}
}

// messageTime is how long a peer may take to send a message.
const messageTime = 10 * time.Second

// BoundMessages returns a handler that receives each message as a whole, into the room of all messages,
// before it calls next. A message for which there is no room, or that takes too long, has not been
// handled: the peer gets status 503.
func BoundMessages(next http.Handler, room *buffers.Pool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := http.NewResponseController(w)
		_ = conn.SetReadDeadline(time.Now().Add(messageTime)) // Without it the connection's end bounds the wait.
		body, err := room.Read(r.Context(), r.Body, r.ContentLength, maxMessage+prefixSize)
		if err != nil {
			w.Header().Set("Connection", "close") // The rest of the body is not read.
			w.WriteHeader(refusedStatus(err))
			return
		}
		defer body.Release()
		_ = conn.SetReadDeadline(time.Time{}) // As above.
		r.Body = io.NopCloser(bytes.NewReader(body.Bytes()))
		next.ServeHTTP(w, r)
	})
}

// refusedStatus returns the status for a message that was not received.
func refusedStatus(err error) int {
	var long *buffers.TooLongError
	if errors.As(err, &long) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// Serve serves on l, with TLS if the server has a TLS configuration.
func Serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// The reasons that an agent returns for an Attach that finds no answer.
const (
	// ReasonNotSeen means that this incarnation never received the request.
	ReasonNotSeen = "request-not-seen"
	// ReasonAnswerUnavailable means that the answer was lost or is no longer stored.
	ReasonAnswerUnavailable = "answer-gone"
)

// ReasonPaused is the reason why an agent refuses a request whose target has refused others and
// asked to be sent none until the refusal's RetryAfter has passed.
const ReasonPaused = "target-paused"

// HeaderSharedPrefix is a header that an entry sets on a call whose workspace shares its
// prefix cache; the agent then omits the cache salt.
const HeaderSharedPrefix = "X-Shared-Prefix"
