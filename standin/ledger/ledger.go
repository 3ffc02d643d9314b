// Package ledger records which requests a fake target ran.
//
// The ledger is the test oracle of every proof: a run is recorded before it
// begins and again when it ends, so neither a lost response nor a killed
// process can hide it.
//
// # Usage
//
//	l, err := ledger.Open(path) // in memory only if path is empty
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
	// Number is the run's number in its ledger, starting at 1.
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
	// Resumed is the number of tokens that another engine had produced before.
	Resumed int       `json:"resumed,omitempty"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
	Result
}

// Result is the result of a run.
type Result struct {
	Tokens    int  `json:"tokens"`
	Cancelled bool `json:"cancelled,omitempty"`
	// Broken reports that an injected fault ended the run as if the target had
	// crashed.
	Broken bool `json:"broken,omitempty"`
	// Status is the HTTP status of a plain service's response.
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

// Report is the content of the ledger as GET /ledger returns it.
type Report struct {
	Target string  `json:"target,omitempty"`
	Runs   []Run   `json:"runs"`
	Orders []Order `json:"orders,omitempty"`
	// Refused counts requests that were rejected before they ran.
	Refused int `json:"refused"`
	// Conflicts counts runs whose booking slot was already taken.
	Conflicts int `json:"conflicts"`
}

// Ledger records runs. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	report Report
	file   *os.File
}

// Open returns a ledger that appends to the file at path and starts with the
// runs already in it. If path is empty, the ledger is kept in memory only.
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
		// Terminate a line that a kill truncated, so that the next one is readable.
		_, err = f.WriteString("\n")
	}
	if err != nil {
		_ = f.Close()
		return nil, errors.Wrap(err, "read ledger")
	}
	return l, nil
}

// Read returns the runs of a ledger file. A run that was started but not ended
// has a zero Ended. A line truncated by a kill is skipped.
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

// SetTarget sets the name of the target in reports and in runs started later.
func (l *Ledger) SetTarget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Target = name
}

// Start records the start of a run and returns its number. If it returns an
// error, the run must not begin.
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

// AddRefused counts a request that was rejected before it ran.
func (l *Ledger) AddRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Refused++
}

// AddConflict counts a run whose booking slot was already taken.
func (l *Ledger) AddConflict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Conflicts++
}

// Report returns a copy of the ledger's content.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.report
	r.Runs = append([]Run{}, l.report.Runs...)
	r.Orders = append([]Order(nil), l.report.Orders...)
	return r
}

// ServeHTTP implements http.Handler and serves GET /ledger.
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
