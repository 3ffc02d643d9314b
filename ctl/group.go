package main

import (
	"fmt"
	"io"
	"time"

	"github.com/guptarohit/asciigraph"

	"verbenashift/core/configuration/operator"
)

// The size of a plot in characters.
const (
	plotHeight = 8
	plotWidth  = 72
)

const megabyte = 1e6

// printGroup prints the details of one group that its row in the table lacks.
func printGroup(w io.Writer, g operator.GroupStatus) {
	fmt.Fprintln(w)
	t := newTable(w, "steward", fmt.Sprintf("%s, fence %d, heard %s ago", g.Coordinator, g.Fence, time.Duration(g.AgeMillis)*time.Millisecond))
	t.add("step", g.Step)
	t.add("skew", fmt.Sprintf("%.3f now, mean %.3f and greatest %.3f of the last hour", g.Skew, g.MeanSkew, g.MaxSkew))
	t.add("moved", fmt.Sprintf("%d replicas, %.1f MB in the last hour", g.Moves, float64(g.Bytes)/megabyte))
	t.add("last plan", fmt.Sprintf("%s: %s", cell(g.Reason), cell(g.Explanation)))
	for _, r := range g.Waiting {
		health := r.Health
		if r.Lost {
			health += ", lost"
		}
		t.add("rank "+r.Target, health)
	}
	t.flush()
	if len(g.Skews) > 1 {
		fmt.Fprintln(w)
		fmt.Fprintln(w, asciigraph.Plot(g.Skews, asciigraph.Height(plotHeight), asciigraph.Width(plotWidth),
			asciigraph.Precision(3), asciigraph.Caption("skew at each look of the last hour, oldest first")))
	}
}
