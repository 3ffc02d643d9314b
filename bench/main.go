// Bench runs the benchmark suites of the project and compares the measured
// figures with their bounds.
//
// Each figure is printed as one JSON line. A gated figure that violates its
// bound, or is worse than its last accepted value by more than a quarter, fails
// the run; the other figures are only reported. The last accepted figures are
// in bench/accepted/figures.json.
//
// # Usage
//
// From the root of the repository:
//
//	go run ./bench                      # everything
//	go run ./bench -run path,routing    # two suites
//	go run ./bench -run booking -accept # store its figures as the accepted ones
//
// The exit status is 0 on success, 1 if a figure failed or a suite could not be
// measured, and 2 for an invalid command line.
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

// measure measures some figures and writes its progress to w.
type measure func(w io.Writer) ([]figure.Figure, error)

// suite is a named group of measurements that can be selected with -run.
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

// errFailed is returned by run when a figure or suite failed and the problem has
// already been printed.
var errFailed = errors.New("figures failed")

// usageError is an invalid command line.
type usageError struct {
	message string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.message
}

// options configures one run.
type options struct {
	suites   []suite
	accepted string
	accept   bool
	// progress receives the progress output of the suites.
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
		Usage:     "measure the figures of the project and compare them with their bounds",
		Writer:    out,
		ErrWriter: problems,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "run", Usage: "suites to run, separated by commas: " + strings.Join(suiteNames(), ", ") + " (default: all)"},
			&cli.BoolFlag{Name: "accept", Usage: "store the figures of this run as the accepted ones"},
			&cli.StringFlag{Name: "accepted", Value: "bench/accepted/figures.json", Usage: "file of the accepted figures"},
			&cli.BoolFlag{Name: "v", Usage: "print the progress of the suites"},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &usageError{err.Error()}
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() > 0 {
				return &usageError{fmt.Sprintf("unexpected argument %q", c.Args().First())}
			}
			selected, err := selectSuites(c.String("run"))
			if err != nil {
				return err
			}
			o := options{
				suites: selected, accepted: c.String("accepted"), accept: c.Bool("accept"),
				progress: io.Discard, out: out, problems: problems,
			}
			if c.Bool("v") {
				o.progress = problems
			}
			return run(o)
		},
	}
}

func suiteNames() []string {
	var list []string
	for _, s := range suites() {
		list = append(list, s.name)
	}
	return list
}

// selectSuites returns the suites in a comma-separated list of names, or all
// suites if the list is empty.
func selectSuites(list string) ([]suite, error) {
	if list == "" {
		return suites(), nil
	}
	wanted := strings.Split(list, ",")
	for _, name := range wanted {
		if !slices.Contains(suiteNames(), name) {
			return nil, &usageError{fmt.Sprintf("unknown suite %q: want some of %s", name, strings.Join(suiteNames(), ", "))}
		}
	}
	var selected []suite
	for _, s := range suites() {
		if slices.Contains(wanted, s.name) {
			selected = append(selected, s)
		}
	}
	return selected, nil
}

// run measures the suites one after the other and compares their figures with
// the accepted ones.
func run(o options) error {
	old, err := accepted.Load(o.accepted)
	if err != nil {
		return err
	}
	// The suites that start processes share one build of the programs, which is
	// removed at the end.
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
