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

// Guards against a patch that changes other code than the guard, which would report
// an untested guard as killed: the text must occur once, in the named function.
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

// A run that ends before the test, for example with a build error, must not count
// as a killed guard.
func TestTestRun(t *testing.T) {
	if r := (testRun{output: []byte("FAIL\tp [build failed]\n")}); !r.buildFailed() {
		t.Error("build error not detected")
	}
	if r := (testRun{passed: true, output: []byte("ok  p 0.1s [no tests to run]\n")}); !r.noTests() {
		t.Error("missing test not detected")
	}
}

// Guards against an entry without a test and against a duplicate entry, which would
// never be checked.
func TestParseList(t *testing.T) {
	complete := `{"name":"a","promise":"p","failure":"f","shows":"s","file":"x.go","function":"F","old":"o","new":"","package":"p","tests":"T"}`
	for list, ok := range map[string]bool{
		"[" + complete + "]":                                          true,
		"[" + complete + "," + complete + "]":                         false,
		"[" + strings.Replace(complete, `"T"`, `""`, 1) + "]":         false,
		"[" + strings.Replace(complete, `"tests"`, `"test"`, 1) + "]": false,
	} {
		if _, err := parseList([]byte(list)); (err == nil) != ok {
			t.Errorf("%s: error %v", list, err)
		}
	}
}

// The page is kept in the repository, so that two runs on the same tree must produce
// the same text: guards grouped by promise, and each survivor with its reason.
func TestPage(t *testing.T) {
	text := string(page([]Result{
		{Guard: Guard{Name: "a", Promise: "one"}, Verdict: Killed},
		{Guard: Guard{Name: "b", Promise: "two"}, Verdict: Killed, order: 1},
		{Guard: Guard{Name: "c", Promise: "one", Surviving: "it is shy"}, Verdict: Survived, order: 2},
	}))
	if strings.Count(text, "## One") != 1 || strings.Index(text, "| c |") > strings.Index(text, "## Two") {
		t.Error("the guards of a promise are not grouped")
	}
	if !strings.Contains(text, "- c (survived): it is shy.") {
		t.Error("the reason of a survivor is missing")
	}
}
