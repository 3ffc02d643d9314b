package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/membership/member"
	"verbenashift/core/peer"
)

const (
	// entryShare is the fraction of the nodes that are entries.
	entryShare = 390.0 / (390 + 670)
	gossipTime = 6 * time.Second
	// maxControlBytes is the bound on the control traffic of a node in both
	// directions, in bytes per second.
	maxControlBytes = 4096
)

// measureGossip runs heartbeats between many peers in this process and measures
// their traffic. The figures are those of the first seconds of a fleet, in which
// most exchanges open a connection.
func measureGossip(ctx context.Context) ([]figure.Figure, error) {
	bytes := series{name: "control", unit: "bytes/s", per: "node", note: "a node, both directions, above TCP, in the first seconds"}
	cpu := series{name: "control-cpu", unit: "us/s", per: "node", note: "a node, in the first seconds"}
	conns := series{name: "control-connections", unit: "connections", per: "node", note: "a node, opened in the first seconds"}
	for _, n := range []int{8, 64, 512} {
		var t traffic
		spent, err := runGossip(ctx, n, &t)
		if err != nil {
			return nil, err
		}
		label, size := fmt.Sprint(n), float64(n)
		// Each byte is sent by one node and received by another.
		bytes.points = append(bytes.points, point{label, size, 2 * float64(t.bytes.Load()) / size / gossipTime.Seconds()})
		cpu.points = append(cpu.points, point{label, size, spent.Seconds() * 1e6 / size / gossipTime.Seconds()})
		conns.points = append(conns.points, point{label, size, 2 * float64(t.conns.Load()) / size})
	}
	list := allFigures(bytes, cpu, conns)
	for i := range list {
		if list[i].Name == "capacity-control-512" {
			list[i].Bound, list[i].Better = maxControlBytes, figure.Lower
		}
	}
	return list, nil
}

// runGossip starts n nodes, lets them exchange heartbeats for gossipTime and
// returns their CPU time.
func runGossip(ctx context.Context, n int, t *traffic) (time.Duration, error) {
	entries := max(1, int(entryShare*float64(n)))
	c := config.Config{Revision: 420, ChangeID: "last", Models: []config.Model{{Name: "caption"}}}
	views := make([]*follow.Members, n)
	for i := range n {
		self := member.Self{Name: fmt.Sprintf("entry-%04d", i), Zone: "zone-8", Incarnation: uint64(i + 1), Agent: i >= entries}
		if self.Agent {
			self.Name = fmt.Sprintf("server-%04d", i)
		}
		views[i] = follow.NewMembers(self)
		if !self.Agent {
			continue
		}
		s, addr, err := listen(&stubAgent{name: self.Name, members: views[i]}, fmt.Sprintf("127.0.59.%d:0", 1+i%200), t)
		if err != nil {
			return 0, err
		}
		defer func(s *http.Server) { _ = s.Close() }(s)
		c.Targets = append(c.Targets, config.Target{Name: self.Name, Zone: self.Zone, Agent: addr, Model: "caption"})
	}
	value, err := config.EncodeGzip(c)
	if err != nil {
		return 0, err
	}
	return runNodes(ctx, views, entries, value)
}

// runNodes runs a follower and a gossip loop for each of the views and returns
// their CPU time.
func runNodes(ctx context.Context, views []*follow.Members, entries int, value []byte) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, gossipTime)
	defer cancel()
	var wg sync.WaitGroup
	cpu := cpuTime()
	for i, members := range views {
		d := peer.NewDialer(peer.DialConfig{})
		defer d.Close()
		f := follow.New(follow.Config{Store: &countingStore{value: value}, Refresh: time.Hour, Log: slog.Default()})
		f.OnChange(members.Update)
		s := &follow.Gossip{Name: fmt.Sprintf("entry-%04d", i), Follower: f, Dialer: d, Log: slog.Default(), Period: time.Second, Members: members}
		if i >= entries {
			s.Name = fmt.Sprintf("server-%04d", i)
		}
		wg.Go(func() { f.Run(ctx) })
		wg.Go(func() {
			for f.Index() == nil && ctx.Err() == nil {
				_ = sleep(ctx, time.Millisecond)
			}
			s.Run(ctx)
		})
	}
	wg.Wait()
	return cpuTime() - cpu, nil
}
