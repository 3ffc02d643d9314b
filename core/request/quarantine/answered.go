package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// maxCandidates is for how many parts a report has the number of answers, and maxProcesses the
	// number of gateway processes whose numbers are stored.
	maxCandidates = 32
	maxProcesses  = 128
)

// Answered is how many requests to a service one gateway process has seen answered completely, and
// how many of them had each of some parts that are in crashes there.
type Answered struct {
	// Process identifies the gateway process.
	Process string              `json:"process"`
	Service string              `json:"service"`
	Total   int                 `json:"total"`
	Parts   map[Fingerprint]int `json:"parts"`
}

// Answered returns what to report with the next crash: for each service, how often the parts were
// answered that are in crashes there, those first that are unlikely to be in so many.
func (g *Register) Answered(now time.Time) (list []Answered) {
	for _, service := range g.crashedServices() {
		own := g.answeredParts[service]
		if own == nil {
			continue
		}
		a := Answered{Process: g.process, Service: service, Total: own.total(), Parts: map[Fingerprint]int{}}
		for _, c := range g.likeliest(service, now) {
			a.Parts[c.part] = own.count(c.part)
		}
		if len(a.Parts) > 0 {
			list = append(list, a)
		}
	}
	return list
}

// recordAnswered stores what another gateway process has reported of its answers.
func (g *Register) recordAnswered(list []Answered) {
	for _, a := range list {
		if a.Process == g.process || a.Total < 0 || len(a.Parts) > maxCandidates {
			continue
		}
		g.others = slices.DeleteFunc(g.others, func(o Answered) bool { return o.Process == a.Process && o.Service == a.Service })
		if len(g.others) >= maxProcesses {
			g.others = slices.Delete(g.others, 0, 1)
		}
		g.others = append(g.others, a)
		g.needsEvaluation = true
	}
}

// CompletedParts records that a target of a service has answered a request with the given parts
// completely, and successfully. It returns the parts of which the other gateways must be informed
// because they may suspect them.
func (g *Register) CompletedParts(service string, parts []Fingerprint, now time.Time) (cleared []Fingerprint) {
	if len(parts) == 0 {
		return nil
	}
	own := g.answeredParts[service]
	if own == nil {
		if len(g.answeredParts) >= maxServices {
			clear(g.answeredParts)
		}
		own = &frequency{}
		g.answeredParts[service] = own
	}
	own.add(parts)
	for _, p := range parts {
		if g.quarantined[p] != nil || g.suspected(service, p, now) {
			cleared = append(cleared, p)
			g.release(p)
		}
		g.forgetPart(p)
	}
	return cleared
}

// suspected reports whether other gateways may come to quarantine a part. Most parts are in crashes
// because most requests have them.
func (g *Register) suspected(service string, p Fingerprint, now time.Time) bool {
	if g.partCounts[p] < publishThreshold {
		return false
	}
	list := g.unexplained(service, 0, now)
	a := candidates(list)[p]
	return a != nil && len(a.crashes) >= publishThreshold && g.chance(service, a, list) < math.Sqrt(maxChance)
}

// forgetPart removes a part from all crashes in which it was in progress.
func (g *Register) forgetPart(p Fingerprint) {
	if g.partCounts[p] == 0 {
		return
	}
	g.needsEvaluation = true
	delete(g.partCounts, p)
	for _, c := range g.crashes {
		for i := range c.requests {
			r := &c.requests[i]
			r.Parts = slices.DeleteFunc(r.Parts, func(q Fingerprint) bool { return q == p })
		}
	}
}
