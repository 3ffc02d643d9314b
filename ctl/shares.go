package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"verbenashift/core/plumbing/logreader"
)

func (p *program) sharesCommand() *cli.Command {
	return &cli.Command{
		Name: "shares", Usage: "show from log files whose requests were served", ArgsUsage: "[FILE...]",
		Description: "Prints the outcomes of the requests of each workspace, route, class, size, instance or reason, one\n" +
			"line per group. Each attempt of a caller counts. Without files the log is read from standard input.",
		Flags: []cli.Flag{&cli.StringFlag{Name: "by", Value: "workspace", Usage: "workspace, route, class, size, instance or reason"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return p.shares(cmd.String("by"), cmd.Args().Slice())
		},
	}
}

// shares reads the logs and prints a table of outcomes, one row per group.
func (p *program) shares(by string, files []string) error {
	lines, err := p.readLogs(files)
	if err != nil {
		return err
	}
	var group func(logreader.Line) string
	switch by {
	case "workspace", "route":
		group = logreader.ByField(by)
	case "class":
		group = logreader.ByClass
	case "instance":
		group = func(l logreader.Line) string { return l.Instance }
	case "size":
		group = logreader.BySize(lines)
	case "reason":
		group = logreader.ByReason(lines)
	default:
		return usagef("shares: -by %s: want workspace, route, class, size, instance or reason", by)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(w, by+"\ttries\ton-time\tlate\trefused\tfailed\tleft\tserved\t"); err != nil {
		return err
	}
	for _, s := range logreader.Shares(lines, group) {
		if _, err := fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", s.Group, s.Tries, s.OnTime, s.Late, s.Refused, s.Failed, s.Disconnected, s.Served()); err != nil {
			return err
		}
	}
	return w.Flush()
}
