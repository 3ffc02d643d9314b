package main

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/boot"
	"verbenashift/core/plumbing/instance"
	"verbenashift/platform"
	"verbenashift/standin/fleet"
)

// testAgent returns an agent with a store of its own.
func testAgent(t *testing.T) (*agent, *fleet.Store) {
	store := fleet.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	boot := boot.Settings{
		Instance: "side-1", IP: netip.MustParseAddr("127.0.0.1"), PortFirst: 9310,
		Store: boot.Store{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())},
	}
	return newAgent(instance.Env{Boot: boot, Log: slog.New(slog.DiscardHandler)}), store
}

// groupG is the group of these tests.
var groupG = engine.GroupID{Name: "g", Epoch: 1}

// joinAndAccept makes the agent a member of groupG that has accepted a coordinator with a term.
func joinAndAccept(a *agent, term int64) {
	a.setMembership(&engine.State{Group: groupG.Name, Epoch: groupG.Epoch, Rank: 1}, time.Now())
	if term > 0 {
		a.acceptAnnouncement(rankpeer.Request{Word: lockstep.Announcement{Group: groupG, Term: term, From: "side-9"}})
	}
}

// outcome waits for the result of a claim under way.
func outcome(t *testing.T, s *coordinator) bool {
	t.Helper()
	for range 1000 {
		if ok := s.renewRole(t.Context(), s.claimedAt); !ok || s.claiming == nil {
			return ok
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the claim has not ended")
	return false
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 10_000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("not reached: " + what)
}

// Guards against a group that is held until the store answers again.
func TestCoordinatorActsBeforeTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	joinAndAccept(a, 24)
	store.SetUnresponsive(true)
	d, ok := a.takeOver(t.Context(), groupG)
	is.True(ok)
	is.True(d.provisional)
	is.Equal(d.term, int64(25))
	is.True(d.claiming != nil) // the claim goes on
	s := &coordinator{agent: a, group: groupG, role: d, core: lockstep.NewCoordinator(0, nil, 1), log: a.log}
	for range 40 { // the store has been written to before
		store.Put("servers/x", nil)
	}
	store.SetUnresponsive(false)
	is.True(outcome(t, s))
	is.True(!s.provisional)
	is.True(s.term > 25)
	is.Equal(s.core.Fence, s.term)
}

// Guards against a change that restarts with each agent that notices the silence.
func TestSecondAgentDoesNotFollow(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	joinAndAccept(a, 0)
	store.SetUnresponsive(true)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		time.Sleep(claimGrace / 4)
		a.acceptAnnouncement(rankpeer.Request{Word: lockstep.Announcement{Group: groupG, Term: 25, From: "side-0"}})
	}()
	_, ok := a.takeOver(t.Context(), groupG)
	<-announced
	is.True(!ok)
}

// Guards against taking over from a claim whose holder may have armed ranks.
func TestFreshClaimIsLeftAlone(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	for range 30 {
		store.Put("servers/x", nil)
	}
	joinAndAccept(a, 24)
	store.Put(rankpeer.ClaimPrefix+"g", []byte("127.0.0.9:9310")) // revision 31
	_, ok := a.takeOver(t.Context(), groupG)
	is.True(!ok)
	d, ok := a.takeOver(t.Context(), groupG)
	is.True(ok)
	is.True(d.term > 31)
}

// Guards against several coordinators at once after a start of all processes.
func TestAgentsThatStartTogetherLeaveTheFirstAlone(t *testing.T) {
	is := is.New(t)
	first, store := testAgent(t)
	for range 30 {
		store.Put("servers/x", nil)
	}
	store.Put(rankpeer.ClaimPrefix+"g", []byte("127.0.0.9:9310")) // an earlier claim
	joinAndAccept(first, 0)
	first.setFirstByRank(true)
	d, ok := first.takeOver(t.Context(), groupG)
	is.True(ok)
	next := &agent{boot: first.boot, log: first.log, store: first.store, groupState: newGroupState(lockstep.Follower{}, time.Now())}
	joinAndAccept(next, 0)
	_, ok = next.takeOver(t.Context(), groupG)
	is.True(!ok)
	// It stays silent: the next try takes over.
	d2, ok := next.takeOver(t.Context(), groupG)
	is.True(ok)
	is.True(d2.term > d.term)
}

// Guards against taking over from a coordinator whose announcement arrives during the read of the
// store.
func TestClaimIsDroppedAfterAnAnnouncement(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	for range 30 {
		store.Put("servers/x", nil)
	}
	key := rankpeer.ClaimPrefix + "g"
	store.Put(key, []byte("127.0.0.9:9310")) // revision 31
	joinAndAccept(a, 31)
	got := a.writeClaim(t.Context(), groupG, func() bool { return true })
	is.True(got.lost)
	it, err := a.store.Get(t.Context(), key)
	is.NoErr(err)
	is.Equal(it.Revision, int64(31))
	is.True(!a.writeClaim(t.Context(), groupG, neverSuperseded).lost)
}

// Guards against two coordinators that go on after the store has accepted the claim of one.
func TestProvisionalCoordinatorEndsWhenAnotherHasClaimed(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	key := rankpeer.ClaimPrefix + "g"
	store.Put(key, []byte("127.0.0.9:9310"))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	it, err := a.store.Get(ctx, key)
	is.NoErr(err)
	lost := make(chan claimResult, 1)
	store.Put(key, []byte("127.0.0.8:9310"))
	_, err = a.store.Put(ctx, kv.Condition{Key: key, Revision: it.Revision}, nil)
	is.True(err != nil) // the condition of the slower one fails
	lost <- claimResult{lost: true}
	s := &coordinator{agent: a, group: groupG, role: role{provisional: true, term: 3, claiming: lost}, core: lockstep.NewCoordinator(0, nil, 1), log: a.log}
	is.True(!s.renewRole(ctx, time.Now()))
}

// Guards against a group without a coordinator because the store, restored from an older copy, gives
// out a lower term than the ranks have accepted.
func TestTermsRiseAfterARestore(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	older := store.Copy()
	for range 30 {
		store.Put("servers/x", nil)
	}
	joinAndAccept(a, 30)
	store.Restore(older)
	d, ok := a.takeOver(t.Context(), groupG)
	is.True(ok)
	is.True(d.term > 30)
}

// Guards against an agent that waits for the former coordinator because its claim is in the store
// again.
func TestRestoredClaimIsNotFresh(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	for range 30 {
		store.Put("servers/x", nil)
	}
	store.Put(rankpeer.ClaimPrefix+"g", []byte("127.0.0.9:9310")) // revision 31
	older := store.Copy()
	joinAndAccept(a, 31)
	store.Restore(older)
	_, ok := a.takeOver(t.Context(), groupG)
	is.True(ok)
	is.True(!newerClaim(31, 40))
	is.True(newerClaim(41, 40))
}

// Guards against gateways that turn to an earlier coordinator because the store has lost the claim of
// the one at work.
func TestCoordinatorClaimsAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	store.Put("servers/x", []byte(`{"backend":"pool","addr":"127.0.0.1:80","zone":"z1","version":"v1","slots":4,"state":"ready","coldMs":0,"seq":1}`))
	older := store.Copy()
	d, ok := a.takeOver(t.Context(), groupG)
	is.True(ok)
	co := &coordinator{
		agent: a, group: groupG, role: d, core: lockstep.NewCoordinator(0, nil, 1), log: a.log,
		targets: mirror.NewTargetFollower(a.store, platform.Formats(), a.log),
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		co.targets.Run(ctx)
	}()
	defer func() {
		stop()
		<-ended
	}()
	eventually(t, "targets read", func() bool { return co.targets.Snapshot() != nil })
	is.True(co.renewRole(ctx, time.Now()))
	is.Equal(co.term, d.term)
	store.Restore(older)
	eventually(t, "restore noticed", co.claimLost)
	is.True(co.renewRole(ctx, time.Now()))
	is.True(outcome(t, co))
	is.True(co.term > d.term)
	is.Equal(co.core.Fence, co.term)
	it, err := a.store.Get(ctx, rankpeer.ClaimPrefix+"g")
	is.NoErr(err)
	is.Equal(it.Revision, co.term)
}

// Guards against gateways that are not told of changes which only the coordinator's own watch has seen.
func TestCoordinatorReportsItsNewestChange(t *testing.T) {
	is := is.New(t)
	a, store := testAgent(t)
	store.Put("servers/x", []byte(`{"backend":"pool","addr":"127.0.0.1:80","zone":"z1","version":"v1","slots":4,"state":"ready","coldMs":0,"seq":1}`))
	co := &coordinator{
		agent: a, group: groupG, core: lockstep.NewCoordinator(0, nil, 1), log: a.log,
		targets: mirror.NewTargetFollower(a.store, platform.Formats(), a.log),
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		co.targets.Run(ctx)
	}()
	for co.targets.LastEventRevision() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(co.buildDigest(nil).Event, co.targets.LastEventRevision())
	stop()
	<-ended
}
