package steering

import (
	"verbenashift/core/experts/group"
	"verbenashift/core/membership/lease"
)

// mapWatch finds steps that two ranks made on different maps, from the ranks'
// own reports. It is the counter that shows a breach of what the switch
// promises, as by an engine that does not do what it says. The duty alone uses
// it.
type mapWatch struct {
	epoch lease.Number
	ranks map[string]stay
	// mixed are the ranks found at fault in the epoch.
	mixed map[string]bool
}

// stay is a rank's time on one map.
type stay struct {
	since   lease.Number
	version group.Version
	// low and high are the least and the greatest next step reported since.
	low, high uint64
}

// saw takes in a rank's state and returns the name of a rank that has made a
// step on another map than this one, if it shows now for the first time.
//
// A rank with next step n has made step n-1 on its map. One on an earlier map
// with a next step of n or more has made the same step on that map. Both are
// facts of the past, so that it does not matter how old the reports are, nor in
// which order they come.
func (w *mapWatch) saw(name string, s group.RankState) (culprit string, found bool) {
	if s.Epoch.Less(w.epoch) || s.Epoch.IsZero() {
		return "", false
	}
	if w.epoch.Less(s.Epoch) {
		*w = mapWatch{epoch: s.Epoch, ranks: make(map[string]stay), mixed: make(map[string]bool)}
	}
	now := stay{since: s.Since, version: s.Version, low: s.Next, high: s.Next}
	if was, ok := w.ranks[name]; ok && was.since == s.Since {
		now.low, now.high = min(was.low, now.low), max(was.high, now.high)
	}
	w.ranks[name] = now
	for other, there := range w.ranks {
		culprit, bad := name, behind(now, there)
		if behind(there, now) {
			culprit, bad = other, true
		}
		if bad && !w.mixed[culprit] {
			w.mixed[culprit] = true
			return culprit, true
		}
	}
	return "", false
}

// behind reports whether a rank was on an earlier map than the other in a step
// that the other made on its map.
func behind(a, b stay) bool {
	return a.since.Less(b.since) && a.version != b.version && a.high >= b.low
}

// watch looks at a report for mixed steps.
func (g *Participant) watch(from string, m group.Message) {
	r, ok := m.(group.Report)
	if !ok {
		return
	}
	if culprit, found := g.watched.saw(from, r.Rank); found {
		g.metrics.counts.Add("mixed-steps", 1)
		g.log.Error("a rank has made a step on another map than the others", "rank", culprit, "epoch-fence", r.Rank.Epoch.Fence)
	}
}
