package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CutOffAfter is how long a node may hear neither the store nor a majority of
// the electorate before it tells the balancer that it is cut off. It is below
// the 13 s in which an accepted revision has to be in force everywhere.
const CutOffAfter = 10 * time.Second

// Watches reports whether self is one of the k nodes of its zone that watch
// the store. The nodes are ranked by the hash of their names, so that all come
// to the same choice without a message, and the loss of a watcher moves one
// place only. Two nodes with different lists may both watch, or both not: the
// first costs one watch, the second is mended as revisions also come from
// peers of other zones.
func Watches(self string, zone []string, k int) bool {
	ranked := slices.Clone(zone)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	i := slices.Index(ranked, self)
	return i >= 0 && i < k
}

// Contact is when a node last heard from the sources of revisions.
type Contact struct {
	// Store is the last answer of the store, a watch's sign of life included.
	Store time.Time
	// Peers is, for members of the electorate, the last time at which each is
	// known to have been heard, by this node or by one that it heard.
	Peers map[string]time.Time
}

// CutOff reports whether the node may be missing accepted revisions. The guard
// is for a node on the losing side of a broken network, which would go on for
// hours with a revision that all others have left. While the store is down
// nothing new is accepted, and a majority of the electorate is contact enough:
// an outage alone takes no node out of service.
func (c Contact) CutOff(self string, electorate []string, now time.Time) bool {
	if now.Sub(c.Store) <= CutOffAfter {
		return false
	}
	heard := 0
	for _, name := range electorate {
		if at, ok := c.Peers[name]; name == self || ok && now.Sub(at) <= CutOffAfter {
			heard++
		}
	}
	return heard < len(electorate)/2+1
}
