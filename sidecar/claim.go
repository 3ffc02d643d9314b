package main

import (
	"context"
	"errors"
	"time"

	"verbenashift/core/rankpeer"
	"verbenashift/platform"
)

// claimWait bounds a claim: the store answers in milliseconds or is away.
const claimWait = 600 * time.Millisecond

// claim makes this agent the steward of a group. The term is the revision of
// the write, so that a later steward always has a higher one.
//
// While the store is away the agent acts with the next number after the highest
// that it has heard: a group that is held must not wait for the store. Two
// agents that do so at once are safe, since the ranks take orders only from who
// has seen their last one; see package lockstep.
func (a *agent) claim(ctx context.Context, group string) (term int64, acting, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	key := rankpeer.ClaimPrefix + group
	cond := platform.Condition{Key: key}
	it, err := a.store.Get(ctx, key)
	var status *platform.StatusError
	switch {
	case err == nil:
		cond.Revision = it.Revision
	case errors.As(err, &status) && status.NotFound():
	default:
		a.log.Warn("store does not answer a claim", "error", err.Error())
		return a.highestTerm() + 1, true, true
	}
	term, err = a.store.Put(ctx, cond, []byte(a.addr().String()))
	if err == nil {
		a.log.Info("claimed", "group", group, "term", term, "revision-before", cond.Revision)
		return term, false, true
	}
	if errors.As(err, &status) && status.Conflict() {
		a.log.Info("another steward was faster", "group", group)
		return 0, false, false
	}
	a.log.Warn("claim not answered", "error", err.Error())
	return a.highestTerm() + 1, true, true
}
