package peer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"verbenashift/core/peer/wire"
	"verbenashift/core/peer/wire/wireconnect"
)

// namedAgent answers heartbeats with its name.
type namedAgent struct {
	wireconnect.UnimplementedAgentServiceHandler
	name string
}

func (a *namedAgent) Exchange(context.Context, *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	return connect.NewResponse(&wire.ExchangeResponse{From: a.name}), nil
}

// serveAgent serves an agent and sends to closed when a connection ends.
func serveAgent(t *testing.T, name string, closed chan<- struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path, h := wireconnect.NewAgentServiceHandler(&namedAgent{name: name})
	m := http.NewServeMux()
	m.Handle(path, h)
	s := NewServer(m, nil)
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed && closed != nil {
			closed <- struct{}{}
		}
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func TestCallsReachTheirAgent(t *testing.T) {
	is := is.New(t)
	d := NewDialer(DialConfig{})
	defer d.Close()
	for _, name := range []string{"first", "second"} {
		resp, err := d.Agent(serveAgent(t, name, nil)).Exchange(t.Context(), connect.NewRequest(&wire.ExchangeRequest{}))
		is.NoErr(err)
		is.Equal(resp.Msg.From, name)
	}
	_, err := d.Agent("127.0.0.1:1").Exchange(t.Context(), connect.NewRequest(&wire.ExchangeRequest{}))
	is.True(err != nil)
	is.True(NotSent(err))
}

// Guards against idle connections that stay open: after an operator has viewed the
// fleet an entry has connections to all 670 agents, and to hold and probe them costs more
// bytes and memory than it may spend on control.
func TestIdleConnectionsClose(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 1)
	addr := serveAgent(t, "agent", closed)
	d := NewDialer(DialConfig{IdleTimeout: 50 * time.Millisecond})
	defer d.Close()
	_, err := d.Agent(addr).Exchange(t.Context(), connect.NewRequest(&wire.ExchangeRequest{}))
	is.NoErr(err)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stays open")
	}
}
