// Package capacity measures the slopes from which the needs of a large fleet
// are worked out.
//
// Each quantity is measured at three sizes or more by the real packages and
// programs, and a line is fitted through the points by least squares: the
// figure NAME-slope is what one more item costs, NAME-intercept what there is
// without any. Sizes stand in the names of the single figures.
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

// Run measures everything and writes one line for each figure to w.
func Run(w io.Writer) ([]figure.Figure, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	parts := []func(context.Context) ([]figure.Figure, error){
		measureDocuments, measureTables, measureStore, measureExchanges, measureKeys, measureIdle, measureNodeLists, measureSpread, measureConnections,
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
	// per names the item of which there are more and more.
	per    string
	points []point
	// bound, if set, gates the value at the largest size.
	bound float64
	note  string
}

type point struct {
	// label stands in the name of the figure, size on the axis.
	label string
	size  float64
	value float64
}

// figures returns the points and the line through them.
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

// fit returns the line of least squares through the points.
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

// heap returns the bytes of the live heap.
func heap() float64 {
	// Two collections, since the first may leave what finalizers still hold.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// held returns the bytes that what build returns keeps alive.
func held[T any](build func() T) (T, float64) {
	before := heap()
	v := build()
	after := heap()
	runtime.KeepAlive(v)
	return v, after - before
}

// sleep waits, and returns why it was cut short.
func sleep(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
