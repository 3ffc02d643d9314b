package clients

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/standin/deployment"
)

const (
	// ownMemory is what an entry or an agent may take in these tests, in bytes.
	ownMemory = 128 << 20
	entryName = "entry-1"
	agentName = "agent-1"
)

// ownDeployment is a deployment of the product's own interface with one program under test.
type ownDeployment struct {
	*process
	*deployment.Deployment
}

// startOwn starts a deployment with one entry and one agent, and watches one of them.
func startOwn(t *testing.T, name string) *ownDeployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	d := &ownDeployment{process: &process{I: is.New(t), t: t, ctx: ctx, ended: make(chan struct{})}}
	var err error
	d.Deployment, err = deployment.Start(ctx, deployment.Shape{
		Block: "127.0.112", Entries: 1, ServiceTargets: 1,
		EntrySettings: deployment.Settings{"limits.slow-caller": "2s"},
	})
	d.NoErr(err)
	t.Cleanup(func() { _ = d.Close() })
	d.pid, err = d.PID(name)
	d.NoErr(err)
	go func() {
		defer close(d.ended)
		_, _ = d.Wait(name, testTimeout) // It must not end during the test.
	}()
	go d.watch()
	return d
}

// play sends a crowd to an address, and verifies the process and that an ordinary request is answered.
func (d *ownDeployment) play(c crowd, addr string) {
	d.t.Helper()
	c.send(d.ctx, addr)
	d.verify(ownMemory, maxDescriptors)
	for d.alive() && d.ctx.Err() == nil {
		if d.ping() == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.t.Fatal("no answer")
}

// ping sends an ordinary request to the entry, and returns the status of its answer, or 0.
func (d *ownDeployment) ping() int {
	req, err := http.NewRequestWithContext(d.ctx, http.MethodPost, "http://"+d.Address(entryName)+"/services/job-desk/pings", strings.NewReader("{}"))
	d.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+d.Token("harbor-home"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// ownHeads returns a crowd whose heads do not end.
func ownHeads(size int) crowd {
	return crowd{connections: crowdSize, first: always(anyHead + distinctNames(size))}
}

// ownConnections returns a crowd of more connections than descriptors.
func ownConnections() crowd { return crowd{connections: manyConnections, first: always("G")} }

// Guards against memory for heads at the address of an entry for callers.
func TestEntryHeadsAtCallers(t *testing.T) {
	d := startOwn(t, entryName)
	d.play(ownHeads(longHead), d.Address(entryName))
}

// Guards against memory for heads at the address of an entry for operators.
func TestEntryHeadsAtOperators(t *testing.T) {
	d := startOwn(t, entryName)
	d.play(ownHeads(longHead), strings.Replace(d.Address(entryName), ":8080", ":8081", 1))
}

// Guards against memory for heads at the address of an entry for metrics.
func TestEntryHeadsAtMetrics(t *testing.T) {
	d := startOwn(t, entryName)
	d.play(ownHeads(200<<10), d.ObserveAddress(entryName))
}

// Guards against memory for bodies that do not end.
func TestEntryBodiesThatStop(t *testing.T) {
	d := startOwn(t, entryName)
	request := fmt.Sprintf("POST /services/job-desk/pings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 1000000\r\n\r\n", d.Token("harbor-home"))
	d.play(crowd{connections: crowdSize, first: always(request + strings.Repeat("x", 900_000))}, d.Address(entryName))
}

// Guards against descriptors for connections at the address of an entry for metrics.
func TestEntryConnectionsAtMetrics(t *testing.T) {
	d := startOwn(t, entryName)
	d.play(ownConnections(), d.ObserveAddress(entryName))
}

// Guards against memory for heads at the address of an agent for other processes.
func TestAgentHeadsAtPeers(t *testing.T) {
	d := startOwn(t, agentName)
	d.play(ownHeads(200<<10), strings.Replace(d.Address(agentName), ":7001", ":7000", 1))
}

// Guards against memory for messages to an agent that do not end.
func TestAgentMessagesThatStop(t *testing.T) {
	d := startOwn(t, agentName)
	const request = "POST /verbenashift.v1.AgentService/Exchange HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\nContent-Length: 9000000\r\n\r\n"
	c := crowd{connections: crowdSize, first: always(request), again: "xxxxxxxx", most: endless}
	d.play(c, strings.Replace(d.Address(agentName), ":7001", ":7000", 1))
}

// Guards against memory for heads at the address of an agent for metrics.
func TestAgentHeadsAtMetrics(t *testing.T) {
	d := startOwn(t, agentName)
	d.play(ownHeads(200<<10), d.ObserveAddress(agentName))
}

// Guards against descriptors for connections at the address of an agent for metrics.
func TestAgentConnectionsAtMetrics(t *testing.T) {
	d := startOwn(t, agentName)
	d.play(ownConnections(), d.ObserveAddress(agentName))
}
