package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/bench/figure"
	"verbenashift/bench/path"
	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/configuration/store"
	"verbenashift/core/request/route"
)

// sizes are the numbers of workspaces and targets to measure. The last is the
// size to design for.
var sizes = []struct{ workspaces, targets int }{{95, 70}, {330, 250}, {930, 670}}

const (
	maxDocument = 1 << 20
	maxIndex    = 4 << 20
)

func fleet(workspaces, targets int) config.Config {
	c := config.Config{
		Revision: 1, ChangeID: "first", Models: []config.Model{{Name: "caption"}},
		Operators: []config.Operator{{Name: "operator", Role: config.RoleAdmin, TokenHash: config.HashToken("operator")}},
	}
	path.AddFleet(&c, workspaces, targets)
	return c
}

// measureDocuments measures the configuration: the size of its JSON and gzip
// forms, the memory of its index and the time in which a node reads it.
func measureDocuments(context.Context) ([]figure.Figure, error) {
	text := series{name: "config-json", unit: "bytes", per: "item", bound: maxDocument, note: "workspaces-targets; an item is one of either"}
	gzipped := series{name: "config-gzip", unit: "bytes", per: "item", bound: maxDocument}
	index := series{name: "config-index", unit: "bytes", per: "item", bound: maxIndex, note: "live heap of the decoded document and its index"}
	read := series{name: "config-read", unit: "ms", per: "item", note: "decompress, decode, validate and index"}
	for _, s := range sizes {
		c := fleet(s.workspaces, s.targets)
		plain, err := config.Encode(c)
		if err != nil {
			return nil, err
		}
		compressed, err := config.EncodeGzip(c)
		if err != nil {
			return nil, err
		}
		began := time.Now()
		const reads = 5
		for range reads {
			if _, err := config.Decode(compressed); err != nil {
				return nil, err
			}
		}
		took := time.Since(began) / reads
		_, bytes := retained(func() *config.Index {
			decoded, _ := config.Decode(compressed)
			return config.NewIndex(decoded)
		})
		label, size := fmt.Sprintf("%d-%d", s.workspaces, s.targets), float64(s.workspaces+s.targets)
		text.points = append(text.points, point{label, size, float64(len(plain))})
		gzipped.points = append(gzipped.points, point{label, size, float64(len(compressed))})
		index.points = append(index.points, point{label, size, bytes})
		read.points = append(read.points, point{label, size, took.Seconds() * 1e3})
	}
	return allFigures(text, gzipped, index, read), nil
}

func allFigures(all ...series) []figure.Figure {
	var list []figure.Figure
	for _, s := range all {
		list = append(list, s.figures()...)
	}
	return list
}

// measureTables measures the memory of an entry's routing table and the time of
// a pick.
func measureTables(context.Context) ([]figure.Figure, error) {
	memory := series{name: "route-table", unit: "bytes", per: "target", bound: maxIndex}
	pick := series{name: "route-pick", unit: "ns", per: "target", note: "over all models"}
	for _, s := range sizes {
		c := fleet(0, s.targets)
		table, bytes := retained(func() *route.Table { return table(c) })
		took := pickTime(table)
		label, size := fmt.Sprint(s.targets), float64(s.targets)
		memory.points = append(memory.points, point{label, size, bytes})
		pick.points = append(pick.points, point{label, size, float64(took.Nanoseconds())})
	}
	return allFigures(memory, pick), nil
}

func table(c config.Config) *route.Table {
	t := route.New(route.Options{Entry: "entry-1", Region: "region-0", Zone: "zone-0", Entries: 390})
	targets := make([]route.Target, 0, len(c.Targets))
	for _, x := range c.Targets {
		targets = append(targets, route.Target{Name: x.Name, Region: x.Region, Zone: x.Zone, Model: x.Model, Version: x.Version, Group: x.Group})
	}
	t.Update(targets)
	now := time.Now()
	for i := range t.Len() {
		t.Observe(i, route.Load{Incarnation: 1, Queued: float64(100 * (i % 7)), Running: i % 9, Rate: 3000}, now)
	}
	return t
}

// pickTime returns the mean time of a pick, including Start and End.
func pickTime(t *route.Table) time.Duration {
	const rounds = 200_000
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	queries := make([]route.Query, 0, 8)
	for i := range t.Len() {
		if len(queries) == cap(queries) {
			break
		}
		queries = append(queries, route.Query{Model: t.Target(i).Model, Cost: 300})
	}
	began := time.Now()
	for n := range rounds {
		q := &queries[n%len(queries)]
		q.Exclude = route.Exclude{}
		if i, ok := t.Pick(q, now, rng); ok {
			t.Start(i, q.Cost, now)
			t.End(i, q.Cost, now)
		}
	}
	return time.Since(began) / rounds
}

// countingStore is a store that counts the calls of a follower. A watch counts
// as one call, however long it waits.
type countingStore struct {
	calls atomic.Int64
	value []byte
}

func (s *countingStore) Get(context.Context, string) (store.KV, error) {
	s.calls.Add(1)
	return store.KV{Key: "config/head", Value: s.value, Version: 1}, nil
}

func (s *countingStore) Watch(ctx context.Context, _ string, _ int64, _ func(store.KV)) error {
	s.calls.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// measureStore counts the store calls of one follower per refresh and computes
// the rate of the fleet from the refresh intervals of the programs.
func measureStore(ctx context.Context) ([]figure.Figure, error) {
	const (
		refresh       = 20 * time.Millisecond
		followTime    = time.Second
		entries       = 390
		agents        = 670
		entryRefresh  = 30.0
		agentRefresh  = 300.0
		maxPerRefresh = 2.6
		maxPerSecond  = 100
	)
	value, err := config.EncodeGzip(fleet(10, 10))
	if err != nil {
		return nil, err
	}
	s := &countingStore{value: value}
	f := follow.New(follow.Config{Store: s, Refresh: refresh})
	ctx, cancel := context.WithTimeout(ctx, followTime)
	defer cancel()
	f.Run(ctx)
	calls := float64(s.calls.Load()) / (followTime.Seconds() / refresh.Seconds())
	if calls == 0 {
		return nil, errors.New("follower made no store calls")
	}
	return []figure.Figure{
		{
			Name: "capacity-store-calls-per-refresh", Value: calls, Unit: "calls", Bound: maxPerRefresh, Better: figure.Lower, Gate: true,
			Note: "a read and a watch",
		},
		{
			Name: "capacity-store-calls-per-second-1060", Value: calls * (entries/entryRefresh + agents/agentRefresh), Unit: "calls/s",
			Bound: maxPerSecond, Better: figure.Lower, Gate: true, Note: "390 entries that refresh every 30 s and 670 agents every 300 s, no fault",
		},
	}, nil
}
