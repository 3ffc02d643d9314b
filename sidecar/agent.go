package main

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"verbenashift/core/instance"
	"verbenashift/core/lockstep"
	"verbenashift/core/pause"
	"verbenashift/core/rankpeer"
	"verbenashift/platform"
)

// agent is the process beside one rank. It gives the steward's orders to its
// rank and, when no steward is heard, becomes the steward itself.
type agent struct {
	boot  platform.Boot
	log   *slog.Logger
	rank  *platform.RankClient
	store *platform.Store
	// plan is false when the maps are to stay as they are.
	plan bool

	mu sync.Mutex
	// heardTerm, from, fromRank and fromSalt are those of the newest steward heard.
	heardTerm int64
	from      string
	fromRank  int
	fromSalt  uint64
	candidate *lockstep.Candidate
	// seenClaim is the revision of the last claim that was seen in the store.
	seenClaim int64
	// words counts the words of stewards that were heard.
	words int
	// maps are those that were prepared here lately.
	maps mapStore
	// counts are the last ones that were read, in the epoch countsEpoch.
	counts      []int64
	countsEpoch int64
	// view is the last digest while this agent is the steward, taken at viewAt.
	view   *rankpeer.Digest
	viewAt time.Time
	// roster is the last that a steward has told; nil before.
	roster *rankpeer.Roster
	// toSave are loads that wait to be written while this agent is the steward.
	toSave *savedLoads
}

func newAgent(env instance.Env) *agent {
	return &agent{
		boot: env.Boot, log: env.Log, plan: !env.NoPlan,
		rank:      platform.NewRankClient(env.Boot.Target),
		store:     platform.NewStore(env.Boot.Store.Addr),
		candidate: lockstep.NewCandidate(time.Now()),
	}
}

// addr is where the agent listens.
func (a *agent) addr() netip.AddrPort { return netip.AddrPortFrom(a.boot.IP, a.boot.PortFirst) }

// hear records a word of a steward and reports whether it is the newest. Two
// stewards may have the same term only where both act without the store; the
// name decides then.
func (a *agent) hear(ask rankpeer.Ask) (int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ask.Term < a.heardTerm || ask.Term == a.heardTerm && ask.From < a.from {
		return a.heardTerm, false
	}
	if ask.From != a.from {
		a.log.Info("steward", "steward", ask.From, "term", ask.Term, "before", a.from, "term-before", a.heardTerm)
	}
	a.heardTerm, a.from, a.fromRank, a.fromSalt = ask.Term, ask.From, ask.Rank, ask.Salt
	a.candidate.Heard(time.Now(), ask.Held)
	a.words++
	if ask.Roster != nil {
		a.roster = ask.Roster
	}
	return a.heardTerm, true
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
	return a.heardTerm
}

// digest returns what a gateway may know of the group, or nil if this agent is
// not its steward. The targets are left out if the gateway has the list.
func (a *agent) digest(list uint64) *rankpeer.Digest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.view == nil {
		return nil
	}
	d := *a.view
	d.Age = time.Since(a.viewAt)
	if d.List == list {
		d.Targets = nil
	}
	return &d
}

func (a *agent) setDigest(d *rankpeer.Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view, a.viewAt = d, time.Now()
}

// stewardBefore returns the steward that was heard last, or nil if none was or
// it was beside this agent's own rank.
func (a *agent) stewardBefore(self int) *lockstep.Predecessor {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.from == "" || a.fromRank == self {
		return nil
	}
	return &lockstep.Predecessor{Rank: a.fromRank, Salt: a.fromSalt}
}

// due reports whether this agent should try to become the steward.
func (a *agent) due(rank int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.candidate.Due(rank, now) {
		return false
	}
	a.candidate.Tried(now)
	return true
}

const (
	// watchEvery is how often an agent looks whether it still hears a steward.
	watchEvery = 100 * time.Millisecond
	// firstLook is how often it asks its rank for its group after the start.
	firstLook = 300 * time.Millisecond
)

// run watches for the silence of the steward until the context ends.
func (a *agent) run(ctx context.Context) {
	st, ok := a.firstState(ctx)
	if !ok {
		return
	}
	if st.Rank == 0 {
		a.lead(ctx, st)
	}
	for pause.For(ctx, watchEvery) {
		if a.due(st.Rank) {
			a.lead(ctx, st)
		}
	}
}

// firstState waits until the rank says which group it belongs to.
func (a *agent) firstState(ctx context.Context) (platform.RankState, bool) {
	for ctx.Err() == nil {
		st, err := a.readRank(ctx)
		if err == nil && st.Group != "" {
			a.log.Info("rank", "group", st.Group, "rank", st.Rank, "size", st.Size, "epoch", st.Epoch)
			return st, true
		}
		pause.For(ctx, firstLook)
	}
	return platform.RankState{}, false
}

func (a *agent) readRank(ctx context.Context) (platform.RankState, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	return a.rank.State(ctx)
}
