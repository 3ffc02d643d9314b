package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// IsWatcher reports whether self is one of the k nodes of its zone that watch
// the store. The nodes are ranked by the hash of their names, so that all of
// them make the same choice without communication, and the loss of a watcher
// changes one choice only. Two nodes with different lists may both watch, or
// neither: the first costs one watch; in the second case revisions still come
// from peers in other zones.
func IsWatcher(self string, zone []string, k int) bool {
	ranked := slices.Clone(zone)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	i := slices.Index(ranked, self)
	return i >= 0 && i < k
}
