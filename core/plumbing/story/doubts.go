package story

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Doubted tells how the gateways have found a target of plain requests to fail.
type Doubted struct {
	Target, Service string
	// Causes are those of the gateways' own evidence, sorted.
	Causes []string
	// Own counts the doubts by a gateway's own requests, Finders the gateways that had
	// any, and Told those that others have told.
	Own, Finders, Told int
	// From and Until are when it was doubted first and last; All is how long after the
	// first doubt the last gateway acted on it.
	From, Until time.Time
	All         time.Duration
	// Ejected counts the gateways that have ejected it.
	Ejected int
}

// doubting collects what lines say of one target.
type doubting struct {
	Doubted
	finders, told, ejected, known map[string]bool
	causes                        map[string]bool
}

// reportsNeeded is how many others a gateway must hear a doubt from to act on it.
const reportsNeeded = 2

func newDoubting(target string) *doubting {
	return &doubting{
		Doubted: Doubted{Target: target},
		finders: map[string]bool{}, told: map[string]bool{}, ejected: map[string]bool{}, known: map[string]bool{},
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
	if d.From.IsZero() {
		d.From = l.At
	}
	d.Until = l.At
	d.Service = l.Field("service")
	own := strings.Trim(l.Field("by"), `"`) == "own requests"
	if own {
		d.Own++
		d.finders[l.Instance] = true
		d.causes[l.Field("cause")] = true
	} else {
		d.told[l.Instance] = true
	}
	if acts := own || number(l, "reports") >= reportsNeeded; acts && !d.known[l.Instance] {
		d.known[l.Instance] = true
		d.All = l.At.Sub(d.From)
	}
}

func (d *doubting) finish() Doubted {
	d.Finders, d.Told, d.Ejected = len(d.finders), len(d.told), len(d.ejected)
	for cause := range d.causes {
		d.Causes = append(d.Causes, cause)
	}
	slices.Sort(d.Causes)
	return d.Doubted
}

// DoubtsOf tells which targets the gateways have doubted, in the order of the first doubts.
func DoubtsOf(lines []Line) []Doubted {
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
	var out []Doubted
	for _, d := range targets {
		if !d.From.IsZero() {
			out = append(out, d.finish())
		}
	}
	slices.SortFunc(out, func(a, b Doubted) int { return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Target, b.Target)) })
	return out
}
