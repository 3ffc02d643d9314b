package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A test that found its addresses taken is run again, after a pause.
const (
	disturbedTries = 5
	disturbedPause = 10 * time.Second
)

// testTimeout ends a test that hangs without its guard.
const testTimeout = "60s"

// Verdict is what became of a guard.
type Verdict string

// The verdicts.
const (
	// Killed guards have a test that fails without them.
	Killed Verdict = "killed"
	// Survived guards can be switched off unnoticed.
	Survived Verdict = "survived"
	// DidNotBuild patches are no Go.
	DidNotBuild Verdict = "did-not-build"
	// DoesNotApply patches do not fit the code any more.
	DoesNotApply Verdict = "patch-does-not-apply"
	// FailsUnpatched tests fail with the guard in place, so that they show
	// nothing about it.
	FailsUnpatched Verdict = "fails-unpatched"
	// Disturbed tests found their addresses taken by another run of theirs on
	// this machine, which says nothing about the guard.
	Disturbed Verdict = "disturbed"
	// NoTest patterns match no test.
	NoTest Verdict = "no-test"
)

// Result is the verdict on a guard.
type Result struct {
	Guard
	Verdict Verdict
	// Detail explains the verdict.
	Detail string
	order  int
}

// checker checks guards against one copy of the tree. Patched files are laid
// over the copy for the go command alone, so that checks don't disturb each
// other.
type checker struct {
	tree, scratch string
	// alone is held by a test that can't run beside others of its kind.
	alone sync.Mutex
}

// checkAll first runs the tests on the unpatched copy, then the guards. It
// prints each result as it comes and returns them in the order of the list.
func (c *checker) checkAll(ctx context.Context, guards []Guard, parallel int, out io.Writer) []Result {
	var mu sync.Mutex
	sound := make(map[suite]testRun)
	suites := suitesOf(guards)
	each(parallel, len(suites), func(i int) {
		r := c.test(ctx, suites[i], "")
		mu.Lock()
		defer mu.Unlock()
		sound[suites[i]] = r
	})
	results := make([]Result, 0, len(guards))
	each(parallel, len(guards), func(i int) {
		r := Result{Guard: guards[i], order: i}
		r.Verdict, r.Detail = c.check(ctx, guards[i], sound[suiteOf(guards[i])])
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
		if ctx.Err() == nil {
			fmt.Fprintln(out, strings.TrimSpace(fmt.Sprintf("%-20s %-44s %s", r.Verdict, r.Name, r.Detail)))
		}
	})
	slices.SortFunc(results, byOrder)
	return results
}

// suite names some tests of a package.
type suite struct {
	pkg, tests string
	alone      bool
}

func suiteOf(g Guard) suite { return suite{g.Package, g.Tests, g.Alone} }

// suitesOf lists the tests that the guards name, each once.
func suitesOf(guards []Guard) []suite {
	var suites []suite
	for _, g := range guards {
		if s := suiteOf(g); !slices.Contains(suites, s) {
			suites = append(suites, s)
		}
	}
	return suites
}

// each calls do for 0 to n-1, a few at a time.
func each(parallel, n int, do func(int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	wg.Wait()
}

func (c *checker) check(ctx context.Context, g Guard, unpatched testRun) (Verdict, string) {
	if unpatched.empty() {
		return NoTest, g.Tests
	}
	if unpatched.disturbed() {
		return Disturbed, g.Tests
	}
	if !unpatched.passed {
		return FailsUnpatched, unpatched.firstFailure()
	}
	overlay, err := c.overlay(g)
	if err != nil {
		return DoesNotApply, err.Error()
	}
	r := c.test(ctx, suiteOf(g), overlay)
	switch {
	case r.notBuilt():
		return DidNotBuild, r.buildError()
	case r.disturbed():
		return Disturbed, g.Tests
	case r.passed:
		return Survived, g.Tests
	}
	if bytes.Contains(r.output, []byte("panic: test timed out")) {
		return Killed, "by the timeout"
	}
	return Killed, ""
}

// overlay writes the patched file beside the tree, and the description that has
// the go command read it in place of the file in the tree.
func (c *checker) overlay(g Guard) (string, error) {
	file := filepath.Join(c.tree, filepath.FromSlash(g.File))
	src, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("no file %s", g.File)
	}
	patched, err := patch(src, g)
	if err != nil {
		return "", err
	}
	place := filepath.Join(c.scratch, g.Name+".go")
	if err := os.WriteFile(place, patched, 0o644); err != nil {
		return "", err
	}
	raw, err := json.Marshal(map[string]map[string]string{"Replace": {file: place}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(c.scratch, g.Name+".json")
	return overlay, os.WriteFile(overlay, raw, 0o644)
}

// testRun is a finished go test.
type testRun struct {
	passed bool
	output []byte
}

// test runs a suite. One that was disturbed is tried again.
func (c *checker) test(ctx context.Context, s suite, overlay string) testRun {
	if s.alone {
		c.alone.Lock()
		defer c.alone.Unlock()
	}
	r := c.run(ctx, s, overlay)
	for range disturbedTries {
		if !r.disturbed() || ctx.Err() != nil {
			break
		}
		select {
		case <-time.After(disturbedPause):
		case <-ctx.Done():
		}
		r = c.run(ctx, s, overlay)
	}
	return r
}

// run runs a suite once. The overlay is given in the environment, so that
// programs which a test builds have it too.
func (c *checker) run(ctx context.Context, s suite, overlay string) testRun {
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-vet=off", "-timeout="+testTimeout, "-run=^("+s.tests+")$", s.pkg)
	cmd.Dir = c.tree
	flags := "-buildvcs=false"
	if overlay != "" {
		flags += " -overlay=" + overlay
	}
	cmd.Env = append(os.Environ(), "GOTOOLCHAIN=local", "GOFLAGS="+flags, "TMPDIR="+c.scratch, "GOWORK="+filepath.Join(c.tree, "go.work"))
	// A test that is ended by its timeout leaves the processes that it has started; they would
	// keep their addresses, and the next run of the same test would find them taken.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output, err := cmd.CombinedOutput()
	if cmd.Process != nil {
		// Most of the time nothing is left of the group, which is no error here.
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	}
	if err != nil && !errors.As(err, new(*exec.ExitError)) {
		output = append(output, err.Error()...)
	}
	return testRun{passed: err == nil, output: output}
}

func (r testRun) notBuilt() bool {
	return bytes.Contains(r.output, []byte("[build failed]")) || bytes.Contains(r.output, []byte("[setup failed]"))
}

func (r testRun) disturbed() bool {
	return !r.passed && bytes.Contains(r.output, []byte("address already in use"))
}

func (r testRun) empty() bool {
	return bytes.Contains(r.output, []byte("[no tests to run]")) || bytes.Contains(r.output, []byte("[no test files]"))
}

func (r testRun) firstFailure() string { return r.line("--- FAIL: ") }

func (r testRun) buildError() string { return r.line(".go:") }

// line returns the first line of the output that has the mark in it.
func (r testRun) line(mark string) string {
	for line := range strings.Lines(string(r.output)) {
		if strings.Contains(line, mark) {
			return strings.TrimSpace(line)
		}
	}
	last := strings.Split(strings.TrimSpace(string(r.output)), "\n")
	return last[len(last)-1]
}
