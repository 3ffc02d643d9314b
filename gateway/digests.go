package main

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/pause"
)

const (
	// digestEvery is how often a gateway asks a steward: about as often as the
	// steward looks.
	digestInterval = 200 * time.Millisecond
	// digestWait bounds one ask inside a region.
	digestTimeout = 150 * time.Millisecond
	// digestPause is the mean pause after a failure: a steward that is gone is
	// replaced in about a second.
	digestRetryDelay = 500 * time.Millisecond
	// lifeValid is how long after the last digest of a group those of an earlier epoch
	// or term are refused. A steward that was paused ends within a second of waking.
	digestVersionValid = 5 * time.Second
)

// digests learns how the ranks of all expert groups are loaded: from their stewards, or
// from the relays that have a steward's view where there are some.
type digests struct {
	// instance is the gateway's; event returns the newest change of the store that it has
	// seen, hint takes what others have, and whether they rely on this one.
	instance string
	event    func() int64
	hint     func(event int64, short bool)
	log      *slog.Logger
	use      func(*rankpeer.Digest, time.Time)

	mu sync.Mutex
	// stewards are where those of the groups listen.
	coordinators map[string]string
	// gaps are the longest pauses that callers of the groups are to see.
	gaps map[string]time.Duration
	// last are the epoch and the term of the newest digest of each group.
	last map[string]digestVersion
}

// life orders the digests of one group. It is of a time at, after which it counts for a
// while: a group may be built anew under its name, with epochs that begin again.
type digestVersion struct {
	epoch, term int64
	at          time.Time
}

func newDigests(instance string, log *slog.Logger, use func(*rankpeer.Digest, time.Time)) *digests {
	return &digests{instance: instance, event: func() int64 { return 0 }, hint: func(int64, bool) {}, gaps: map[string]time.Duration{}, log: log, use: use, coordinators: map[string]string{}, last: map[string]digestVersion{}}
}

// update takes a new view: where the stewards are.
func (d *digests) update(v *mirror.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gaps = gapsOf(v)
	for group, claim := range v.Stewards {
		before, known := d.coordinators[group]
		if before == claim.Addr {
			continue
		}
		d.coordinators[group] = claim.Addr
		addr := new(expvar.String)
		addr.Set(claim.Addr)
		metricCoordinators.Set(group, addr)
		if !known {
			go d.follow(context.Background(), group)
		}
	}
}

// gapsOf returns the longest pauses that callers of the groups are to see, for those whose
// targets say which group is theirs.
func gapsOf(v *mirror.View) map[string]time.Duration {
	gaps := map[string]time.Duration{}
	for id := range v.Targets {
		t := v.Targets[id]
		if _, known := gaps[t.Group.Name]; !known && t.Group.Name != "" {
			gaps[t.Group.Name] = v.ShortestGap(t.Service)
		}
	}
	return gaps
}

// gap returns the longest pause that callers of a group are to see, or 0 if it is not known.
func (d *digests) gap(group string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gaps[group]
}

// steward returns where the steward of a group listens.
func (d *digests) coordinator(group string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coordinators[group]
}

// source is whom a gateway asks for the digests of one group.
type source struct {
	client *rankpeer.Client
	addr   string
	// relays are the other agents that have the digest.
	relays []string
	// failures counts the asks in a row that brought nothing to use.
	failures int
}

const (
	// digestValid is how old the digest of a relay may be: several rounds of a steward.
	maxDigestAge = time.Second
	// relayTries is how many relays are asked before the steward is. While a steward is
	// silent and the next one is not heard yet, all relays have an old digest; if all
	// gateways went to the new steward then, its link would be full just when it looks
	// for its ranks.
	relayTries = 4
)

// next chooses whom to ask next: a relay, any one, as long as it answers; then other
// relays; the steward if there is none, or if they bring nothing.
func (s *source) next(ok bool, coordinator string) {
	s.failures++
	if ok {
		s.failures = 0
	}
	switch {
	case s.failures >= relayTries:
		s.relays = nil
		s.dial(coordinator)
	case len(s.relays) == 0:
		s.dial(coordinator)
	case !ok || !slices.Contains(s.relays, s.addr):
		s.dial(s.relays[rand.IntN(len(s.relays))])
	}
}

// dial makes another agent the one that is asked.
func (s *source) dial(addr string) {
	if addr == s.addr {
		return
	}
	if s.client != nil {
		s.client.Close()
	}
	s.client, s.addr = rankpeer.NewClient(addr), addr
}

// follow asks for the digests of one group until the context ends.
func (d *digests) follow(ctx context.Context, group string) {
	var from source
	from.dial(d.coordinator(group))
	defer func() { from.client.Close() }()
	var list rankpeer.Digest
	received := false
	for ctx.Err() == nil {
		resp, err := d.fetchDigest(ctx, from.client, group, list.List)
		now := time.Now()
		ok := err == nil && resp.Digest != nil && complete(resp.Digest, &list) && d.isCurrent(group, resp.Digest)
		if ok {
			from.relays = resp.Digest.Relays
			ok = resp.Digest.Age <= maxDigestAge || len(from.relays) == 0
		}
		if ok {
			d.hint(resp.Digest.Event, resp.ShortWatch)
			d.use(resp.Digest, now.Add(-resp.Digest.Age))
		}
		if ok != received {
			received = ok
			d.log.Info("digest", "group", group, "from", from.addr, "heard", ok)
		}
		from.next(ok, d.coordinator(group))
		next := digestInterval
		if !ok {
			next = digestRetryDelay/2 + rand.N(digestRetryDelay)
		}
		pause.For(ctx, next)
	}
}

// complete fills in the list of targets that the steward has left out, and keeps
// a new one. It reports false if the digest does not fit its list.
func complete(d, list *rankpeer.Digest) bool {
	if d.Targets == nil && d.List == list.List {
		d.Targets = list.Targets
	}
	list.List, list.Targets = d.List, d.Targets
	n := len(d.Targets)
	return len(d.Running) == n && len(d.Queued) == n && len(d.Pace) == n
}

// newest reports whether a digest is of the group that it was asked for, and not of an
// earlier epoch or steward than the newest one: a steward that was paused, or whose
// group was formed anew without it, still answers with what it knew.
func (d *digests) isCurrent(group string, got *rankpeer.Digest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, now := d.last[group], time.Now()
	older := got.Group.Epoch < last.epoch || got.Group.Epoch == last.epoch && got.Term < last.term
	if got.Group.Name != group || older && now.Sub(last.at) < digestVersionValid {
		d.log.Warn("digest not used", "group", group, "its-group", got.Group.Name, "epoch", got.Group.Epoch, "term", got.Term,
			"newest-epoch", last.epoch, "newest-term", last.term)
		return false
	}
	d.last[group] = digestVersion{got.Group.Epoch, got.Term, now}
	skew, pass := new(expvar.Float), new(expvar.Int)
	skew.Set(float64(got.Skew))
	pass.Set(got.Pass.Milliseconds())
	metricSkew.Set(group, skew)
	metricPass.Set(group, pass)
	return true
}

func (d *digests) fetchDigest(ctx context.Context, client *rankpeer.Client, group string, list uint64) (rankpeer.Response, error) {
	if err := client.Connect(ctx, digestTimeout); err != nil {
		return rankpeer.Response{}, err
	}
	ask := rankpeer.Request{Digest: true, List: list, Gateway: d.instance, Event: d.event(), Gap: d.gap(group), Word: lockstep.Announcement{Group: engine.GroupID{Name: group}}}
	return client.Do(ask, digestTimeout)
}
