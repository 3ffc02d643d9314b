package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"verbenashift/core/plumbing/story"
)

func (p *program) doubtsCommand() *cli.Command {
	return &cli.Command{
		Name: "doubts", Usage: "tell from log files which targets the gateways have doubted", ArgsUsage: "[FILE...]",
		Description: "Prints for each target of plain requests that gateways have found to fail: why, how many\n" +
			"doubts there were by their own requests and at how many gateways, how many were told by\n" +
			"others, from when to when, how long after the first doubt the last gateway acted on it, and\n" +
			"how many ejected it. Without files the log is read from standard input.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return p.doubts(cmd.Args().Slice())
		},
	}
}

// doubtTime is how the times of a day are printed.
const doubtTime = "15:04:05.000"

// doubts reads the logs and prints a table of the targets.
func (p *program) doubts(files []string) error {
	lines, err := p.readLogs(files)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(w, "target\tservice\tcauses\town\tgateways\ttold\tfrom\tuntil\tall-act-ms\tejected\t"); err != nil {
		return err
	}
	for _, d := range story.Suspicions(lines) {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%d\t%d\t\n", d.Target, d.Service, strings.Join(d.Causes, ","),
			d.Observations, d.Observers, d.Informed, d.First.Format(doubtTime), d.Last.Format(doubtTime), d.Propagation.Milliseconds(), d.Ejected); err != nil {
			return err
		}
	}
	return w.Flush()
}
