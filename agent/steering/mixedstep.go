package steering

import (
	"verbenashift/core/experts/group"
	"verbenashift/core/membership/lease"
)

// mixedStepDetector finds steps that two ranks ran on different maps, from the
// ranks' own reports. Its counter shows violations of the guarantee of the map
// switch, as by an engine that does not do what it reports. Only the event loop
// uses it.
type mixedStepDetector struct {
	epoch lease.Number
	ranks map[string]mapInterval
	// mixed are the ranks found with a mixed step in the epoch.
	mixed map[string]bool
}

// mapInterval is the range of steps that a rank ran on one map.
type mapInterval struct {
	since   lease.Number
	version group.Version
	// low and high are the lowest and the highest next step reported since then.
	low, high uint64
}

// observe records a rank's state. It returns the name of a rank that has run a
// step on an older map than another rank, when this is detected for the first
// time in the epoch.
//
// A rank with next step n has run step n-1 on its map. A rank on an earlier map
// with a next step of n or more has run the same step on that map. Both are
// facts about the past, so neither the age nor the order of the reports matters.
func (w *mixedStepDetector) observe(name string, s group.RankState) (culprit string, found bool) {
	if s.Epoch.Less(w.epoch) || s.Epoch.IsZero() {
		return "", false
	}
	if w.epoch.Less(s.Epoch) {
		*w = mixedStepDetector{epoch: s.Epoch, ranks: make(map[string]mapInterval), mixed: make(map[string]bool)}
	}
	now := mapInterval{since: s.Since, version: s.Version, low: s.Next, high: s.Next}
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

// behind reports whether rank a ran on an earlier map a step that rank b ran on
// its own map.
func behind(a, b mapInterval) bool {
	return a.since.Less(b.since) && a.version != b.version && a.high >= b.low
}

// checkMixedSteps checks a report for mixed steps.
func (g *Participant) checkMixedSteps(from string, m group.Message) {
	r, ok := m.(group.Report)
	if !ok {
		return
	}
	if culprit, found := g.mixedSteps.observe(from, r.Rank); found {
		g.metrics.counts.Add("mixed-steps", 1)
		g.log.Error("rank ran a step on a different map than the others", "rank", culprit, "epoch-fence", r.Rank.Epoch.Fence)
	}
}
