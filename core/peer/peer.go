// Package peer connects the system's own processes to each other.
//
// Entries and agents speak connect over HTTP/2, with TLS where keys are set
// and in clear text otherwise, which is meant for loopback only. A Dialer
// holds at most two connections for each peer in use, one for streams and one
// for short calls; connections to a frozen process are found by HTTP/2 pings
// and closed, which breaks the streams on them.
//
// # Usage
//
//	d := peer.NewDialer(peer.DialConfig{})
//	stream, err := d.Agent("127.0.0.1:7001").Submit(ctx, connect.NewRequest(req))
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"verbenashift/core/peer/wire/wireconnect"
)

// The times after which a silent connection is probed and given up.
const (
	defaultDialTimeout = time.Second
	defaultPingAfter   = time.Second
	defaultPingTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	// streamIdleTimeout is shorter, since connections of streams are probed
	// each second: at 16 requests a second to 670 agents a few dozen are idle.
	streamIdleTimeout = 5 * time.Second
	// callPingAfter is for connections of short calls, which are bounded by
	// their callers. Their pings only find dead connections in the pool.
	callPingAfter = 15 * time.Second
)

// maxMessage bounds one message between processes, in bytes.
const maxMessage = 16 << 20

// DialConfig says how to reach other processes. Its times have useful defaults
// when zero.
type DialConfig struct {
	// TLS is nil for clear text.
	TLS *tls.Config
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// PingAfter is the silence after which a connection of streams is probed,
	// PingTimeout how long the probe may take.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// IdleTimeout is how long a connection is kept that nobody uses. In a
	// fleet that has met in full, the pings and the memory of idle connections
	// would come to more than a node may spend on control.
	IdleTimeout time.Duration
}

// Dialer hands out clients of agents by address. It is safe for use by several
// goroutines.
//
// Streams have connections of their own, since a frozen agent must break its
// streams within seconds: their connections are probed often, those of short
// calls seldom.
type Dialer struct {
	streams *http.Client
	calls   *http.Client
	scheme  string
	// service makes the short calls to all agents.
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
		service: wireconnect.NewAgentServiceClient(addressed{calls}, scheme+"://agent",
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

// NotSent reports whether err shows that a call never left this process: the
// connection could not be made. Every other transport error leaves open
// whether the peer has seen the call.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// NewServer returns a server for calls of other processes on h. It speaks
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

// Serve serves on l, with TLS where the server has keys.
func Serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// The reasons by which an agent answers an Attach that finds no answer.
const (
	// ReasonNotSeen says that this incarnation never saw the request.
	ReasonNotSeen = "request-not-seen"
	// ReasonAnswerUnavailable says that the answer was lost or is no longer kept.
	ReasonAnswerUnavailable = "answer-gone"
)

// ReasonPaused is why an agent refuses a request whose target has refused others and asked to
// be left alone, for the time of the refusal's RetryAfter.
const ReasonPaused = "target-paused"

// HeaderSharedPrefix is set by an entry in the headers of a call whose
// workspace shares its prefix cache; the agent then leaves the cache salt out.
const HeaderSharedPrefix = "X-Shared-Prefix"
