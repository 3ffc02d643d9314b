package main

import (
	"context"
	"errors"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/rankpeer"
)

const (
	// claimWait bounds a claim: the store answers in milliseconds, in half a
	// second when it is slow, or is away.
	claimWait = 1500 * time.Millisecond
	// claimPatience is how long a new steward waits for its claim before it
	// acts: a group that is held must not wait for the store.
	claimPatience = 120 * time.Millisecond
	// reclaimEvery is how often a steward that acts without the store tries to
	// get a term from it.
	reclaimEvery = 2 * time.Second
)

// claimed is what became of a claim. The zero value says that the store has not
// answered.
type claimed struct {
	// term is the revision of the write, so that a later steward always has a
	// higher one; 0 if the claim was not written.
	term int64
	// lost says that another agent was faster.
	lost bool
}

// claim tries to make this agent the steward of a group, in the background, unless
// it is needless by the time that the claim would be written. The channel gets one
// value.
func (a *agent) claim(ctx context.Context, group engine.GroupID, needless func() bool) <-chan claimed {
	done := make(chan claimed, 1)
	go func() { done <- a.writeClaim(ctx, group, needless) }()
	return done
}

// needed is for claims that are written whatever is heard meanwhile.
func needed() bool { return false }

// unheard reports whether a claim in the store is by a steward that this agent
// has not heard and has not seen before: it has claimed a moment ago and is about
// to speak. Taken over at once, it would be the steward before, and a hold of the
// silent one could not be given up any more; see package lockstep. Where all processes
// have started together nobody has heard anybody yet: the first by rank claims at once,
// whatever claim is left of before, and the others let it read the store first (six of
// them claimed within half a second where that took longer than a silence).
func (a *agent) unheard(revision int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	heard := a.listener.Latest().Term
	opens := a.opening && heard == 0
	fresh := revision > heard && revision != a.seenClaim && !opens
	a.seenClaim = revision
	return fresh
}

func (a *agent) writeClaim(ctx context.Context, group engine.GroupID, needless func() bool) claimed {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	key := rankpeer.Key(rankpeer.ClaimPrefix, group.Name)
	cond := kv.Condition{Key: key}
	it, err := a.store.Get(ctx, key)
	var status *kv.StatusError
	switch {
	case needless():
		// Another steward has spoken while the store was asked. If it were taken
		// over from, it would be the steward before, and a hold of the silent one
		// could not be given up any more; see package lockstep.
		a.log.Info("another steward is at work", "group", group.Name)
		return claimed{lost: true}
	case err == nil && a.unheard(it.Revision):
		a.log.Info("another steward has claimed", "group", group.Name, "revision", it.Revision)
		return claimed{lost: true}
	case err == nil:
		cond.Revision = it.Revision
	case errors.As(err, &status) && status.NotFound():
	default:
		a.log.Warn("store does not answer a claim", "error", err.Error())
		return claimed{}
	}
	term, err := a.store.Put(ctx, cond, rankpeer.Claim{Group: group.Name, Epoch: group.Epoch, Addr: a.addr().String()}.Bytes())
	if err == nil {
		a.log.Info("claimed", "group", group.Name, "epoch", group.Epoch, "term", term, "revision-before", cond.Revision)
		return claimed{term: term}
	}
	if errors.As(err, &status) && status.Conflict() {
		a.log.Info("another steward was faster", "group", group.Name)
		return claimed{lost: true}
	}
	a.log.Warn("claim not answered", "error", err.Error())
	return claimed{}
}

// duty is the right of an agent to act as the steward of a group.
//
// Without the store the agent acts with the next number after the highest that it
// has heard, and goes on claiming. Two agents that do so at once are safe, since
// the ranks take orders only from who has seen their last one; see package
// lockstep.
type duty struct {
	term int64
	// acting says that the term does not come from the store.
	acting bool
	// claiming is where the outcome of a claim under way will come, or nil.
	claiming <-chan claimed
	// claimedAt is when the last claim began.
	claimedAt time.Time
}

// takeOver claims a group and returns the duty. It reports false if another
// steward is at work.
func (a *agent) takeOver(ctx context.Context, group engine.GroupID) (duty, bool) {
	words := a.heardWords()
	spoken := func() bool { return a.heardWords() != words }
	d := duty{claiming: a.claim(ctx, group, spoken), claimedAt: time.Now()}
	wait := time.NewTimer(claimPatience)
	defer wait.Stop()
	select {
	case c := <-d.claiming:
		d.claiming, d.term = nil, c.term
		if c.lost {
			return d, false
		}
	case <-wait.C:
	}
	if d.term == 0 {
		if spoken() {
			// Another agent has begun to act meanwhile. Each one that follows
			// would have the group begin its change anew.
			a.log.Info("another steward acts", "group", group.Name)
			return d, false
		}
		d.term, d.acting = a.highestTerm()+1, true
	}
	return d, true
}

// renewDuty takes what became of a claim under way, and claims again while the
// store has not answered. It reports false if another steward was faster.
func (s *steward) renewDuty(ctx context.Context, now time.Time) bool {
	if !s.acting {
		return true
	}
	if s.claiming == nil {
		if now.Sub(s.claimedAt) >= reclaimEvery {
			s.claiming, s.claimedAt = s.claim(ctx, s.group, needed), now
		}
		return true
	}
	select {
	case c := <-s.claiming:
		s.claiming = nil
		if c.term > s.term {
			s.term, s.acting, s.core.Fence = c.term, false, c.term
			metricTerm.Set(c.term)
			s.log.Info("acts with a term of the store", "new-term", c.term)
		}
		return !c.lost
	default:
		return true
	}
}
