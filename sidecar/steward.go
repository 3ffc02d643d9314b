package main

import (
	"context"
	"hash/fnv"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"verbenashift/core/lockstep"
	"verbenashift/core/mirror"
	"verbenashift/core/rankpeer"
	"verbenashift/platform"
)

const (
	// calmRound is the pause between rounds while nothing is going on: it bounds
	// the age of the counts. busyRound is the same while a change is under way.
	calmRound = 200 * time.Millisecond
	busyRound = 20 * time.Millisecond
	// roundLate is how late a round may be before the steward assumes that it
	// was paused and that another one acts by now.
	roundLate = 600 * time.Millisecond
	// reclaimEvery is how often a steward that acts without the store tries to
	// get a term from it.
	reclaimEvery = 2 * time.Second
)

// steward drives the changes of one group's map.
type steward struct {
	*agent
	group string
	// rankOf is the rank beside which the steward runs.
	rankOf int
	// salt is what the steward was made with; see lockstep.Predecessor.
	salt uint64
	term int64
	// acting says that the term does not come from the store.
	acting  bool
	targets *mirror.Follower
	peers   map[string]*peer
	// byRank are the targets of the group's ranks.
	byRank  []string
	core    *lockstep.Steward
	planner planner
	// pending are the orders that go out with the next asks, by target; tells
	// are the last answers.
	pending map[string]lockstep.Command
	tells   map[string]rankpeer.Tell
	// turn counts the rounds with counts, which the ranks tell in turn; counting
	// says that this is one of them, countedAt when the last one was.
	turn      int
	counting  bool
	countedAt time.Time
	// proposed is the newest map that was prepared, under the number proposedAs.
	proposed   lockstep.Map
	proposedAs int64
	// packed is proposed, and base the map in force with the number baseAs, as
	// they go to the agents.
	packed, base *rankpeer.Map
	baseAs       int64
	// needFull are the targets whose agents lack the base.
	needFull map[string]bool
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
func (a *agent) lead(ctx context.Context, st platform.RankState) {
	term, acting, ok := a.claim(ctx, st.Group)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	salt := rand.Uint64()
	s := &steward{
		agent: a, salt: salt, group: st.Group, rankOf: st.Rank, term: term, acting: acting,
		targets: mirror.NewFollower(a.store, a.log), peers: map[string]*peer{},
		core: lockstep.NewSteward(st.Rank, a.stewardBefore(st.Rank), salt), pending: map[string]lockstep.Command{},
		log: a.log.With("group", st.Group, "term", term),
	}
	s.core.Fence = term
	s.planner.guess = a.recallLoads(ctx, st.Group)
	go s.targets.Run(ctx)
	go s.keepLoads(ctx)
	s.log.Info("steward begins", "acting", acting)
	metricSteward.Set(1)
	metricTerm.Set(term)
	s.drive(ctx)
	metricSteward.Set(0)
	s.setDigest(nil)
	for _, p := range s.peers {
		p.close()
	}
	s.log.Info("steward ends")
}

// drive makes rounds until the steward is no longer the newest.
func (s *steward) drive(ctx context.Context) {
	claimed := time.Now()
	began := claimed
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(began) > roundLate+tellWait+calmRound {
			s.log.Warn("paused, another steward may act", "ms", now.Sub(began).Milliseconds())
			return
		}
		began = now
		if s.acting && now.Sub(claimed) > reclaimEvery {
			return
		}
		busy, ok := s.round(ctx, now)
		if !ok {
			return
		}
		pause := calmRound
		if busy {
			pause = busyRound
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// round asks all ranks, takes in what they tell, and decides the next orders.
// Ok is false when a newer steward has been heard.
func (s *steward) round(ctx context.Context, now time.Time) (busy, ok bool) {
	s.meet()
	needPlaces := !s.planner.placed
	s.tells = map[string]rankpeer.Tell{}
	s.startCounting(now)
	if !s.askAll(ctx, s.peers, needPlaces) {
		return false, false
	}
	ranks := s.arrange()
	s.roundTook = time.Since(now)
	metricRound.Record(s.roundTook.Milliseconds())
	s.planner.take(now, s.byRank, s.tells)
	s.keepMap(ranks)
	s.report(ranks, now)
	s.setDigest(s.digestOf(ranks))
	s.propose(ranks)
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
		if !s.askAll(ctx, s.ordered(), false) {
			return false, false
		}
		ranks = s.arrange()
		s.pending = nil
		s.heldFor(ranks)
		if !quick {
			break
		}
	}
	return !s.core.Idle(ranks) || !s.planner.placed, true
}

// keepMap tells the planner the map that has come into force, if it was made
// here: then it need not be read from all ranks.
func (s *steward) keepMap(ranks []lockstep.Rank) {
	if s.planner.placed || s.proposed == nil {
		return
	}
	if version, ok := lockstep.InForce(ranks); ok && version == s.proposedAs {
		s.planner.know(version, ranks[0].State.Epoch, s.proposed)
		s.base, s.baseAs = s.packed, version
		metricChanges.Add(1)
	}
}

// heldFor measures how long holds stand, from the first look that shows one.
func (s *steward) heldFor(ranks []lockstep.Rank) {
	held := lockstep.Unfinished(ranks)
	switch {
	case held && s.heldSince.IsZero():
		s.heldSince = time.Now()
	case !held && !s.heldSince.IsZero():
		metricHeld.Record(time.Since(s.heldSince).Milliseconds())
		s.heldSince = time.Time{}
	}
}

// quickMoves bounds the moves that are made without a full round between them:
// a hold, arming, arming again where an order was lost, and the release.
const quickMoves = 6

// decide sets the next orders and reports whether they belong to a change that
// holds the group, or is about to.
func (s *steward) decide(ranks []lockstep.Rank, now time.Time) (quick bool) {
	s.pending = map[string]lockstep.Command{}
	for _, c := range s.core.Next(ranks, now) {
		s.pending[s.byRank[c.Rank]] = c
		quick = quick || c.Order.Kind != platform.PrepareMap
	}
	return quick
}

// holds reports whether the next order is to hold the group.
func (s *steward) holds() bool {
	for _, c := range s.pending {
		if c.Order.Kind == platform.HoldPass {
			return true
		}
	}
	return false
}

// askOwn reads the steward's own rank, which shares the passes of all others.
func (s *steward) askOwn(ctx context.Context) bool {
	s.pending = nil
	for id, p := range s.peers {
		if p.target.Addr == s.boot.Target {
			return s.askAll(ctx, map[string]*peer{id: p}, false)
		}
	}
	return true
}

// ordered returns the peers that have an order.
func (s *steward) ordered() map[string]*peer {
	some := make(map[string]*peer, len(s.pending))
	for id := range s.pending {
		if p := s.peers[id]; p != nil {
			some[id] = p
		}
	}
	return some
}

// offerLoads hands the loads to keepLoads.
func (s *steward) offerLoads() {
	if s.planner.judged() {
		saved := s.planner.save()
		s.mu.Lock()
		s.toSave = saved
		s.mu.Unlock()
	}
}

// pressed reports whether passes are long against the pauses that callers are
// to see.
func (s *steward) pressed() bool {
	v := s.targets.View()
	return v != nil && float64(s.core.PassTime()) > pressedPart*float64(v.ShortestGap(s.boot.Service))
}

// digestOf returns what gateways may know of the group.
func (s *steward) digestOf(ranks []lockstep.Rank) *rankpeer.Digest {
	d := &rankpeer.Digest{Group: s.group, Pass: s.core.PassTime()}
	list := fnv.New64a()
	for i := range ranks {
		st := &ranks[i].State
		if !ranks[i].Known {
			continue
		}
		_, _ = list.Write([]byte(s.byRank[i]))
		d.Targets = append(d.Targets, s.byRank[i])
		d.Running = append(d.Running, uint16(st.Running))
		d.Queued = append(d.Queued, uint16(st.Queued))
		d.Pace = append(d.Pace, uint16(st.Pace*paceUnit))
	}
	d.List = list.Sum64()
	return d
}

// paceUnit is what a pace of 1 is in a digest.
const paceUnit = 10

// reportEvery is how often the state of the group is logged.
const reportEvery = time.Second

// report logs the state of the group for operators.
func (s *steward) report(ranks []lockstep.Rank, now time.Time) {
	if now.Sub(s.reported) < reportEvery {
		return
	}
	s.reported = now
	s.offerLoads()
	skew := s.planner.skew()
	metricSkew.Set(skew)
	metricPass.Set(s.core.PassTime().Milliseconds())
	known, running, queued, slow := 0, 0, 0, 0.0
	for i := range ranks {
		st := &ranks[i].State
		if ranks[i].Known {
			known++
			running += st.Running
			queued += st.Queued
			slow = max(slow, st.Pace)
		}
	}
	metricKnown.Set(int64(known))
	s.log.Info("group state", "ranks", len(ranks), "known", known, "running", running, "queued", queued,
		"skew", skew, "pass-ms", s.core.PassTime().Milliseconds(), "round-ms", s.roundTook.Milliseconds(), "slowest-pace", slow, "idle", s.core.Idle(ranks), "placed", s.planner.placed)
}

// meet keeps a peer for each target of the service.
func (s *steward) meet() {
	v := s.targets.View()
	if v == nil {
		return
	}
	for id, t := range v.Targets {
		if t.Service == s.boot.Service && s.peers[id] == nil {
			s.peers[id] = newPeer(t, s.boot.PortFirst, len(s.peers), s.log)
		}
	}
	for id, p := range s.peers {
		if _, ok := v.Targets[id]; !ok {
			p.close()
			delete(s.peers, id)
		}
	}
	for i := range v.Config.Services {
		if svc := &v.Config.Services[i]; svc.Name == s.boot.Service && svc.Engine != nil {
			s.planner.shape(*svc.Engine)
		}
	}
}

// askAll asks peers at once and gives them their orders. It reports false when
// a newer steward has been heard.
func (s *steward) askAll(ctx context.Context, peers map[string]*peer, full bool) bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, p := range peers {
		cmd, ordered := s.pending[id]
		ask := rankpeer.Ask{Term: s.term, From: s.boot.Instance, Rank: s.rankOf, Salt: s.salt, Counts: !ordered && s.countsDue(p), Placement: full}
		if ordered {
			ask.Order = &cmd.Order
			s.pack(id, &ask)
		}
		wg.Go(func() {
			tell := p.command(ctx, ask, cmd.Direct)
			mu.Lock()
			s.tells[id] = tell
			mu.Unlock()
		})
	}
	wg.Wait()
	for id := range peers {
		if newer := s.tells[id].Term; newer > s.term {
			s.log.Info("a newer steward is at work", "newer-term", newer)
			return false
		}
	}
	s.refusals()
	return true
}

const (
	// countsInTurn is how many ranks are asked for counts in one round: in a large
	// group the counts of all would fill the steward's link for a round's time.
	countsInTurn = 36
	// countsEvery is how often ranks are asked for counts at most. Rounds are
	// closer together while a change is under way.
	countsEvery = 150 * time.Millisecond
)

// countsDue reports whether it is a peer's turn to tell its counts.
func (s *steward) countsDue(p *peer) bool {
	groups := (len(s.peers) + countsInTurn - 1) / countsInTurn
	return s.counting && (groups <= 1 || (p.number+s.turn)%groups == 0)
}

// startCounting decides whether this round asks for counts.
func (s *steward) startCounting(now time.Time) {
	if s.counting = now.Sub(s.countedAt) >= countsEvery; s.counting {
		s.countedAt = now
		s.turn++
	}
}

// pack takes the map out of an order to prepare and puts it into the ask as a
// change: what differs from the map in force, or all of it for an agent that
// lacks that.
func (s *steward) pack(id string, ask *rankpeer.Ask) {
	if ask.Order.Kind != platform.PrepareMap || len(ask.Order.Map) == 0 {
		return
	}
	o := *ask.Order
	if s.proposedAs != o.Version {
		s.proposed, s.proposedAs, s.needFull = o.Map, o.Version, map[string]bool{}
		s.packed = rankpeer.Pack(o.Map, s.planner.engine.Places)
	}
	o.Map = nil
	ask.Order, ask.Change = &o, &rankpeer.Change{Base: s.baseAs, Full: s.packed}
	if s.base == nil || s.needFull[id] {
		return
	}
	if moves, ok := rankpeer.Diff(s.base, s.packed); ok {
		ask.Change.Moves, ask.Change.Full = moves, nil
	}
}

// refusals tells the core which orders did not fit.
func (s *steward) refusals() {
	for id, cmd := range s.pending {
		o := cmd.Order
		t := s.tells[id]
		if t.NeedMap {
			s.needFull[id] = true
		}
		if t.Status == 0 {
			s.core.Unanswered(cmd)
		}
		if t.Status == http.StatusConflict && t.Known && t.State.Seq == o.Expect && t.State.Epoch == o.Epoch {
			s.log.Warn("order refused", "target", id, "order", string(o.Kind), "version", o.Version, "step", o.Step)
			s.core.Refused(o)
		}
	}
}

// arrange puts what is known of the group's ranks in their order.
func (s *steward) arrange() []lockstep.Rank {
	size := 0
	for _, t := range s.tells {
		if t.Known && t.State.Group == s.group {
			size = max(size, t.State.Size)
		}
	}
	ranks := make([]lockstep.Rank, size)
	s.byRank = make([]string, size)
	for _, id := range slices.Sorted(maps.Keys(s.tells)) {
		t := s.tells[id]
		if t.Known && t.State.Group == s.group && t.State.Rank >= 0 && t.State.Rank < size {
			ranks[t.State.Rank] = lockstep.Rank{Known: true, State: t.State}
			s.byRank[t.State.Rank] = id
		}
	}
	return ranks
}

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
