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
	fn     func(items []kv.Item, complete bool)
	// changesOnly reports whether it gets only changes, and no complete lists.
	changesOnly bool
}

// Listen adds a function that gets the items under a prefix, in the order of their
// revisions: the changes as they arrive, and all items, with complete set, at the start and
// after a gap in the history. It is called from Run's goroutine. It must be called
// before Run.
func (f *Follower) Listen(prefix string, fn func(items []kv.Item, complete bool)) {
	f.prefixes = append(f.prefixes, prefix)
	f.listeners = append(f.listeners, listener{prefix: prefix, fn: fn})
}

// ListenChanges adds a function that gets the changes under a prefix as they arrive, but
// neither the existing items nor changes lost in a gap: nothing is read for it. It is
// called from Run's goroutine. It must be called before Run.
func (f *Follower) ListenChanges(prefix string, fn func(items []kv.Item)) {
	changed := func(items []kv.Item, _ bool) { fn(items) }
	f.listeners = append(f.listeners, listener{prefix: prefix, fn: changed, changesOnly: true})
}

// notify passes items to the listeners.
func (f *Follower) notify(items []kv.Item, complete bool) {
	for _, l := range f.listeners {
		if complete && l.changesOnly {
			continue
		}
		var matching []kv.Item
		for _, it := range items {
			if strings.HasPrefix(it.Key, l.prefix) {
				matching = append(matching, it)
			}
		}
		if complete || len(matching) > 0 {
			slices.SortStableFunc(matching, compareRevisions)
			l.fn(matching, complete)
		}
	}
}

// compareRevisions compares items by their revisions; of those that were changed in one
// transaction, writes come before deletions.
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
