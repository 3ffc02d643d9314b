package groups

import (
	"runtime"
	"slices"
	"sync"

	"verbenashift/core/experts/expert"
)

// outcome is what all policies did on one trace.
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

// playAll plays the baselines and the presets on all traces.
func playAll(g *expert.Group) []outcome {
	all := traces(seed)
	outcomes := make([]outcome, len(all))
	each(len(all), func(i int) {
		tr := all[i]
		o := outcome{trace: tr}
		o.boundMean, o.boundP95 = bounds(tr, g)
		light, lake := newPlanned(g, expert.Lightbox()), newPlanned(g, expert.Lakeshore())
		o.rows = []row{
			{name: "static", result: play(tr, g, static{}, atOnce)},
			{name: "full", result: play(tr, g, full{g}, atOnce)},
			{name: "lightbox", result: play(tr, g, light, byRate(g)), reasons: light.reasons},
			{name: "lakeshore", result: play(tr, g, lake, byRate(g)), reasons: lake.reasons},
		}
		outcomes[i] = o
	})
	return outcomes
}

// workers bounds the plays at a time; the results don't depend on it.
const workers = 4

// each calls do for 0 to n-1, a few at a time.
func each(n int, do func(i int)) {
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
