package story

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Suspicion tells how the gateways have found a target of plain requests to fail.
type Suspicion struct {
	Target, Service string
	// Causes are those of the gateways' own evidence, sorted.
	Causes []string
	// Observations counts the doubts by a gateway's own requests, Observers the gateways that had
	// any, and Informed those that others have told.
	Observations, Observers, Informed int
	// First and Last are when it was doubted first and last; All is how long after the
	// first doubt the last gateway acted on it.
	First, Last time.Time
	Propagation time.Duration
	// Ejected counts the gateways that have ejected it.
	Ejected int
}

// doubting collects what lines say of one target.
type doubting struct {
	Suspicion
	finders, told, ejected, known map[string]bool
	causes                        map[string]bool
}

// reportsNeeded is how many others a gateway must hear a doubt from to act on it.
const reportsNeeded = 2

func newDoubting(target string) *doubting {
	return &doubting{
		Suspicion: Suspicion{Target: target},
		finders:   map[string]bool{}, told: map[string]bool{}, ejected: map[string]bool{}, known: map[string]bool{},
		causes: map[string]bool{},
	}
}

func (d *doubting) add(l Line) {
	if l.Message == "target health" {
		if l.Field("state") == "ejected" {
			d.ejected[l.Instance] = true
		}
		return
	}
	if d.First.IsZero() {
		d.First = l.At
	}
	d.Last = l.At
	d.Service = l.Field("service")
	own := strings.Trim(l.Field("by"), `"`) == "own requests"
	if own {
		d.Observations++
		d.finders[l.Instance] = true
		d.causes[l.Field("cause")] = true
	} else {
		d.told[l.Instance] = true
	}
	if acts := own || number(l, "reports") >= reportsNeeded; acts && !d.known[l.Instance] {
		d.known[l.Instance] = true
		d.Propagation = l.At.Sub(d.First)
	}
}

func (d *doubting) finish() Suspicion {
	d.Observers, d.Informed, d.Ejected = len(d.finders), len(d.told), len(d.ejected)
	for cause := range d.causes {
		d.Causes = append(d.Causes, cause)
	}
	slices.Sort(d.Causes)
	return d.Suspicion
}

// Suspicions tells which targets the gateways have doubted, in the order of the first doubts.
func Suspicions(lines []Line) []Suspicion {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.At.Compare(b.At) })
	targets := map[string]*doubting{}
	for _, l := range sorted {
		if l.Message != "target doubted" && l.Message != "target health" {
			continue
		}
		target := l.Field("target")
		if targets[target] == nil {
			targets[target] = newDoubting(target)
		}
		targets[target].add(l)
	}
	var out []Suspicion
	for _, d := range targets {
		if !d.First.IsZero() {
			out = append(out, d.finish())
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.Target, b.Target)) })
	return out
}
