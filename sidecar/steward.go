package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/pause"
	"verbenashift/platform"
)

const (
	// chainFor is how long after a change the rounds stay close together: one
	// change seldom is enough after a shift, and a round of a large group takes long
	// as it is.
	chainFor = 300 * time.Millisecond
	// calmRound is the pause between rounds while nothing is going on: it bounds
	// the age of the counts. busyRound is the same while a change is under way.
	calmRound = 200 * time.Millisecond
	busyRound = 20 * time.Millisecond
	// roundLate is how late a round may be before the steward assumes that it
	// was paused and that another one acts by now.
	roundLate = 600 * time.Millisecond
)

// steward drives the changes of one group's map.
type steward struct {
	*agent
	// group is the life of the group that the steward asks in.
	group engine.GroupID
	// rankOf is the rank beside which the steward runs, born when its server started.
	rankOf int
	born   int64
	// salt is what the steward was made with; see lockstep.Predecessor.
	salt uint64
	duty
	targets *mirror.Follower
	members
	// complete says that every rank of the group was known in the last round.
	complete bool
	// byRank are the targets of the group's ranks.
	byRank  []string
	core    *lockstep.Coordinator
	planner planner
	// pending are the orders that go out with the next asks, by target; tells
	// are the last answers.
	pending map[string]lockstep.Command
	tells   map[string]rankpeer.Response
	// given are the statuses of the orders of this asking that went straight to
	// servers; samples are the counts that were told in this round.
	given   map[string]int
	samples []*rankpeer.Sample
	// counting says that this round asks for counts, countedAt when the last one did.
	counting  bool
	countedAt time.Time
	// proposed is the newest map that was prepared, under the number proposedAs.
	proposed   lockstep.Map
	proposedAs int64
	// packed is proposed, and base the map in force with the number baseAs, as
	// they go to the agents.
	packed, base *rankpeer.Map
	baseAs       int64
	// full and moves are proposed as it goes to agents that lack the base, and to those
	// that have it.
	full, moves *rankpeer.Change
	// needFull are the targets whose agents lack the base.
	needFull map[string]bool
	// holding says that the group is held, or is about to be.
	holding bool
	// rounds counts the rounds.
	rounds int
	// viewsAt is when relays were given the view last.
	viewsAt time.Time
	// changedAt is when a change came into force last.
	changedAt time.Time
	// heldSince is when a hold was first seen; zero while there is none.
	heldSince time.Time
	// roundTook is how long the last asking of all ranks took.
	roundTook time.Duration
	// reported is when the state of the group was logged last.
	reported time.Time
	log      *slog.Logger
}

// lead makes this agent the steward and drives the group until another one has
// taken over.
func (a *agent) lead(ctx context.Context, st engine.State) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := st.GroupID()
	d, ok := a.takeOver(ctx, group)
	if !ok {
		return
	}
	salt := rand.Uint64()
	s := &steward{
		agent: a, salt: salt, group: group, rankOf: st.Rank, born: st.Born, duty: d,
		targets: mirror.NewTargetFollower(a.store, platform.Formats(), a.log),
		members: members{peers: map[string]*peer{}, elsewhere: map[string]engine.GroupID{}, strayAt: time.Now()},
		core:    lockstep.NewCoordinator(st.Rank, a.stewardBefore(st.Rank), salt), pending: map[string]lockstep.Command{},
		log: a.log.With("group", group.Name, "service", a.boot.Service, "steward-from", d.term),
	}
	s.core.Fence = d.term
	if !d.acting {
		s.planner.guess = a.recallLoads(ctx, group)
	}
	if r := a.lastRoster(); r != nil {
		s.needs.learn(groupNeeds{r.Engine, r.Gap})
	}
	if s.planner.guess != nil {
		s.needs.learn(s.planner.guess.Needs)
	}
	s.enrol(a.lastRoster())
	go s.readNeeds(ctx)
	go s.followTargets(ctx, s.roster != nil)
	go s.keepLoads(ctx)
	s.log.Info("steward begins", "epoch", group.Epoch, "term", d.term, "acting", d.acting, "members", len(s.peers))
	metricSteward.Set(1)
	metricGroup.Set(group.Name)
	metricTerm.Set(d.term)
	s.drive(ctx)
	metricSteward.Set(0)
	metricGroup.Set("")
	s.setDigest(nil)
	for _, p := range s.peers {
		p.close()
	}
	for _, b := range s.branches {
		b.link.close()
	}
	s.log.Info("steward ends")
}

// settle is how long a steward that knows its group from the roster leaves the store
// alone. The entries of 200 servers take a tenth of a second of a link of 6 Mbit/s, just
// when it has to find out what the steward before has left behind.
const settle = 2 * time.Second

// followTargets keeps the view of the store.
func (s *steward) followTargets(ctx context.Context, known bool) {
	if known && !pause.For(ctx, settle) {
		return
	}
	s.targets.Run(ctx)
}

// drive makes rounds until the steward is no longer the newest.
func (s *steward) drive(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(began) > roundLate+tellWait+calmRound {
			s.log.Warn("paused, another steward may act", "ms", now.Sub(began).Milliseconds())
			return
		}
		began = now
		if !s.seated() {
			s.log.Info("own rank has left the group", "own-group", s.seat().Group.Name)
			return
		}
		if !s.renewDuty(ctx, now) {
			return
		}
		busy, ok := s.round(ctx, now)
		if !ok {
			return
		}
		s.tellViews(ctx, time.Now())
		next := calmRound
		if busy {
			next = busyRound
		}
		if !pause.For(ctx, next) {
			return
		}
	}
}

// round asks all ranks, takes in what they tell, and decides the next orders.
// Ok is false when a newer steward has been heard.
func (s *steward) round(ctx context.Context, now time.Time) (busy, ok bool) {
	s.meet(now)
	// The first round tells whether this agent has kept the map in force.
	needPlaces := !s.planner.placed && s.rounds > 0
	s.rounds++
	s.tells, s.samples = map[string]rankpeer.Response{}, nil
	s.startCounting(now)
	if !s.askAll(ctx, everybody, needPlaces) {
		return false, false
	}
	ranks := s.arrange()
	s.complete = lockstep.Complete(ranks)
	s.roundTook = time.Since(now)
	metricRound.Record(s.roundTook.Milliseconds())
	s.planner.take(now, s.byRank, s.tells, s.samples)
	s.keepMap(ranks)
	s.adoptBase(ranks)
	s.report(ranks, now)
	s.setDigest(s.digestOf(ranks))
	s.propose(ranks)
	if !s.planner.placed && lockstep.Unfinished(ranks) {
		s.core.Placeholder = s.planner.stopgap(s.tells)
	}
	for range quickMoves {
		quick := s.decide(ranks, time.Now())
		if len(s.pending) == 0 {
			break
		}
		if s.holds() {
			// In a large group the readings are most of a pass old by now: a hold
			// for the next pass would come too late.
			if !s.askOwn(ctx) {
				return false, false
			}
			ranks = s.arrange()
			s.decide(ranks, time.Now())
		}
		// The group may be held: only the ranks with an order are asked, and
		// at once. What the others have told is true still; see package
		// lockstep.
		if !s.askAll(ctx, s.ordered, false) {
			return false, false
		}
		ranks = s.arrange()
		s.pending = nil
		s.heldFor(ranks)
		if !quick {
			break
		}
	}
	return !s.core.Idle(ranks) || !s.planner.placed || now.Sub(s.changedAt) < chainFor, true
}

// quickMoves bounds the moves that are made without a full round between them:
// a hold, arming in three turns, arming again where an order was lost, and the
// release.
const quickMoves = 8

// decide sets the next orders and reports whether they belong to a change that
// holds the group, or is about to.
func (s *steward) decide(ranks []lockstep.Rank, now time.Time) (quick bool) {
	s.pending = map[string]lockstep.Command{}
	for _, c := range s.core.Next(ranks, now) {
		s.pending[s.byRank[c.Rank]] = c
		quick = quick || c.Order.Kind != engine.PrepareMap
	}
	s.holding = quick
	return quick
}

// pressed reports whether passes are long against the pauses that callers are
// to see.
func (s *steward) pressed() bool {
	return s.roster != nil && float64(s.core.PassTime()) > pressedPart*float64(s.roster.Gap)
}

const (
	// countsEvery is how often ranks are asked for counts at most. Rounds are
	// closer together while a change is under way.
	countsEvery = 150 * time.Millisecond
	// countsInChange is the same while a change is under way, when counts would lengthen
	// its rounds. A change that takes longer, as while orders go unanswered, must not end
	// with counts of a mix that is long over.
	countsInChange = 500 * time.Millisecond
)

// propose begins a change if there is a better map, or if the group can't go on
// without one.
func (s *steward) propose(ranks []lockstep.Rank) {
	if s.core.Stuck(ranks) {
		if m := s.planner.current(); m != nil {
			s.log.Warn("group is held without a change, preparing the map in force anew")
			s.core.Propose(ranks, m)
		}
		return
	}
	if !s.plan || !s.core.Idle(ranks) {
		return
	}
	p, ok := s.planner.better(s.pressed())
	if !ok {
		return
	}
	s.log.Info("change of map", "skew", p.before, "expected", p.after, "loads", p.loads, "map", ranks[0].State.Map)
	s.core.Propose(ranks, p.m)
}
