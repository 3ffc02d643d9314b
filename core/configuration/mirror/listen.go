package mirror

import (
	"cmp"
	"slices"
	"strings"

	"verbenashift/core/configuration/kv"
)

// listener gets the items under a prefix.
type listener struct {
	prefix string
	fn     func(items []kv.Item, whole bool)
	// changesOnly says that it gets nothing but changesOnly.
	changesOnly bool
}

// Listen adds a function that gets what the store says under a prefix, in the order of the
// revisions: the changes as they come, and everything that stands there, which is told by
// whole, at the start and after a gap. It is called from Run's goroutine. It must be called
// before Run.
func (f *Follower) Listen(prefix string, fn func(items []kv.Item, whole bool)) {
	f.prefixes = append(f.prefixes, prefix)
	f.listeners = append(f.listeners, listener{prefix: prefix, fn: fn})
}

// ListenChanges adds a function that gets the changes under a prefix as they come, and
// nothing of what stands there or of what a gap has hidden: nothing is read for it. It is
// called from Run's goroutine. It must be called before Run.
func (f *Follower) ListenChanges(prefix string, fn func(items []kv.Item)) {
	changed := func(items []kv.Item, _ bool) { fn(items) }
	f.listeners = append(f.listeners, listener{prefix: prefix, fn: changed, changesOnly: true})
}

// notify hands items to the listeners.
func (f *Follower) notify(items []kv.Item, whole bool) {
	for _, l := range f.listeners {
		if whole && l.changesOnly {
			continue
		}
		var of []kv.Item
		for _, it := range items {
			if strings.HasPrefix(it.Key, l.prefix) {
				of = append(of, it)
			}
		}
		if whole || len(of) > 0 {
			slices.SortStableFunc(of, compareRevisions)
			l.fn(of, whole)
		}
	}
}

// compareRevisions compares items by their revisions; of those that were changed together, what was
// written comes before what was removed.
func compareRevisions(a, b kv.Item) int {
	switch {
	case a.Revision != b.Revision:
		return cmp.Compare(a.Revision, b.Revision)
	case a.Deleted == b.Deleted:
		return 0
	case a.Deleted:
		return 1
	}
	return -1
}
