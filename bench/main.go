// Bench measures the figures of the project and holds them against their
// bounds.
//
// Each figure is printed as one JSON line. A gated figure out of its bound, or
// worse than its last accepted value by more than a quarter, fails the run;
// the other figures only inform. The last accepted figures are in
// bench/accepted/figures.json.
//
// # Usage
//
// From the root of the repository:
//
//	go run ./bench                      # everything
//	go run ./bench -run path,routing    # two suites
//	go run ./bench -run booking -accept # take its figures as the accepted ones
//
// The exit status is 0 if all is well, 1 if a figure failed or a suite could
// not be measured, and 2 for a wrong command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"verbenashift/bench/accepted"
	"verbenashift/bench/booking"
	"verbenashift/bench/capacity"
	"verbenashift/bench/fairness"
	"verbenashift/bench/figure"
	"verbenashift/bench/groups"
	"verbenashift/bench/path"
	"verbenashift/bench/routing"
	"verbenashift/standin/deployment"
)

// measure is a function that measures some figures and tells w of its
// progress.
type measure func(w io.Writer) ([]figure.Figure, error)

// suite is one group of measurements that can be run by its name.
type suite struct {
	name  string
	parts []measure
}

func suites() []suite {
	return []suite{
		{"path", []measure{path.Run}},
		{"routing", []measure{routing.Run, fairness.Run}},
		{"groups", []measure{groups.Run, groups.RunSwitch}},
		{"booking", []measure{booking.Run}},
		{"capacity", []measure{capacity.Run}},
	}
}

// errFailed says that what failed has been printed already.
var errFailed = errors.New("figures failed")

// usageError is a mistake in the command line.
type usageError struct {
	message string
}

// Error returns the message.
func (e *usageError) Error() string {
	return e.message
}

// options are the settings of one run.
type options struct {
	suites   []suite
	accepted string
	accept   bool
	// progress takes what the suites tell while they run.
	progress io.Writer
	out      io.Writer
	problems io.Writer
}

func main() {
	err := command(os.Stdout, os.Stderr).Run(context.Background(), os.Args)
	var usage *usageError
	switch {
	case err == nil:
	case errors.Is(err, errFailed):
		os.Exit(1)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func command(out, problems io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "bench",
		Usage:     "measure the figures of the project and hold them against their bounds",
		Writer:    out,
		ErrWriter: problems,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "run", Usage: "suites to run, separated by commas: " + strings.Join(names(), ", ") + " (default: all)"},
			&cli.BoolFlag{Name: "accept", Usage: "take the figures of this run as the accepted ones"},
			&cli.StringFlag{Name: "accepted", Value: "bench/accepted/figures.json", Usage: "file of the accepted figures"},
			&cli.BoolFlag{Name: "v", Usage: "show what the suites tell while they run"},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &usageError{err.Error()}
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() > 0 {
				return &usageError{fmt.Sprintf("unexpected argument %q", c.Args().First())}
			}
			chosen, err := choose(c.String("run"))
			if err != nil {
				return err
			}
			o := options{
				suites: chosen, accepted: c.String("accepted"), accept: c.Bool("accept"),
				progress: io.Discard, out: out, problems: problems,
			}
			if c.Bool("v") {
				o.progress = problems
			}
			return run(o)
		},
	}
}

func names() []string {
	var list []string
	for _, s := range suites() {
		list = append(list, s.name)
	}
	return list
}

// choose returns the suites of a list of names, all for an empty one.
func choose(list string) ([]suite, error) {
	if list == "" {
		return suites(), nil
	}
	wanted := strings.Split(list, ",")
	for _, name := range wanted {
		if !slices.Contains(names(), name) {
			return nil, &usageError{fmt.Sprintf("unknown suite %q: want some of %s", name, strings.Join(names(), ", "))}
		}
	}
	var chosen []suite
	for _, s := range suites() {
		if slices.Contains(wanted, s.name) {
			chosen = append(chosen, s)
		}
	}
	return chosen, nil
}

// run measures the suites one after the other and holds them against the
// accepted figures.
func run(o options) error {
	old, err := accepted.Load(o.accepted)
	if err != nil {
		return err
	}
	// The suites that start processes build the programs once for all.
	defer func() { _ = deployment.Clean() }()
	failed := false
	for _, s := range o.suites {
		figures, err := s.run(o)
		if err != nil {
			fmt.Fprintf(o.problems, "%s: not measured: %v\n", s.name, err)
			failed = true
			continue
		}
		for _, p := range old.Check(s.name, figures) {
			fmt.Fprintf(o.problems, "%s: %s\n", s.name, p)
			failed = failed || p.Fatal
		}
		old.Set(s.name, figures)
	}
	if o.accept {
		if err := old.Save(o.accepted); err != nil {
			return err
		}
	}
	if failed {
		return errFailed
	}
	return nil
}

// run measures the parts of one suite and prints their figures.
func (s suite) run(o options) ([]figure.Figure, error) {
	var all []figure.Figure
	enc := json.NewEncoder(o.out)
	for _, part := range s.parts {
		figures, err := part(o.progress)
		for _, f := range figures {
			if err := enc.Encode(f); err != nil {
				return nil, errors.Wrap(err, "print figure")
			}
		}
		if err != nil {
			return nil, err
		}
		all = append(all, figures...)
	}
	return all, nil
}
