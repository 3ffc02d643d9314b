package main

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/boot"
	"verbenashift/core/plumbing/instance"
	"verbenashift/core/plumbing/pause"
	"verbenashift/platform"
)

// agent runs next to one rank. It passes the coordinator's orders to its rank and, when it
// receives none from any coordinator, becomes the coordinator itself.
type agent struct {
	boot  boot.Settings
	log   *slog.Logger
	rank  *platform.RankClient
	store *platform.Store
	// plan is false if expert maps are not to be rebalanced.
	plan bool

	relay    relay
	gateways gateways

	mu sync.Mutex
	// groupState is reset when the rank joins another group or its server restarts.
	groupState
	// membershipAt is when the read of the rank began that last reported its membership.
	membershipAt time.Time
}

// groupState is what an agent knows of its rank's group.
type groupState struct {
	follower  lockstep.Follower
	candidate *lockstep.Candidate
	// takeoverTurn is the agent's position in the order of takeovers, plus 1, as the last
	// coordinator reported it; 0 if none has.
	takeoverTurn int
	// firstByRank says that the agent leads because its rank is 0, without having waited for a
	// coordinator.
	firstByRank bool
	// lastClaimRevision is the revision of the last claim that was read from the store.
	lastClaimRevision int64
	// announcements counts the coordinators' announcements that were accepted.
	announcements int
	// maps are the most recent maps that were prepared here.
	maps *mapStore
	// counts are the last ones that were read, in the epoch countsEpoch.
	counts      []int64
	countsEpoch int64
	// relayAddr is the address of the relay of its branch, as named at relayedAt.
	relayAddr string
	relayedAt time.Time
	// groupDigest is the last digest of the group, as of digestAt: this agent's own while it
	// is the coordinator, or the one that the coordinator has sent to it as a relay.
	groupDigest  *rankpeer.Digest
	digestAt     time.Time
	coordinating bool
	// roster is the last one received from a coordinator; nil before.
	roster *rankpeer.Roster
	// toSave are loads to be written to the store while this agent is the coordinator.
	toSave *savedLoads
}

func newAgent(env instance.Env) *agent {
	return &agent{
		boot: env.Boot, log: env.Log, plan: !env.NoPlan,
		rank:       platform.NewRankClient(env.Boot.Target),
		store:      platform.NewStore(env.Boot.Store.Addr),
		groupState: newGroupState(lockstep.Follower{}, time.Now()),
	}
}

// newGroupState returns the state at the start of a membership: nothing else is known.
func newGroupState(l lockstep.Follower, now time.Time) groupState {
	return groupState{follower: l, candidate: lockstep.NewCandidate(now), maps: &mapStore{}}
}

// addr returns the address on which the agent listens.
func (a *agent) addr() netip.AddrPort { return netip.AddrPortFrom(a.boot.IP, a.boot.PortFirst) }

// setMembership records the membership that the rank reported to a read begun at the given time.
// A new membership, or a restart of the rank's server, resets everything known of the group.
// Responses may overtake each other: one to an earlier read is ignored.
func (a *agent) setMembership(st *engine.State, readAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if st.Group == "" || readAt.Before(a.membershipAt) {
		return
	}
	a.membershipAt = readAt
	before := a.follower.Membership()
	if !a.follower.SetMembership(lockstep.MembershipOf(st)) {
		return
	}
	a.groupState = newGroupState(a.follower, time.Now())
	a.log.Info("rank", "group", st.Group, "rank", st.Rank, "size", st.Size, "epoch", st.Epoch, "born", st.Born,
		"group-before", before.Group.Name, "rank-before", before.Rank, "born-before", before.StartedAt)
}

// membership returns the rank's membership as last reported.
func (a *agent) membership() lockstep.Membership {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.Membership()
}

// membershipMaxAge is how old the reported membership of the rank may be when an order is passed
// on: a server takes longer than this to start, and a group longer to form.
const membershipMaxAge = 250 * time.Millisecond

// refreshMembership reads the rank if its membership is older than membershipMaxAge. It reports
// false if the rank did not answer.
func (a *agent) refreshMembership() bool {
	a.mu.Lock()
	fresh := time.Since(a.membershipAt) < membershipMaxAge
	a.mu.Unlock()
	if fresh {
		return true
	}
	if _, err := a.readRank(context.Background()); err != nil {
		a.log.Warn("rank not read", "error", err.Error())
		return false
	}
	return true
}

// acceptAnnouncement records the announcement of a coordinator, or returns why it is refused.
func (a *agent) acceptAnnouncement(req rankpeer.Request) lockstep.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.follower.Latest()
	if refusal := a.follower.Accept(req.Word); refusal != lockstep.Accepted {
		if refusal != lockstep.NewerCoordinator {
			membership := a.follower.Membership()
			a.log.Info("steward not heeded", "reason", string(refusal), "steward", req.Word.From, "term", req.Word.Term,
				"group", req.Word.Group.Name, "epoch", req.Word.Group.Epoch, "own-group", membership.Group.Name, "own-epoch", membership.Group.Epoch)
		}
		return refusal
	}
	if req.Word.From != before.From {
		a.log.Info("steward", "group", req.Word.Group.Name, "epoch", req.Word.Group.Epoch, "steward", req.Word.From, "term", req.Word.Term,
			"before", before.From, "term-before", before.Term)
	}
	a.candidate.Observe(time.Now(), req.Held)
	if req.Turn > 0 {
		a.takeoverTurn = req.Turn
	}
	a.announcements++
	if req.Roster != nil && req.Roster.Group.Name == req.Word.Group.Name {
		a.roster = req.Roster
	}
	return lockstep.Accepted
}

// lastRoster returns the last roster received, or nil.
func (a *agent) lastRoster() *rankpeer.Roster {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.roster
}

// announcementCount returns how many announcements of coordinators were accepted.
func (a *agent) announcementCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcements
}

// highestTerm returns the highest term received from a coordinator.
func (a *agent) highestTerm() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.Latest().Term
}

// predecessor returns the last coordinator that was accepted, or nil if there was none or it ran
// next to this agent's own rank.
func (a *agent) predecessor(self int) *lockstep.Predecessor {
	a.mu.Lock()
	defer a.mu.Unlock()
	latest := a.follower.Latest()
	if latest.From == "" || latest.Rank == self {
		return nil
	}
	return &lockstep.Predecessor{Rank: latest.Rank, Salt: latest.Salt}
}

// takeoverDue reports whether this agent should try to become the coordinator.
func (a *agent) takeoverDue(rank int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.takeoverTurn > 0 {
		rank = a.takeoverTurn - 1
	}
	if !a.candidate.Due(rank, now) {
		return false
	}
	a.candidate.Attempted(now)
	return true
}

const (
	// silenceCheckInterval is how often an agent checks whether the coordinator is silent.
	silenceCheckInterval = 100 * time.Millisecond
	// membershipPollInterval is how often it polls its rank for a group after the start.
	membershipPollInterval = 300 * time.Millisecond
)

// run waits for the coordinator to fall silent until the context ends, in each group that the
// rank belongs to in turn.
func (a *agent) run(ctx context.Context) {
	for {
		st, ok := a.awaitMembership(ctx)
		if !ok {
			return
		}
		if st.Rank == 0 {
			a.setFirstByRank(true)
			a.lead(ctx, st)
			a.setFirstByRank(false)
		}
		a.watch(ctx, st)
	}
}

// setFirstByRank records whether this agent leads because its rank is 0.
func (a *agent) setFirstByRank(firstByRank bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.firstByRank = firstByRank
}

// watch leads the group whenever its coordinator is silent, until the membership of the rank
// changes.
func (a *agent) watch(ctx context.Context, st engine.State) {
	for pause.For(ctx, silenceCheckInterval) {
		if !a.membership().Same(lockstep.MembershipOf(&st)) {
			return
		}
		if !a.takeoverDue(st.Rank) {
			continue
		}
		// The last coordinator may be silent because the group no longer exists.
		if now, err := a.readRank(ctx); err == nil {
			st.Epoch = now.Epoch
		}
		if a.membership().Same(lockstep.MembershipOf(&st)) {
			a.lead(ctx, st)
		}
	}
}

// awaitMembership waits until the rank reports the group that it belongs to.
func (a *agent) awaitMembership(ctx context.Context) (engine.State, bool) {
	for ctx.Err() == nil {
		st, err := a.readRank(ctx)
		if err == nil && st.Group != "" {
			return st, true
		}
		pause.For(ctx, membershipPollInterval)
	}
	return engine.State{}, false
}

// readRank reads the state of the rank and records its membership.
func (a *agent) readRank(ctx context.Context) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	readAt := time.Now()
	st, err := a.rank.State(ctx)
	if err == nil {
		a.setMembership(&st, readAt)
	}
	return st, err
}
