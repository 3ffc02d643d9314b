// Package judge decides from recorded evidence whether the system under test
// kept its promises while it served a workload.
//
// It compares the callers' records with the runs in the stand-ins' ledgers and
// makes no calls to the system under test. The verdict is a pure function of
// the evidence.
//
// # Usage
//
//	verdict := judge.Judge(judge.Evidence{Records: records, Ledgers: ledgers})
//	if !verdict.Passed() {
//		for _, b := range verdict.Breaches {
//			fmt.Println(b)
//		}
//	}
package judge

import (
	"fmt"
	"strings"
	"time"

	"verbenashift/core/request/outcome"
	"verbenashift/standin/ledger"
)

// Answer classifies the bytes that a caller received against the expected
// answer.
type Answer int

// The classes of answers.
const (
	// Missing means that no bytes were received; it is the zero value.
	Missing Answer = iota
	// Truncated means a proper prefix of the expected answer.
	Truncated
	// Exact means the complete expected answer and nothing else.
	Exact
	// Foreign means bytes that do not belong at their position: those of
	// another answer, repeated ones, or ones after a gap.
	Foreign
)

// Compare classifies the received answer got against the expected answer want.
func Compare(got, want string) Answer {
	switch {
	case got == want:
		return Exact
	case got == "":
		return Missing
	case strings.HasPrefix(want, got):
		return Truncated
	}
	return Foreign
}

// Attempt is one exchange of a caller with an entry.
type Attempt struct {
	Entry     string          `json:"entry"`
	RequestID string          `json:"request-id,omitempty"`
	Began     time.Time       `json:"began"`
	Ended     time.Time       `json:"ended"`
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    string          `json:"reason,omitempty"`
}

// Record is the history of one request as its caller observed it.
type Record struct {
	// Line is the line number of the request in the workload, from 1.
	Line           int       `json:"line"`
	Workspace      string    `json:"workspace"`
	Class          string    `json:"class,omitempty"`
	IdempotencyKey string    `json:"idempotency-key,omitempty"`
	MayNotRepeat   bool      `json:"may-not-repeat,omitempty"`
	Attempts       []Attempt `json:"attempts"`
	// Outcome is the final one; None means that no final answer was received.
	Outcome outcome.Outcome `json:"outcome"`
	Answer  Answer          `json:"answer"`
	// First and Total are the times from the start of the request to the first
	// byte of the answer and to the end of the last attempt.
	First time.Duration `json:"first-ns"`
	Total time.Duration `json:"total-ns"`
}

// Span is a run of steps that a rank made on one expert map.
type Span struct {
	// From and To are the first and the last step.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	Map  uint64 `json:"map"`
}

// Rank is the ledger of one rank of a group.
type Rank struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	Spans []Span `json:"spans"`
}

// Node holds the configuration revisions that one node reported as in force,
// polled at intervals. Each sample is the node's history since it started,
// except that the node may have dropped the oldest part.
type Node struct {
	Name    string     `json:"name"`
	Samples [][]uint64 `json:"samples"`
}

// Evidence is the input of Judge.
type Evidence struct {
	Records []Record
	Ledgers []ledger.Report
	Ranks   []Rank
	Nodes   []Node
}

// Breach is one broken promise.
type Breach struct {
	// Promise is the name of the count in Verdict.
	Promise string
	Detail  string
}

// String returns the breach as one line.
func (b Breach) String() string { return b.Promise + ": " + b.Detail }

// Verdict is the result of judging one workload.
type Verdict struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	NotRun   int `json:"not-run"`
	Unknown  int `json:"unknown"`
	Failed   int `json:"failed"`
	// Lost counts requests without a final answer, and those reported as
	// complete whose answer was missing or truncated.
	Lost int `json:"lost"`
	// Doubled counts runs beyond the first, and runs of requests that the
	// caller was told had not run.
	Doubled int `json:"doubled"`
	// Foreign counts requests that received bytes of another answer.
	Foreign          int `json:"foreign"`
	MapMismatchSteps int `json:"map-mismatch-steps"`
	Reverts          int `json:"reverts"`
	// Unmatched counts complete requests that are in no ledger. If it is not
	// 0, the ledgers are not those of the targets that ran the requests, and
	// the other counts are meaningless.
	Unmatched int      `json:"unmatched"`
	Breaches  []Breach `json:"-"`
}

// Passed reports whether every promise was kept.
func (v *Verdict) Passed() bool {
	return v.Lost+v.Doubled+v.Foreign+v.MapMismatchSteps+v.Reverts+v.Unmatched == 0
}

func (v *Verdict) breach(count *int, promise, format string, args ...any) {
	*count++
	v.Breaches = append(v.Breaches, Breach{promise, fmt.Sprintf(format, args...)})
}

// Judge checks the evidence against every promise.
func Judge(e Evidence) *Verdict {
	v := &Verdict{Requests: len(e.Records)}
	for i := range e.Records {
		v.countRecord(&e.Records[i])
	}
	runs := indexRuns(e.Ledgers)
	v.countDoubled(e.Records, runs)
	v.checkRefusals(e.Records, runs)
	if len(e.Ledgers) > 0 {
		v.countUnmatched(e.Records, runs)
	}
	v.countMapMismatches(e.Ranks)
	v.countReverts(e.Nodes)
	return v
}

func (v *Verdict) countRecord(r *Record) {
	switch r.Outcome {
	case outcome.Complete:
		v.Complete++
		if r.Answer == Missing || r.Answer == Truncated {
			v.breach(&v.Lost, "lost", "line %d: reported as complete, but the answer is incomplete", r.Line)
		}
	case outcome.NotRun:
		v.NotRun++
	case outcome.Unknown:
		v.Unknown++
	case outcome.Failed:
		v.Failed++
	default:
		v.breach(&v.Lost, "lost", "line %d: no final answer", r.Line)
	}
	if r.Answer == Foreign {
		v.breach(&v.Foreign, "foreign", "line %d: answer differs from the expected one", r.Line)
	}
}
