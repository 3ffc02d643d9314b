// Package routing measures the choice of targets, health and retries against
// their baselines.
//
// The real decision packages run inside a small queueing model in virtual time
// with fixed seeds: targets with a number of places in their batch and a
// queue, entries with a Table, a Monitor and retry Budgets each. It is no
// simulation of a cluster; it has the few things that the decisions are about:
// queues, lagging reports, prefix caches, failures, and callers who return.
//
// # Usage
//
//	figures, err := routing.Run(os.Stdout)
package routing

import (
	"fmt"
	"io"

	"verbenashift/bench/figure"
)

// Run measures everything and writes one line for each figure to w. The times
// of a pick are of the machine; all other figures are the same at each run.
func Run(w io.Writer) ([]figure.Figure, error) {
	parts := []func() []figure.Figure{
		pickFigures, lateFigures, choiceFigures, prefixFigures, stragglerFigures, failingFigures, returnFigures,
	}
	var all []figure.Figure
	for _, part := range parts {
		for _, f := range part() {
			all = append(all, f)
			if _, err := fmt.Fprintln(w, line(f)); err != nil {
				return all, err
			}
		}
	}
	return all, nil
}

func line(f figure.Figure) string {
	verdict := "ok"
	if !f.OK() {
		verdict = "MISSED"
	}
	bound := "-"
	if f.Better != "" {
		bound = fmt.Sprintf("%s than %.4g", f.Better, f.Bound)
	}
	return fmt.Sprintf("%-44s %10.4g %-8s bound %-18s baseline %-10.4g %s  %s",
		f.Name, f.Value, f.Unit, bound, f.Baseline, verdict, f.Note)
}
