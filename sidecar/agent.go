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

// agent is the process beside one rank. It gives the steward's orders to its
// rank and, when no steward is heard, becomes the steward itself.
type agent struct {
	boot  boot.Settings
	log   *slog.Logger
	rank  *platform.RankClient
	store *platform.Store
	// plan is false when the maps are to stay as they are.
	plan bool

	relay  relay
	askers askers

	mu sync.Mutex
	// beliefs are void when the rank joins another group or its server starts anew.
	beliefs
	// satAt is when the rank was asked that has told its seat last.
	satAt time.Time
}

// beliefs are what an agent knows of its rank's group.
type beliefs struct {
	listener  lockstep.Follower
	candidate *lockstep.Candidate
	// turn is the agent's place among those who take over, plus 1, as the last steward
	// told it; 0 if none has.
	turn int
	// opening says that the agent leads because it is the first by rank, without having
	// waited for anybody.
	opening bool
	// seenClaim is the revision of the last claim that was seen in the store.
	seenClaim int64
	// words counts the words of stewards that were heard.
	words int
	// maps are those that were prepared here lately.
	maps *mapStore
	// counts are the last ones that were read, in the epoch countsEpoch.
	counts      []int64
	countsEpoch int64
	// view is the last digest of the group, taken at viewAt: this agent's own while it
	// steers, or the one that the steward has given to it as a relay.
	view   *rankpeer.Digest
	viewAt time.Time
	steers bool
	// roster is the last that a steward has told; nil before.
	roster *rankpeer.Roster
	// toSave are loads that wait to be written while this agent is the steward.
	toSave *savedLoads
}

func newAgent(env instance.Env) *agent {
	return &agent{
		boot: env.Boot, log: env.Log, plan: !env.NoPlan,
		rank:    platform.NewRankClient(env.Boot.Target),
		store:   platform.NewStore(env.Boot.Store.Addr),
		beliefs: newBeliefs(lockstep.Follower{}, time.Now()),
	}
}

// newBeliefs returns what is known at the start of a seat: nothing but the seat.
func newBeliefs(l lockstep.Follower, now time.Time) beliefs {
	return beliefs{listener: l, candidate: lockstep.NewCandidate(now), maps: &mapStore{}}
}

// addr is where the agent listens.
func (a *agent) addr() netip.AddrPort { return netip.AddrPortFrom(a.boot.IP, a.boot.PortFirst) }

// sit takes what the rank tells of its seat when it was asked at a time. In another
// seat, or in another life of its server, nothing holds of what was believed. Answers
// may overtake each other: one that was asked for earlier says nothing new.
func (a *agent) sit(st *engine.State, asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if st.Group == "" || asked.Before(a.satAt) {
		return
	}
	a.satAt = asked
	before := a.listener.Membership()
	if !a.listener.SetMembership(lockstep.MembershipOf(st)) {
		return
	}
	a.beliefs = newBeliefs(a.listener, time.Now())
	a.log.Info("rank", "group", st.Group, "rank", st.Rank, "size", st.Size, "epoch", st.Epoch, "born", st.Born,
		"group-before", before.Group.Name, "rank-before", before.Rank, "born-before", before.StartedAt)
}

// seat returns the rank's seat as it was last told.
func (a *agent) seat() lockstep.Membership {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listener.Membership()
}

// seatFresh is how old the word of the rank on its seat may be when an order is given:
// a server takes longer to start, and a group longer to form.
const seatFresh = 250 * time.Millisecond

// refreshSeat reads the rank if its seat is not known for sure. It reports false if the
// rank did not answer.
func (a *agent) refreshSeat() bool {
	a.mu.Lock()
	fresh := time.Since(a.satAt) < seatFresh
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

// hear records a word of a steward, or says why it is not heeded.
func (a *agent) hear(ask rankpeer.Request) lockstep.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.listener.Latest()
	if refusal := a.listener.Accept(ask.Word); refusal != lockstep.Accepted {
		if refusal != lockstep.NewerCoordinator {
			seat := a.listener.Membership()
			a.log.Info("steward not heeded", "reason", string(refusal), "steward", ask.Word.From, "term", ask.Word.Term,
				"group", ask.Word.Group.Name, "epoch", ask.Word.Group.Epoch, "own-group", seat.Group.Name, "own-epoch", seat.Group.Epoch)
		}
		return refusal
	}
	if ask.Word.From != before.From {
		a.log.Info("steward", "group", ask.Word.Group.Name, "epoch", ask.Word.Group.Epoch, "steward", ask.Word.From, "term", ask.Word.Term,
			"before", before.From, "term-before", before.Term)
	}
	a.candidate.Observe(time.Now(), ask.Held)
	if ask.Turn > 0 {
		a.turn = ask.Turn
	}
	a.words++
	if ask.Roster != nil && ask.Roster.Group.Name == ask.Word.Group.Name {
		a.roster = ask.Roster
	}
	return lockstep.Accepted
}

// lastRoster returns the last roster that was told, or nil.
func (a *agent) lastRoster() *rankpeer.Roster {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.roster
}

// heardWords returns how many words of stewards were heard.
func (a *agent) heardWords() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.words
}

// highestTerm returns the highest term that was heard.
func (a *agent) highestTerm() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listener.Latest().Term
}

// stewardBefore returns the steward that was heard last, or nil if none was or
// it was beside this agent's own rank.
func (a *agent) stewardBefore(self int) *lockstep.Predecessor {
	a.mu.Lock()
	defer a.mu.Unlock()
	heard := a.listener.Latest()
	if heard.From == "" || heard.Rank == self {
		return nil
	}
	return &lockstep.Predecessor{Rank: heard.Rank, Salt: heard.Salt}
}

// due reports whether this agent should try to become the steward.
func (a *agent) due(rank int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.turn > 0 {
		rank = a.turn - 1
	}
	if !a.candidate.Due(rank, now) {
		return false
	}
	a.candidate.Attempted(now)
	return true
}

const (
	// watchEvery is how often an agent looks whether it still hears a steward.
	watchEvery = 100 * time.Millisecond
	// firstLook is how often it asks its rank for its group after the start.
	firstLook = 300 * time.Millisecond
)

// run watches for the silence of the steward until the context ends, in each group
// that the rank belongs to in turn.
func (a *agent) run(ctx context.Context) {
	for {
		st, ok := a.awaitSeat(ctx)
		if !ok {
			return
		}
		if st.Rank == 0 {
			a.open(true)
			a.lead(ctx, st)
			a.open(false)
		}
		a.watch(ctx, st)
	}
}

// open records whether this agent leads as the first by rank.
func (a *agent) open(opening bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opening = opening
}

// watch leads the group whenever its steward is silent, until the rank has another
// seat.
func (a *agent) watch(ctx context.Context, st engine.State) {
	for pause.For(ctx, watchEvery) {
		if !a.seat().Same(lockstep.MembershipOf(&st)) {
			return
		}
		if !a.due(st.Rank) {
			continue
		}
		// The last steward may be silent because the group is no more.
		if now, err := a.readRank(ctx); err == nil {
			st.Epoch = now.Epoch
		}
		if a.seat().Same(lockstep.MembershipOf(&st)) {
			a.lead(ctx, st)
		}
	}
}

// awaitSeat waits until the rank says which group it belongs to.
func (a *agent) awaitSeat(ctx context.Context) (engine.State, bool) {
	for ctx.Err() == nil {
		st, err := a.readRank(ctx)
		if err == nil && st.Group != "" {
			return st, true
		}
		pause.For(ctx, firstLook)
	}
	return engine.State{}, false
}

// readRank reads the rank, and takes in where it sits.
func (a *agent) readRank(ctx context.Context) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	asked := time.Now()
	st, err := a.rank.State(ctx)
	if err == nil {
		a.sit(&st, asked)
	}
	return st, err
}
