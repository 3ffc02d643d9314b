// Guards verifies by mutation testing that each guard of the tree is covered by a
// test. For each entry of guards.json it disables the guard in a scratch copy and
// runs the test that must then fail.
//
// # Usage
//
// From the directory of this program:
//
//	go run . [-promises] [-only REGEXP] [-parallel N] [-root DIR] [-table FILE]
//
// It prints one line for each guard and a summary, and exits with status 1 if a
// guard survives, its patch does not apply or does not build, or its test fails
// on the unpatched tree. With -promises it checks only the guards that are marked
// for CI; with -table, which needs a run of all guards, it writes the page with the
// results to FILE.
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
)

// maxParallel is the maximum number of concurrent test runs.
const maxParallel = 3

func main() {
	var opt options
	flag.StringVar(&opt.root, "root", "../..", "root directory of the source tree")
	flag.StringVar(&opt.list, "list", "guards.json", "file with the list of guards")
	flag.StringVar(&opt.table, "table", "", "write the page with the results to this file")
	flag.StringVar(&opt.only, "only", "", "check only the guards whose names match this regular expression")
	flag.BoolVar(&opt.promises, "promises", false, "check only the guards that are marked for CI")
	flag.IntVar(&opt.parallel, "parallel", maxParallel, "number of concurrent tests, at most 3")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	ok, err := run(ctx, opt, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "guards:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// options holds the command-line flags.
type options struct {
	root, list, table, only string
	promises                bool
	parallel                int
}

// run checks the selected guards and reports whether all were killed.
func run(ctx context.Context, opt options, out io.Writer) (bool, error) {
	all, err := readList(opt.list)
	if err != nil {
		return false, err
	}
	only, err := regexp.Compile(opt.only)
	if err != nil {
		return false, err
	}
	selected := slices.DeleteFunc(slices.Clone(all), func(g Guard) bool {
		return opt.promises && !g.CI || !only.MatchString(g.Name)
	})
	if opt.table != "" && len(selected) < len(all) {
		return false, fmt.Errorf("-table needs a run of all guards")
	}
	scratch, err := os.MkdirTemp("", "guards-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(scratch)
	tree, err := filepath.EvalSymlinks(scratch)
	if err != nil {
		return false, err
	}
	if err := copyTree(opt.root, filepath.Join(tree, "tree")); err != nil {
		return false, err
	}
	c := &checker{tree: filepath.Join(tree, "tree"), scratch: tree}
	results := c.checkAll(ctx, selected, min(max(opt.parallel, 1), maxParallel), out)
	if err := ctx.Err(); err != nil {
		return false, err
	}
	fmt.Fprintln(out, summary(results))
	if opt.table != "" {
		if err := os.WriteFile(opt.table, page(results), 0o644); err != nil {
			return false, err
		}
	}
	return !slices.ContainsFunc(results, func(r Result) bool { return r.Verdict != Killed }), nil
}

// byOrder compares results by their position in the list.
func byOrder(a, b Result) int { return cmp.Compare(a.order, b.order) }
