package groups

import (
	"slices"
	"strconv"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/experts/expert"
)

// The bounds on planning times on one core, and the numbers of plans that are
// timed and that precede them as warm-up.
const (
	layerBound = 2.0   // ms
	modelBound = 120.0 // ms
	plans      = 15
	warming    = 8
)

// traceWindow is the part of a trace in which plans are timed.
type traceWindow struct{ trace, start int }

var (
	drifting = traceWindow{trace: slowDrift}
	swapping = traceWindow{trace: suddenSwap, start: 70}
)

// planningTimes measures how long a plan takes in steady drift and around a
// sudden swap, from a map that earlier plans have maintained.
func planningTimes(p *printer) []figure.Figure {
	p.printf("\nplanning times, lightbox, steady drift, %d slots per rank\n", defaultSlots)
	var figures []figure.Figure
	for _, n := range []int{32, 64, 128, 256} {
		median, worst := planningTime(newGroup(n, defaultSlots), drifting, 1, expert.Lightbox())
		p.printf("%4d ranks  1 layer    median %7.2f ms  worst %7.2f ms\n", n, median, worst)
		f := timing("groups-plan-layer-ranks-"+strconv.Itoa(n), median, 0)
		if n == ranks {
			f = timing("groups-plan-layer", median, layerBound)
			figures = append(figures, timing("groups-plan-layer-worst", worst, 0))
		}
		figures = append(figures, f)
	}
	g := newGroup(ranks, defaultSlots)
	light, worst := planningTime(g, drifting, modelLayers, expert.Lightbox())
	p.printf("%4d ranks %2d layers   median %7.2f ms  worst %7.2f ms\n", ranks, modelLayers, light, worst)
	_, swapped := planningTime(g, swapping, 1, expert.Lightbox())
	p.printf("%4d ranks  1 layer    worst %7.2f ms around a sudden swap\n", ranks, swapped)
	lake, _ := planningTime(g, drifting, modelLayers, expert.Lakeshore())
	p.printf("%4d ranks %2d layers   median %7.2f ms (lakeshore)\n", ranks, modelLayers, lake)
	return append(figures, timing("groups-plan-58-layers", light, modelBound),
		timing("groups-plan-layer-worst-sudden-swap", swapped, 0),
		timing("groups-plan-58-layers-lakeshore", lake, modelBound))
}

func timing(name string, value, bound float64) figure.Figure {
	f := figure.Figure{Name: name, Value: value, Unit: "ms", Bound: bound, Note: "time informs, not a gate"}
	if bound > 0 {
		f.Better = figure.Lower
	}
	return f
}

// planningTime returns the median and the longest time of a plan for n layers,
// in milliseconds.
func planningTime(g *expert.Group, s traceWindow, n int, policy expert.Policy) (median, worst float64) {
	tr := traces(seed)[s.trace]
	planner := expert.NewPlanner(g, policy)
	in := expert.Input{Layers: make([]expert.Layer, n)}
	for l := range in.Layers {
		in.Layers[l] = expert.Layer{
			Map:   expert.Place(g, tr.layer(s.start, l)),
			Loads: expert.NewEstimator(experts, expert.Smoothing{}),
		}
	}
	var times []float64
	for t := s.start; t < s.start+warming+plans; t++ {
		for l := range in.Layers {
			in.Layers[l].Loads.Observe(after(t), tr.layer(t, l))
		}
		in.Now = after(t)
		begun := time.Now()
		plan := planner.Plan(in)
		if t >= s.start+warming {
			times = append(times, time.Since(begun).Seconds()*1e3)
		}
		for l := range in.Layers {
			in.Layers[l].Map = in.Layers[l].Map.Apply(g, l, plan.Moves)
		}
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}
