// Guards shows that each guard of the tree is held by a test. For each entry of
// guards.json it patches the guard off in a scratch copy and runs the test that
// must then fail.
//
// # Usage
//
// From the directory of this program:
//
//	go run . [-promises] [-only REGEXP] [-parallel N] [-root DIR] [-table FILE]
//
// It prints one line for each guard and a summary, and exits with status 1 if a
// guard survives, its patch does not apply or does not build, or its test fails
// on the tree as it is. With -promises it runs only the guards of the promises;
// with -table it writes the page of a whole run to FILE.
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

// maxParallel bounds how many tests run at the same time.
const maxParallel = 3

func main() {
	var opt options
	flag.StringVar(&opt.root, "root", "../..", "root of the tree")
	flag.StringVar(&opt.list, "list", "guards.json", "list of the guards")
	flag.StringVar(&opt.table, "table", "", "file to write the page to")
	flag.StringVar(&opt.only, "only", "", "regular expression of the names to run")
	flag.BoolVar(&opt.promises, "promises", false, "run only the guards of the promises")
	flag.IntVar(&opt.parallel, "parallel", maxParallel, "tests at the same time, at most 3")
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

// options are the flags of the program.
type options struct {
	root, list, table, only string
	promises                bool
	parallel                int
}

// run checks the chosen guards and reports whether all are killed.
func run(ctx context.Context, opt options, out io.Writer) (bool, error) {
	all, err := readList(opt.list)
	if err != nil {
		return false, err
	}
	only, err := regexp.Compile(opt.only)
	if err != nil {
		return false, err
	}
	chosen := slices.DeleteFunc(slices.Clone(all), func(g Guard) bool {
		return opt.promises && !g.CI || !only.MatchString(g.Name)
	})
	if opt.table != "" && len(chosen) < len(all) {
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
	results := c.checkAll(ctx, chosen, min(max(opt.parallel, 1), maxParallel), out)
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

// byOrder sorts results as they stand in the list.
func byOrder(a, b Result) int { return cmp.Compare(a.order, b.order) }
