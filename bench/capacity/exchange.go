package capacity

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"verbenashift/bench/figure"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/peer/wire/wireconnect"
)

// traffic counts the connections of a listener and their bytes in both
// directions, without the overhead of TCP and IP.
type traffic struct {
	bytes atomic.Int64
	conns atomic.Int64
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.conns.Add(1)
	return countedConn{c, l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// emptyDigestSize is the size of a membership digest without updates, in bytes.
const emptyDigestSize = 96

// stubAgent answers heartbeats like an agent.
type stubAgent struct {
	wireconnect.UnimplementedAgentServiceHandler
	name  string
	nodes []*wire.NodeState
	// members is the agent's membership view. If it is nil, digests are
	// emptyDigestSize zero bytes.
	members *follow.Members
}

func (a *stubAgent) digest(m *wire.ExchangeRequest) ([]byte, error) {
	if a.members == nil {
		return make([]byte, emptyDigestSize), nil
	}
	if err := a.members.Merge(m.Digest); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return a.members.Digest(m.From), nil
}

func (a *stubAgent) Exchange(_ context.Context, req *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	digest, err := a.digest(req.Msg)
	if err != nil {
		return nil, err
	}
	resp := &wire.ExchangeResponse{
		From: a.name, Revision: 420, Digest: digest,
		Load: &wire.Load{Incarnation: uint64(time.Now().UnixMilli()), Queued: 5200, Running: 24, Rate: 3283.5, Revision: 420, StepMs: 21.75},
	}
	if req.Msg.WantNodes {
		resp.Nodes = a.nodes
	}
	return connect.NewResponse(resp), nil
}

// listen serves a in clear text at addr and counts its traffic in t.
func listen(a *stubAgent, addr string, t *traffic) (*http.Server, string, error) {
	return listenTLS(a, addr, t, nil)
}

// listenTLS is like listen, but uses TLS if config is not nil.
func listenTLS(a *stubAgent, addr string, t *traffic, config *tls.Config) (*http.Server, string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, "", errors.Wrap(err, "listen")
	}
	path, h := wireconnect.NewAgentServiceHandler(a, connect.WithCompression("gzip", nil, nil))
	m := http.NewServeMux()
	m.Handle(path, h)
	s := peer.NewServer(m, config)
	go func() { _ = peer.Serve(s, countedListener{l, t}) }()
	return s, l.Addr().String(), nil
}

// heartbeat returns the heartbeat that an entry sends.
func heartbeat() *wire.ExchangeRequest {
	return &wire.ExchangeRequest{
		From: "entry-0390", Kind: "entry", Zone: "zone-8", Revision: 420, Incarnation: uint64(time.Now().UnixMilli()),
		Digest: make([]byte, emptyDigestSize),
	}
}

func exchange(ctx context.Context, d *peer.Dialer, addr string, m *wire.ExchangeRequest) error {
	_, err := d.Agent(addr).Exchange(ctx, connect.NewRequest(m))
	if err != nil {
		return errors.Wrap(err, "exchange")
	}
	return nil
}

// The bounds on one heartbeat exchange.
const (
	maxExchange      = 600 // bytes
	maxFirstExchange = 1200
	maxExchangeCPU   = 400 // µs
)

// measureExchanges measures one heartbeat exchange: its bytes on a new and on an
// established connection, and the mean CPU time of the two ends.
func measureExchanges(ctx context.Context) ([]figure.Figure, error) {
	var t traffic
	s, addr, err := listen(&stubAgent{name: "server-0670"}, "127.0.59.1:0", &t)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	first, err := firstExchangeBytes(ctx, addr, &t)
	if err != nil {
		return nil, err
	}
	d := peer.NewDialer(peer.DialConfig{})
	defer d.Close()
	const warm, rounds = 50, 4000
	for range warm {
		if err := exchange(ctx, d, addr, heartbeat()); err != nil {
			return nil, err
		}
	}
	bytes, cpu := t.bytes.Load(), cpuTime()
	for range rounds {
		if err := exchange(ctx, d, addr, heartbeat()); err != nil {
			return nil, err
		}
	}
	spent := cpuTime() - cpu
	return []figure.Figure{
		{
			Name: "capacity-exchange-first-bytes", Value: first, Unit: "bytes", Bound: maxFirstExchange, Better: figure.Lower, Gate: true,
			Note: "on a new connection in clear text, both directions, above TCP",
		},
		{
			Name: "capacity-exchange-bytes", Value: float64(t.bytes.Load()-bytes) / rounds, Unit: "bytes", Bound: maxExchange, Better: figure.Lower,
			Gate: true, Note: "on a kept connection, both directions, above TCP",
		},
		{
			Name: "capacity-exchange-cpu", Value: spent.Seconds() * 1e6 / rounds / 2, Unit: "us", Bound: maxExchangeCPU, Better: figure.Lower,
			Note: "of one end: both ends run in one process",
		},
	}, nil
}

// firstExchangeBytes returns the mean bytes of the first exchange on a new
// connection.
func firstExchangeBytes(ctx context.Context, addr string, t *traffic) (float64, error) {
	const rounds = 50
	before := t.bytes.Load()
	for range rounds {
		d := peer.NewDialer(peer.DialConfig{})
		if err := exchange(ctx, d, addr, heartbeat()); err != nil {
			return 0, err
		}
		d.Close()
	}
	return float64(t.bytes.Load()-before) / rounds, nil
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureIdleConnections measures the cost of connections without requests:
// their keep-alive pings.
func measureIdleConnections(ctx context.Context) ([]figure.Figure, error) {
	const watch = 20 * time.Second
	bytes := series{name: "idle-connections", unit: "bytes/s", per: "connection", note: "pings in both directions, above TCP"}
	cpu := series{name: "idle-connections-cpu", unit: "us/s", per: "connection", note: "of one end"}
	for _, n := range []int{70, 250, 670} {
		var t traffic
		spent, err := idleConnections(ctx, n, watch, &t)
		if err != nil {
			return nil, err
		}
		label, size := fmt.Sprint(n), float64(n)
		bytes.points = append(bytes.points, point{label, size, float64(t.bytes.Load()) / watch.Seconds()})
		cpu.points = append(cpu.points, point{label, size, spent.Seconds() * 1e6 / watch.Seconds() / 2})
	}
	return allFigures(bytes, cpu), nil
}

// idleConnections opens n connections and returns the CPU time that is used
// while they are idle for the watch time. Their traffic in that time is in t.
func idleConnections(ctx context.Context, n int, watch time.Duration, t *traffic) (time.Duration, error) {
	s, addr, err := listen(&stubAgent{name: "server-0670"}, "127.0.59.1:0", t)
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }()
	for range n {
		d := peer.NewDialer(peer.DialConfig{})
		defer d.Close()
		if err := exchange(ctx, d, addr, heartbeat()); err != nil {
			return 0, err
		}
	}
	if err := sleep(ctx, time.Second); err != nil {
		return 0, err
	}
	t.bytes.Store(0)
	cpu := cpuTime()
	err = sleep(ctx, watch)
	return cpuTime() - cpu, err
}

// measureNodeLists measures the exchange in which an agent lists the entries
// that it has received heartbeats from. Each entry requests that list every few
// seconds.
func measureNodeLists(ctx context.Context) ([]figure.Figure, error) {
	bytes := series{name: "node-list", unit: "bytes", per: "entry", note: "answer to want-nodes on a kept connection"}
	for _, n := range []int{8, 64, 390} {
		var t traffic
		a := &stubAgent{name: "server-0670"}
		for i := range n {
			a.nodes = append(a.nodes, &wire.NodeState{
				Name: fmt.Sprintf("entry-%04d", i), Zone: "zone-8", Revision: 420, AgeMs: uint64(100 * i), Incarnation: uint64(time.Now().UnixMilli()),
			})
		}
		value, err := nodeListBytes(ctx, a, &t)
		if err != nil {
			return nil, err
		}
		bytes.points = append(bytes.points, point{fmt.Sprint(n), float64(n), value})
	}
	return bytes.figures(), nil
}

func nodeListBytes(ctx context.Context, a *stubAgent, t *traffic) (float64, error) {
	s, addr, err := listen(a, "127.0.59.1:0", t)
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }()
	d := peer.NewDialer(peer.DialConfig{})
	defer d.Close()
	m := heartbeat()
	m.WantNodes = true
	const rounds = 20
	var before int64
	for i := range rounds + 1 {
		if i == 1 {
			before = t.bytes.Load()
		}
		if err := exchange(ctx, d, addr, m); err != nil {
			return 0, err
		}
	}
	return float64(t.bytes.Load()-before) / rounds, nil
}
