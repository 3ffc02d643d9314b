package quarantine

import (
	"slices"
	"time"
)

const (
	// maxChance is the highest probability at which any part may be in so many crashes by chance for
	// the least likely one to be quarantined, and certainChance that at which it needs no probe.
	maxChance     = 1e-3
	certainChance = 1e-5
	// maxRestChance is the highest probability at which a part may be by chance in the crashes in which
	// its most repeated request is not in progress.
	maxRestChance = 0.05
	// tieFactor is by how much the probabilities of two parts differ at most that cannot be told
	// apart.
	tieFactor = 3
	// minRecent is the least number of the last crashes that are examined by themselves: those before
	// may have had other causes.
	minRecent = 8
	// evaluationTime is for how long after a crash the parts in the crashes of its service are
	// examined. Looking again and again would find an unlikely one in the end.
	evaluationTime = 2 * reportDelay
	// evidenceMaxAge is for how long a crash counts against a part.
	evidenceMaxAge = 10 * time.Minute
	// maxCrashParts bounds the parts that are stored of one crash.
	maxCrashParts = 512
)

// quarantineParts quarantines the parts that are in more crashes of a service than they would be by
// chance. The least likely one goes first and explains its crashes, which then don't count against
// others.
func (g *Register) quarantineParts(now time.Time) {
	for _, service := range g.crashedServices() {
		list := g.unexplained(service, reportDelay, now)
		if len(list) > 0 && now.Sub(list[len(list)-1].reportedAt) > evaluationTime {
			continue
		}
		for len(list) >= crashThreshold {
			suspects := g.suspects(service, list)
			if len(suspects) == 0 || len(g.quarantined) >= 2*maxHolds {
				break
			}
			for _, s := range suspects {
				g.quarantined[s.part] = &quarantined{
					Hold:  Hold{Crashes: len(s.crashes), Part: true, ProbeNow: len(suspects) > 1 || s.uncertain},
					since: now,
				}
			}
			list = slices.DeleteFunc(list, g.explained)
		}
	}
}

// crashedServices returns the services of the known crashes.
func (g *Register) crashedServices() (services []string) {
	for _, c := range g.crashes {
		if len(c.requests) > 0 && !slices.Contains(services, c.service) {
			services = append(services, c.service)
		}
	}
	return services
}

// unexplained returns the crashes of a service that have at least the given age and still count, and in
// which no quarantined part was in progress.
func (g *Register) unexplained(service string, age time.Duration, now time.Time) (list []*crash) {
	for _, c := range g.crashes {
		since := now.Sub(c.reportedAt)
		if c.service == service && c.withParts > 0 && since >= age && since <= evidenceMaxAge && !g.explained(c) {
			list = append(list, c)
		}
	}
	return list
}

// explained reports whether a quarantined part was in progress in a crash.
func (g *Register) explained(c *crash) bool {
	if len(g.quarantined) == 0 {
		return false
	}
	for i := range c.requests {
		for _, p := range c.requests[i].Parts {
			if g.quarantined[p] != nil {
				return true
			}
		}
	}
	return false
}

// suspects returns the part that is least likely to be in so many of the last crashes by chance, with
// those that cannot be told apart from it; nil if no part is unlikely enough. The last crashes are
// examined first, and then more and more of them.
func (g *Register) suspects(service string, list []*crash) []*candidate {
	for n := minRecent; n < len(list); n *= 2 {
		if found := g.suspectsOf(service, list[len(list)-n:]); len(found) > 0 {
			return found
		}
	}
	return g.suspectsOf(service, list)
}

// suspectsOf does the same for all crashes of a list.
func (g *Register) suspectsOf(service string, list []*crash) (suspects []*candidate) {
	var tested []*candidate
	for p, a := range candidates(list) {
		if len(a.crashes) < crashThreshold || g.quarantined[p] != nil {
			continue
		}
		a.chance = g.chance(service, a, list)
		tested = append(tested, a)
	}
	least := 1.0
	for _, a := range tested {
		a.chance *= float64(len(tested))
		if a.chance > maxChance {
			continue
		}
		if rest := g.chanceWithoutRepeated(service, a, list); rest <= maxRestChance {
			a.uncertain = a.chance > certainChance || rest > certainChance
			suspects = append(suspects, a)
			least = min(least, a.chance)
		}
	}
	return slices.DeleteFunc(suspects, func(a *candidate) bool { return a.chance > tieFactor*least })
}

// chanceWithoutRepeated returns the probability that a part is by chance in so many of the crashes in
// which its most repeated request is not in progress; 0 if that is in too few to be their cause itself.
func (g *Register) chanceWithoutRepeated(service string, a *candidate, list []*crash) float64 {
	content, n := a.mostRepeated()
	if n < crashThreshold {
		return 0
	}
	list = slices.DeleteFunc(slices.Clone(list), func(c *crash) bool { return c.has(content) })
	rest := candidates(list)[a.part]
	if rest == nil {
		return 1
	}
	return g.chance(service, rest, list)
}
