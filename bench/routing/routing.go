// Package routing measures load balancing, health checks and retries against
// baselines.
//
// The real decision packages run inside a small queueing model in virtual time
// with fixed seeds: targets with a queue and a number of batch slots, and
// entries with a Table, a Monitor and retry Budgets each. The model is not a
// full cluster simulation; it has only what the decisions depend on: queues,
// late load reports, prefix caches, failures, and callers that retry.
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

// Run measures all figures and writes one line for each to w. The times of a
// pick depend on the machine; all other figures are the same in each run.
func Run(w io.Writer) ([]figure.Figure, error) {
	parts := []func() []figure.Figure{
		pickFigures, lateReportFigures, choiceFigures, prefixFigures, stragglerFigures, failingFigures, recoveryFigures,
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
