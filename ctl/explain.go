package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"verbenashift/core/plumbing/logreader"
)

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the history of a request from log files", ArgsUsage: "ID [FILE...]",
		Description: "Prints the request's own lines and what its gateway and the stewards logged\n" +
			"meanwhile, in the order of time, what held it at its gateway and which requests started there\n" +
			"meanwhile, and the cause of its end. Without files the log is read from standard input.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 1 {
				return usagef("explain: want the identifier of a request")
			}
			return p.explain(cmd.Args().First(), cmd.Args().Tail())
		},
	}
}

// explain reads the logs and prints the history of a request.
func (p *program) explain(id string, files []string) error {
	lines, err := p.readLogs(files)
	if err != nil {
		return err
	}
	own := logreader.RequestTrace(id, lines)
	if len(own) == 0 {
		return errors.Errorf("no line of request %s", id)
	}
	for _, l := range own {
		if _, err := fmt.Fprintln(p.out, l.Text()); err != nil {
			return err
		}
	}
	if h, ok := logreader.HoldingOf(id, lines); ok {
		if _, err := fmt.Fprintln(p.out, "held:", h); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(p.out, "cause:", logreader.CauseOf(id, own))
	return err
}

// readLogs reads the lines of all files, or of standard input if there are none.
func (p *program) readLogs(files []string) ([]logreader.Line, error) {
	if len(files) == 0 {
		return logreader.Read(p.in), nil
	}
	var lines []logreader.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines = append(lines, logreader.Read(f)...)
		// The file was only read, so that an error of Close can be ignored.
		_ = f.Close()
	}
	return lines, nil
}
