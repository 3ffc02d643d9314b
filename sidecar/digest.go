package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"verbenashift/core/experts/rankpeer"
)

// Gateways route requests by the coordinator's digest of its group. In a large group they
// request it from relays, which leaves the coordinator's link to its ranks.

// digest returns the digest of a group for a gateway, or nil if this agent is not its
// coordinator and has no recent digest of it. The targets are left out if the gateway has the
// list.
func (a *agent) digest(group string, list, feedList uint64) *rankpeer.Digest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.groupDigest == nil || a.groupDigest.Group.Name != group {
		return nil
	}
	d := *a.groupDigest
	d.Age = time.Since(a.digestAt)
	if d.Age > digestMaxAge && !a.coordinating {
		return nil
	}
	if d.List == list {
		d.Targets = nil
	}
	if d.FeedList == feedList {
		d.Feeds = nil
	}
	return &d
}

// digestMaxAge is how old a coordinator's digest may be that a relay still returns. Gateways
// judge its age for themselves; an agent with an older one is no relay any more.
const digestMaxAge = 5 * time.Second

// setDigest sets the digest of this agent as the coordinator; nil removes it.
func (a *agent) setDigest(d *rankpeer.Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.groupDigest, a.digestAt, a.coordinating = d, time.Now(), d != nil
}

// storeDigest stores a coordinator's digest for gateways, and returns the numbers of the lists of
// targets and of feeds that this agent has then, or 0 for a list that it lacks.
func (a *agent) storeDigest(d *rankpeer.Digest) (list, feedList uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := *d
	if v.Targets == nil {
		if a.groupDigest == nil || a.groupDigest.List != v.List {
			return 0, 0
		}
		v.Targets = a.groupDigest.Targets
	}
	if v.Feeds == nil && v.FeedList != 0 {
		if a.groupDigest != nil && a.groupDigest.FeedList == v.FeedList {
			v.Feeds = a.groupDigest.Feeds
		} else {
			v.FeedList = 0
		}
	}
	a.groupDigest, a.digestAt = &v, time.Now().Add(-d.Age)
	return v.List, v.FeedList
}

// shortWatchers is how many gateways are relied on to see changes of the store soon: with three,
// one may die and the store may reject another one.
const shortWatchers = 3

// answerDigest answers a gateway's request for a digest, and records what it reports of the
// store.
func (a *agent) answerDigest(req *rankpeer.Request, now time.Time) rankpeer.Response {
	a.gateways.record(req, now)
	resp := rankpeer.Response{Group: a.membership().Group, Term: a.highestTerm(), Digest: a.digest(req.Word.Group.Name, req.List, req.FeedList)}
	if resp.Digest == nil {
		resp.Referral = a.referral(now)
	}
	if d := resp.Digest; d != nil {
		d.Event = max(d.Event, a.gateways.newestEvent(now))
		resp.ShortWatch = a.gateways.amongFirst(req.Gateway, a.shortWatcherCount(d), now)
	}
	return resp
}

// referralValid is how long after its last query a relay is named to gateways.
const referralValid = 3 * relayNameInterval

// recordRelay records the address of the relay that queries this agent.
func (a *agent) recordRelay(addr string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relayAddr, a.relayedAt = addr, now
}

// referral returns the address of the relay that has queried this agent lately, or "".
func (a *agent) referral(now time.Time) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.relayedAt) > referralValid {
		return ""
	}
	return a.relayAddr
}

// shortWatcherCount returns how many of the gateways that poll this agent keep short watches:
// all shortWatchers where the coordinator answers itself, one at each of the first relays.
func (a *agent) shortWatcherCount(d *rankpeer.Digest) int {
	if len(d.Relays) == 0 {
		return shortWatchers
	}
	if at := slices.Index(d.Relays, a.addr().String()); at >= 0 && at < shortWatchers {
		return 1
	}
	return 0
}

// digestInterval is how often the coordinator's digest is sent to relays: as often as gateways
// request it.
const digestInterval = 150 * time.Millisecond

// digestWait is how long a relay may take to accept a digest.
var digestWait = 200 * time.Millisecond

// sendDigests sends the digest to the relays, from which gateways request it: answering each of
// many gateways itself would take a large part of the coordinator's link.
func (co *coordinator) sendDigests(ctx context.Context, now time.Time) {
	d := co.digest(co.group.Name, 0, 0)
	if d == nil || len(d.Relays) == 0 || now.Sub(co.digestsSentAt) < digestInterval {
		return
	}
	co.digestsSentAt = now
	var wg sync.WaitGroup
	for _, b := range co.branches {
		if b.single() || !b.listKnown || b.members[b.relay].Addr == co.boot.Target {
			continue // A new relay still has to connect to its members.
		}
		v := *d
		if b.digestList == v.List {
			v.Targets = nil
		}
		if b.feedList == v.FeedList {
			v.Feeds = nil
		}
		req := rankpeer.Request{Word: co.announcement(), Held: co.holding, View: &v}
		wg.Go(func() {
			resp, err := b.link.query(ctx, req, digestWait)
			b.digestList, b.feedList = 0, 0
			if err == nil {
				b.digestList, b.feedList = resp.List, resp.FeedList
			}
		})
	}
	wg.Wait()
}
