package rankpeer

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Feed is a gateway that may pass on the store's changes to the other gateways of its zone; see
// package changefeed.
type Feed struct {
	Gateway, Zone, Addr string
}

const (
	// feedsPerZone is how many gateways of a zone watch the store for the others: one may die.
	feedsPerZone = 2
	// minFollowed is the least mean number of gateways in a zone for which feeds are used. Fewer
	// watches are cheaper than the detour.
	minFollowed = 8
)

// FirstFeeds returns the feedsPerZone first candidates of each zone by name, sorted.
func FirstFeeds(candidates []Feed) []Feed {
	sorted := slices.SortedFunc(slices.Values(candidates), func(a, b Feed) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Addr, b.Addr))
	})
	var out []Feed
	inZone := 0
	for i, c := range sorted {
		switch {
		case i == 0 || c.Zone != sorted[i-1].Zone:
			inZone = 0
		case c.Gateway == sorted[i-1].Gateway:
			continue
		}
		if inZone++; inZone <= feedsPerZone {
			out = append(out, c)
		}
	}
	return out
}

// ChooseFeeds returns the feeds among the candidates for a number of gateways, or nil if all
// gateways are to watch the store.
func ChooseFeeds(candidates []Feed, gateways int) []Feed {
	first := FirstFeeds(candidates)
	zones := 0
	for i := range first {
		if i == 0 || first[i].Zone != first[i-1].Zone {
			zones++
		}
	}
	if gateways < minFollowed*zones {
		return nil
	}
	return first
}

// FeedList returns a number that identifies a list of feeds; 0 is that of the empty list.
func FeedList(feeds []Feed) uint64 {
	if len(feeds) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, f := range feeds {
		// A hash never fails to write.
		_, _ = h.Write([]byte(f.Gateway + "\x00" + f.Zone + "\x00" + f.Addr + "\x00"))
	}
	return max(h.Sum64(), 1)
}
