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

// A test run that fails because its addresses are in use is retried after a pause.
const (
	addressRetries    = 5
	addressRetryDelay = 10 * time.Second
)

// testTimeout limits a test, which may hang once its guard is disabled.
const testTimeout = "60s"

// Verdict is the outcome of checking a guard.
type Verdict string

// The verdicts.
const (
	// Killed means that the named test fails once the guard is disabled.
	Killed Verdict = "killed"
	// Survived means that the test passes with the guard disabled.
	Survived Verdict = "survived"
	// DidNotBuild means that the patched code does not compile.
	DidNotBuild Verdict = "did-not-build"
	// DoesNotApply means that the patch no longer matches the code.
	DoesNotApply Verdict = "patch-does-not-apply"
	// FailsUnpatched means that the test fails with the guard in place, so it
	// shows nothing about the guard.
	FailsUnpatched Verdict = "fails-unpatched"
	// Disturbed means that the addresses of the test were in use by another run
	// of it on this machine, which shows nothing about the guard.
	Disturbed Verdict = "disturbed"
	// NoTest means that the pattern matches no test.
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

// checker checks guards against one copy of the tree. A patched file replaces
// the file in the copy through the -overlay flag of the go command only, so that
// concurrent checks don't affect each other.
type checker struct {
	tree, scratch string
	// alone serializes the tests of guards that are marked alone.
	alone sync.Mutex
}

// checkAll first runs the tests on the unpatched copy, then checks the guards.
// It prints each result once it is known and returns the results in the order of
// the list.
func (c *checker) checkAll(ctx context.Context, guards []Guard, parallel int, out io.Writer) []Result {
	var mu sync.Mutex
	baseline := make(map[suite]testRun)
	suites := suitesOf(guards)
	forEach(parallel, len(suites), func(i int) {
		r := c.test(ctx, suites[i], "")
		mu.Lock()
		defer mu.Unlock()
		baseline[suites[i]] = r
	})
	results := make([]Result, 0, len(guards))
	forEach(parallel, len(guards), func(i int) {
		r := Result{Guard: guards[i], order: i}
		r.Verdict, r.Detail = c.check(ctx, guards[i], baseline[suiteOf(guards[i])])
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

// suite selects tests of a package.
type suite struct {
	pkg, tests string
	alone      bool
}

func suiteOf(g Guard) suite { return suite{g.Package, g.Tests, g.Alone} }

// suitesOf returns the distinct suites that the guards name.
func suitesOf(guards []Guard) []suite {
	var suites []suite
	for _, g := range guards {
		if s := suiteOf(g); !slices.Contains(suites, s) {
			suites = append(suites, s)
		}
	}
	return suites
}

// forEach calls fn with 0 to n-1, with at most parallel calls at a time.
func forEach(parallel, n int, fn func(int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(i)
		})
	}
	wg.Wait()
}

// check runs the test of a guard on the patched tree, if it passes on the
// unpatched one, and returns the verdict with an explanation.
func (c *checker) check(ctx context.Context, g Guard, unpatched testRun) (Verdict, string) {
	if unpatched.noTests() {
		return NoTest, g.Tests
	}
	if unpatched.addressInUse() {
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
	case r.buildFailed():
		return DidNotBuild, r.buildError()
	case r.addressInUse():
		return Disturbed, g.Tests
	case r.passed:
		return Survived, g.Tests
	}
	if bytes.Contains(r.output, []byte("panic: test timed out")) {
		return Killed, "test timed out"
	}
	return Killed, ""
}

// overlay writes the patched file outside the tree and returns the path of the
// overlay description that makes the go command read it instead of the original.
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
	patchedFile := filepath.Join(c.scratch, g.Name+".go")
	if err := os.WriteFile(patchedFile, patched, 0o644); err != nil {
		return "", err
	}
	raw, err := json.Marshal(map[string]map[string]string{"Replace": {file: patchedFile}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(c.scratch, g.Name+".json")
	return overlay, os.WriteFile(overlay, raw, 0o644)
}

// testRun is the result of a go test command.
type testRun struct {
	passed bool
	output []byte
}

// test runs a suite, and retries it while its addresses are in use.
func (c *checker) test(ctx context.Context, s suite, overlay string) testRun {
	if s.alone {
		c.alone.Lock()
		defer c.alone.Unlock()
	}
	r := c.run(ctx, s, overlay)
	for range addressRetries {
		if !r.addressInUse() || ctx.Err() != nil {
			break
		}
		select {
		case <-time.After(addressRetryDelay):
		case <-ctx.Done():
		}
		r = c.run(ctx, s, overlay)
	}
	return r
}

// run runs a suite once. The overlay is passed in GOFLAGS, so that it also applies
// to programs that a test builds.
func (c *checker) run(ctx context.Context, s suite, overlay string) testRun {
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-vet=off", "-timeout="+testTimeout, "-run=^("+s.tests+")$", s.pkg)
	cmd.Dir = c.tree
	flags := "-buildvcs=false"
	if overlay != "" {
		flags += " -overlay=" + overlay
	}
	cmd.Env = append(os.Environ(), "GOTOOLCHAIN=local", "GOFLAGS="+flags, "TMPDIR="+c.scratch, "GOWORK="+filepath.Join(c.tree, "go.work"))
	// A test that times out leaves its child processes running. They would keep their addresses,
	// and the next run of the same test would fail to listen on them, so the whole process group
	// is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output, err := cmd.CombinedOutput()
	if cmd.Process != nil {
		// An error is expected: usually no process of the group is left.
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	}
	if err != nil && !errors.As(err, new(*exec.ExitError)) {
		output = append(output, err.Error()...)
	}
	return testRun{passed: err == nil, output: output}
}

func (r testRun) buildFailed() bool {
	return bytes.Contains(r.output, []byte("[build failed]")) || bytes.Contains(r.output, []byte("[setup failed]"))
}

func (r testRun) addressInUse() bool {
	return !r.passed && bytes.Contains(r.output, []byte("address already in use"))
}

func (r testRun) noTests() bool {
	return bytes.Contains(r.output, []byte("[no tests to run]")) || bytes.Contains(r.output, []byte("[no test files]"))
}

func (r testRun) firstFailure() string { return r.line("--- FAIL: ") }

func (r testRun) buildError() string { return r.line(".go:") }

// line returns the first line of the output that contains substr, or the last line
// if there is none.
func (r testRun) line(substr string) string {
	for line := range strings.Lines(string(r.output)) {
		if strings.Contains(line, substr) {
			return strings.TrimSpace(line)
		}
	}
	last := strings.Split(strings.TrimSpace(string(r.output)), "\n")
	return last[len(last)-1]
}
