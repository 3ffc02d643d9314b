package client

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// WorkloadCommand returns the command that validates a workload file and prints
// the names that it uses, so that a deployment can be configured for it.
func WorkloadCommand() *cli.Command {
	return &cli.Command{
		Name:  "closing",
		Usage: "validate a workload file and print its workspaces, models and services, one per line",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "input", Required: true, Usage: "workload, a file of JSON lines"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			lines, err := readFile(cmd.String("input"))
			if err != nil {
				return err
			}
			return printNames(cmd.Root().Writer, lines)
		},
	}
}

// printNames prints each name once, in sorted order, prefixed by the word
// workspace, model or service.
func printNames(w io.Writer, lines []Line) error {
	var names []string
	for i := range lines {
		l := &lines[i]
		names = append(names, "workspace "+l.Workspace)
		if l.Model != "" {
			names = append(names, "model "+l.Model)
		} else {
			names = append(names, "service "+l.Service)
		}
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if _, err := fmt.Fprintln(w, name); err != nil {
			return errors.Wrap(err, "print names")
		}
	}
	return nil
}
