package fairness

import (
	"fmt"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/request/queue"
)

const (
	overloadSpan     = 5 * time.Minute
	overloadSeed     = 12
	urgentDeadline   = 2 * time.Second
	normalDeadline   = 10 * time.Second
	patientDeadline  = 30 * time.Second
	urgentMean       = 40
	urgentLoad       = 0.05
	normalLoad       = 1.25
	bestEffortLoad   = 0.7
	overloadMeasured = (overloadSpan - warmUp)
)

// runOverload measures goodput, waits and refusals while twice the capacity is
// offered.
func runOverload() ([]figure.Figure, error) {
	f := newFairQueue(newRand())
	t, base := simulateOverload(f), simulateOverload(&fcfs{})
	all, falseRefusals, immediate := t.refusals()
	urgent := func(r *request) bool { return r.Priority == queue.Urgent }
	lost := -f.q.Load().Items
	for _, r := range t.requests {
		if !r.started && !r.refused {
			lost++
		}
	}
	return []figure.Figure{
		atLeast("overload-goodput", goodput(t), "of-capacity", 0.9, goodput(base),
			"offered 2x; tokens of answers that started within their deadline"),
		atMost("overload-urgent-p95-wait", t.p95(urgent), "s", urgentDeadline.Seconds(), base.p95(urgent), ""),
		atMost("overload-untrue-refusals", float64(falseRefusals+f.unexpected), "requests", 0, 0,
			fmt.Sprintf("of %d refusals, against the target's ledger", all)),
		atMost("overload-lost-requests", float64(lost), "requests", 0, 0, "neither started, refused nor waiting"),
		informational("overload-refused-at-once", float64(immediate)/float64(all), "of-refusals", 0, "the rest was displaced or expired"),
	}, nil
}

func goodput(t *simulation) float64 {
	return float64(t.goodTokens) / capacity / overloadMeasured.Seconds()
}

func simulateOverload(p policy) *simulation {
	var sources []source
	for i := range workspaces {
		name := workspaceName(i)
		sources = append(sources,
			source{name, queue.Urgent, urgentLoad * capacity / workspaces, urgentMean, urgentDeadline},
			source{name, queue.Normal, normalLoad * capacity / workspaces, 0, normalDeadline},
			source{name, queue.BestEffort, bestEffortLoad * capacity / workspaces, 0, patientDeadline})
	}
	t := newSimulation(p)
	t.scheduleArrivals(sources, overloadSeed, overloadSpan)
	t.run(overloadSpan)
	return t
}
