package groups

import (
	"runtime"
	"slices"
	"sync"

	"verbenashift/core/experts/expert"
)

// outcome holds the results of all policies on one trace.
type outcome struct {
	trace               *trace
	boundMean, boundP95 float64
	rows                []row
}

// row is one policy's result.
type row struct {
	name string
	result
	reasons map[expert.Reason]int
}

func (o outcome) row(name string) row {
	i := slices.IndexFunc(o.rows, func(r row) bool { return r.name == name })
	return o.rows[i]
}

// simulateAll runs the baselines and the presets on all traces.
func simulateAll(g *expert.Group) []outcome {
	all := traces(seed)
	outcomes := make([]outcome, len(all))
	forEach(len(all), func(i int) {
		tr := all[i]
		o := outcome{trace: tr}
		o.boundMean, o.boundP95 = bounds(tr, g)
		light, lake := newPlannedPolicy(g, expert.Lightbox()), newPlannedPolicy(g, expert.Lakeshore())
		o.rows = []row{
			{name: "static", result: simulate(tr, g, static{}, switchOnly)},
			{name: "full", result: simulate(tr, g, full{g}, switchOnly)},
			{name: "lightbox", result: simulate(tr, g, light, delayByRate(g)), reasons: light.reasons},
			{name: "lakeshore", result: simulate(tr, g, lake, delayByRate(g)), reasons: lake.reasons},
		}
		outcomes[i] = o
	})
	return outcomes
}

// workers limits the number of concurrent simulations. The results don't depend
// on it.
const workers = 4

// forEach calls do for 0 to n-1, concurrently.
func forEach(n int, do func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, min(workers, runtime.GOMAXPROCS(0)))
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			do(i)
			<-slots
		})
	}
	wg.Wait()
}
