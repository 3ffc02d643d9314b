package rankpeer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func candidates(perZone int, zones ...string) []Feed {
	var list []Feed
	for _, zone := range zones {
		for i := range perZone {
			list = append(list, Feed{fmt.Sprintf("front-%s-%02d", zone, i), zone, fmt.Sprintf("10.0.0.%d:7000", i)})
		}
	}
	return list
}

// Guards against coordinators that choose different feeds, and against a zone without one.
func TestFeedsAreTheFirstOfEachZone(t *testing.T) {
	is := is.New(t)
	list := candidates(10, "a", "b", "c")
	want := []string{"front-a-00", "front-a-01", "front-b-00", "front-b-01", "front-c-00", "front-c-01"}
	for range 3 {
		list = append(list[7:], list[:7]...)
		var names []string
		for _, f := range ChooseFeeds(append(list, list[0]), len(list)) {
			names = append(names, f.Gateway)
		}
		is.Equal(names, want)
	}
	// The same from what several relays report of the gateways that poll them.
	is.Equal(ChooseFeeds(append(FirstFeeds(list[:11]), FirstFeeds(list[11:])...), len(list)), ChooseFeeds(list, len(list)))
}

// Guards against a detour where few gateways watch the store.
func TestFewGatewaysUseNoFeeds(t *testing.T) {
	is := is.New(t)
	is.Equal(len(ChooseFeeds(candidates(5, "a", "b"), 10)), 0)
	is.Equal(len(ChooseFeeds(candidates(8, "a", "b"), 16)), 2*feedsPerZone)
	is.Equal(len(ChooseFeeds(nil, 0)), 0)
}

func TestFeedListNumbers(t *testing.T) {
	is := is.New(t)
	a, b := candidates(2, "a"), candidates(2, "b")
	is.Equal(FeedList(nil), uint64(0))
	is.True(FeedList(a) != 0 && FeedList(a) != FeedList(b))
	is.Equal(FeedList(a), FeedList(candidates(2, "a")))
}
