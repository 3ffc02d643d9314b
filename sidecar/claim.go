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
	// claimWait bounds a claim: the store answers in milliseconds, in half a second when it is
	// slow, or not at all.
	claimWait = 1500 * time.Millisecond
	// claimGrace is how long a new coordinator waits for its claim before it acts: a group that
	// is held must not wait for the store.
	claimGrace = 120 * time.Millisecond
	// reclaimInterval is how often a coordinator that acts without the store tries to get a term
	// from it.
	reclaimInterval = 2 * time.Second
)

// claimResult is the result of a claim. The zero value says that the store has not answered.
type claimResult struct {
	// term is the revision of the write, so that a later coordinator always has a
	// higher one; 0 if the claim was not written.
	term int64
	// lost says that another agent was faster.
	lost bool
}

// claim tries to make this agent the coordinator of a group, in the background, unless it is
// superseded by the time that the claim would be written. The channel gets one value.
func (a *agent) claim(ctx context.Context, group engine.GroupID, superseded func() bool) <-chan claimResult {
	done := make(chan claimResult, 1)
	go func() { done <- a.writeClaim(ctx, group, superseded) }()
	return done
}

// neverSuperseded is for claims that are written whatever is received meanwhile.
func neverSuperseded() bool { return false }

// claimedByUnknown reports whether a claim in the store is by a coordinator from which this
// agent has received nothing, and is read for the first time: that one has claimed a moment ago
// and is about to send its announcement. If this agent took over at once, that coordinator would
// be its predecessor, and a hold left by the silent one could not be abandoned any more; see
// package lockstep. Where all processes have started together none has received an announcement
// yet: the first by rank claims at once, whatever earlier claim is stored, and the others let it
// read the store first (six of them claimed within half a second where that took longer than a
// silence).
func (a *agent) claimedByUnknown(revision int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	latest := a.follower.Latest().Term
	first := a.firstByRank && latest == 0
	fresh := newerClaim(revision, latest) && revision != a.lastClaimRevision && !first
	a.lastClaimRevision = revision
	return fresh
}

// newerClaim reports whether a stored claim was written after the one that gave a term. In a store that
// has come back from an older copy, it may be one from before.
func newerClaim(revision, term int64) bool {
	if term > 0 && kv.Era(revision) > kv.Era(term) {
		return kv.Counter(revision) > kv.Counter(term)
	}
	return revision > term
}

func (a *agent) writeClaim(ctx context.Context, group engine.GroupID, superseded func() bool) claimResult {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	key := rankpeer.Key(rankpeer.ClaimPrefix, group.Name)
	cond := kv.Condition{Key: key}
	it, err := a.store.Get(ctx, key)
	var status *kv.StatusError
	switch {
	case superseded():
		// Another coordinator has sent its announcement during the read of the
		// store. If this agent took over from it, that one would be its predecessor,
		// and a hold left by the silent one could not be abandoned any more; see
		// package lockstep.
		a.log.Info("another steward is at work", "group", group.Name)
		return claimResult{lost: true}
	case err == nil && a.claimedByUnknown(it.Revision):
		a.log.Info("another steward has claimed", "group", group.Name, "revision", it.Revision)
		return claimResult{lost: true}
	case err == nil:
		cond.Revision = it.Revision
	case errors.As(err, &status) && status.NotFound():
	default:
		a.log.Warn("failed to read claim from the store", "error", err.Error())
		return claimResult{}
	}
	term, err := a.store.Put(ctx, cond, rankpeer.Claim{Group: group.Name, Epoch: group.Epoch, Addr: a.addr().String()}.Bytes())
	if err == nil {
		a.log.Info("claimed", "group", group.Name, "epoch", group.Epoch, "term", term, "revision-before", cond.Revision)
		return claimResult{term: term}
	}
	if errors.As(err, &status) && status.Conflict() {
		a.log.Info("another steward was faster", "group", group.Name)
		return claimResult{lost: true}
	}
	a.log.Warn("failed to write claim to the store", "error", err.Error())
	return claimResult{}
}

// role is the right of an agent to act as the coordinator of a group.
//
// Without the store the agent acts with the term after the highest that it has received, and
// goes on claiming. Two agents that do so at once are safe, since the ranks accept orders only
// from an agent that has seen their last one; see package lockstep.
type role struct {
	term int64
	// provisional says that the term does not come from the store.
	provisional bool
	// claiming receives the result of a claim under way; nil if there is none.
	claiming <-chan claimResult
	// claimedAt is when the last claim began.
	claimedAt time.Time
}

// takeOver claims a group and returns the role. It reports false if another coordinator is at
// work.
func (a *agent) takeOver(ctx context.Context, group engine.GroupID) (role, bool) {
	announcements := a.announcementCount()
	announced := func() bool { return a.announcementCount() != announcements }
	d := role{claiming: a.claim(ctx, group, announced), claimedAt: time.Now()}
	wait := time.NewTimer(claimGrace)
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
		if announced() {
			// Another agent has begun to act meanwhile. Each further takeover
			// would restart the group's change.
			a.log.Info("another steward acts", "group", group.Name)
			return d, false
		}
		d.term, d.provisional = a.highestTerm()+1, true
	}
	return d, true
}

// renewRole applies the result of a claim under way, and claims again while the store has not
// answered, or if it may have lost the claim. It reports false if another coordinator was faster.
func (co *coordinator) renewRole(ctx context.Context, now time.Time) bool {
	if co.claimLost() {
		co.log.Warn("store may have lost the claim; claiming again", "term", co.term)
		co.provisional, co.claimedAt = true, time.Time{}
	}
	if !co.provisional {
		return true
	}
	if co.claiming == nil {
		if now.Sub(co.claimedAt) >= reclaimInterval {
			co.claiming, co.claimedAt = co.claim(ctx, co.group, neverSuperseded), now
		}
		return true
	}
	select {
	case c := <-co.claiming:
		co.claiming = nil
		if c.term > co.term {
			co.term, co.provisional, co.core.Fence = c.term, false, c.term
			metricTerm.Set(c.term)
			co.log.Info("acts with a term of the store", "new-term", c.term)
		}
		return !c.lost
	default:
		return true
	}
}

// claimLost reports whether the store has come back from an older copy since the claim.
func (co *coordinator) claimLost() bool {
	if co.provisional || co.targets == nil {
		return false
	}
	v := co.targets.Snapshot()
	return v != nil && kv.Era(v.Revision) > kv.Era(co.term)
}
