package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"verbenashift/core/experts/rankpeer"
)

// The steward's view of its group is for gateways, which place requests by it. Those of a
// large group ask relays, so that the steward's link is left to its ranks.

// digest returns what a gateway may know of a group, or nil if this agent is neither its
// steward nor has a view that is worth telling. The targets are left out if the gateway
// has the list.
func (a *agent) digest(group string, list uint64) *rankpeer.Digest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.view == nil || a.view.Group.Name != group {
		return nil
	}
	d := *a.view
	d.Age = time.Since(a.viewAt)
	if d.Age > viewValid && !a.steers {
		return nil
	}
	if d.List == list {
		d.Targets = nil
	}
	return &d
}

// viewValid is how old the view of a steward may be that a relay still tells. Gateways
// judge its age for themselves; an older one is of an agent that is no relay any more.
const viewValid = 5 * time.Second

// setDigest sets the view of this agent as the steward; nil ends that.
func (a *agent) setDigest(d *rankpeer.Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view, a.viewAt, a.steers = d, time.Now(), d != nil
}

// takeView takes a steward's view for gateways, and returns the number of the list of
// targets that it has then.
func (a *agent) takeView(d *rankpeer.Digest) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := *d
	if v.Targets == nil {
		if a.view == nil || a.view.List != v.List {
			return 0
		}
		v.Targets = a.view.Targets
	}
	a.view, a.viewAt = &v, time.Now().Add(-d.Age)
	return v.List
}

// shortWatchers is how many gateways are relied on to see changes of the store soon: with
// three, one may die and the store may turn another one away.
const shortWatchers = 3

// tellDigest answers a gateway, and takes what it says of the store.
func (a *agent) tellDigest(ask *rankpeer.Request, now time.Time) rankpeer.Response {
	a.askers.ask(ask, now)
	tell := rankpeer.Response{Group: a.seat().Group, Term: a.highestTerm(), Digest: a.digest(ask.Word.Group.Name, ask.List)}
	if d := tell.Digest; d != nil {
		d.Event = max(d.Event, a.askers.newest(now))
		tell.ShortWatch = a.askers.first(ask.Gateway, a.shortWatchersHere(d), now)
	}
	return tell
}

// shortWatchersHere returns how many of the gateways that ask this agent keep short watches: all of them
// where the steward answers itself, one at each of the first relays.
func (a *agent) shortWatchersHere(d *rankpeer.Digest) int {
	if len(d.Relays) == 0 {
		return shortWatchers
	}
	if at := slices.Index(d.Relays, a.addr().String()); at >= 0 && at < shortWatchers {
		return 1
	}
	return 0
}

// viewEvery is how often relays are given the steward's view: as often as gateways
// ask for it.
const viewEvery = 150 * time.Millisecond

// viewWait is how long a relay may take to take a view.
var viewWait = 200 * time.Millisecond

// tellViews gives the relays the view that gateways ask them for: to tell each of many
// gateways itself would take a large part of the steward's link.
func (s *steward) tellViews(ctx context.Context, now time.Time) {
	d := s.digest(s.group.Name, 0)
	if d == nil || len(d.Relays) == 0 || now.Sub(s.viewsAt) < viewEvery {
		return
	}
	s.viewsAt = now
	var wg sync.WaitGroup
	for _, b := range s.branches {
		if b.single() || !b.told || b.members[b.relay].Addr == s.boot.Target {
			continue // One that has not answered yet has more to do.
		}
		v := *d
		if b.views == v.List {
			v.Targets = nil
		}
		ask := rankpeer.Request{Word: s.word(), Held: s.holding, View: &v}
		wg.Go(func() {
			tell, err := b.link.ask(ctx, ask, viewWait)
			b.views = 0
			if err == nil {
				b.views = tell.List
			}
		})
	}
	wg.Wait()
}
