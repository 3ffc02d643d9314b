package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/operator"
)

// columnGap is the minimum number of spaces between two columns.
const columnGap = 2

// table prints rows in aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer, columns ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.row(columns)
	return t
}

func (t *table) row(cells []string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) add(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = cell(c)
	}
	t.row(text)
}

func (t *table) flush() { _ = t.w.Flush() }

// cell returns the text of a value, or "-" if that is empty.
func cell(v any) string {
	if s := fmt.Sprint(v); s != "" {
		return s
	}
	return "-"
}

// timestamp formats a time of the API, or returns "-" if it is not set.
func timestamp(unixMillis int64) string {
	if unixMillis == 0 {
		return "-"
	}
	return time.UnixMilli(unixMillis).UTC().Format(time.RFC3339)
}

func printPlans(w io.Writer, plans []intent.Plan) {
	t := newTable(w, "INTENT", "PLAN", "STATE", "BASE", "REVISION", "DECLARED BY", "CLOSED BY")
	for _, p := range plans {
		t.add(p.Intent.Name, p.ID, p.State, p.BaseRevision, p.Revision, p.DeclaredBy, p.ClosedBy)
	}
	t.flush()
}

// printPlan prints one plan with its moves and its forecast.
func printPlan(w io.Writer, p intent.Plan) {
	fmt.Fprintf(w, "plan %s: %s\n", p.ID, p.State)
	if p.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", p.Reason)
	}
	if p.ClosedBy != "" {
		fmt.Fprintf(w, "closed by %s as revision %d\n", p.ClosedBy, p.Revision)
	}
	fmt.Fprintf(w, "declared by %s for revision %d\n\nmoves:\n", p.DeclaredBy, p.BaseRevision)
	if len(p.Diff) == 0 {
		fmt.Fprintln(w, "  nothing")
	}
	for _, line := range p.Diff {
		fmt.Fprintln(w, "  "+line)
	}
	printForecast(w, p.Forecast)
	for _, b := range p.Breaches {
		fmt.Fprintln(w, "out of bounds: "+b)
	}
}

func printForecast(w io.Writer, f intent.Forecast) {
	fmt.Fprintf(w, "\nexpected (%s):\n", f.Confidence)
	fmt.Fprintf(w, "  skew     %s -> %s\n", formatKnown(f.SkewBefore, "%.2f"), formatKnown(f.SkewAfter, "%.2f"))
	fmt.Fprintf(w, "  moved    %s\n", formatKnown(float64(f.Bytes), "%.0f bytes"))
	fmt.Fprintf(w, "  lasting  %s\n", formatKnown(f.Seconds, "%.1f s"))
	if f.Note != "" {
		fmt.Fprintln(w, "  note     "+f.Note)
	}
}

// formatKnown formats x, which is 0 if it is not known.
func formatKnown(x float64, format string) string {
	if x == 0 {
		return "not known"
	}
	return fmt.Sprintf(format, x)
}

func progress(r operator.RevisionState) string {
	return fmt.Sprintf("%s, in force on %d of %d", r.State, r.InForce, r.Nodes)
}

func printAccepted(w io.Writer, a operator.Accepted) {
	fmt.Fprintf(w, "revision %d %s\n", a.Revision, a.State)
}

func printRevisions(w io.Writer, list []operator.RevisionState) {
	t := newTable(w, "REVISION", "STATE", "IN FORCE", "OPERATOR", "WHEN", "ACTION")
	for _, r := range list {
		t.add(r.Revision, r.State, fmt.Sprintf("%d of %d", r.InForce, r.Nodes), r.Operator, timestamp(r.UnixMillis), r.Action)
	}
	t.flush()
}

func printStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "revision %d: %s\n", s.Revision.Revision, progress(s.Revision))
	if !s.StoreReachable {
		fmt.Fprintln(w, "the store cannot be reached: a newer revision may have been accepted")
	}
	if s.StoreBehind {
		fmt.Fprintln(w, "the store holds an older configuration: nothing can be changed before 'config restore'")
	}
	fmt.Fprintln(w)
	t := newTable(w, "NODE", "KIND", "ZONE", "REVISION", "DRAINING", "QUEUED", "RUNNING", "AGE MS")
	for _, n := range s.Nodes {
		t.add(n.Name, n.Kind, n.Zone, n.Revision, n.Draining, n.Queued, n.Running, n.AgeMillis)
	}
	t.flush()
	if len(s.Groups) == 0 {
		return
	}
	fmt.Fprintln(w)
	g := newTable(w, "GROUP", "STATE", "MAP", "STEP", "SKEW", "STEWARD")
	for _, x := range s.Groups {
		g.add(x.Name, x.State, x.MapVersion, x.Step, fmt.Sprintf("%.2f", x.Skew), x.Coordinator)
	}
	g.flush()
}
