package judge_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/outcome"
	"verbenashift/standin/judge"
	"verbenashift/standin/ledger"
)

func at(second int) time.Time { return time.Unix(int64(second), 0) }

func run(id, key string, started int) ledger.Run {
	return ledger.Run{RequestID: id, IdempotencyKey: key, Workspace: "w", Started: at(started)}
}

func attempt(id string, o outcome.Outcome, began, ended int) judge.Attempt {
	return judge.Attempt{RequestID: id, Outcome: o, Began: at(began), Ended: at(ended)}
}

// record returns a record with the outcome of its last attempt, and with the
// exact answer if that is complete.
func record(key string, once bool, attempts ...judge.Attempt) judge.Record {
	r := judge.Record{Line: 1, Workspace: "w", IdempotencyKey: key, MayNotRepeat: once, Attempts: attempts}
	r.Outcome = attempts[len(attempts)-1].Outcome
	if r.Outcome == outcome.Complete {
		r.Answer = judge.Exact
	}
	return r
}

func runs(r ...ledger.Run) []ledger.Report { return []ledger.Report{{Runs: r}} }

func answered(a judge.Answer, o outcome.Outcome) judge.Evidence {
	r := record("", false, attempt("a", o, 0, 9))
	r.Answer = a
	return judge.Evidence{Records: []judge.Record{r}}
}

func rank(n int, spans ...judge.Span) judge.Rank {
	return judge.Rank{Group: "g", Rank: n, Spans: spans}
}

func node(samples ...[]uint64) judge.Evidence {
	return judge.Evidence{Nodes: []judge.Node{{Name: "n", Samples: samples}}}
}

const (
	complete = outcome.Complete
	notRun   = outcome.NotRun
)

var cases = []struct {
	name  string
	given judge.Evidence
	// broken lists the promises that are violated.
	broken string
}{
	{"complete answer", answered(judge.Exact, complete), ""},
	{"complete without an answer", answered(judge.Missing, complete), "lost"},
	{"complete with half an answer", answered(judge.Truncated, complete), "lost"},
	{"no final answer", answered(judge.Truncated, outcome.None), "lost"},
	{"half an answer that says so", answered(judge.Truncated, outcome.Failed), ""},
	{"bytes of another answer", answered(judge.Foreign, complete), "foreign"},
	{"bytes of another answer before a failure", answered(judge.Foreign, outcome.Unknown), "foreign"},
	{"key ran twice at two targets", judge.Evidence{
		Records: []judge.Record{record("k", true, attempt("a", complete, 0, 9))},
		Ledgers: append(runs(run("a", "k", 1)), runs(run("a", "k", 2))...),
	}, "doubled"},
	{"key ran twice for two requests", judge.Evidence{
		Records: []judge.Record{record("k", false, attempt("a", complete, 0, 9)), record("k", false, attempt("b", complete, 0, 9))},
		Ledgers: runs(run("a", "k", 1), run("b", "k", 2)),
	}, "doubled"},
	{"repeatable request continued at another target", judge.Evidence{
		Records: []judge.Record{record("k", false, attempt("a", complete, 0, 9))},
		Ledgers: runs(run("a", "k", 1), run("a", "k", 2)),
	}, ""},
	{"non-repeatable request without a key ran twice", judge.Evidence{
		Records: []judge.Record{record("", true, attempt("a", complete, 0, 9))},
		Ledgers: runs(run("a", "", 1), run("a", "", 2)),
	}, "doubled"},
	{"same key of two workspaces", judge.Evidence{
		Records: []judge.Record{record("k", true, attempt("a", complete, 0, 9))},
		Ledgers: runs(run("a", "k", 1), ledger.Run{RequestID: "b", IdempotencyKey: "k", Workspace: "other"}),
	}, ""},
	{"not-run that had already run", judge.Evidence{
		Records: []judge.Record{record("", false, attempt("a", notRun, 2, 3))},
		Ledgers: runs(run("a", "", 1)),
	}, "doubled"},
	{"not-run that ran after the refusal", judge.Evidence{
		Records: []judge.Record{record("", false, attempt("a", notRun, 0, 1), attempt("b", complete, 2, 3))},
		Ledgers: runs(run("a", "", 5), run("b", "", 2)),
	}, "doubled"},
	{"not-run, then run by a later attempt", judge.Evidence{
		Records: []judge.Record{record("k", true, attempt("a", notRun, 0, 1), attempt("a", complete, 2, 4))},
		Ledgers: runs(run("a", "k", 3)),
	}, ""},
	{"not-run whose key ran under another id", judge.Evidence{
		Records: []judge.Record{record("k", true, attempt("a", notRun, 0, 1))},
		Ledgers: runs(run("b", "k", 0)),
	}, "doubled"},
	{"not-run for a second request with the key", judge.Evidence{
		Records: []judge.Record{record("k", true, attempt("a", notRun, 0, 1)), record("k", true, attempt("b", complete, 0, 1))},
		Ledgers: runs(run("b", "k", 0)),
	}, ""},
	{"ledgers of other targets", judge.Evidence{
		Records: []judge.Record{record("", false, attempt("a", complete, 0, 1))},
		Ledgers: runs(run("b", "", 0)),
	}, "unmatched"},
	{"one map a step", judge.Evidence{Ranks: []judge.Rank{
		rank(0, judge.Span{From: 1, To: 5, Map: 1}, judge.Span{From: 6, To: 9, Map: 2}),
		rank(1, judge.Span{From: 1, To: 5, Map: 1}, judge.Span{From: 6, To: 8, Map: 2}),
	}}, ""},
	{"one rank changed its map two steps late", judge.Evidence{Ranks: []judge.Rank{
		rank(0, judge.Span{From: 1, To: 5, Map: 1}, judge.Span{From: 6, To: 9, Map: 2}),
		rank(1, judge.Span{From: 1, To: 7, Map: 1}, judge.Span{From: 8, To: 9, Map: 2}),
	}}, "map-mismatch-steps map-mismatch-steps"},
	{"revisions increase", node([]uint64{1, 2}, []uint64{1, 2, 5}, []uint64{2, 5, 6}), ""},
	{"restart at the newest revision", node([]uint64{1, 2}, nil, []uint64{2, 3}), ""},
	{"went back to an older revision", node([]uint64{1, 3, 2}), "reverts"},
	{"restart at an older revision", node([]uint64{1, 2, 3}, []uint64{2, 3, 4}, []uint64{3}), "reverts"},
}

func counts(v *judge.Verdict) string {
	var broken []string
	for _, c := range []struct {
		name string
		n    int
	}{
		{"lost", v.Lost},
		{"doubled", v.Doubled},
		{"foreign", v.Foreign},
		{"map-mismatch-steps", v.MapMismatchSteps},
		{"reverts", v.Reverts},
		{"unmatched", v.Unmatched},
	} {
		for range c.n {
			broken = append(broken, c.name)
		}
	}
	return strings.Join(broken, " ")
}

// Checks each kind of breach once: a judge that passes a workload with a breach
// would make every proof that relies on it meaningless.
func TestJudge(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := judge.Judge(c.given)
			is.Equal(counts(v), c.broken)
			is.Equal(v.Passed(), c.broken == "")
			is.Equal(len(v.Breaches) > 0, c.broken != "")
		})
	}
}

func TestCompare(t *testing.T) {
	is := is.New(t)
	is.Equal(judge.Compare("abc", "abc"), judge.Exact)
	is.Equal(judge.Compare("ab", "abc"), judge.Truncated)
	is.Equal(judge.Compare("", "abc"), judge.Missing)
	is.Equal(judge.Compare("abcd", "abc"), judge.Foreign)
	is.Equal(judge.Compare("ac", "abc"), judge.Foreign)
}

func TestVerdictForm(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("testdata/verdict.golden")
	is.NoErr(err)
	got, err := json.Marshal(judge.Judge(answered(judge.Foreign, complete)))
	is.NoErr(err)
	is.Equal(string(got), strings.TrimSpace(string(want)))
}
