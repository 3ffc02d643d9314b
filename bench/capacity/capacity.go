// Package capacity measures how resource usage grows with the size of the fleet,
// as a base for capacity planning.
//
// Each quantity is measured with the real packages and programs at three or more
// sizes, and a line is fitted through the points by least squares: the figure
// NAME-slope is the cost of one more item, NAME-intercept the cost without any
// items. The names of the single figures contain the size.
//
// # Usage
//
//	figures, err := capacity.Run(os.Stdout)
package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/plumbing/pause"
)

const runTime = 5 * time.Minute

// Run measures all figures and writes one line for each to w.
func Run(w io.Writer) ([]figure.Figure, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	parts := []func(context.Context) ([]figure.Figure, error){
		measureDocuments, measureTables, measureStore, measureExchanges, measureMutualTLS, measureIdleConnections, measureNodeLists, measureGossip, measureConnections,
	}
	var all []figure.Figure
	for _, part := range parts {
		figures, err := part(ctx)
		if err != nil {
			return all, err
		}
		for _, f := range figures {
			all = append(all, f)
			if _, err := fmt.Fprintf(w, "%-48s %12.5g %-12s %s\n", f.Name, f.Value, f.Unit, f.Note); err != nil {
				return all, err
			}
		}
	}
	return all, nil
}

// series is one quantity measured at several sizes.
type series struct {
	name string
	unit string
	// per is the item that the size counts.
	per    string
	points []point
	// bound, if positive, is a gated upper bound on the value at the largest
	// size.
	bound float64
	note  string
}

type point struct {
	// label is the size as the name of the figure shows it; size is the x value
	// of the fit.
	label string
	size  float64
	value float64
}

// figures returns the figures of the points and of the line fitted to them.
func (s series) figures() []figure.Figure {
	var list []figure.Figure
	for i, p := range s.points {
		f := figure.Figure{Name: "capacity-" + s.name + "-" + p.label, Value: p.value, Unit: s.unit, Note: s.note}
		if s.bound > 0 && i == len(s.points)-1 {
			f.Bound, f.Better, f.Gate = s.bound, figure.Lower, true
		}
		list = append(list, f)
	}
	slope, intercept := fit(s.points)
	return append(list,
		figure.Figure{Name: "capacity-" + s.name + "-slope", Value: slope, Unit: s.unit + "/" + s.per},
		figure.Figure{Name: "capacity-" + s.name + "-intercept", Value: intercept, Unit: s.unit})
}

// fit returns the least-squares line through the points.
func fit(points []point) (slope, intercept float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() float64 {
	// Two collections, since objects with finalizers survive the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// retained returns the result of build and the bytes of heap that it retains.
func retained[T any](build func() T) (T, float64) {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return v, after - before
}

// sleep waits for d and returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
