package path

import (
	"context"
	"fmt"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/configuration/config"
	"verbenashift/standin/deployment"
)

// The size of the fleet to design for, and the time after which the memory of
// an idle process is stable.
const (
	fleetWorkspaces = 930
	fleetTargets    = 670
	fleetModels     = 8
	settleTime      = 10 * time.Second
)

// AddFleet adds models, groups, workspaces and targets to c until it has the
// given numbers of workspaces and targets. The agents of the added targets have
// addresses on which nothing listens.
func AddFleet(c *config.Config, workspaces, targets int) {
	for n := len(c.Models); n < fleetModels; n++ {
		c.Models = append(c.Models, config.Model{Name: fmt.Sprintf("model-%d", n), Version: "2026-11"})
	}
	for n := range fleetModels {
		c.Groups = append(c.Groups, config.Group{
			Name: fmt.Sprintf("group-%d", n), Model: c.Models[n].Name,
			Ranks: 256, Layers: 60, Experts: 128, SlotsPerRank: 2, SkewWeight: 1, CostWeight: 0.1,
		})
	}
	for n := len(c.Workspaces); n < workspaces; n++ {
		name := fmt.Sprintf("workspace-%04d", n)
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name: name, TokenHashes: []string{config.HashToken(name + "-a"), config.HashToken(name + "-b")},
			Share: 1, TokensPerSecond: 5000, RequestsPerSecond: 50,
		})
	}
	for n := len(c.Targets); n < targets; n++ {
		k := n % fleetModels
		c.Targets = append(c.Targets, config.Target{
			Name: fmt.Sprintf("server-%04d", n), Region: fmt.Sprintf("region-%d", n%3), Zone: fmt.Sprintf("zone-%d", n%9),
			Agent: FleetAgentAddr(n), Model: c.Models[k].Name, Version: "2026-11", Group: fmt.Sprintf("group-%d", k), HonoursFencing: true,
		})
	}
}

// FleetAgentAddr returns the address of the agent of the nth added target.
func FleetAgentAddr(n int) string {
	return fmt.Sprintf("127.0.%d.%d:7000", 53+n/200, 1+n%200)
}

// measureMemory loads an entry and an agent with the configuration of the
// whole fleet and reads their resident memory once it is stable.
func measureMemory(ctx context.Context) ([]figure.Figure, error) {
	d, err := deployment.Start(ctx, deployment.Shape{
		Block: "127.0.51", Entries: 1, ModelTargets: 1, Workspaces: []string{workspace},
		Configure: func(c *config.Config) { AddFleet(c, fleetWorkspaces, fleetTargets) },
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = d.Close() }()
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	var figures []figure.Figure
	for _, name := range []string{"entry", "agent"} {
		pid, err := d.PID(name + "-1")
		if err != nil {
			return nil, err
		}
		bytes, err := ResidentMemory(pid)
		if err != nil {
			return nil, err
		}
		figures = append(figures, figure.Figure{
			Name: "path-idle-memory-" + name, Value: bytes, Unit: "bytes", Bound: memoryBound, Better: figure.Lower, Gate: true,
			Note: fmt.Sprintf("resident, %d workspaces and %d targets, no peers connected", fleetWorkspaces, fleetTargets),
		})
	}
	return figures, nil
}
