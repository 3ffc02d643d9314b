package main

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// summary returns a line with the number of guards for each verdict.
func summary(results []Result) string {
	counts := make(map[Verdict]int)
	for _, r := range results {
		counts[r.Verdict]++
	}
	var parts []string
	for _, v := range []Verdict{Killed, Survived, DidNotBuild, DoesNotApply, FailsUnpatched, Disturbed, NoTest} {
		parts = append(parts, fmt.Sprintf("%d %s", counts[v], v))
	}
	return fmt.Sprintf("%d guards: %s", len(results), strings.Join(parts, ", "))
}

const head = `# Guards

A guard is a line or two of code that is there for one failure only. This page
is written by ` + "`tools/guards`" + `: for each guard it lays a patch over a scratch copy
of the tree that switches the guard off, and runs the test named here. A guard
is killed when that test then fails; the same test passes on the tree as it is.
A surviving guard is a missing test.

` + "```" + `
cd tools/guards && GOWORK=off go run . -table ../../docs/guards.md
.ci/guards            # the guards marked ci, as the checks run them
.ci/guards -all       # all of them
` + "```" + `

The patches are in ` + "`tools/guards/guards.json`" + `.

`

// page returns the Markdown page with the results. It depends on nothing else, so
// that two runs on the same tree produce the same page.
func page(results []Result) []byte {
	var b bytes.Buffer
	b.WriteString(head)
	fmt.Fprintf(&b, "%s.\n", summary(results))
	promise := ""
	for _, r := range byPromise(results) {
		if r.Promise != promise {
			promise = r.Promise
			fmt.Fprintf(&b, "\n## %s\n\n| guard | failure | without it | place | test | result |\n|---|---|---|---|---|---|\n",
				strings.ToUpper(promise[:1])+promise[1:])
		}
		name := r.Name
		if r.CI {
			name += " (ci)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | `%s`: `%s` | `%s` in `%s` | %s |\n", name, cell(r.Failure), cell(r.Shows),
			r.File, r.Function, cell(r.Tests), strings.TrimPrefix(r.Package, "verbenashift/"), r.Verdict)
	}
	writeSurviving(&b, results)
	return b.Bytes()
}

// byPromise groups the results by promise, and keeps promises and guards in the
// order of the list.
func byPromise(results []Result) []Result {
	first := make(map[string]int)
	for _, r := range results {
		if _, ok := first[r.Promise]; !ok {
			first[r.Promise] = r.order
		}
	}
	return slices.SortedStableFunc(slices.Values(results), func(a, b Result) int {
		return cmp.Compare(first[a.Promise], first[b.Promise])
	})
}

// writeSurviving writes the section of the guards that were not killed.
func writeSurviving(b *bytes.Buffer, results []Result) {
	b.WriteString("\n## Surviving\n\n")
	none := true
	for _, r := range results {
		if r.Verdict == Killed {
			continue
		}
		none = false
		reason := r.Surviving
		if reason == "" {
			reason = "no reason is known yet"
		}
		fmt.Fprintf(b, "- %s (%s): %s.\n", r.Name, r.Verdict, reason)
	}
	if none {
		b.WriteString("None.\n")
	}
}

// cell escapes a text for a table cell.
func cell(s string) string { return strings.ReplaceAll(s, "|", `\|`) }
