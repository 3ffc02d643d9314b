package main

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

// viewOf returns a view with targets of one service, at addresses in their order.
func viewOf(targets ...deployment.Target) *mirror.Snapshot {
	v := &mirror.Snapshot{Config: &deployment.Config{}, Targets: map[string]deployment.Target{}}
	for i, t := range targets {
		t.Service, t.Slots = "pool", 12
		t.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80)
		v.Targets[t.ID] = t
	}
	return v
}

// testSteward returns a steward of groupG that asks nobody.
func testSteward(t *testing.T) *steward {
	a, _ := testAgent(t)
	seatAndHear(a, 0)
	a.boot.Service = "pool"
	return &steward{
		agent: a, group: groupG, rankOf: 1, log: a.log, core: lockstep.NewCoordinator(1, nil, 1), tells: map[string]rankpeer.Response{},
		members: members{peers: map[string]*peer{}, elsewhere: map[string]engine.GroupID{}},
	}
}

func in(group string) engine.GroupID { return engine.GroupID{Name: group, Epoch: 1} }

// Guards against asking and counting the ranks of other groups.
func TestStewardAsksItsGroup(t *testing.T) {
	is := is.New(t)
	s := testSteward(t)
	v := viewOf(
		deployment.Target{ID: "a", Group: in("g")}, deployment.Target{ID: "b", Group: in("h")},
		deployment.Target{ID: "c"}, deployment.Target{ID: "d"},
	)
	s.enrol(s.rosterOf(v, false))
	is.Equal(len(s.peers), 3) // b is of another group; c and d don't say
	s.locate("c", rankpeer.Response{Group: in("g")})
	s.locate("d", rankpeer.Response{Group: in("h"), Refused: lockstep.OtherGroup})
	is.Equal(len(s.peers), 2)
	is.True(s.peers["d"] == nil)
	s.enrol(s.rosterOf(v, false))
	is.Equal(len(s.peers), 2) // d has told where it belongs
	is.Equal(s.roster.Group, groupG)
	is.Equal(len(s.roster.Members), 2)
}

// Guards against a rank that is never found, since the store does not know its group.
func TestMissingRankIsLookedForElsewhere(t *testing.T) {
	is := is.New(t)
	s := testSteward(t)
	v := viewOf(deployment.Target{ID: "a", Group: in("g")}, deployment.Target{ID: "b", Group: in("h")})
	now := time.Unix(1000, 0)
	s.strayAt = now
	s.follow(v, now)
	is.Equal(len(s.peers), 1)
	for range 2 { // it is not there yet
		now = now.Add(strayEvery)
		s.follow(v, now)
		is.Equal(len(s.peers), 2)
		s.rosters = rostersAtOnce
		ask := s.branchAsk(s.branches[0], []int{0}, false)
		is.Equal(s.branches[0].id(), "a")
		is.True(ask.Roster == nil) // the members are not told of one that is only asked
		s.locate("b", rankpeer.Response{Group: in("h"), Refused: lockstep.OtherGroup})
		s.follow(v, now.Add(time.Millisecond))
		is.Equal(len(s.peers), 1)
		is.Equal(len(s.roster.Members), 1)
	}
	now = now.Add(strayEvery)
	s.follow(v, now)
	s.locate("b", rankpeer.Response{Group: in("g")})
	s.follow(v, now.Add(time.Millisecond))
	is.Equal(len(s.peers), 2)
	is.Equal(len(s.roster.Members), 2)
}

// Guards against acting on what an agent knew in an earlier incarnation.
func TestMemberThatStartedAgain(t *testing.T) {
	is := is.New(t)
	s := testSteward(t)
	s.enrol(s.rosterOf(viewOf(deployment.Target{ID: "a", Group: in("g"), StartedAt: 100}), false))
	before := s.peers["a"]
	s.branches[0].told = true
	s.branches[0].link.told.Store(s.roster)
	s.enrol(s.rosterOf(viewOf(deployment.Target{ID: "a", Group: in("g"), StartedAt: 900}), false))
	is.True(s.peers["a"] != before)
	is.True(!s.branches[0].told)
	is.True(s.branches[0].link.roster() == nil)
}

// Guards against asking in an epoch that is over.
func TestStewardFollowsTheEpoch(t *testing.T) {
	is := is.New(t)
	s := testSteward(t)
	s.enrol(s.rosterOf(viewOf(deployment.Target{ID: "a", Group: in("g")}), false))
	s.locate("a", rankpeer.Response{Group: engine.GroupID{Name: "g", Epoch: 4}, Refused: lockstep.OlderEpoch})
	is.Equal(s.word().Group.Epoch, int64(4))
	s.locate("a", rankpeer.Response{Group: engine.GroupID{Name: "g", Epoch: 3}})
	is.Equal(s.word().Group.Epoch, int64(4))
}

// Guards against orders for a group that the steward is no part of.
func TestStewardWhoseRankHasLeft(t *testing.T) {
	for name, st := range map[string]engine.State{
		"another group": {Group: "h", Epoch: 1, Rank: 1},
		"another rank":  {Group: "g", Epoch: 1, Rank: 3},
		"another life":  {Group: "g", Epoch: 2, Rank: 1, Born: 900},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := testSteward(t)
			is.True(s.seated())
			s.sit(&engine.State{Group: "g", Epoch: 5, Rank: 1}, time.Now())
			is.True(s.seated()) // only the epoch is new
			s.sit(&st, time.Now())
			is.True(!s.seated())
		})
	}
}

// Guards against an agent that goes back to an older epoch by a reading that comes late.
func TestReadingsThatCross(t *testing.T) {
	is := is.New(t)
	a, _ := testAgent(t)
	asked := time.Now()
	a.sit(&engine.State{Group: "g", Epoch: 2, Rank: 1}, asked.Add(time.Millisecond))
	a.sit(&engine.State{Group: "g", Epoch: 1, Rank: 1}, asked)
	is.Equal(a.seat().Group.Epoch, int64(2))
}

// Guards against heeding another group's steward since its term is newer.
func TestAskOfAnotherGroup(t *testing.T) {
	is := is.New(t)
	a, _ := testAgent(t)
	seatAndHear(a, 24)
	tell := a.answer(rankpeer.Request{Word: lockstep.Announcement{Group: in("h"), Term: 90, From: "side-7"}, Order: &engine.Order{Kind: engine.HoldPass, Epoch: 1}})
	is.Equal(tell.Refused, lockstep.OtherGroup)
	is.Equal(tell.Group, groupG)
	is.Equal(tell.Status, 0)
	is.Equal(a.highestTerm(), int64(24))
	a.setDigest(&rankpeer.Digest{Group: groupG})
	is.True(a.digest("h", 0) == nil)
	is.True(a.digest("g", 0) != nil)
}

// Guards against first maps made from the loads of another group.
func TestLoadsOfAnotherGroup(t *testing.T) {
	is := is.New(t)
	a, _ := testAgent(t)
	s := &steward{agent: a, group: in("h"), log: a.log}
	is.NoErr(s.saveLoads(t.Context(), &savedLoads{Group: in("h"), Layers: [][]uint16{{1}}}))
	is.True(a.recallLoads(t.Context(), engine.GroupID{Name: "h", Epoch: 9}) != nil) // of an earlier epoch
	is.NoErr(a.store.Set(t.Context(), rankpeer.Key(rankpeer.LoadsPrefix, "g"), nil))
	is.True(a.recallLoads(t.Context(), groupG) == nil)
}
