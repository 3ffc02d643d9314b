package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"verbenashift/core/plumbing/logreader"
)

func (p *program) stewardsCommand() *cli.Command {
	return &cli.Command{
		Name: "stewards", Usage: "show from log files how expert groups were coordinated", ArgsUsage: "[FILE...]",
		Description: "Prints for each expert group how many times it got a steward, the most that acted at the same\n" +
			"time, for how long none did, its changes of map, the mean and the 95th percentile of its skew,\n" +
			"its mean time per forward pass, and the fewest slots that a gateway took for usable, with the\n" +
			"greatest stretch of a pass behind that. Without files the log is read from standard input.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return p.stewards(cmd.Args().Slice())
		},
	}
}

// stewards reads the logs and prints a table of the groups and their
// coordinators.
func (p *program) stewards(files []string) error {
	lines, err := p.readLogs(files)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(w, "group\tstewards\tat-once\twithout-ms\tchanges\tskew\tskew-p95\tpass-ms\tusable\tstretch\t"); err != nil {
		return err
	}
	for _, g := range logreader.GroupSummaries(lines) {
		if _, err := fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\t%s\t%.2f\t\n", g.Group, g.Coordinators, g.MaxConcurrent,
			g.Uncoordinated.Milliseconds(), g.MapChanges, g.Skew, g.WorstSkew, g.PassMillis, usableOf(g), g.Stretch); err != nil {
			return err
		}
	}
	return w.Flush()
}

// usableOf returns the fewest usable slots of a group and their number, or "all".
func usableOf(g logreader.GroupSummary) string {
	if g.Slots == 0 {
		return "all"
	}
	return fmt.Sprintf("%d/%d", g.MinUsable, g.Slots)
}
