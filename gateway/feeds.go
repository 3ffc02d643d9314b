package main

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"

	"verbenashift/core/configuration/changefeed"
	"verbenashift/core/configuration/mirror"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/instance"
)

const (
	// feedListValid is how long the list of feeds of a group counts after its last digest.
	feedListValid = 3 * time.Second
	// maxOfferAge is how recently the store must have confirmed the state of a gateway that
	// offers to watch it for others.
	maxOfferAge = 4 * time.Second
)

// feedChooser decides from the digests of all groups which feeds this gateway follows, and whether
// it is one itself. All groups choose from the same gateways; the list of the first group by name
// counts. It is safe for concurrent use.
type feedChooser struct {
	instance, zone string
	// addr is the address at which this gateway serves its feed, or empty.
	addr string
	// age returns how long ago the store has confirmed this gateway's state.
	age func() time.Duration
	// set applies the choice.
	set func(choice feedChoice)

	mu     sync.Mutex
	groups map[string]feedList
	last   feedChoice
}

// feedChoice holds the feeds that a gateway follows, whether it is one itself, and whether it is the
// first of all.
type feedChoice struct {
	addrs          []string
	serving, first bool
}

func (c feedChoice) equal(d feedChoice) bool {
	return c.serving == d.serving && c.first == d.first && slices.Equal(c.addrs, d.addrs)
}

// feedList is the list of feeds of a group.
type feedList struct {
	feeds []rankpeer.Feed
	at    time.Time
}

func newFeedChooser(instance, zone, addr string) *feedChooser {
	return &feedChooser{
		instance: instance, zone: zone, addr: addr, age: func() time.Duration { return 0 },
		set: func(feedChoice) {}, groups: map[string]feedList{},
	}
}

// offer returns the address at which this gateway can serve its feed, or empty if it serves none or
// does not reach the store.
func (f *feedChooser) offer() string {
	if f.age() > maxOfferAge {
		return ""
	}
	return f.addr
}

// report records the feeds that a digest of a group names.
func (f *feedChooser) report(group string, feeds []rankpeer.Feed, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groups[group] = feedList{feeds, now}
	if c := f.choose(now); !c.equal(f.last) {
		f.last = c
		f.set(c)
	}
}

// choose returns the feeds of this gateway's zone, and whether it is one of them.
func (f *feedChooser) choose(now time.Time) feedChoice {
	var c feedChoice
	for _, group := range slices.Sorted(maps.Keys(f.groups)) {
		l := f.groups[group]
		if now.Sub(l.at) > feedListValid {
			delete(f.groups, group)
			continue
		}
		for i, feed := range l.feeds {
			switch {
			case feed.Zone != f.zone:
			case feed.Gateway == f.instance:
				c.serving, c.first = true, i == 0
			default:
				c.addrs = append(c.addrs, feed.Addr)
			}
		}
		return c
	}
	return c
}

// serveFeed serves this gateway's feed on the first port that instances may use between themselves.
func serveFeed(lc fx.Lifecycle, env instance.Env, f *mirror.Follower, g *gateway) {
	addr := netip.AddrPortFrom(env.Boot.IP, env.Boot.PortFirst).String()
	chooser := newFeedChooser(env.Boot.Instance, env.Boot.Zone, addr)
	chooser.age = f.Age
	chooser.set = func(c feedChoice) {
		env.Log.Info("feeds chosen", "feeds", c.addrs, "serving", c.serving, "first", c.first)
		f.SetFeeds(c.addrs, c.serving, c.first)
	}
	g.digests.feeds = chooser
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		go serveFollowers(l, f.Feed(), env.Log)
		return nil
	}})
}

// serveFollowers serves a feed until the process ends.
func serveFollowers(l net.Listener, f *changefeed.Feed, log *slog.Logger) {
	log.Error("feed not served any more", "error", changefeed.Serve(l, f).Error())
}
