package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/expert"
	"verbenashift/core/group"
	"verbenashift/core/lease"
	"verbenashift/core/rank"
)

// fleet is a group of ranks with the agents beside them, in one process. It
// knows which map was used in each step, and nothing else of the protocol.
type fleet struct {
	shape *groupShape
	ctx   context.Context
	stop  context.CancelFunc

	mu     sync.Mutex
	ranks  map[string]*fakeRank
	agents map[string]*expertGroup
	starts uint64
	used   map[string]group.Version
	mixed  string
	lease  lease.Answer
	until  time.Time
	down   bool
	// told, if set, is the only rank whose agent gets outcomes.
	told string
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
		ranks: make(map[string]*fakeRank), agents: make(map[string]*expertGroup), used: make(map[string]group.Version),
	}
	f.ctx, f.stop = context.WithCancel(t.Context())
	f.shape = &groupShape{
		name: "caption", model: "caption", members: []string{"a", "b", "c", "d"}, layers: 2, confirmed: true,
		expert: expert.Group{Experts: 8, Slots: 3, ExpertBytes: 1 << 10, StoreRate: 1 << 20},
		policy: expert.Lightbox(), habit: lease.HonoursFencing,
	}
	f.shape.candidates = f.shape.members
	for i, name := range f.shape.members {
		f.shape.expert.Ranks = append(f.shape.expert.Ranks, expert.Rank{Server: name})
		r := &fakeRank{fleet: f, name: name, index: i, maps: make(map[group.Version]rank.Placement)}
		r.rank.Habit, r.rank.State.Incarnation = lease.HonoursFencing, 1
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
	g := newExpertGroup(f.ctx, groupDeps{
		self: name, incarnation: f.starts, owner: fmt.Sprintf("%s/%d", name, f.starts),
		settings: GroupSettings{Beat: time.Second, Silence: 4 * time.Second, LeaseTTL: 3 * time.Second, PlanInterval: time.Second, Spare: 4, LostRanks: 1},
		log:      slog.New(slog.NewJSONHandler(io.Discard, nil)), metrics: testMetrics(), rank: f.ranks[name], peers: fleetPeers{f, name}, store: f,
	}, f.shape)
	f.agents[name] = g
	go g.run()
}

// testMetrics returns the process's counters, which can be made once only.
var testMetrics = sync.OnceValue(newGroupMetrics)

func (f *fleet) agent(name string) (*expertGroup, error) {
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
	if _, ok := m.(group.Outcome); ok && p.deaf(to) {
		return context.DeadlineExceeded
	}
	return g.deliver(ctx, p.self, m)
}

func (f *fleet) deaf(to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told != "" && f.told != to
}

func (f *fleet) Map(ctx context.Context, to string, v group.Version) (rank.Placement, error) {
	g, err := f.agent(to)
	if err != nil {
		return nil, err
	}
	p, ok := g.ownContent(ctx, v)
	if !ok {
		return nil, errNoContent
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

func (f *fleet) Fetch(ctx context.Context, to string, w rank.Weights) (int64, error) {
	return f.ranks[to].Fetch(ctx, w)
}

// Call is the store's side of the lease.
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

// run lets the rank do its steps until the fleet ends.
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

func (r *fakeRank) Fetch(_ context.Context, w rank.Weights) (int64, error) { return w.Length, nil }

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

// await waits until all ranks use one map that is accepted and none is armed.
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

func TestGroupSwitchesToPlannedMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		first := f.shape.initialVersion()
		f.await(t, "a group on the first map", func(v group.Version) bool { return v == first })
		next := f.await(t, "a switch", func(v group.Version) bool { return v != first })
		p, err := f.Map(t.Context(), "a", next)
		is.NoErr(err)
		loads := slices.Repeat([]float64{1}, f.shape.expert.Experts)
		loads[0] = 4
		before := f.shape.initial()[0].Skew(&f.shape.expert, loads)
		is.True(p[0].Skew(&f.shape.expert, loads) < before)
		f.end(is)
	})
}

// The store is out and the load moves to another expert. The steward's lease
// lapses: it must not begin a switch, as another could by then, and the ranks
// must go on. When the store is back the group is balanced again.
func TestNoSwitchWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		first := f.shape.initialVersion()
		v := f.await(t, "a switch", func(v group.Version) bool { return v != first })
		f.set(func() { f.down = true })
		time.Sleep(4 * time.Second) // the lease lapses
		f.set(func() { f.hot = 5 })
		v = f.await(t, "rest", func(group.Version) bool { return true })
		next := f.states()[0].Next
		time.Sleep(20 * time.Second)
		is.Equal(f.states()[0].Version, v)
		is.True(f.states()[0].Next > next+1000)
		f.set(func() { f.down = false })
		f.await(t, "a switch after the outage", func(now group.Version) bool { return now != v })
		f.end(is)
	})
}

// An engine dies and its group stands still. It is formed without the rank, and
// the experts that only the lost rank held are loaded elsewhere: until then
// nobody could answer a request for them. When the engine is back, with empty
// memory, the group takes it in again.
func TestGroupGoesOnWithoutLostRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		first := f.shape.initialVersion()
		f.await(t, "a switch", func(v group.Version) bool { return v != first })
		lost := f.ranks["d"]
		f.set(func() { lost.down = true })
		time.Sleep(20 * time.Second)
		s := f.states()[0]
		is.Equal(s.Members, []string{"a", "b", "c"})
		next := s.Next
		p, err := f.Map(t.Context(), "a", s.Version)
		is.NoErr(err)
		for _, layer := range p {
			for _, n := range layer[:3*f.shape.expert.Slots].Replicas(f.shape.expert.Experts) {
				is.True(n > 0)
			}
		}
		f.set(func() { lost.down, lost.rank.State = false, group.RankState{Incarnation: 2} })
		f.await(t, "the whole group", func(group.Version) bool { return len(f.states()[3].Members) == 4 })
		is.True(f.states()[3].Next > next)
		f.end(is)
	})
}

// The agent that holds the duty dies in the middle of a switch, and the store
// goes out at the same moment, so that nobody can take the duty over. If each
// rank went its own way, the group would run a step on two maps; if only the
// dead agent knew the outcome, callers would wait for good. The others count the
// votes as soon as the dead agent is back, with empty memory, and reads its
// rank's vote.
func TestStewardDiesInSwitch(t *testing.T) {
	for _, tt := range []struct {
		name string
		at   group.Kind
	}{
		{"one rank has armed", group.ArmMap},
		{"one rank has been told the outcome", group.ResolveMap},
	} {
		for _, name := range []string{"a", "b", "c", "d"} {
			t.Run(tt.name+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { stewardDies(t, name, tt.at) })
			})
		}
	}
}

// stewardDies lets the steward die when a rank has applied an order of a kind.
// Until then nobody else is told an outcome.
func stewardDies(t *testing.T, name string, at group.Kind) {
	is := is.New(t)
	f := newFleet(t)
	first := f.shape.initialVersion()
	f.await(t, "a group", func(v group.Version) bool { return v == first })
	var died string
	f.set(func() {
		f.told = name
		f.ranks[name].onOrder = func(k group.Kind) {
			if k != at || died != "" {
				return
			}
			died, _, _ = strings.Cut(f.lease.Owner, "/")
			f.agents[died].stop()
			f.down, f.told = true, ""
		}
	})
	time.Sleep(10 * time.Second) // the switch begins, and the steward dies
	f.set(func() { is.True(died != "") })
	f.startAgent(died)
	f.await(t, "one outcome on all ranks", func(group.Version) bool { return true })
	before := f.states()[0].Next
	time.Sleep(10 * time.Second)
	is.True(f.states()[0].Next > before+100) // the group goes on
	f.end(is)
}
