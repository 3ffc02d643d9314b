// Package steering implements an agent's participation in one expert-parallel group: it is the
// member for its rank, and the group's coordinator while it holds the coordinator lease.
//
// One event loop makes all decisions, using package group. Calls that wait for the rank, the other
// agents or the store run in other goroutines. A coordinator also plans: it collects the ranks'
// loads, asks package expert for a better map, loads the new replicas and switches the group to
// the map.
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
	"verbenashift/core/plumbing/eventloop"
)

// tickInterval is the time between two checks of a group's timers.
const tickInterval = 10 * time.Millisecond

// eventQueueSize bounds the events that wait for a group's event loop.
const eventQueueSize = 1024

// maxSends bounds the messages in flight to other agents. Messages beyond it are
// dropped, which the protocol tolerates.
const maxSends = 256

// rankClient calls the agent's own rank.
type rankClient interface {
	State(ctx context.Context) (rank.State, error)
	Apply(ctx context.Context, o rank.Order) error
	Map(ctx context.Context, v group.Version) (rank.Placement, error)
	Loads(ctx context.Context) (rank.Loads, error)
	Fetch(ctx context.Context, w rank.WeightsRequest) (int64, error)
}

// peerClient calls the agents of the other ranks by their names.
type peerClient interface {
	Send(ctx context.Context, to string, m group.Message) error
	Map(ctx context.Context, to string, v group.Version) (rank.Placement, error)
	Loads(ctx context.Context, to string) (rank.Loads, int, error)
	Fetch(ctx context.Context, to string, w rank.WeightsRequest) (int64, error)
}

// leaseCaller makes the calls of a lease.Holder.
type leaseCaller interface {
	Call(ctx context.Context, c lease.Call) lease.Answer
}

// Participant is an agent's participation in one group: the member for its rank,
// and the coordinator while this agent holds the coordinator lease. One event
// loop makes all decisions; calls that wait for others run in other goroutines.
type Participant struct {
	self    string
	cfg     Settings
	log     *slog.Logger
	metrics *Metrics
	rank    rankClient
	peers   peerClient
	store   leaseCaller
	shape   atomic.Pointer[Shape]
	started time.Time
	ctx     context.Context
	stop    context.CancelFunc
	loop    *eventloop.Loop
	ops     chan rankOp
	sends   chan struct{}
	// currentOp is the number of the pending operation at the rank.
	currentOp  atomic.Uint64
	placements *placementCache

	// The fields below are used by the event loop only.
	member     *group.Member
	role       group.Role
	holder     *lease.Holder
	fencing    lease.FencingSupport
	local      []group.Message
	leaving    bool
	lastTick   time.Duration
	desired    group.Version
	mixedSteps mixedStepDetector
	// desiredFence is the fencing token under which desired was planned.
	desiredFence uint64

	planning planning
}

// Deps holds the dependencies of a Participant.
type Deps struct {
	// Self is the agent's name, Owner the name under which it holds the group's
	// lease.
	Self        string
	Incarnation uint64
	Owner       string
	Settings    Settings
	Log         *slog.Logger
	Metrics     *Metrics
	Rank        rankClient
	Peers       peerClient
	Store       leaseCaller
}

// New returns a Participant that has no state of the group yet.
func New(ctx context.Context, d Deps, shape *Shape) *Participant {
	g := &Participant{
		self: d.Self, cfg: d.Settings, log: d.Log.With("group", shape.name), metrics: d.Metrics,
		rank: d.Rank, peers: d.Peers, store: d.Store, started: time.Now(), fencing: shape.fencing,
		loop: eventloop.New(eventQueueSize), ops: make(chan rankOp, 1), sends: make(chan struct{}, maxSends),
		placements: newPlacementCache(),
		member:     group.NewMember(group.MemberConfig{Name: d.Self, Fencing: shape.fencing}, d.Incarnation, 0),
		holder: lease.NewHolder(lease.Config{
			Role: "duties/group/" + shape.name, Owner: d.Owner, TTL: d.Settings.LeaseTTL,
		}),
	}
	g.ctx, g.stop = context.WithCancel(ctx)
	g.shape.Store(shape)
	g.placements.add(shape.initial())
	g.loop.After(g.after, func() (time.Time, bool) { return g.started.Add(g.lastTick + tickInterval), true })
	return g
}

// Run participates in the group until the context ends or Stop is called.
func (g *Participant) Run() {
	go g.serveRank()
	go g.plan()
	g.loop.Run(g.ctx)
}

// now returns the time since this Participant was created, by the monotonic
// clock.
func (g *Participant) now() time.Duration { return time.Since(g.started) }

// Name returns the name of the group.
func (g *Participant) Name() string { return g.shape.Load().name }

// Shape returns the group as configured.
func (g *Participant) Shape() *Shape { return g.shape.Load() }

// Fits reports whether s is a shape of the same group, which Reshape can apply
// without a new Participant.
func (g *Participant) Fits(s *Shape) bool { return g.Name() == s.name && g.fencing == s.fencing }

// Stop ends the participation at once.
func (g *Participant) Stop() { g.stop() }

// Loads returns the expert loads of the agent's own rank.
func (g *Participant) Loads(ctx context.Context) (rank.Loads, error) { return g.rank.Loads(ctx) }

// Fetch has the agent's own rank read a part of an expert's weights.
func (g *Participant) Fetch(ctx context.Context, w rank.WeightsRequest) (int64, error) {
	return g.rank.Fetch(ctx, w)
}

// Reshape applies a changed configuration of the same group.
func (g *Participant) Reshape(s *Shape) {
	g.shape.Store(s)
	g.placements.add(s.initial())
}

// Deliver passes a message of another agent to the event loop.
func (g *Participant) Deliver(ctx context.Context, from string, m group.Message) error {
	return g.loop.Post(ctx, func() { g.receive(from, m) })
}

// after runs on the event loop after each event, and when a timer is due.
func (g *Participant) after() {
	if now := g.now(); now-g.lastTick >= tickInterval {
		g.lastTick = now
		g.tick(now)
	}
	for len(g.local) > 0 {
		m := g.local[0]
		g.local = g.local[1:]
		g.receive(g.self, m)
	}
}

// receive handles a message, as the coordinator and as the member.
func (g *Participant) receive(from string, m group.Message) {
	now := g.now()
	g.placements.noteSender(m, from)
	g.checkMixedSteps(from, m)
	if coord := g.coordinator(now); coord != nil {
		g.perform(coord.Receive(now, from, m))
	}
	g.perform(g.member.Receive(now, from, m))
}

// coordinator returns the coordinator while this agent's lease is valid, else
// nil. It is called right before each use, because the lease can expire at any
// time.
func (g *Participant) coordinator(now time.Duration) *group.Coordinator {
	return g.role.Coordinator(now, g.coordinatorConfig(), g.holder)
}

func (g *Participant) coordinatorConfig() group.CoordinatorConfig {
	s := g.shape.Load()
	return group.CoordinatorConfig{
		Members: s.members, MinRanks: s.minRanks(g.cfg.LostRanks), Initial: s.initialVersion(),
		ProbeInterval: g.cfg.ProbeInterval, DeadAfter: g.cfg.DeadAfter,
	}
}

// tick advances the timers: the lease first, then the coordinator, then the
// member.
func (g *Participant) tick(now time.Duration) {
	g.holder.Want(g.role.Wanted(g.holder, g.shouldAcquire(now)) && !g.leaving)
	for _, c := range g.holder.Tick(now) {
		go g.callStore(c)
	}
	if coord := g.coordinator(now); coord != nil {
		coord.SetMembers(now, g.shape.Load().members)
		coord.SetDesired(g.desiredVersion())
		g.perform(coord.Tick(now))
	}
	g.perform(g.member.Tick(now))
}

// desiredVersion returns the map that this coordinator has planned. A plan that
// was made under an earlier lease does not count.
func (g *Participant) desiredVersion() group.Version {
	if g.desiredFence != g.holder.Fence() {
		return 0
	}
	return g.desired
}

// The delays before the coordinator role of a stopped group is taken over.
const (
	stoppedRankTimeout = 2 * time.Second
	takeoverStagger    = 100 * time.Millisecond
)

// shouldAcquire reports whether this agent should try to acquire the coordinator
// role. It tries at once if the coordinator has handed the role over to it, soon
// if its rank has stopped, and otherwise only after CoordinatorTimeout without a
// message. The candidates try one after the other, so that a free role costs the
// store a few calls and not one from each agent.
func (g *Participant) shouldAcquire(now time.Duration) bool {
	shape, lastReceived := g.shape.Load(), g.member.LastReceived()
	t := lease.Takeover{HolderTimeout: g.cfg.CoordinatorTimeout, Stagger: takeoverStagger}
	stopped := g.member.Orphaned(now)
	if stopped && now-lastReceived < stoppedRankTimeout {
		return true
	}
	if stopped || g.member.Health(now) == group.Empty {
		t.HolderTimeout = stoppedRankTimeout
	}
	return t.Due(now, lastReceived, "duties/group/"+shape.name, g.self, shape.candidates)
}

// sendTimeout bounds one message to another agent.
const sendTimeout = time.Second

// resignTimeout bounds how long a draining agent waits for the store to release
// its lease.
const resignTimeout = time.Second
