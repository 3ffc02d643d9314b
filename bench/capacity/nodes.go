package capacity

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/bench/path"
	"verbenashift/core/configuration/config"
	"verbenashift/core/peer"
	"verbenashift/standin/deployment"
)

const (
	// settleTime is the time after which the memory of a process is stable once
	// its connections have been made.
	settleTime = 5 * time.Second
	// maxNodeMemory is the bound on the resident memory of a node, in bytes.
	maxNodeMemory = 32 << 20
)

// measureConnections measures how the resident memory of the entry and the agent
// grows with the number of connected nodes.
func measureConnections(ctx context.Context) ([]figure.Figure, error) {
	entries, err := entryMemory(ctx)
	if err != nil {
		return nil, err
	}
	agents, err := agentMemory(ctx)
	if err != nil {
		return nil, err
	}
	return append(entries, agents...), nil
}

// entryMemory measures an entry that has the configuration of the whole fleet,
// with various numbers of agents that answer. A status request by an operator
// makes the entry connect to all of them, as its heartbeats would over time.
func entryMemory(ctx context.Context) ([]figure.Figure, error) {
	memory := series{name: "entry-memory", unit: "bytes", per: "connection", note: "resident, 930 workspaces and 670 targets, connected to so many agents"}
	for _, n := range []int{0, 70, 250, 670} {
		value, err := entryMemoryWith(ctx, n)
		if err != nil {
			return nil, err
		}
		memory.points = append(memory.points, point{fmt.Sprint(n), float64(n), value})
	}
	return memory.withBound(maxNodeMemory), nil
}

// withBound returns the figures of the series with an ungated upper bound on
// each point.
func (s series) withBound(bound float64) []figure.Figure {
	list := s.figures()
	for i := range s.points {
		list[i].Bound, list[i].Better = bound, figure.Lower
	}
	return list
}

func entryMemoryWith(ctx context.Context, n int) (float64, error) {
	var t traffic
	for i := range n {
		s, _, err := listen(&stubAgent{name: "server"}, path.FleetAgentAddr(i), &t)
		if err != nil {
			return 0, err
		}
		defer func(s *http.Server) { _ = s.Close() }(s)
	}
	largest := sizes[len(sizes)-1]
	d, err := deployment.Start(ctx, deployment.Shape{
		Block: "127.0.52", Entries: 1, ModelTargets: 1,
		Configure: func(c *config.Config) { path.AddFleet(c, largest.workspaces, largest.targets) },
	})
	if err != nil {
		return 0, err
	}
	defer func() { _ = d.Close() }()
	if _, err := d.Operator(1).Status(ctx); err != nil {
		return 0, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return 0, err
	}
	return memoryOf(d, "entry-1")
}

func memoryOf(d *deployment.Deployment, process string) (float64, error) {
	pid, err := d.PID(process)
	if err != nil {
		return 0, err
	}
	return path.ResidentMemory(pid)
}

// agentMemory measures an agent with an increasing number of connected nodes.
func agentMemory(ctx context.Context) ([]figure.Figure, error) {
	memory := series{name: "agent-memory", unit: "bytes", per: "connection", note: "resident, 930 workspaces and 670 targets, so many nodes connected to it"}
	largest := sizes[len(sizes)-1]
	d, err := deployment.Start(ctx, deployment.Shape{
		Block: "127.0.52", Entries: 1, ModelTargets: 1,
		Configure: func(c *config.Config) { path.AddFleet(c, largest.workspaces, largest.targets) },
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = d.Close() }()
	connected := 0
	for _, n := range []int{0, 133, 530, 1060} {
		for ; connected < n; connected++ {
			dialer := peer.NewDialer(peer.DialConfig{})
			defer dialer.Close()
			if err := exchange(ctx, dialer, "127.0.52.101:7000", heartbeat()); err != nil {
				return nil, err
			}
		}
		if err := sleep(ctx, settleTime); err != nil {
			return nil, err
		}
		value, err := memoryOf(d, "agent-1")
		if err != nil {
			return nil, err
		}
		memory.points = append(memory.points, point{fmt.Sprint(n), float64(n), value})
	}
	return memory.withBound(maxNodeMemory), nil
}
