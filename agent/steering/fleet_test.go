package steering

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/core/membership/lease"
)

// fleet is a group of ranks with their agents in one process. It records which
// map was used in each step, and uses nothing else of the protocol.
type fleet struct {
	shape *Shape
	ctx   context.Context
	stop  context.CancelFunc

	mu     sync.Mutex
	ranks  map[string]*fakeRank
	agents map[string]*Participant
	starts uint64
	used   map[string]group.Version
	mixed  string
	lease  lease.Answer
	until  time.Time
	down   bool
	// outcomesTo, if set, is the only rank whose agent receives outcomes.
	outcomesTo string
	// hot is the expert that is much busier than the others.
	hot int
}

// fakeRank is a rank in lock-step with the others of its fleet.
type fakeRank struct {
	fleet *fleet
	name  string
	index int
	rank  group.Rank
	maps  map[group.Version]rank.Placement
	down  bool
	// onOrder, if set, is called when the rank has applied an order.
	onOrder func(group.Kind)
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		ranks: make(map[string]*fakeRank), agents: make(map[string]*Participant), used: make(map[string]group.Version),
	}
	f.ctx, f.stop = context.WithCancel(t.Context())
	f.shape = &Shape{
		name: "caption", model: "caption", members: []string{"a", "b", "c", "d"}, layers: 2, confirmed: true,
		expert: expert.Group{Experts: 8, Slots: 3, ExpertBytes: 1 << 10, StoreRate: 1 << 20},
		policy: expert.Lightbox(), fencing: lease.HonoursFencing,
	}
	f.shape.candidates = f.shape.members
	for _, name := range f.shape.members {
		f.shape.expert.Ranks = append(f.shape.expert.Ranks, expert.Rank{Server: name})
	}
	for i, name := range f.shape.members {
		r := &fakeRank{fleet: f, name: name, index: i, maps: make(map[group.Version]rank.Placement)}
		r.rank.Fencing, r.rank.State.Incarnation = lease.HonoursFencing, 1
		f.ranks[name] = r
		go r.run()
		f.startAgent(name)
	}
	t.Cleanup(f.stop)
	return f
}

// startAgent starts the agent beside a rank with empty memory.
func (f *fleet) startAgent(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	g := New(f.ctx, Deps{
		Self: name, Incarnation: f.starts, Owner: fmt.Sprintf("%s/%d", name, f.starts),
		Settings: Settings{ProbeInterval: time.Second, CoordinatorTimeout: 4 * time.Second, LeaseTTL: 3 * time.Second, PlanInterval: time.Second, SpareSlots: 4, LostRanks: 1},
		Log:      slog.New(slog.NewJSONHandler(io.Discard, nil)), Metrics: testMetrics(), Rank: f.ranks[name], Peers: fleetPeers{f, name}, Store: f,
	}, f.shape)
	f.agents[name] = g
	go g.Run()
}

// testMetrics returns the process's counters, which can be published only once.
var testMetrics = sync.OnceValue(NewMetrics)

func (f *fleet) agent(name string) (*Participant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.agents[name]; g != nil && g.ctx.Err() == nil {
		return g, nil
	}
	return nil, syscall.ECONNREFUSED
}

// fleetPeers is the fleet as one agent reaches it.
type fleetPeers struct {
	*fleet
	self string
}

func (p fleetPeers) Send(ctx context.Context, to string, m group.Message) error {
	g, err := p.agent(to)
	if err != nil {
		return err
	}
	if _, ok := m.(group.Outcome); ok && p.dropsOutcomes(to) {
		return context.DeadlineExceeded
	}
	return g.Deliver(ctx, p.self, m)
}

func (f *fleet) dropsOutcomes(to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outcomesTo != "" && f.outcomesTo != to
}

func (f *fleet) Map(ctx context.Context, to string, v group.Version) (rank.Placement, error) {
	g, err := f.agent(to)
	if err != nil {
		return nil, err
	}
	p, ok := g.Placement(ctx, v)
	if !ok {
		return nil, errPlacementNotFound
	}
	return p, nil
}

func (f *fleet) Loads(ctx context.Context, to string) (rank.Loads, int, error) {
	if _, err := f.agent(to); err != nil {
		return rank.Loads{}, 0, err
	}
	l, err := f.ranks[to].Loads(ctx)
	return l, 0, err
}

func (f *fleet) Fetch(ctx context.Context, to string, w rank.WeightsRequest) (int64, error) {
	return f.ranks[to].Fetch(ctx, w)
}

// Call implements leaseCaller.
func (f *fleet) Call(_ context.Context, c lease.Call) lease.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.down {
		return lease.Answer{Lost: true}
	}
	if !now.Before(f.until) {
		f.lease.Owner = ""
	}
	switch {
	case c.Kind == lease.Acquire && f.lease.Owner == "":
		f.lease.Owner, f.lease.Fence, f.until = c.Owner, f.lease.Fence+1, now.Add(c.TTL)
		return lease.Answer{Done: true, Owner: c.Owner, Fence: f.lease.Fence}
	case c.Kind == lease.Renew && f.lease.Owner == c.Owner:
		f.until = now.Add(c.TTL)
		return lease.Answer{Done: true, Owner: c.Owner, Fence: f.lease.Fence}
	case c.Kind == lease.Release && f.lease.Owner == c.Owner:
		f.lease.Owner = ""
	}
	if f.lease.Owner == "" {
		return lease.Answer{}
	}
	return f.lease
}

// run runs the rank's steps until the fleet ends.
func (r *fakeRank) run() {
	const step = 5 * time.Millisecond
	tick := time.NewTicker(step)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.step()
		case <-r.fleet.ctx.Done():
			return
		}
	}
}

func (r *fakeRank) step() {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.rank.FinishLoad()
	s := r.rank.State
	if r.down {
		return
	}
	for _, name := range s.Members {
		if o := f.ranks[name].rank.State; o.Epoch != s.Epoch || o.Next < s.Next {
			return
		}
	}
	step, v, ok := r.rank.Begin()
	if !ok {
		return
	}
	r.rank.Finish()
	key := fmt.Sprintf("epoch %v step %d", s.Epoch, step)
	if was, seen := f.used[key]; seen && was != v {
		f.mixed = fmt.Sprintf("%s: rank %s used map %d, another map %d", key, r.name, v, was)
	}
	f.used[key] = v
}

func (r *fakeRank) State(context.Context) (rank.State, error) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.down {
		return rank.State{}, syscall.ECONNREFUSED
	}
	return rank.State{RankState: r.rank.State}, nil
}

func (r *fakeRank) Apply(_ context.Context, o rank.Order) error {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.down {
		return syscall.ECONNREFUSED
	}
	if err := r.rank.Apply(o.Order); err != nil {
		return err
	}
	if o.Placement != nil {
		r.maps[o.Version] = o.Placement
	}
	if r.onOrder != nil {
		r.onOrder(o.Kind)
	}
	return nil
}

func (r *fakeRank) Map(_ context.Context, v group.Version) (rank.Placement, error) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if p, ok := r.maps[v]; ok {
		return p, nil
	}
	return nil, errors.New("no such map")
}

// Loads makes one expert much busier than the others.
func (r *fakeRank) Loads(context.Context) (rank.Loads, error) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	l := rank.Loads{UnixMillis: time.Now().UnixMilli(), Version: r.rank.State.Version}
	for _, m := range r.maps[l.Version] {
		shape := &r.fleet.shape.expert
		held := slices.Repeat([]float64{rank.NotHeld}, shape.Experts)
		replicas := m.Replicas(shape.Experts)
		for _, e := range m[r.index*shape.Slots : (r.index+1)*shape.Slots] {
			if e != expert.Empty {
				held[e] = 1 / float64(replicas[e])
			}
			if int(e) == r.fleet.hot {
				held[e] *= 4
			}
		}
		l.Layers = append(l.Layers, held)
	}
	return l, nil
}

func (r *fakeRank) Fetch(_ context.Context, w rank.WeightsRequest) (int64, error) {
	return w.Length, nil
}

// states returns the ranks' states in the order of the maps.
func (f *fleet) states() []group.RankState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []group.RankState
	for _, name := range f.shape.members {
		all = append(all, f.ranks[name].rank.State)
	}
	return all
}

// await waits until all ranks use the same map, accept returns true for it and no
// rank is armed.
func (f *fleet) await(t *testing.T, what string, accept func(group.Version) bool) group.Version {
	t.Helper()
	for range 3000 {
		time.Sleep(10 * time.Millisecond)
		all := f.states()
		v := all[0].Version
		rest := slices.ContainsFunc(all, func(s group.RankState) bool {
			return s.Version != v || s.Epoch != all[0].Epoch || !s.Armed.Number.IsZero() || !s.Ready()
		})
		if !rest && accept(v) {
			return v
		}
	}
	t.Fatalf("not reached: %s: %+v", what, f.states())
	return 0
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// end stops the fleet and fails the test if a step was mixed.
func (f *fleet) end(is *is.I) {
	f.mu.Lock()
	mixed := f.mixed
	f.mu.Unlock()
	f.stop()
	synctest.Wait()
	is.Equal(mixed, "")
}
