package main

import (
	"strings"
	"testing"
)

const source = `package p

type T[V any] struct{}

func (t *T[V]) Put(n int) bool {
	if n > 3 {
		return false
	}
	return true
}

func Put(n int) bool {
	if n > 3 {
		return false
	}
	return n > 3
}
`

// A patch that hits another place than the guard would report a guard as held
// that nothing holds: it must find its text once, in its function.
func TestPatch(t *testing.T) {
	for _, tt := range []struct {
		function, old string
		ok            bool
	}{
		{"T.Put", "if n > 3 {", true},
		{"Put", "if n > 3 {", true},
		{"Put", "n > 3", false},
		{"Get", "n > 3", false},
		{"T.Put", "n > 4", false},
	} {
		got, err := patch([]byte(source), Guard{Function: tt.function, Old: tt.old, New: "if false {"})
		if (err == nil) != tt.ok {
			t.Errorf("%s %q: error %v", tt.function, tt.old, err)
		}
		if err != nil {
			continue
		}
		before, after, _ := strings.Cut(string(got), "func Put")
		inMethod, inFunction := strings.Contains(before, "false {"), strings.Contains(after, "false {")
		if inMethod == inFunction || inMethod != (tt.function == "T.Put") {
			t.Errorf("%s: patched another function", tt.function)
		}
	}
}

// A run that ends early, as by a build error, must not count as a killed guard.
func TestTestRun(t *testing.T) {
	if r := (testRun{output: []byte("FAIL\tp [build failed]\n")}); !r.notBuilt() {
		t.Error("build error not seen")
	}
	if r := (testRun{passed: true, output: []byte("ok  p 0.1s [no tests to run]\n")}); !r.empty() {
		t.Error("missing test not seen")
	}
}

// An entry without a test, or one that stands twice, would be a guard that
// nobody checks.
func TestParseList(t *testing.T) {
	whole := `{"name":"a","promise":"p","failure":"f","shows":"s","file":"x.go","function":"F","old":"o","new":"","package":"p","tests":"T"}`
	for list, ok := range map[string]bool{
		"[" + whole + "]":                                          true,
		"[" + whole + "," + whole + "]":                            false,
		"[" + strings.Replace(whole, `"T"`, `""`, 1) + "]":         false,
		"[" + strings.Replace(whole, `"tests"`, `"test"`, 1) + "]": false,
	} {
		if _, err := parseList([]byte(list)); (err == nil) != ok {
			t.Errorf("%s: error %v", list, err)
		}
	}
}

// The page stands in the repository, so that two runs of one tree must give the
// same text: guards of one promise together, and each survivor with its reason.
func TestPage(t *testing.T) {
	text := string(page([]Result{
		{Guard: Guard{Name: "a", Promise: "one"}, Verdict: Killed},
		{Guard: Guard{Name: "b", Promise: "two"}, Verdict: Killed, order: 1},
		{Guard: Guard{Name: "c", Promise: "one", Surviving: "it is shy"}, Verdict: Survived, order: 2},
	}))
	if strings.Count(text, "## One") != 1 || strings.Index(text, "| c |") > strings.Index(text, "## Two") {
		t.Error("a promise stands in two places")
	}
	if !strings.Contains(text, "- c (survived): it is shy.") {
		t.Error("a survivor has no reason")
	}
}
