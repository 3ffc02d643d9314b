package main

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/netip"
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
	// digestInterval is how often a gateway polls a coordinator: about as often as the
	// coordinator polls its ranks.
	digestInterval = 200 * time.Millisecond
	// digestTimeout bounds one request inside a region.
	digestTimeout = 150 * time.Millisecond
	// digestRetryDelay is the mean delay after a failure: a failed coordinator is replaced
	// in about a second.
	digestRetryDelay = 500 * time.Millisecond
	// referralDelay is the delay before the agent is polled that another one has named.
	referralDelay = 20 * time.Millisecond
	// digestVersionValid is how long after the last digest of a group those of an earlier
	// epoch or term are rejected. A coordinator that was paused steps down within a second
	// after it resumes.
	digestVersionValid = 5 * time.Second
)

// digests polls the load of the ranks of all expert groups: from their coordinators, or from
// relays that have a coordinator's digest where there are some.
type digests struct {
	// instance is the name of the gateway. Event returns the newest revision of the store that
	// it has seen; hint receives the newest one that others have seen, and whether they rely
	// on this gateway.
	instance string
	event    func() int64
	hint     func(event int64, short bool)
	// feeds chooses the feeds of the store's changes.
	feeds *feedChooser
	// demand returns what this gateway has of requests for a group, to be reported to the others, or
	// nil.
	demand func(group string) *rankpeer.Classes
	log    *slog.Logger
	use    func(*rankpeer.Digest, time.Time)

	mu sync.Mutex
	// coordinators holds the addresses of the coordinators, by group.
	coordinators map[string]string
	// members holds the addresses of the agents of groups whose coordinators use relays.
	members map[string][]string
	// gaps holds the longest pauses in a stream that callers should see, by group.
	gaps map[string]time.Duration
	// last holds the version of the newest digest of each group.
	last map[string]digestVersion
}

// digestVersion orders the digests of one group. It applies for a limited time after at,
// since a group may be recreated under the same name, with epochs that start again.
type digestVersion struct {
	epoch, term int64
	at          time.Time
}

func newDigests(instance string, log *slog.Logger, use func(*rankpeer.Digest, time.Time)) *digests {
	return &digests{instance: instance, feeds: newFeedChooser(instance, "", ""), event: func() int64 { return 0 }, demand: func(string) *rankpeer.Classes { return nil }, hint: func(int64, bool) {}, gaps: map[string]time.Duration{}, log: log, use: use, coordinators: map[string]string{}, last: map[string]digestVersion{}}
}

// update applies the addresses of the coordinators in a new view of the store.
func (d *digests) update(v *mirror.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gaps, d.members = gapsOf(v), agentsOf(v)
	for group, claim := range v.Coordinators {
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

// agentsOf returns the addresses of the agents beside the targets of each group whose coordinator
// uses relays. All agents listen at the port of the coordinator.
func agentsOf(v *mirror.Snapshot) map[string][]string {
	agents := map[string][]string{}
	for id := range v.Targets {
		t := v.Targets[id]
		c, err := netip.ParseAddrPort(v.Coordinators[t.Group.Name].Addr)
		if err != nil {
			continue // The group has no coordinator.
		}
		agents[t.Group.Name] = append(agents[t.Group.Name], netip.AddrPortFrom(t.Addr.Addr(), c.Port()).String())
	}
	for group, addrs := range agents {
		if !rankpeer.UsesRelays(len(addrs)) {
			delete(agents, group)
		}
	}
	return agents
}

// start returns the agent to poll first for the digest of a group, given how many polls have failed
// since the last digest: any agent of a group with relays, which names the relay of its branch, and
// the coordinator now and then. If all gateways polled the coordinator they would saturate its link
// just when it contacts its ranks.
func (d *digests) start(group string, failures int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	agents := d.members[group]
	if len(agents) == 0 || failures > 0 && failures%relayTries == 0 {
		return d.coordinators[group]
	}
	return agents[rand.IntN(len(agents))]
}

// coordinator returns the address of the coordinator of a group.
func (d *digests) coordinator(group string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coordinators[group]
}

// gapsOf returns the longest pauses in a stream that callers should see, for the groups that
// the entries of their targets name.
func gapsOf(v *mirror.Snapshot) map[string]time.Duration {
	gaps := map[string]time.Duration{}
	for id := range v.Targets {
		t := v.Targets[id]
		if _, known := gaps[t.Group.Name]; !known && t.Group.Name != "" {
			gaps[t.Group.Name] = v.ShortestGap(t.Service)
		}
	}
	return gaps
}

// gap returns the longest pause that callers of a group should see, or 0 if it is not known.
func (d *digests) gap(group string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gaps[group]
}

// source is the agent that a gateway polls for the digests of one group.
type source struct {
	client *rankpeer.Client
	addr   string
	// relays holds the addresses of other agents that have the digest.
	relays []string
	// failures counts consecutive requests without a usable digest.
	failures int
}

const (
	// maxDigestAge is how old the digest of a relay may be: several polling rounds of a
	// coordinator.
	maxDigestAge = time.Second
	// relayTries is how many relays are polled before the coordinator is. While a coordinator
	// is silent and the next one has not reported yet, all relays have an old digest. If all
	// gateways then polled the new coordinator, they would saturate its link just when it
	// contacts its ranks.
	relayTries = 4
)

// next chooses the agent to poll next: a random relay, which is kept as long as it answers, or the
// coordinator if there is none; after a failure the agent that the last one has named, or another
// relay; start if there is no relay, or after relayTries failures.
func (s *source) next(ok bool, referral, coordinator string, start func(failures int) string) {
	s.failures++
	if ok {
		s.failures = 0
	}
	switch {
	case !ok && referral != "":
		s.dial(referral)
	case s.failures >= relayTries:
		s.relays = nil
		s.dial(start(s.failures))
	case len(s.relays) == 0 && ok:
		s.dial(coordinator)
	case len(s.relays) == 0:
		s.dial(start(s.failures))
	case !ok || !slices.Contains(s.relays, s.addr):
		s.dial(s.relays[rand.IntN(len(s.relays))])
	}
}

// dial switches to the agent at an address.
func (s *source) dial(addr string) {
	if addr == s.addr {
		return
	}
	if s.client != nil {
		s.client.Close()
	}
	s.client, s.addr = rankpeer.NewClient(addr), addr
}

// follow polls the digests of one group until the context ends.
func (d *digests) follow(ctx context.Context, group string) {
	var from source
	start := func(failures int) string { return d.start(group, failures) }
	from.dial(start(0))
	defer func() { from.client.Close() }()
	var list rankpeer.Digest
	received := false
	for ctx.Err() == nil {
		resp, err := d.fetchDigest(ctx, from.client, group, &list)
		now := time.Now()
		ok := err == nil && resp.Digest != nil && complete(resp.Digest, &list) && d.isCurrent(group, resp.Digest)
		if ok {
			from.relays = resp.Digest.Relays
			ok = resp.Digest.Age <= maxDigestAge || len(from.relays) == 0
		}
		if ok {
			d.feeds.report(group, resp.Digest.Feeds, now)
			d.hint(resp.Digest.Event, resp.ShortWatch)
			d.use(resp.Digest, now.Add(-resp.Digest.Age))
		}
		if ok != received {
			received = ok
			d.log.Info("digest", "group", group, "from", from.addr, "heard", ok)
		}
		from.next(ok, resp.Referral, d.coordinator(group), start)
		next := digestInterval
		switch {
		case !ok && resp.Referral != "":
			next = referralDelay
		case !ok:
			next = digestRetryDelay/2 + rand.N(digestRetryDelay)
		}
		pause.For(ctx, next)
	}
}

// complete fills in the lists of targets and feeds if the coordinator has omitted them, and stores
// new ones in list. It reports false if the digest does not match its list.
func complete(d, list *rankpeer.Digest) bool {
	if d.Targets == nil && d.List == list.List {
		d.Targets = list.Targets
	}
	if d.Feeds == nil && d.FeedList == list.FeedList {
		d.Feeds = list.Feeds
	}
	list.List, list.Targets, list.FeedList, list.Feeds = d.List, d.Targets, d.FeedList, d.Feeds
	n := len(d.Targets)
	return len(d.Running) == n && len(d.Queued) == n && len(d.Pace) == n
}

// isCurrent reports whether a digest is of the requested group, and not of an earlier epoch or
// term than the newest one: a coordinator that was paused, or whose group was formed again
// without it, still answers with its old state.
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

func (d *digests) fetchDigest(ctx context.Context, client *rankpeer.Client, group string, list *rankpeer.Digest) (rankpeer.Response, error) {
	if err := client.Connect(ctx, digestTimeout); err != nil {
		return rankpeer.Response{}, err
	}
	req := rankpeer.Request{
		Digest: true, List: list.List, Gateway: d.instance, Event: d.event(), Gap: d.gap(group), Word: lockstep.Announcement{Group: engine.GroupID{Name: group}},
		Zone: d.feeds.zone, Feed: d.feeds.offer(), FeedList: list.FeedList, Classes: d.demand(group),
	}
	return client.Do(req, digestTimeout)
}
