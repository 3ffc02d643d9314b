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

// testCoordinator returns a coordinator of groupG without running agents.
func testCoordinator(t *testing.T) *coordinator {
	a, _ := testAgent(t)
	joinAndAccept(a, 0)
	a.boot.Service = "pool"
	return &coordinator{
		agent: a, group: groupG, rankOf: 1, log: a.log, core: lockstep.NewCoordinator(1, nil, 1), responses: map[string]rankpeer.Response{},
		members: members{peers: map[string]*peer{}, otherGroups: map[string]engine.GroupID{}},
	}
}

func in(group string) engine.GroupID { return engine.GroupID{Name: group, Epoch: 1} }

// Guards against polling and counting the ranks of other groups.
func TestCoordinatorPollsItsGroup(t *testing.T) {
	is := is.New(t)
	s := testCoordinator(t)
	v := viewOf(
		deployment.Target{ID: "a", Group: in("g")}, deployment.Target{ID: "b", Group: in("h")},
		deployment.Target{ID: "c"}, deployment.Target{ID: "d"},
	)
	s.setRoster(s.buildRoster(v, false))
	is.Equal(len(s.peers), 3) // b is of another group; c and d don't say
	s.recordGroup("c", rankpeer.Response{Group: in("g")})
	s.recordGroup("d", rankpeer.Response{Group: in("h"), Refused: lockstep.OtherGroup})
	is.Equal(len(s.peers), 2)
	is.True(s.peers["d"] == nil)
	s.setRoster(s.buildRoster(v, false))
	is.Equal(len(s.peers), 2) // d has reported its group
	is.Equal(s.roster.Group, groupG)
	is.Equal(len(s.roster.Members), 2)
}

// Guards against a rank that is never found, since the store has another group for it.
func TestMissingRankIsLookedForElsewhere(t *testing.T) {
	is := is.New(t)
	s := testCoordinator(t)
	v := viewOf(deployment.Target{ID: "a", Group: in("g")}, deployment.Target{ID: "b", Group: in("h")})
	now := time.Unix(1000, 0)
	s.polledAllAt = now
	s.applyView(v, now)
	is.Equal(len(s.peers), 1)
	for range 2 { // it has not joined yet
		now = now.Add(pollAllInterval)
		s.applyView(v, now)
		is.Equal(len(s.peers), 2)
		s.rosters = rostersAtOnce
		req := s.branchRequest(s.branches[0], []int{0}, false)
		is.Equal(s.branches[0].id(), "a")
		is.True(req.Roster == nil) // a target that is only polled is not on the roster
		s.recordGroup("b", rankpeer.Response{Group: in("h"), Refused: lockstep.OtherGroup})
		s.applyView(v, now.Add(time.Millisecond))
		is.Equal(len(s.peers), 1)
		is.Equal(len(s.roster.Members), 1)
	}
	now = now.Add(pollAllInterval)
	s.applyView(v, now)
	s.recordGroup("b", rankpeer.Response{Group: in("g")})
	s.applyView(v, now.Add(time.Millisecond))
	is.Equal(len(s.peers), 2)
	is.Equal(len(s.roster.Members), 2)
}

// Guards against acting on what an agent knew in an earlier incarnation.
func TestRestartedMember(t *testing.T) {
	is := is.New(t)
	s := testCoordinator(t)
	s.setRoster(s.buildRoster(viewOf(deployment.Target{ID: "a", Group: in("g"), StartedAt: 100}), false))
	before := s.peers["a"]
	s.branches[0].listKnown = true
	s.branches[0].link.sentRoster.Store(s.roster)
	s.setRoster(s.buildRoster(viewOf(deployment.Target{ID: "a", Group: in("g"), StartedAt: 900}), false))
	is.True(s.peers["a"] != before)
	is.True(!s.branches[0].listKnown)
	is.True(s.branches[0].link.roster() == nil)
}

// Guards against requests in an epoch that is over.
func TestCoordinatorFollowsTheEpoch(t *testing.T) {
	is := is.New(t)
	s := testCoordinator(t)
	s.setRoster(s.buildRoster(viewOf(deployment.Target{ID: "a", Group: in("g")}), false))
	s.recordGroup("a", rankpeer.Response{Group: engine.GroupID{Name: "g", Epoch: 4}, Refused: lockstep.OlderEpoch})
	is.Equal(s.announcement().Group.Epoch, int64(4))
	s.recordGroup("a", rankpeer.Response{Group: engine.GroupID{Name: "g", Epoch: 3}})
	is.Equal(s.announcement().Group.Epoch, int64(4))
}

// Guards against orders for a group that the coordinator does not belong to.
func TestCoordinatorWhoseRankHasLeft(t *testing.T) {
	for name, st := range map[string]engine.State{
		"another group": {Group: "h", Epoch: 1, Rank: 1},
		"another rank":  {Group: "g", Epoch: 1, Rank: 3},
		"another life":  {Group: "g", Epoch: 2, Rank: 1, Born: 900},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := testCoordinator(t)
			is.True(s.stillMember())
			s.setMembership(&engine.State{Group: "g", Epoch: 5, Rank: 1}, time.Now())
			is.True(s.stillMember()) // only the epoch is new
			s.setMembership(&st, time.Now())
			is.True(!s.stillMember())
		})
	}
}

// Guards against an agent that returns to an older epoch after a response that arrives late.
func TestLateReadingIsIgnored(t *testing.T) {
	is := is.New(t)
	a, _ := testAgent(t)
	readAt := time.Now()
	a.setMembership(&engine.State{Group: "g", Epoch: 2, Rank: 1}, readAt.Add(time.Millisecond))
	a.setMembership(&engine.State{Group: "g", Epoch: 1, Rank: 1}, readAt)
	is.Equal(a.membership().Group.Epoch, int64(2))
}

// Guards against accepting another group's coordinator since its term is newer.
func TestRequestOfAnotherGroup(t *testing.T) {
	is := is.New(t)
	a, _ := testAgent(t)
	joinAndAccept(a, 24)
	resp := a.handleRequest(rankpeer.Request{Word: lockstep.Announcement{Group: in("h"), Term: 90, From: "side-7"}, Order: &engine.Order{Kind: engine.HoldPass, Epoch: 1}})
	is.Equal(resp.Refused, lockstep.OtherGroup)
	is.Equal(resp.Group, groupG)
	is.Equal(resp.Status, 0)
	is.Equal(a.highestTerm(), int64(24))
	a.setDigest(&rankpeer.Digest{Group: groupG})
	is.True(a.digest("h", 0, 0) == nil)
	is.True(a.digest("g", 0, 0) != nil)
}

// Guards against first maps made from the loads of another group.
func TestLoadsOfAnotherGroup(t *testing.T) {
	is := is.New(t)
	a, _ := testAgent(t)
	s := &coordinator{agent: a, group: in("h"), log: a.log}
	is.NoErr(s.saveLoads(t.Context(), &savedLoads{Group: in("h"), Layers: [][]uint16{{1}}}))
	saved, ok := a.readLoads(t.Context(), engine.GroupID{Name: "h", Epoch: 9})
	is.True(ok && saved != nil) // of an earlier epoch
	is.NoErr(a.store.Set(t.Context(), rankpeer.Key(rankpeer.LoadsPrefix, "g"), nil))
	saved, ok = a.readLoads(t.Context(), groupG)
	is.True(ok && saved == nil)
}
