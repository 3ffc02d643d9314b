// Package ledger records what a target stand-in ran.
//
// The ledger is the oracle of every proof: a run is written down before it
// begins and again when it ends, so that neither a lost answer nor a killed
// process can hide it.
//
// # Usage
//
//	l, err := ledger.Open(path) // an empty path keeps it in memory only
//	n, err := l.Start(ledger.Run{RequestID: id})
//	l.End(n, ledger.Result{Tokens: 16})
package ledger

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const maxLine = 1 << 20

// Run is one execution of a request at one target.
type Run struct {
	// Number counts the runs of one ledger from 1.
	Number         int    `json:"number"`
	Target         string `json:"target,omitempty"`
	RequestID      string `json:"request-id"`
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	Workspace      string `json:"workspace,omitempty"`
	Model          string `json:"model,omitempty"`
	// Method and Path are set by plain services.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Digest is the SHA-256 of the prompt or body in hex.
	Digest    string `json:"digest"`
	CacheSalt string `json:"cache-salt,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	// Resumed is the number of tokens that another engine had made before.
	Resumed int       `json:"resumed,omitempty"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
	Result
}

// Result is how a run ended.
type Result struct {
	Tokens    int  `json:"tokens"`
	Cancelled bool `json:"cancelled,omitempty"`
	// Broken says that a fault switch ended the run as if the target died.
	Broken bool `json:"broken,omitempty"`
	// Status is the HTTP status of a plain service's answer.
	Status int `json:"status,omitempty"`
}

// Order is one order that the target applied.
type Order struct {
	Fence    uint64          `json:"fence"`
	Sequence uint64          `json:"sequence"`
	Kind     string          `json:"kind"`
	Argument json.RawMessage `json:"argument,omitempty"`
	Applied  time.Time       `json:"applied"`
}

// Report is the ledger as GET /ledger shows it.
type Report struct {
	Target string  `json:"target,omitempty"`
	Runs   []Run   `json:"runs"`
	Orders []Order `json:"orders,omitempty"`
	// Refused counts requests refused before they ran.
	Refused int `json:"refused"`
	// Conflicts counts runs that found their booking slot taken.
	Conflicts int `json:"conflicts"`
}

// Ledger is safe for use by many goroutines.
type Ledger struct {
	mu     sync.Mutex
	report Report
	file   *os.File
}

// Open returns a ledger that appends to the file at path and begins with the
// runs already in it. With an empty path it lives in memory only.
func Open(path string) (*Ledger, error) {
	l := &Ledger{}
	if path == "" {
		return l, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open ledger")
	}
	l.file = f
	if l.report.Runs, err = Read(f); err == nil {
		// A line that a kill cut short must not swallow the next one.
		_, err = f.WriteString("\n")
	}
	if err != nil {
		_ = f.Close()
		return nil, errors.Wrap(err, "read ledger")
	}
	return l, nil
}

// Read returns the runs of a ledger file. A run with a start line only has a
// zero Ended. A last line cut short by a kill is skipped.
func Read(r io.Reader) ([]Run, error) {
	var runs []Run
	byNumber := make(map[int]int)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var run Run
		if json.Unmarshal(lines.Bytes(), &run) != nil {
			continue
		}
		if at, ok := byNumber[run.Number]; ok {
			runs[at] = run
			continue
		}
		byNumber[run.Number] = len(runs)
		runs = append(runs, run)
	}
	return runs, lines.Err()
}

// SetTarget names the target in reports and in runs started from now on.
func (l *Ledger) SetTarget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Target = name
}

// Start records that a run begins and returns its number. After an error the
// run must not begin.
func (l *Ledger) Start(run Run) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Number = len(l.report.Runs) + 1
	run.Target = l.report.Target
	run.Started = time.Now()
	if err := l.write(run); err != nil {
		return 0, err
	}
	l.report.Runs = append(l.report.Runs, run)
	return run.Number, nil
}

// End records the result of run number n.
func (l *Ledger) End(n int, result Result) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &l.report.Runs[n-1]
	run.Ended = time.Now()
	run.Result = result
	return l.write(*run)
}

// AddOrder records an applied order.
func (l *Ledger) AddOrder(o Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Orders = append(l.report.Orders, o)
}

// AddRefused counts a request that was refused before it ran.
func (l *Ledger) AddRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Refused++
}

// AddConflict counts a run that found its booking slot taken.
func (l *Ledger) AddConflict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Conflicts++
}

// Report returns a copy of the whole ledger.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.report
	r.Runs = append([]Run{}, l.report.Runs...)
	r.Orders = append([]Order(nil), l.report.Orders...)
	return r
}

// ServeHTTP answers GET /ledger.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Report())
}

func (l *Ledger) write(run Run) error {
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(run)
	if err != nil {
		return errors.Wrap(err, "encode run")
	}
	if _, err := l.file.Write(append(line, '\n')); err != nil {
		return errors.Wrap(err, "append run")
	}
	return nil
}
