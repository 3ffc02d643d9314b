package quarantine

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"
)

// candidate is a part that is in crashes of one service.
type candidate struct {
	part Fingerprint
	// crashes are those that it is in.
	crashes []*crash
	// chance is the probability that it, or any part, is in so many of them by chance.
	chance float64
	// uncertain says that it needs a probe to tell whether it is the cause.
	uncertain bool
}

// candidates returns the parts that are in crashes of a list.
func candidates(list []*crash) map[Fingerprint]*candidate {
	all := map[Fingerprint]*candidate{}
	for _, c := range list {
		for i := range c.requests {
			r := &c.requests[i]
			for _, p := range r.Parts {
				found := all[p]
				if found == nil {
					found = &candidate{part: p}
					all[p] = found
				}
				found.add(c)
			}
		}
	}
	return all
}

// add records that the part was in progress in a crash.
func (a *candidate) add(c *crash) {
	if n := len(a.crashes); n == 0 || a.crashes[n-1] != c {
		a.crashes = append(a.crashes, c)
	}
}

// mostRepeated returns the request with the part that is in most of the crashes, and in how many.
func (a *candidate) mostRepeated() (most Fingerprint, n int) {
	counts := map[Fingerprint]int{}
	for _, c := range a.crashes {
		for i := range c.requests {
			r := &c.requests[i]
			if r.Content == (Fingerprint{}) || !slices.Contains(r.Parts, a.part) {
				continue
			}
			counts[r.Content]++
			if counts[r.Content] > n {
				most, n = r.Content, counts[r.Content]
			}
		}
	}
	return most, n
}

// chance returns the probability that a part is in as many of the crashes as it is, if it has nothing
// to do with them: each request in progress has it as often as those that were answered.
func (g *Register) chance(service string, a *candidate, list []*crash) float64 {
	f := g.share(service, a.part)
	mean := 0.0
	for _, c := range list {
		mean += (1 - math.Pow(1-f, float64(c.withParts))) / float64(len(list))
	}
	return tail(len(a.crashes), len(list), mean)
}

// share estimates which share of the requests to a service has a part, from the requests that this
// gateway and others have seen answered completely.
func (g *Register) share(service string, p Fingerprint) float64 {
	n, total := 0, 0
	if own := g.answeredParts[service]; own != nil {
		n, total = own.count(p), own.total()
	}
	for _, other := range g.others {
		if count, known := other.Parts[p]; known && other.Service == service {
			n += max(count, 0)
			total += other.Total
		}
	}
	return (float64(n) + 1) / (float64(total) + 2)
}

// likeliest returns at most maxCandidates parts that are in crashes of a service, those first that are
// unlikely to be in so many.
func (g *Register) likeliest(service string, now time.Time) (likeliest []*candidate) {
	list := g.unexplained(service, 0, now)
	for _, c := range candidates(list) {
		c.chance = g.chance(service, c, list)
		likeliest = append(likeliest, c)
	}
	slices.SortFunc(likeliest, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.chance, b.chance), bytes.Compare(a.part[:], b.part[:]))
	})
	return likeliest[:min(len(likeliest), maxCandidates)]
}
