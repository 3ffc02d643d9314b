package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"verbenashift/core/plumbing/logreader"
)

func (p *program) doubtsCommand() *cli.Command {
	return &cli.Command{
		Name: "doubts", Usage: "show from log files which targets the gateways suspected", ArgsUsage: "[FILE...]",
		Description: "Prints for each target of plain requests that gateways have found to fail: why, how many\n" +
			"suspicions arose from their own requests and at how many gateways, how many were informed by\n" +
			"others, from when to when, how long after the first suspicion the last gateway acted on it, and\n" +
			"how many ejected it. Without files the log is read from standard input.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return p.doubts(cmd.Args().Slice())
		},
	}
}

// timeOfDay is the format of the times in the table.
const timeOfDay = "15:04:05.000"

// doubts reads the logs and prints a table of the suspected targets.
func (p *program) doubts(files []string) error {
	lines, err := p.readLogs(files)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(w, "target\tservice\tcauses\town\tgateways\ttold\tfrom\tuntil\tall-act-ms\tejected\t"); err != nil {
		return err
	}
	for _, s := range logreader.Suspicions(lines) {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%d\t%d\t\n", s.Target, s.Service, strings.Join(s.Causes, ","),
			s.Observations, s.Observers, s.Informed, s.First.Format(timeOfDay), s.Last.Format(timeOfDay), s.Propagation.Milliseconds(), s.Ejected); err != nil {
			return err
		}
	}
	return w.Flush()
}
