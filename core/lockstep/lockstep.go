// Package lockstep changes the expert map of a rank group whose engines take
// the orders prepare, arm, disarm, hold and release, so that no pass begins
// while two ranks have different maps.
//
// It is for engines that switch at an armed pass whatever the others do. (Package
// group is for engines that wait at an armed step for the outcome.) What makes
// the wait here is a hold: while one rank holds pass S, no rank begins it.
//
// A change goes in four moves. All ranks prepare the map. One rank holds a pass
// S that the group has not reached. All ranks arm the map for S, that of the
// steward last. Once all are armed, the hold is released; released early
// enough, nothing ever waits.
//
// The hold is not at the steward's own rank, and the steward orders it straight
// at the server. So a steward's instance that stops answering just then, its
// rank included, leaves a hold that others can release: its own rank is not
// armed before all others are, so that it can't switch alone; see abandon.
//
// A Steward has no memory that a change depends on. Its next orders are a
// function of what all ranks say of themselves, so that any agent can go on
// where another has stopped. These rules make that safe with several stewards
// at once, one of them paused for any time between looking and ordering:
//
//   - A hold on S is released only by one who has seen all ranks armed for the
//     same map and S, or who knows that no rank ever will be. What is armed for a held pass is never taken back, unless
//     a rank has prepared a newer map since, so that not all can be armed ever.
//   - A map is armed only while a hold on S stands.
//   - Numbers of maps grow, and no two stewards ever give the same one: part of
//     each is a random number of the steward's own. Ranks compare numbers, not
//     maps; two maps under one number would be taken for the same.
//
// So an order may come late, also after newer ones. A late prepare has a number
// that the rank has had or passed. A late arm or release is for a pass that has
// begun, or is what the others want as well. Orders name the epoch, and the
// number of orders that the rank had begun when they were decided, for engines
// that count these.
//
// A group that has lost a rank is formed again by the platform, in a new epoch
// in which nothing is prepared, armed or held.
//
// # Usage
//
//	s := lockstep.NewSteward(self)
//	for {
//		ranks := readAll()
//		s.Propose(ranks, next) // when there is a better map
//		for _, c := range s.Next(ranks, now) {
//			send(c.Rank, c.Order)
//		}
//	}
package lockstep

import (
	"time"

	"verbenashift/platform"
)

// Map is the experts of a group by layer and rank.
type Map [][][]int

// Rank is what was last read of a rank.
type Rank struct {
	// Known says that the rank was read in this round.
	Known bool
	State platform.RankState
}

// Command is an order to one rank.
type Command struct {
	Rank  int
	Order platform.Order
	// Direct says that the steward gives the order to the server itself, not
	// through the agent beside it.
	Direct bool
}

const (
	// minLead and maxLead bound how many passes ahead of the group a change is
	// armed, leadTime is the time that it should be: the three moves of a change
	// take a round trip each between instances of a region, some ten
	// milliseconds in all.
	minLead  = 1
	maxLead  = 12
	leadTime = 40 * time.Millisecond
	// tookKept is the part of a longer time from hold to release that is kept
	// when the next change took less: while some orders are not answered, the
	// slowest of all ranks decides, and it differs from change to change.
	tookKept = 0.8
)

// Steward decides the orders for one group. Use NewSteward to make one. It is
// not safe for concurrent use.
type Steward struct {
	// Fence is put into each order.
	Fence int64

	self int
	// before is the steward from which the duty was taken over, or nil. It is
	// forgotten with the first order to arm.
	before *Predecessor
	// salt is the part of the numbers of maps that is this steward's own.
	salt int64
	// version and content are the map being prepared; 0 means none. It changes
	// the map with the number base.
	version int64
	base    int64
	content Map
	epoch   int64
	// highest is the highest number of a map that was seen or refused.
	highest int64
	holdAt  int64
	// asked is when each rank was last ordered to prepare the map askedFor.
	asked    []time.Time
	askedFor int64
	now      time.Time
	pass     passClock
	// heldAt is when this steward ordered the hold that stands; took is how long
	// changes took lately from there to the release.
	heldAt time.Time
	took   time.Duration
	// standing is since when a hold could be given up by abandon.
	standing time.Time
}

// saltRange is the range of the steward's own part of the numbers of maps.
const saltRange = 1 << 20

// Predecessor is the steward that was heard last.
type Predecessor struct {
	// Rank is that beside which it ran, Salt the one that it was made with.
	Rank int
	Salt uint64
}

// NewSteward returns the steward at the rank self. Before is the steward that
// was heard last, or nil if none was. The salt is drawn anew for each steward; it
// is taken modulo 1<<20.
func NewSteward(self int, before *Predecessor, salt uint64) *Steward {
	return &Steward{self: self, before: before, salt: int64(salt % saltRange)}
}

// number returns the next number of a map: higher than all that were seen, and
// the steward's own.
func (s *Steward) number() int64 {
	s.highest = (s.highest/saltRange+1)*saltRange + s.salt
	return s.highest
}

// Idle reports whether no change is under way: a new map may be proposed.
func (s *Steward) Idle(ranks []Rank) bool {
	return s.version == 0 && whole(ranks) && !engaged(ranks)
}

// InForce returns the number of the map that all ranks use, if they do.
func InForce(ranks []Rank) (int64, bool) {
	if !whole(ranks) {
		return 0, false
	}
	for i := range ranks {
		if ranks[i].State.Map != ranks[0].State.Map {
			return 0, false
		}
	}
	return ranks[0].State.Map, true
}

// Propose begins a change to a map.
func (s *Steward) Propose(ranks []Rank, m Map) {
	s.see(ranks)
	s.version, s.content, s.holdAt = s.number(), m, 0
	s.base, s.epoch = ranks[0].State.Map, ranks[0].State.Epoch
}

// Stuck reports whether the group is held with no change under way that would
// let it go on: then a map must be proposed, if only the one in force.
func (s *Steward) Stuck(ranks []Rank) bool {
	if !whole(ranks) || s.version != 0 || lowestHeld(ranks) == 0 {
		return false
	}
	version, _ := armed(ranks)
	return version == 0 && !prepared(ranks)
}

// prepared reports whether all ranks have prepared the same map and none uses
// it yet.
func prepared(ranks []Rank) bool {
	first := &ranks[0].State
	return first.Prepared > first.Map && all(ranks, func(st *platform.RankState) bool {
		return st.Prepared == first.Prepared && st.Map == first.Map
	})
}

// PassTime returns how long the last passes took, or 0 before it is known.
func (s *Steward) PassTime() time.Duration { return s.pass.took }

// Unanswered tells that a rank has not answered an order: it is given again at
// once.
func (s *Steward) Unanswered(c Command) {
	if c.Order.Kind == platform.PrepareMap && c.Rank < len(s.asked) {
		s.asked[c.Rank] = time.Time{}
	}
}

// Refused tells that a rank refused an order for another reason than its number
// of orders: then the number of the map may have been used before.
func (s *Steward) Refused(o platform.Order) {
	if o.Kind == platform.PrepareMap && o.Version == s.version {
		s.version = s.number()
	}
	if o.Kind == platform.HoldPass {
		s.holdAt = 0
	}
}

// Malformed tells that a rank does not understand the map of an order: no repeat
// will change that. The change is given up, so that the next one can be planned;
// the group would keep a bad map for good otherwise.
func (s *Steward) Malformed(o platform.Order) {
	if o.Kind == platform.PrepareMap && o.Version == s.version {
		s.version, s.content, s.holdAt = 0, nil, 0
	}
}

// whole reports whether every rank of one epoch of an open group is known.
func whole(ranks []Rank) bool {
	if len(ranks) == 0 || len(ranks) != ranks[0].State.Size {
		return false
	}
	for i := range ranks {
		st := &ranks[i].State
		if !ranks[i].Known || !st.Open || st.Epoch != ranks[0].State.Epoch {
			return false
		}
	}
	return true
}

// engaged reports whether a rank is armed or holds the group.
func engaged(ranks []Rank) bool {
	for i := range ranks {
		if ranks[i].State.ArmedMap != 0 || ranks[i].State.Held != 0 {
			return true
		}
	}
	return false
}

// Unfinished reports whether a rank that is known is armed or holds the group.
func Unfinished(ranks []Rank) bool {
	for i := range ranks {
		if ranks[i].Known && (ranks[i].State.ArmedMap != 0 || ranks[i].State.Held != 0) {
			return true
		}
	}
	return false
}

func (s *Steward) see(ranks []Rank) {
	for i := range ranks {
		st := &ranks[i].State
		s.highest = max(s.highest, st.Map, st.Prepared, st.ArmedMap)
	}
}

// Next returns the orders that take the change one move on. It returns none
// while a rank is not known, or the group is being formed again.
func (s *Steward) Next(ranks []Rank, now time.Time) []Command {
	if !whole(ranks) {
		return s.abandon(ranks, now)
	}
	s.now = now
	s.enter(ranks[0].State.Epoch)
	s.see(ranks)
	s.pass.observe(lastStep(ranks), now)
	if cmds, ok := s.finishArmed(ranks); ok {
		return cmds
	}
	s.forgetDone(ranks)
	if step := lowestHeld(ranks); step != 0 {
		return s.underHold(ranks, step)
	}
	if s.version == 0 {
		return nil
	}
	if all(ranks, func(st *platform.RankState) bool { return st.Prepared == s.version }) {
		return s.hold(ranks)
	}
	return s.prepare(ranks)
}

// enter forgets what was begun in an earlier epoch.
func (s *Steward) enter(epoch int64) {
	if epoch != s.epoch {
		s.epoch, s.version, s.content, s.holdAt, s.highest = epoch, 0, nil, 0, 0
		s.asked = nil
		s.pass = passClock{}
	}
}

// abandonAfter is how long a hold must have been without any armed rank before
// it is given up: an order that an agent took from the steward before, just
// before it heard of the new one, has been answered by then or never will be.
const abandonAfter = 150 * time.Millisecond

// abandon gives up a hold while the rank of the steward before does not answer.
//
// That happens when a steward's instance stops answering just after its hold:
// the group would stand until it is back. No rank that answers is armed, and
// the agents beside them take no orders from that steward any more. The missing
// rank is not armed either: a steward arms its own rank last, after all the
// others, and nobody else has armed for this hold; see ownHold.
func (s *Steward) abandon(ranks []Rank, now time.Time) []Command {
	step := lowestHeld(ranks)
	version, _ := armed(ranks)
	if version != 0 || step == 0 || !s.ownHold(ranks) {
		s.standing = time.Time{}
		return nil
	}
	if s.standing.IsZero() {
		s.standing = now
	}
	if now.Sub(s.standing) < abandonAfter {
		return nil
	}
	return s.release(ranks, step)
}

// ownHold reports whether only the steward before can have given orders to arm
// for the hold, and only its own rank is missing: it is the one that prepared
// the map, the hold is where it places its holds, and this steward has not armed
// anything. If another steward had a hand in it, the missing rank may be armed.
func (s *Steward) ownHold(ranks []Rank) bool {
	missing := s.onlyMissing(ranks)
	if s.before == nil || missing < 0 || missing != s.before.Rank {
		return false
	}
	holder := (missing + 1) % len(ranks)
	for i := range ranks {
		st := &ranks[i].State
		if i != missing && (st.Prepared%saltRange != int64(s.before.Salt%saltRange) || st.Held != 0 && i != holder) {
			return false
		}
	}
	return true
}

// onlyMissing returns the one rank that is not known in an otherwise whole
// group, or -1.
func (s *Steward) onlyMissing(ranks []Rank) int {
	missing, first := -1, -1
	for i := range ranks {
		st := &ranks[i].State
		switch {
		case !ranks[i].Known && missing >= 0:
			return -1
		case !ranks[i].Known:
			missing = i
			ranks[i].State = platform.RankState{}
		case !st.Open || st.Size != len(ranks):
			return -1
		case first < 0:
			first = i
		case st.Epoch != ranks[first].State.Epoch:
			return -1
		}
	}
	return missing
}

// finishArmed goes on with a change for which a rank is armed.
func (s *Steward) finishArmed(ranks []Rank) ([]Command, bool) {
	version, step := armed(ranks)
	if version == 0 {
		return nil, false
	}
	var cmds []Command
	missing := 0
	for _, i := range s.ownLast(ranks) {
		st := &ranks[i].State
		switch {
		case st.ArmedMap == version && st.ArmedStep == step, st.Map == version:
			continue
		case st.ArmedMap != 0:
			// Another steward has armed it for an older map, or for a later
			// pass. Neither can ever be armed everywhere.
			cmds = append(cmds, s.command(ranks, i, platform.Order{Kind: platform.DisarmMap, Version: st.ArmedMap}))
		case st.Prepared > version:
			// Another steward has prepared a newer map here, so that this rank
			// can never be armed for the older one: those that are must be
			// taken back, or they would switch alone.
			return s.disarm(ranks, version), true
		case st.Prepared == version && (i != s.self || missing == 0):
			cmds = append(cmds, s.command(ranks, i, platform.Order{Kind: platform.ArmMap, Version: version, Step: step}))
		}
		missing++
	}
	if missing > 0 {
		return cmds, true
	}
	s.measure()
	return s.release(ranks, step), true
}

// measure records how long the change has taken from its hold. A hold that is
// placed as far ahead as that makes nobody wait.
func (s *Steward) measure() {
	if s.heldAt.IsZero() {
		return
	}
	s.took = max(s.now.Sub(s.heldAt), time.Duration(tookKept*float64(s.took)))
	s.heldAt = time.Time{}
}

func (s *Steward) release(ranks []Rank, step int64) []Command {
	var cmds []Command
	for i := range ranks {
		if ranks[i].State.Held == step {
			cmds = append(cmds, s.command(ranks, i, platform.Order{Kind: platform.ReleasePass, Step: step}))
		}
	}
	return cmds
}

func (s *Steward) disarm(ranks []Rank, version int64) []Command {
	var cmds []Command
	for i := range ranks {
		if ranks[i].State.ArmedMap == version {
			cmds = append(cmds, s.command(ranks, i, platform.Order{Kind: platform.DisarmMap, Version: version}))
		}
	}
	return cmds
}

// underHold goes on while the group is held and no rank is armed. The way out
// is always a change: what is released without one could still be armed by a
// late order.
func (s *Steward) underHold(ranks []Rank, step int64) []Command {
	if prepared(ranks) {
		return s.others(ranks, platform.Order{Kind: platform.ArmMap, Version: ranks[0].State.Prepared, Step: step})
	}
	return s.prepare(ranks)
}

// hold stops the group at a pass that it has not reached.
func (s *Steward) hold(ranks []Rank) []Command {
	last := lastStep(ranks)
	if s.holdAt <= last {
		s.holdAt = last + s.pass.lead(max(leadTime, s.took))
	}
	s.heldAt = s.now
	i := (s.self + 1) % len(ranks)
	cmd := s.command(ranks, i, platform.Order{Kind: platform.HoldPass, Step: s.holdAt})
	cmd.Direct = i != s.self
	return []Command{cmd}
}

// prepareAgain is how long a rank is left alone with an order to prepare: it
// says nothing while it copies.
const prepareAgain = 150 * time.Millisecond

// prepare gives the map to the ranks that do not have it.
func (s *Steward) prepare(ranks []Rank) []Command {
	if s.version == 0 {
		return nil
	}
	if s.asked == nil || s.askedFor != s.version {
		s.asked, s.askedFor = make([]time.Time, len(ranks)), s.version
	}
	var cmds []Command
	for i := range ranks {
		st := &ranks[i].State
		if st.Prepared != s.version && s.now.Sub(s.asked[i]) >= prepareAgain {
			s.asked[i] = s.now
			cmds = append(cmds, s.command(ranks, i, platform.Order{Kind: platform.PrepareMap, Version: s.version, Map: s.content}))
		}
	}
	return cmds
}

// forgetDone ends a change that is in force, or that was made for a map that is
// not in force any more: what it would load was counted from that map.
func (s *Steward) forgetDone(ranks []Rank) {
	if s.version != 0 && all(ranks, func(st *platform.RankState) bool { return st.Map != s.base }) {
		s.version, s.content, s.holdAt = 0, nil, 0
	}
}

// ownLast returns the ranks with the steward's own at the end.
func (s *Steward) ownLast(ranks []Rank) []int {
	order := make([]int, 0, len(ranks))
	for i := range ranks {
		if i != s.self {
			order = append(order, i)
		}
	}
	if s.self >= 0 && s.self < len(ranks) {
		order = append(order, s.self)
	}
	return order
}

// others gives an order to all ranks but the steward's own, unless that is the
// only one.
func (s *Steward) others(ranks []Rank, o platform.Order) []Command {
	cmds := make([]Command, 0, len(ranks))
	for i := range ranks {
		if i != s.self || len(ranks) == 1 {
			cmds = append(cmds, s.command(ranks, i, o))
		}
	}
	return cmds
}

func (s *Steward) command(ranks []Rank, i int, o platform.Order) Command {
	if o.Kind == platform.ArmMap {
		s.before = nil
	}
	o.Epoch, o.Expect, o.Fence = ranks[i].State.Epoch, ranks[i].State.Seq, s.Fence
	return Command{Rank: i, Order: o}
}

// armed returns the newest map for which a rank is armed, and the earliest pass
// for which one is.
func armed(ranks []Rank) (version, step int64) {
	for i := range ranks {
		st := &ranks[i].State
		switch {
		case st.ArmedMap == 0 || st.ArmedMap < version:
		case st.ArmedMap > version:
			version, step = st.ArmedMap, st.ArmedStep
		default:
			step = min(step, st.ArmedStep)
		}
	}
	return version, step
}

func lowestHeld(ranks []Rank) int64 {
	lowest := int64(0)
	for i := range ranks {
		if h := ranks[i].State.Held; h != 0 && (lowest == 0 || h < lowest) {
			lowest = h
		}
	}
	return lowest
}

func lastStep(ranks []Rank) int64 {
	last := int64(0)
	for i := range ranks {
		last = max(last, ranks[i].State.Step)
	}
	return last
}

func all(ranks []Rank, ok func(*platform.RankState) bool) bool {
	for i := range ranks {
		if !ok(&ranks[i].State) {
			return false
		}
	}
	return true
}

// passWindow is the span over which the time of a pass is measured. Readings are
// some milliseconds old, each by another time: over a single pass that would be
// half of the result.
const passWindow = 300 * time.Millisecond

// passClock measures how long the passes of a group take.
type passClock struct {
	step int64
	at   time.Time
	took time.Duration
}

func (p *passClock) observe(step int64, now time.Time) {
	if p.at.IsZero() || step < p.step {
		p.step, p.at = step, now
		return
	}
	span := now.Sub(p.at)
	if span < passWindow {
		return
	}
	if n := step - p.step; n > 0 {
		p.took = span / time.Duration(n)
	}
	p.step, p.at = step, now
}

// lead returns how many passes ahead a change is armed that takes so long.
func (p *passClock) lead(change time.Duration) int64 {
	if p.took <= 0 {
		return minLead
	}
	return min(max(int64(change/p.took)+1, minLead), maxLead)
}
