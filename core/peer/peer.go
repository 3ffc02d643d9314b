// Package peer connects the system's own processes to each other.
//
// Entries and agents speak connect over HTTP/2, with TLS where keys are set
// and in clear text otherwise, which is meant for loopback only. A Dialer
// holds one connection for each peer; connections to a frozen process are
// found by HTTP/2 pings and closed, which breaks the streams on them.
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
	"sync"
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
)

// maxMessage bounds one message between processes, in bytes.
const maxMessage = 16 << 20

// DialConfig says how to reach other processes.
type DialConfig struct {
	// TLS is nil for clear text.
	TLS *tls.Config
	// DialTimeout, PingAfter and PingTimeout have useful defaults when zero.
	DialTimeout time.Duration
	PingAfter   time.Duration
	PingTimeout time.Duration
}

// Dialer hands out clients of agents by address. It is safe for use by several
// goroutines.
type Dialer struct {
	client *http.Client
	scheme string

	mu     sync.Mutex
	agents map[string]wireconnect.AgentServiceClient
}

// NewDialer returns a dialer without connections.
func NewDialer(cfg DialConfig) *Dialer {
	dialTimeout := orDefault(cfg.DialTimeout, defaultDialTimeout)
	var p http.Protocols
	p.SetHTTP2(true)
	scheme := "https"
	if cfg.TLS == nil {
		p = http.Protocols{}
		p.SetUnencryptedHTTP2(true)
		scheme = "http"
	}
	tr := &http.Transport{
		Protocols:           &p,
		TLSClientConfig:     cfg.TLS,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: orDefault(cfg.PingAfter, defaultPingAfter),
			PingTimeout:     orDefault(cfg.PingTimeout, defaultPingTimeout),
		},
	}
	return &Dialer{
		client: &http.Client{Transport: tr},
		scheme: scheme,
		agents: make(map[string]wireconnect.AgentServiceClient),
	}
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// Agent returns the client of the agent at addr, an IP address and port.
func (d *Dialer) Agent(addr string) wireconnect.AgentServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.agents[addr]
	if !ok {
		a = wireconnect.NewAgentServiceClient(d.client, d.scheme+"://"+addr,
			connect.WithReadMaxBytes(maxMessage), connect.WithAcceptCompression("gzip", nil, nil))
		d.agents[addr] = a
	}
	return a
}

// Close closes the idle connections.
func (d *Dialer) Close() {
	d.client.CloseIdleConnections()
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
	// ReasonGone says that the answer was lost or is no longer kept.
	ReasonGone = "answer-gone"
)
