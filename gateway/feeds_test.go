package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/rankpeer"
)

// Guards against a gateway that follows feeds of another zone, itself, or a list that is no longer
// reported, and against two groups that make it change its choice all the time.
func TestFeedsAreChosenFromTheFirstGroup(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	feeds := func(names ...string) []rankpeer.Feed {
		var list []rankpeer.Feed
		for _, name := range names {
			list = append(list, rankpeer.Feed{Gateway: name, Zone: name[:1], Addr: "addr of " + name})
		}
		return list
	}
	var addrs []string
	serving, choices := false, 0
	c := newFeedChooser("b2", "b", "own")
	c.set = func(f feedChoice) { addrs, serving, choices = f.addrs, f.serving, choices+1 }
	c.report("g1", feeds("a1", "b1", "b3"), now)
	is.Equal(addrs, []string{"addr of b1", "addr of b3"})
	is.True(!serving)
	c.report("g0", feeds("a1", "b1", "b2"), now)
	is.Equal(addrs, []string{"addr of b1"})
	is.True(serving)
	for range 5 {
		c.report("g1", feeds("a1", "b1", "b3"), now)
		c.report("g0", feeds("a1", "b1", "b2"), now)
	}
	is.Equal(choices, 2)
	c.report("g1", feeds("a1", "b1", "b3"), now.Add(feedListValid+time.Second))
	is.True(!serving)
	c.report("g1", nil, now.Add(feedListValid+time.Second))
	is.Equal(len(addrs), 0)
}

// Guards against a gateway that is relied on although it does not reach the store.
func TestGatewayWithoutStoreOffersNoFeed(t *testing.T) {
	is := is.New(t)
	c := newFeedChooser("b2", "b", "own")
	is.Equal(c.offer(), "own")
	c.age = func() time.Duration { return maxOfferAge + time.Millisecond }
	is.Equal(c.offer(), "")
}
