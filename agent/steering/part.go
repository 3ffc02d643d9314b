// Package steering is an agent's part in one expert-parallel group: the member beside its rank,
// and the steward while this agent holds the group's duty.
//
// What waits for others (the rank, the other agents, the store) runs beside one duty that makes
// all decisions, by package group. A steward also plans: it collects the ranks' loads, asks
// package expert for a better map, loads what is new and switches the group to it.
//
// # Usage
//
//	peers := &steering.Peers{Self: name, Dialer: dialer}
//	part := steering.New(ctx, steering.Deps{Self: name, Owner: owner, Rank: rank, Peers: peers, Store: store}, shape)
//	peers.Shape = part.Shape
//	go part.Run()
package steering

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/core/membership/lease"
	"verbenashift/core/plumbing/duty"
)

// groupTick is the time between looks at the timers of a group.
const groupTick = 10 * time.Millisecond

// groupRing bounds the events that wait for a group's duty.
const groupRing = 1024

// groupSends bounds the messages on their way to other agents. The protocol
// bears the loss of those beyond it.
const groupSends = 256

// groupRank is the agent's own rank.
type groupRank interface {
	State(ctx context.Context) (rank.State, error)
	Apply(ctx context.Context, o rank.Order) error
	Map(ctx context.Context, v group.Version) (rank.Placement, error)
	Loads(ctx context.Context) (rank.Loads, error)
	Fetch(ctx context.Context, w rank.WeightsRequest) (int64, error)
}

// groupPeers are the agents of the other ranks, by their names.
type groupPeers interface {
	Send(ctx context.Context, to string, m group.Message) error
	Map(ctx context.Context, to string, v group.Version) (rank.Placement, error)
	Loads(ctx context.Context, to string) (rank.Loads, int, error)
	Fetch(ctx context.Context, to string, w rank.WeightsRequest) (int64, error)
}

// leaseCaller makes the calls of a lease.Holder.
type leaseCaller interface {
	Call(ctx context.Context, c lease.Call) lease.Answer
}

// Participant is the agent's part in one group: the member beside the rank,
// and the steward while this agent holds the group's duty. All decisions are
// made on one duty; what waits for others runs beside it.
type Participant struct {
	self    string
	cfg     Settings
	log     *slog.Logger
	metrics *Metrics
	rank    groupRank
	peers   groupPeers
	store   leaseCaller
	shape   atomic.Pointer[Shape]
	began   time.Time
	ctx     context.Context
	stop    context.CancelFunc
	duty    *duty.Loop
	ops     chan rankOp
	sends   chan struct{}
	// current is the number of the rank's operation that is out.
	current  atomic.Uint64
	contents *contents

	// The duty alone uses these.
	member  *group.Member
	steward group.Role
	holder  *lease.Holder
	habit   lease.FencingSupport
	local   []group.Message
	leaving bool
	ticked  time.Duration
	want    group.Version
	watched mapWatch
	// wantFence is the fence under which want was planned.
	wantFence uint64

	planning planning
}

// Deps is what an Part needs of others.
type Deps struct {
	// Self is the agent's name, Owner the one by which it holds the group's lease.
	Self        string
	Incarnation uint64
	Owner       string
	Settings    Settings
	Log         *slog.Logger
	Metrics     *Metrics
	Rank        groupRank
	Peers       groupPeers
	Store       leaseCaller
}

// New returns the part of an agent that knows nothing yet.
func New(ctx context.Context, d Deps, shape *Shape) *Participant {
	g := &Participant{
		self: d.Self, cfg: d.Settings, log: d.Log.With("group", shape.name), metrics: d.Metrics,
		rank: d.Rank, peers: d.Peers, store: d.Store, began: time.Now(), habit: shape.habit,
		duty: duty.New(groupRing), ops: make(chan rankOp, 1), sends: make(chan struct{}, groupSends),
		contents: newContents(),
		member:   group.NewMember(group.MemberConfig{Name: d.Self, Habit: shape.habit}, d.Incarnation, 0),
		holder: lease.NewHolder(lease.Config{
			Role: "duties/group/" + shape.name, Owner: d.Owner, TTL: d.Settings.LeaseTTL,
		}),
	}
	g.ctx, g.stop = context.WithCancel(ctx)
	g.shape.Store(shape)
	g.contents.keep(shape.initial())
	g.duty.After(g.after, func() (time.Time, bool) { return g.began.Add(g.ticked + groupTick), true })
	return g
}

// Run takes part in the group until the context ends.
func (g *Participant) Run() {
	go g.serveRank()
	go g.plan()
	g.duty.Run(g.ctx)
}

// now is the time since this part began, by the process's monotonic clock.
func (g *Participant) now() time.Duration { return time.Since(g.began) }

// Name returns the name of the group.
func (g *Participant) Name() string { return g.shape.Load().name }

// Shape returns the group as configured.
func (g *Participant) Shape() *Shape { return g.shape.Load() }

// Fits reports whether a shape is that of the same group, so that the part goes on.
func (g *Participant) Fits(s *Shape) bool { return g.Name() == s.name && g.habit == s.habit }

// Stop ends the part at once.
func (g *Participant) Stop() { g.stop() }

// Loads returns the loads of the agent's own rank.
func (g *Participant) Loads(ctx context.Context) (rank.Loads, error) { return g.rank.Loads(ctx) }

// Fetch has the agent's own rank read a part of an expert's weights.
func (g *Participant) Fetch(ctx context.Context, w rank.WeightsRequest) (int64, error) {
	return g.rank.Fetch(ctx, w)
}

// Reshape takes in a changed configuration of the same group.
func (g *Participant) Reshape(s *Shape) {
	g.shape.Store(s)
	g.contents.keep(s.initial())
}

// Deliver hands a message of another agent to the duty.
func (g *Participant) Deliver(ctx context.Context, from string, m group.Message) error {
	return g.duty.Post(ctx, func() { g.receive(from, m) })
}

// after runs on the duty after each event, and when a timer is due.
func (g *Participant) after() {
	if now := g.now(); now-g.ticked >= groupTick {
		g.ticked = now
		g.tick(now)
	}
	for len(g.local) > 0 {
		m := g.local[0]
		g.local = g.local[1:]
		g.receive(g.self, m)
	}
}

// receive takes a message, as the steward and as the member.
func (g *Participant) receive(from string, m group.Message) {
	now := g.now()
	g.contents.note(m, from)
	g.watch(from, m)
	if st := g.acting(now); st != nil {
		g.act(st.Receive(now, from, m))
	}
	g.act(g.member.Receive(now, from, m))
}

// acting returns the steward while the lease is valid. It is asked right before
// each use.
func (g *Participant) acting(now time.Duration) *group.Coordinator {
	return g.steward.Coordinator(now, g.stewardConfig(), g.holder)
}

func (g *Participant) stewardConfig() group.CoordinatorConfig {
	s := g.shape.Load()
	return group.CoordinatorConfig{
		Members: s.members, MinRanks: s.minRanks(g.cfg.LostRanks), Initial: s.initialVersion(),
		ProbeInterval: g.cfg.ProbeInterval, DeadAfter: g.cfg.DeadAfter,
	}
}

// tick lets time pass: the lease first, then the steward, then the member.
func (g *Participant) tick(now time.Duration) {
	g.holder.Want(g.steward.Wanted(g.holder, g.due(now)) && !g.leaving)
	for _, c := range g.holder.Tick(now) {
		go g.call(c)
	}
	if st := g.acting(now); st != nil {
		st.SetMembers(now, g.shape.Load().members)
		st.SetDesired(g.wanted())
		g.act(st.Tick(now))
	}
	g.act(g.member.Tick(now))
}

// wanted returns the map that this steward has planned. A plan made under an
// earlier lease is not this one's.
func (g *Participant) wanted() group.Version {
	if g.wantFence != g.holder.Fence() {
		return 0
	}
	return g.want
}

// The waits before the duty of a group that stands still is taken over.
const (
	stillSilence = 2 * time.Second
	dutyStagger  = 100 * time.Millisecond
)

// due reports whether this agent should ask for the duty. If the steward has
// handed it over to this agent it asks at once; if the rank stands still, soon;
// else only after a long silence. The agents ask in turn, so that a free duty
// costs the store a few calls and not one from each.
func (g *Participant) due(now time.Duration) bool {
	shape, heard := g.shape.Load(), g.member.LastReceived()
	t := lease.Takeover{HolderTimeout: g.cfg.CoordinatorTimeout, Stagger: dutyStagger}
	still := g.member.Orphaned(now)
	if still && now-heard < stillSilence {
		return true
	}
	if still || g.member.Health(now) == group.Empty {
		t.HolderTimeout = stillSilence
	}
	return t.Due(now, heard, "duties/group/"+shape.name, g.self, shape.candidates)
}

// sendTimeout bounds one message to another agent.
const sendTimeout = time.Second

// resignTime bounds how long a draining agent waits for the store to release
// its lease.
const resignTime = time.Second
