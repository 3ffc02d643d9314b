package clients

import (
	"os"
	"testing"
)

// unreadPipe returns the writing end of a pipe that nobody reads.
func unreadPipe(t *testing.T) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return w
}

// manyConnections is more than the descriptors of a gateway.
const manyConnections = 1200

// anyHead is the head of a request for the readiness or the metrics, without the empty line.
const anyHead = "GET /metrics HTTP/1.1\r\nHost: a\r\n"

// Guards against memory for heads at the readiness address.
func TestHeadsAtReadiness(t *testing.T) {
	g := startGateway(t, nil)
	crowd{connections: crowdSize, first: always(anyHead + distinctNames(200<<10))}.send(g.ctx, g.ready)
	g.verifyGateway()
}

// Guards against memory for heads at the address of the metrics.
func TestHeadsAtMetrics(t *testing.T) {
	g := startGateway(t, nil)
	crowd{connections: crowdSize, first: always(anyHead + distinctNames(200<<10))}.send(g.ctx, g.metrics)
	g.verifyGateway()
}

// Guards against memory for connections at the feed of configurations.
func TestBytesAtFeed(t *testing.T) {
	g := startGateway(t, nil)
	crowd{connections: crowdSize, first: always("x"), again: "\xfe\xff\xff\xff", most: endless}.send(g.ctx, g.feed)
	g.verifyGateway()
}

// Guards against descriptors for connections without a request at the address for callers.
func TestConnectionsWithoutRequest(t *testing.T) {
	g := startGateway(t, nil)
	crowd{connections: manyConnections, first: always("G")}.send(g.ctx, g.front)
	g.verifyGateway()
}

// Guards against descriptors for connections without a request at the readiness address.
func TestConnectionsAtReadiness(t *testing.T) {
	g := startGateway(t, nil)
	crowd{connections: manyConnections, first: always("G")}.send(g.ctx, g.ready)
	g.verifyGateway()
}

// Guards against descriptors for connections without a request at the address of the metrics.
func TestConnectionsAtMetrics(t *testing.T) {
	g := startGateway(t, nil)
	crowd{connections: manyConnections, first: always("G")}.send(g.ctx, g.metrics)
	g.verifyGateway()
}
