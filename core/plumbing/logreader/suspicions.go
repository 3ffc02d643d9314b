package logreader

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Suspicion summarizes how the gateways found a target of plain requests to fail.
type Suspicion struct {
	Target, Service string
	// Causes are the causes that gateways saw in their own requests, sorted.
	Causes []string
	// Observations counts the suspicions raised by a gateway's own requests, Observers the
	// gateways that raised any, and Informed the gateways that received a report from others.
	Observations, Observers, Informed int
	// First and Last are the times of the first and the last suspicion; Propagation is how
	// long after the first one the last gateway acted on it.
	First, Last time.Time
	Propagation time.Duration
	// Ejected counts the gateways that ejected the target.
	Ejected int
}

// suspicionBuilder accumulates the log lines about one target.
type suspicionBuilder struct {
	Suspicion
	observers, informed, ejected, acting map[string]bool
	causes                               map[string]bool
}

// reportsNeeded is how many other gateways must report a suspicion before a gateway acts on it.
const reportsNeeded = 2

func newSuspicionBuilder(target string) *suspicionBuilder {
	return &suspicionBuilder{
		Suspicion: Suspicion{Target: target},
		observers: map[string]bool{}, informed: map[string]bool{}, ejected: map[string]bool{}, acting: map[string]bool{},
		causes: map[string]bool{},
	}
}

func (b *suspicionBuilder) add(l Line) {
	if l.Message == "target health" {
		if l.Field("state") == "ejected" {
			b.ejected[l.Instance] = true
		}
		return
	}
	if b.First.IsZero() {
		b.First = l.At
	}
	b.Last = l.At
	b.Service = l.Field("service")
	own := strings.Trim(l.Field("by"), `"`) == "own requests"
	if own {
		b.Observations++
		b.observers[l.Instance] = true
		b.causes[l.Field("cause")] = true
	} else {
		b.informed[l.Instance] = true
	}
	if acts := own || number(l, "reports") >= reportsNeeded; acts && !b.acting[l.Instance] {
		b.acting[l.Instance] = true
		b.Propagation = l.At.Sub(b.First)
	}
}

func (b *suspicionBuilder) finish() Suspicion {
	b.Observers, b.Informed, b.Ejected = len(b.observers), len(b.informed), len(b.ejected)
	for cause := range b.causes {
		b.Causes = append(b.Causes, cause)
	}
	slices.Sort(b.Causes)
	return b.Suspicion
}

// Suspicions returns the targets that the gateways suspected, in the order of the first suspicions.
func Suspicions(lines []Line) []Suspicion {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.At.Compare(b.At) })
	targets := map[string]*suspicionBuilder{}
	for _, l := range sorted {
		if l.Message != "target doubted" && l.Message != "target health" {
			continue
		}
		target := l.Field("target")
		if targets[target] == nil {
			targets[target] = newSuspicionBuilder(target)
		}
		targets[target].add(l)
	}
	var out []Suspicion
	for _, builder := range targets {
		if !builder.First.IsZero() {
			out = append(out, builder.finish())
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.Target, b.Target)) })
	return out
}
