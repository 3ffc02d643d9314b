package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/pause"
	"verbenashift/platform"
)

const (
	// chainWindow is how long after a change the rounds stay close together: one change is
	// seldom enough after a shift of the loads, and a round of a large group takes long as it
	// is.
	chainWindow = 300 * time.Millisecond
	// idleRoundInterval is the pause between rounds while no change is under way: it bounds the
	// age of the counts. busyRoundInterval is the same while one is.
	idleRoundInterval = 200 * time.Millisecond
	busyRoundInterval = 20 * time.Millisecond
	// maxRoundDelay is how late a round may be before the coordinator assumes that it was paused
	// and that another one has taken over.
	maxRoundDelay = 600 * time.Millisecond
)

// coordinator drives the changes of one group's map.
type coordinator struct {
	*agent
	// group is the group in the epoch that the coordinator queries.
	group engine.GroupID
	// rankOf is the rank next to which the coordinator runs, born when its server started.
	rankOf int
	born   int64
	// salt is the coordinator's random salt; see lockstep.Predecessor.
	salt uint64
	role
	targets *mirror.Follower
	members
	// complete says that every rank of the group was known in the last round.
	complete bool
	// byRank are the targets of the group by rank.
	byRank  []string
	core    *lockstep.Coordinator
	planner planner
	// found are saved loads that were read after the start, until the next round takes them.
	found atomic.Pointer[savedLoads]
	// pending are the orders that go out with the next requests, by target; responses are
	// the last responses.
	pending   map[string]lockstep.Command
	responses map[string]rankpeer.Response
	// directStatus are the statuses of the orders of this poll that went directly to
	// servers; samples are the counts of this round.
	directStatus map[string]int
	samples      []*rankpeer.Sample
	// counting says that this round requests counts; countedAt is when the last one did.
	counting  bool
	countedAt time.Time
	// proposed is the newest map that was prepared, under the version proposedVersion.
	proposed        lockstep.Map
	proposedVersion int64
	// proposedAt is when the change under way was decided, if the group was at work then, and
	// proposedCopies the largest number of experts that one rank copies for it.
	proposedAt     time.Time
	proposedCopies int
	// packed is proposed, and base the map in force with the version baseVersion, as they
	// are sent to the agents.
	packed, base *rankpeer.Map
	baseVersion  int64
	// full and moves are proposed as it is sent to agents that lack the base, and to those
	// that have it.
	full, moves *rankpeer.Change
	// needsFullMap are the targets whose agents lack the base.
	needsFullMap map[string]bool
	// holding says that the group is held, or is about to be.
	holding bool
	// rounds counts the rounds.
	rounds int
	// digestsSentAt is when the digest was last sent to relays.
	digestsSentAt time.Time
	// changedAt is when the last change came into force.
	changedAt time.Time
	// heldSince is when a hold was first seen; zero while there is none.
	heldSince time.Time
	// roundTook is how long the last poll of all ranks took.
	roundTook   time.Duration
	firstChange lockstep.FirstChange
	// firstCounts says that the counts for the first change are urgent.
	firstCounts bool
	// reported is when the state of the group was last logged.
	reported time.Time
	log      *slog.Logger
}

// lead makes this agent the coordinator and drives the group until another one has taken over.
func (a *agent) lead(ctx context.Context, st engine.State) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := st.GroupID()
	d, ok := a.takeOver(ctx, group)
	if !ok {
		return
	}
	salt := rand.Uint64()
	co := &coordinator{
		agent: a, salt: salt, group: group, rankOf: st.Rank, born: st.Born, role: d,
		targets: mirror.NewTargetFollower(a.store, platform.Formats(), a.log),
		members: members{peers: map[string]*peer{}, otherGroups: map[string]engine.GroupID{}, polledAllAt: time.Now()},
		core:    lockstep.NewCoordinator(st.Rank, a.predecessor(st.Rank), salt), pending: map[string]lockstep.Command{},
		log: a.log.With("group", group.Name, "service", a.boot.Service, "steward-from", d.term),
	}
	co.targets.UseCheckpoints(a.store, false)
	co.firstChange.Formed(time.Now()) // As far as this coordinator knows.
	co.core.Fence = d.term
	loadsRead := false
	if !d.provisional {
		co.planner.guess, loadsRead = a.readLoads(ctx, group)
	}
	if r := a.lastRoster(); r != nil {
		co.needs.set(groupNeeds{r.Engine, r.Gap})
	}
	if co.planner.guess != nil {
		co.needs.set(co.planner.guess.Needs)
	}
	co.setRoster(a.lastRoster())
	go co.readNeeds(ctx, loadsRead)
	go co.followTargets(ctx, co.roster != nil)
	go co.saveLoadsPeriodically(ctx)
	co.log.Info("steward begins", "epoch", group.Epoch, "term", d.term, "acting", d.provisional, "members", len(co.peers))
	metricSteward.Set(1)
	metricGroup.Set(group.Name)
	metricTerm.Set(d.term)
	co.drive(ctx)
	metricSteward.Set(0)
	metricGroup.Set("")
	co.setDigest(nil)
	for _, p := range co.peers {
		p.close()
	}
	for _, b := range co.branches {
		b.link.close()
	}
	co.log.Info("steward ends")
}

// storeReadDelay is for how long a coordinator that knows its group from the roster does not
// read the store. The entries of 200 servers take a tenth of a second of a link of 6 Mbit/s,
// just when it has to find out what the previous coordinator has left unfinished.
const storeReadDelay = 2 * time.Second

// followTargets follows the targets in the store.
func (co *coordinator) followTargets(ctx context.Context, known bool) {
	if known && !pause.For(ctx, storeReadDelay) {
		return
	}
	co.targets.Run(ctx)
}

// drive runs rounds until the coordinator is no longer the newest.
func (co *coordinator) drive(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(began) > maxRoundDelay+responseWait+idleRoundInterval {
			co.log.Warn("paused, another steward may act", "ms", now.Sub(began).Milliseconds())
			return
		}
		began = now
		if !co.stillMember() {
			co.log.Info("own rank has left the group", "own-group", co.membership().Group.Name)
			return
		}
		if !co.renewRole(ctx, now) {
			return
		}
		busy, ok := co.round(ctx, now)
		if !ok {
			return
		}
		co.sendDigests(ctx, time.Now())
		next := idleRoundInterval
		if busy {
			next = busyRoundInterval
		}
		if !pause.For(ctx, next) {
			return
		}
	}
}

// round polls all ranks, records their responses, and sends the next orders. Ok is false when a
// newer coordinator is found.
func (co *coordinator) round(ctx context.Context, now time.Time) (busy, ok bool) {
	co.refreshMembers(now)
	if saved := co.found.Swap(nil); saved != nil {
		co.planner.guess = saved
	}
	// The first round shows whether this agent has stored the map in force.
	needPlaces := !co.planner.placed && co.rounds > 0
	co.rounds++
	co.responses, co.samples = map[string]rankpeer.Response{}, nil
	co.startCounting(now)
	if !co.pollRanks(ctx, allRanks, needPlaces) {
		return false, false
	}
	ranks := co.ranksInOrder()
	co.complete = lockstep.Complete(ranks)
	co.roundTook = time.Since(now)
	metricRound.Record(co.roundTook.Milliseconds())
	co.planner.observe(now, co.byRank, co.responses, co.samples)
	co.firstCounts = co.firstChange.Urgent(ranks, now) && !co.planner.enoughCounts()
	co.noteMapInForce(ranks)
	co.adoptBase(ranks)
	co.report(ranks, now)
	co.setDigest(co.buildDigest(ranks))
	co.propose(ranks)
	if !co.planner.placed && lockstep.Unfinished(ranks) {
		co.core.Placeholder = co.planner.placeholderMap(co.responses)
	}
	for range maxQuickSteps {
		quick := co.decide(ranks, time.Now())
		if len(co.pending) == 0 {
			break
		}
		if co.holdPending() {
			// In a large group the states read are most of a pass old by now: a hold
			// for the next pass would come too late.
			if !co.pollOwnRank(ctx) {
				return false, false
			}
			ranks = co.ranksInOrder()
			co.decide(ranks, time.Now())
		}
		// The group may be held: only the ranks with an order are queried, and at
		// once. The states of the others still hold; see package lockstep.
		if !co.pollRanks(ctx, co.hasOrder, false) {
			return false, false
		}
		ranks = co.ranksInOrder()
		co.pending = nil
		co.measureHold(ranks)
		if !quick {
			break
		}
	}
	return !co.core.Idle(ranks) || !co.planner.placed || co.firstCounts || now.Sub(co.changedAt) < chainWindow, true
}

// maxQuickSteps bounds the steps that are made without a full round between them: a hold, arming
// in three batches, arming again where an order was lost, and the release.
const maxQuickSteps = 8

// decide sets the next orders and reports whether they belong to a change that
// holds the group, or is about to.
func (co *coordinator) decide(ranks []lockstep.Rank, now time.Time) (quick bool) {
	co.pending = map[string]lockstep.Command{}
	for _, c := range co.core.Next(ranks, now) {
		co.pending[co.byRank[c.Rank]] = c
		quick = quick || c.Order.Kind != engine.PrepareMap
	}
	co.holding = quick
	return quick
}

// longPasses reports whether passes are long compared to the gaps that callers are to see.
func (co *coordinator) longPasses() bool {
	return co.roster != nil && float64(co.core.PassTime()) > longPassFraction*float64(co.roster.Gap)
}

const (
	// countsInterval is the shortest pause between requests for counts. Rounds are closer
	// together while a change is under way.
	countsInterval = 150 * time.Millisecond
	// countsIntervalInChange is the same while a change is under way, when counts would lengthen
	// its rounds. A change that takes longer, as while orders go unanswered, must not end with
	// counts of a mix that is long over.
	countsIntervalInChange = 500 * time.Millisecond
	// firstCountsInterval is the same while the group awaits its first change.
	firstCountsInterval = 50 * time.Millisecond
)

// propose begins a change if there is a better map, or if the group cannot go on without one.
func (co *coordinator) propose(ranks []lockstep.Rank) {
	if co.core.Stuck(ranks) {
		if m := co.planner.current(); m != nil {
			co.log.Warn("group is held without a change; preparing the map in force again")
			co.core.Propose(ranks, m)
			co.proposedAt = time.Time{}
		}
		return
	}
	if !co.plan || !co.core.Idle(ranks) {
		return
	}
	co.planner.passTime = co.core.PassTime()
	if co.roster != nil {
		co.planner.gap = co.roster.Gap
	}
	p, ok := co.planner.better(co.longPasses())
	if !ok {
		return
	}
	co.log.Info("change of map", "skew", p.before, "expected", p.after, "loads", p.loads, "rank-loads", p.perRank, "map", ranks[0].State.Map)
	co.core.Propose(ranks, p.m)
	co.proposedAt, co.proposedCopies = time.Time{}, p.perRank
	if lockstep.Running(ranks) > 0 {
		co.proposedAt = time.Now()
	}
}
