// Package lockstep changes the expert map of a rank group whose engines take the orders
// prepare, arm, disarm, hold and release, so that no forward pass begins while two ranks have
// different maps.
//
// It is for engines that switch at an armed pass regardless of the others. (Package group is
// for engines that wait at an armed step for the outcome.) A hold provides the wait here:
// while one rank holds pass S, no rank begins it.
//
// A change takes four moves. All ranks prepare the map. One rank holds a pass S that the group
// has not reached. All ranks arm the map for S: the rank after the coordinator's own is armed
// last but one, the coordinator's own rank last. Once all are armed, the hold is released. If
// the release comes early enough, no rank ever waits.
//
// The hold is placed at another rank than the coordinator's own, and the coordinator sends
// that order directly to the server. So if the coordinator's instance stops answering at this
// point, together with its rank, it leaves a hold that others can release: as long as some
// other rank is not armed, the coordinator's own rank is not armed either and cannot switch
// alone; see abandon.
//
// A Coordinator has no memory that a change depends on. Its next orders are a function of the
// states that all ranks report, so that any agent can continue where another has stopped. The
// following rules make this safe with several coordinators at once, one of which may be paused
// for any time between reading and ordering:
//
//   - A hold on S is released only by a coordinator that has seen all ranks armed for the
//     same map and S, or that knows that no rank ever will be. What is armed for a
//     held pass is never disarmed, with two exceptions: a rank has since prepared a newer
//     map, so that not all ranks can ever be armed; or the coordinator that armed it was
//     lost before it had armed its own rank; see abandon.
//   - A map is armed only under a hold on S that the coordinator has ordered itself. For
//     another coordinator's hold, an order to release it may be under way.
//   - Map numbers grow, and no two coordinators ever issue the same one: part of each
//     number is random and belongs to one coordinator. Ranks compare numbers, not maps;
//     two maps with one number would be taken for the same map.
//
// So an order may arrive late, even after newer ones. A late prepare has a number that the
// rank has already reached or passed. A late arm or release is for a pass that has begun, or
// matches what the other coordinators want. Orders carry the epoch, and the number of orders
// that the rank had begun when they were decided, for engines that check these.
//
// A group that has lost a rank is formed again by the platform, in a new epoch in which
// nothing is prepared, armed or held.
//
// # Usage
//
//	s := lockstep.NewCoordinator(self, predecessor, salt)
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

// Map holds the experts of a group by layer and rank.
type Map [][][]int

// Command is an order to one rank.
type Command struct {
	Rank  int
	Order engine.Order
	// Direct says that the coordinator sends the order to the server itself, not through the
	// agent beside it.
	Direct bool
}

// Coordinator decides the orders for one group. Use NewCoordinator to make one. It is not safe
// for concurrent use.
type Coordinator struct {
	// Fence is the fencing token, which is put into each order.
	Fence int64
	// Placeholder is a map that the known ranks can prepare without loading anything, or nil.
	// It is prepared, and never armed, when a hold has to be abandoned.
	Placeholder Map

	self int
	// predecessor is the coordinator from which the role was taken over, or nil. It is cleared
	// with the first order to arm.
	predecessor *Predecessor
	// salt is the part of map numbers that belongs to this coordinator.
	salt int64
	// version and content are the map being prepared; version 0 means none. The change starts
	// from the map with the number base.
	version int64
	base    int64
	content Map
	epoch   int64
	// highest is the highest map number that was seen or refused.
	highest int64
	// holdAt is the pass that this coordinator has ordered the rank holder to hold.
	holdAt int64
	holder int
	// prepareSentAt is when each rank was last ordered to prepare the map prepareSentVersion.
	prepareSentAt      []time.Time
	prepareSentVersion int64
	now                time.Time
	pass               passClock
	// heldAt is when this coordinator ordered the hold that stands; changeTime is how long
	// recent changes took from there to the release.
	heldAt     time.Time
	changeTime time.Duration
	// abandonableSince is since when abandon could give up the hold, with some ranks armed for
	// abandonableArmed, or none if that is 0.
	abandonableSince time.Time
	abandonableArmed int64
	// blocking says that version is that of the placeholder.
	blocking bool
}

// saltRange is the size of the range of salts in map numbers.
const saltRange = 1 << 20

// NewCoordinator returns the coordinator at the rank self. The predecessor is the coordinator
// whose announcement was received last, or nil if there was none. The salt is drawn at random
// for each coordinator; it is taken modulo 1<<20.
func NewCoordinator(self int, predecessor *Predecessor, salt uint64) *Coordinator {
	return &Coordinator{self: self, predecessor: predecessor, salt: int64(salt % saltRange)}
}

// nextNumber returns the next map number: higher than all that were seen, and unique to this
// coordinator.
func (s *Coordinator) nextNumber() int64 {
	s.highest = (s.highest/saltRange+1)*saltRange + s.salt
	return s.highest
}

// Idle reports whether no change is under way, so that a new map may be proposed.
func (s *Coordinator) Idle(ranks []Rank) bool {
	return s.version == 0 && complete(ranks) && !armedOrHeld(ranks)
}

// Propose begins a change to the map m.
func (s *Coordinator) Propose(ranks []Rank, m Map) {
	s.observeVersions(ranks)
	s.version, s.content, s.holdAt = s.nextNumber(), m, 0
	s.base, s.epoch = ranks[0].State.Map, ranks[0].State.Epoch
}

// Stuck reports whether the group is held with no change under way that would let it continue.
// Then a map must be proposed, even if it is only the one in force.
func (s *Coordinator) Stuck(ranks []Rank) bool {
	if !complete(ranks) || s.version != 0 || lowestHeld(ranks) == 0 {
		return false
	}
	version, _ := armed(ranks)
	return version == 0 && !prepared(ranks)
}

// Changing reports whether this coordinator has a change under way.
func (s *Coordinator) Changing() bool { return s.version != 0 }

// PassTime returns how long recent passes took, or 0 before it is known.
func (s *Coordinator) PassTime() time.Duration { return s.pass.perPass }

// Unanswered records that a rank has not answered an order, so that it is sent again at once.
func (s *Coordinator) Unanswered(c Command) {
	if c.Order.Kind == engine.PrepareMap && c.Rank < len(s.prepareSentAt) {
		s.prepareSentAt[c.Rank] = time.Time{}
	}
}

// Refused records that a rank refused an order for another reason than its count of orders.
// The map number may have been used before, so a prepare gets a new one.
func (s *Coordinator) Refused(o engine.Order) {
	if o.Kind == engine.PrepareMap && o.Version == s.version {
		s.version = s.nextNumber()
	}
	if o.Kind == engine.HoldPass {
		s.holdAt = 0
	}
}

// Malformed records that a rank cannot parse the map of an order, which no retry will change.
// The change is dropped so that the next one can be planned; otherwise the group would retry a
// bad map forever.
func (s *Coordinator) Malformed(o engine.Order) {
	if o.Kind == engine.PrepareMap && o.Version == s.version {
		s.version, s.content, s.holdAt = 0, nil, 0
	}
}

func (s *Coordinator) observeVersions(ranks []Rank) {
	for i := range ranks {
		st := &ranks[i].State
		s.highest = max(s.highest, st.Map, st.Prepared, st.ArmedMap)
	}
}

// Next returns the orders for the next move of the change. It returns none while the group is
// being formed again, and only those of abandon while a rank is not known.
func (s *Coordinator) Next(ranks []Rank, now time.Time) []Command {
	if !complete(ranks) {
		// Passes continue without a rank that does not answer, and their length decides how
		// many requests are admitted.
		s.pass.observe(lastStep(ranks), now)
		return s.abandon(ranks, now)
	}
	s.now = now
	s.endBlocking()
	s.enterEpoch(ranks[0].State.Epoch)
	s.observeVersions(ranks)
	s.pass.observe(lastStep(ranks), now)
	if cmds, ok := s.finishArmed(ranks); ok {
		return cmds
	}
	s.clearFinished(ranks)
	if step := lowestHeld(ranks); step != 0 {
		return s.continueHeld(ranks, step)
	}
	if s.version == 0 {
		return nil
	}
	if all(ranks, func(st *engine.State) bool { return st.Prepared == s.version }) {
		return s.placeHold(ranks)
	}
	return s.prepare(ranks)
}

// enterEpoch clears what was begun in an earlier epoch.
func (s *Coordinator) enterEpoch(epoch int64) {
	if epoch != s.epoch {
		s.epoch, s.version, s.content, s.holdAt, s.highest = epoch, 0, nil, 0, 0
		s.prepareSentAt = nil
		s.pass = passClock{}
	}
}
