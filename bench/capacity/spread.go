package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/config"
	"verbenashift/core/follow"
	"verbenashift/core/peer"
)

// The present scheme: what entries and agents ask in a second, and the share
// of entries among all nodes.
const (
	entryFanout = 4
	agentFanout = 1
	entryShare  = 390.0 / (390 + 670)
	spreadTime  = 6 * time.Second
	// controlBound is what a node may send and receive for control.
	controlBound = 4096
)

// measureSpread runs the exchange of heartbeats between many peers in this
// process and counts the bytes of all. The first seconds of a fleet are shown:
// most exchanges open a connection.
func measureSpread(ctx context.Context) ([]figure.Figure, error) {
	bytes := series{name: "control", unit: "bytes/s", per: "node", note: "a node, both directions, above TCP, in the first seconds"}
	cpu := series{name: "control-cpu", unit: "us/s", per: "node", note: "a node, in the first seconds"}
	conns := series{name: "control-connections", unit: "connections", per: "node", note: "a node, after the first seconds; grows on"}
	for _, n := range []int{8, 64, 512} {
		var t traffic
		spent, err := spread(ctx, n, &t)
		if err != nil {
			return nil, err
		}
		label, size := fmt.Sprint(n), float64(n)
		// Each byte is sent by one node and received by another.
		bytes.points = append(bytes.points, point{label, size, 2 * float64(t.bytes.Load()) / size / spreadTime.Seconds()})
		cpu.points = append(cpu.points, point{label, size, spent.Seconds() * 1e6 / size / spreadTime.Seconds()})
		conns.points = append(conns.points, point{label, size, 2 * float64(t.conns.Load()) / size})
	}
	list := together(bytes, cpu, conns)
	for i := range list {
		if list[i].Name == "capacity-control-512" {
			list[i].Bound, list[i].Better = controlBound, figure.Lower
		}
	}
	return list, nil
}

// spread has n nodes exchange heartbeats for spreadTime.
func spread(ctx context.Context, n int, t *traffic) (time.Duration, error) {
	entries := max(1, int(entryShare*float64(n)))
	agents := n - entries
	c := config.Config{Revision: 420, ChangeID: "last", Models: []config.Model{{Name: "caption"}}}
	for i := range agents {
		s, addr, err := listen(&agent{name: fmt.Sprintf("server-%04d", i)}, fmt.Sprintf("127.0.59.%d:0", 1+i%200), t)
		if err != nil {
			return 0, err
		}
		defer func(s *http.Server) { _ = s.Close() }(s)
		c.Targets = append(c.Targets, config.Target{Name: fmt.Sprintf("server-%04d", i), Zone: "zone-8", Agent: addr, Model: "caption"})
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTime)
	defer cancel()
	value, err := config.EncodeGzip(c)
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	cpu := processor()
	for i := range n {
		d := peer.NewDialer(peer.DialConfig{})
		defer d.Close()
		f := follow.New(follow.Config{Store: &countingStore{value: value}, Refresh: time.Hour, Log: slog.Default()})
		wg.Go(func() { f.Run(ctx) })
		s := &follow.Spread{
			Name: fmt.Sprintf("entry-%04d", i), Follower: f, Dialer: d, Log: slog.Default(),
			Period: time.Second, Fanout: entryFanout,
		}
		if i >= entries {
			s.Name, s.Fanout = fmt.Sprintf("server-%04d", i-entries), agentFanout
		}
		wg.Go(func() {
			for f.Index() == nil && ctx.Err() == nil {
				_ = sleep(ctx, time.Millisecond)
			}
			s.Run(ctx)
		})
	}
	wg.Wait()
	return processor() - cpu, nil
}
