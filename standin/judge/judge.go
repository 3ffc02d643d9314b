// Package judge decides from records alone whether a closing kept the
// promises.
//
// It sets what callers saw against what the stand-ins' ledgers say was run,
// and asks nothing of the system under test. It is a pure function of its
// evidence.
//
// # Usage
//
//	verdict := judge.Judge(judge.Evidence{Records: records, Ledgers: ledgers})
//	if !verdict.Kept() {
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

// Answer says how the bytes that a caller got compare with the whole answer
// that it should get.
type Answer int

// The ways in which an answer may compare.
const (
	// Missing is an answer of which nothing came; it is the zero value.
	Missing Answer = iota
	// Truncated is a true beginning of the answer.
	Truncated
	// Exact is the answer, and nothing more.
	Exact
	// Foreign is an answer with bytes that do not belong where they stand:
	// another's, or repeated, or after a gap.
	Foreign
)

// Compare compares the answer that came with the one wanted.
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

// Record is one request as its caller saw it.
type Record struct {
	// Line is the request's line in the closing, from 1.
	Line           int       `json:"line"`
	Workspace      string    `json:"workspace"`
	Class          string    `json:"class,omitempty"`
	IdempotencyKey string    `json:"idempotency-key,omitempty"`
	MayNotRepeat   bool      `json:"may-not-repeat,omitempty"`
	Attempts       []Attempt `json:"attempts"`
	// Outcome is the final one; None says that no final answer came.
	Outcome outcome.Outcome `json:"outcome"`
	Answer  Answer          `json:"answer"`
	// First and Total are the times to the first byte of the answer and to
	// the final word.
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

// Node holds what one node said it had in force, as it was asked again and
// again; each sample is the node's whole history since it started, of which
// it may have dropped the oldest part.
type Node struct {
	Name    string     `json:"name"`
	Samples [][]uint64 `json:"samples"`
}

// Evidence is all that is judged.
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

// Verdict is the outcome of a closing.
type Verdict struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	NotRun   int `json:"not-run"`
	Unknown  int `json:"unknown"`
	Failed   int `json:"failed"`
	// Lost counts requests without a final answer, and those called complete
	// whose answer was not whole.
	Lost int `json:"lost"`
	// Doubled counts runs beyond the first, and runs that a caller was told
	// had not taken place.
	Doubled int `json:"doubled"`
	// Foreign counts requests that got bytes that were not theirs.
	Foreign          int `json:"foreign"`
	MapMismatchSteps int `json:"map-mismatch-steps"`
	Reverts          int `json:"reverts"`
	// Unmatched counts complete requests that no ledger shows. The ledgers
	// are then not those of the targets that ran, and the other counts say
	// nothing.
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

// Judge weighs the evidence.
func Judge(e Evidence) *Verdict {
	v := &Verdict{Requests: len(e.Records)}
	for i := range e.Records {
		v.record(&e.Records[i])
	}
	runs := index(e.Ledgers)
	v.doubles(e.Records, runs)
	v.refusals(e.Records, runs)
	if len(e.Ledgers) > 0 {
		v.unmatched(e.Records, runs)
	}
	v.maps(e.Ranks)
	v.reverts(e.Nodes)
	return v
}

func (v *Verdict) record(r *Record) {
	switch r.Outcome {
	case outcome.Complete:
		v.Complete++
		if r.Answer == Missing || r.Answer == Truncated {
			v.breach(&v.Lost, "lost", "line %d: called complete but not whole", r.Line)
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
		v.breach(&v.Foreign, "foreign", "line %d: answer is not the one wanted", r.Line)
	}
}
