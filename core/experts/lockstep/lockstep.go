// Package lockstep changes the expert map of a rank group whose engines take
// the orders prepare, arm, disarm, hold and release, so that no pass begins
// while two ranks have different maps.
//
// It is for engines that switch at an armed pass whatever the others do. (Package
// group is for engines that wait at an armed step for the outcome.) What makes
// the wait here is a hold: while one rank holds pass S, no rank begins it.
//
// A change goes in four moves. All ranks prepare the map. One rank holds a pass
// S that the group has not reached. All ranks arm the map for S, the one beside
// that of the steward last but one, the steward's own last. Once all are armed,
// the hold is released; released early enough, nothing ever waits.
//
// The hold is not at the steward's own rank, and the steward orders it straight
// at the server. So a steward's instance that stops answering just then, its
// rank included, leaves a hold that others can release: as long as another rank is
// not armed, its own is not either, and can't switch alone; see abandon.
//
// A Steward has no memory that a change depends on. Its next orders are a
// function of what all ranks say of themselves, so that any agent can go on
// where another has stopped. These rules make that safe with several stewards
// at once, one of them paused for any time between looking and ordering:
//
//   - A hold on S is released only by one who has seen all ranks armed for the
//     same map and S, or who knows that no rank ever will be. What is armed for a
//     held pass is never taken back, unless a rank has prepared a newer map since,
//     so that not all can be armed ever, or the steward that armed is lost before
//     it had armed its own rank; see abandon.
//   - A map is armed only while a hold on S stands that the steward has ordered
//     itself. An order to release the one of another may be under way.
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

	"verbenashift/core/experts/engine"
)

// Map is the experts of a group by layer and rank.
type Map [][][]int

// Command is an order to one rank.
type Command struct {
	Rank  int
	Order engine.Order
	// Direct says that the steward gives the order to the server itself, not
	// through the agent beside it.
	Direct bool
}

// Coordinator decides the orders for one group. Use NewSteward to make one. It is
// not safe for concurrent use.
type Coordinator struct {
	// Fence is put into each order.
	Fence int64
	// Stopgap is a map that the ranks which are known can prepare without loading
	// anything, or nil. It is prepared, and never armed, when a hold has to be
	// given up.
	Stopgap Map

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
	// holdAt is the pass that this steward has had the rank holder hold.
	holdAt int64
	holder int
	// asked is when each rank was last ordered to prepare the map askedFor.
	asked    []time.Time
	askedFor int64
	now      time.Time
	pass     passClock
	// heldAt is when this steward ordered the hold that stands; took is how long
	// changes took lately from there to the release.
	heldAt time.Time
	took   time.Duration
	// standing is since when a hold could be given up by abandon, with some ranks
	// armed for standingArmed, or none if that is 0.
	standing      time.Time
	standingArmed int64
	// barring says that version is the stopgap's.
	barring bool
}

// saltRange is the range of the steward's own part of the numbers of maps.
const saltRange = 1 << 20

// NewCoordinator returns the steward at the rank self. Before is the steward that
// was heard last, or nil if none was. The salt is drawn anew for each steward; it
// is taken modulo 1<<20.
func NewCoordinator(self int, before *Predecessor, salt uint64) *Coordinator {
	return &Coordinator{self: self, before: before, salt: int64(salt % saltRange)}
}

// number returns the next number of a map: higher than all that were seen, and
// the steward's own.
func (s *Coordinator) number() int64 {
	s.highest = (s.highest/saltRange+1)*saltRange + s.salt
	return s.highest
}

// Idle reports whether no change is under way: a new map may be proposed.
func (s *Coordinator) Idle(ranks []Rank) bool {
	return s.version == 0 && whole(ranks) && !engaged(ranks)
}

// Propose begins a change to a map.
func (s *Coordinator) Propose(ranks []Rank, m Map) {
	s.see(ranks)
	s.version, s.content, s.holdAt = s.number(), m, 0
	s.base, s.epoch = ranks[0].State.Map, ranks[0].State.Epoch
}

// Stuck reports whether the group is held with no change under way that would
// let it go on: then a map must be proposed, if only the one in force.
func (s *Coordinator) Stuck(ranks []Rank) bool {
	if !whole(ranks) || s.version != 0 || lowestHeld(ranks) == 0 {
		return false
	}
	version, _ := armed(ranks)
	return version == 0 && !prepared(ranks)
}

// Changing reports whether this steward has a change under way.
func (s *Coordinator) Changing() bool { return s.version != 0 }

// PassTime returns how long the last passes took, or 0 before it is known.
func (s *Coordinator) PassTime() time.Duration { return s.pass.took }

// Unanswered tells that a rank has not answered an order: it is given again at
// once.
func (s *Coordinator) Unanswered(c Command) {
	if c.Order.Kind == engine.PrepareMap && c.Rank < len(s.asked) {
		s.asked[c.Rank] = time.Time{}
	}
}

// Refused tells that a rank refused an order for another reason than its number
// of orders: then the number of the map may have been used before.
func (s *Coordinator) Refused(o engine.Order) {
	if o.Kind == engine.PrepareMap && o.Version == s.version {
		s.version = s.number()
	}
	if o.Kind == engine.HoldPass {
		s.holdAt = 0
	}
}

// Malformed tells that a rank does not understand the map of an order: no repeat
// will change that. The change is given up, so that the next one can be planned;
// the group would keep a bad map for good otherwise.
func (s *Coordinator) Malformed(o engine.Order) {
	if o.Kind == engine.PrepareMap && o.Version == s.version {
		s.version, s.content, s.holdAt = 0, nil, 0
	}
}

func (s *Coordinator) see(ranks []Rank) {
	for i := range ranks {
		st := &ranks[i].State
		s.highest = max(s.highest, st.Map, st.Prepared, st.ArmedMap)
	}
}

// Next returns the orders that take the change one move on. It returns none
// while a rank is not known, or the group is being formed again.
func (s *Coordinator) Next(ranks []Rank, now time.Time) []Command {
	if !whole(ranks) {
		// Passes go on without a rank that does not answer, and their length
		// decides how many requests are let in.
		s.pass.observe(lastStep(ranks), now)
		return s.abandon(ranks, now)
	}
	s.now = now
	s.endBar()
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
	if all(ranks, func(st *engine.State) bool { return st.Prepared == s.version }) {
		return s.hold(ranks)
	}
	return s.prepare(ranks)
}

// enter forgets what was begun in an earlier epoch.
func (s *Coordinator) enter(epoch int64) {
	if epoch != s.epoch {
		s.epoch, s.version, s.content, s.holdAt, s.highest = epoch, 0, nil, 0, 0
		s.asked = nil
		s.pass = passClock{}
	}
}
