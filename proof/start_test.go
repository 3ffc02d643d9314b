package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/outcome"
	"verbenashift/standin/deployment"
	"verbenashift/standin/judge"
	"verbenashift/standin/ledger"
)

// deadline is when a proof gives up. It decides nothing: the ledgers do.
const deadline = 2 * time.Minute

// places bounds the deployments that run at once: each has some fifteen
// processes.
var places = make(chan struct{}, 4)

// TestMain has a second run on the same machine wait for the first: both use
// the same addresses.
func TestMain(m *testing.M) {
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "verbenashift-proof.lock"), os.O_CREATE|os.O_RDWR, 0o666)
	if err == nil {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "proof: no lock:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = deployment.Clean()
	_ = lock.Close()
	os.Exit(code)
}

// scene is a deployment and the test that breaks it.
type scene struct {
	*is.I
	*deployment.Deployment
	t   *testing.T
	ctx context.Context
}

// inPlace waits for a place beside the other tests' deployments, which is given
// back when the test ends, and returns the context of the test.
func inPlace(t *testing.T) context.Context {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	t.Cleanup(cancel)
	return ctx
}

// start starts a small deployment: four engines, two plain services, an agent
// by each and two entries, unless the shape says otherwise.
func start(t *testing.T, s deployment.Shape) *scene {
	t.Helper()
	ctx := inPlace(t)
	if s.Entries == 0 {
		s.Entries = 2
	}
	if s.ModelTargets+s.ServiceTargets == 0 {
		s.ModelTargets, s.ServiceTargets = 4, 2
	}
	if s.EngineFlags == nil {
		s.EngineFlags = []string{"-step", "10ms"}
	}
	if s.PlainFlags == nil {
		s.PlainFlags = []string{"-work", "600ms"}
	}
	d, err := deployment.Start(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			d.KeepDir()
			t.Logf("logs and ledgers are in %s", d.Dir)
		}
		_ = d.Close()
	})
	return &scene{I: is.NewRelaxed(t), Deployment: d, t: t, ctx: ctx}
}

// must ends the test if the scene could not be set.
func (s *scene) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// running waits for n runs that have not ended at target, or anywhere.
func (s *scene) running(n int, target string) []ledger.Run {
	s.t.Helper()
	runs, err := s.WaitRuns(s.ctx, n, deployment.Running(target))
	s.must(err)
	return runs
}

// kept judges the records: every promise must have been kept. Beyond the judge,
// a key that ran must not be called "not-run" at a later try.
func (s *scene) kept(records []judge.Record) *judge.Verdict {
	s.t.Helper()
	v, err := s.Verdict(records)
	s.must(err)
	for _, b := range v.Breaches {
		s.t.Errorf("breach: %s", b)
	}
	ran := s.byKey()
	ends := make(map[string]int)
	for _, r := range records {
		last := judge.Attempt{}
		if n := len(r.Attempts); n > 0 {
			last = r.Attempts[n-1]
		}
		ends[r.Outcome.String()+" "+last.Reason]++
		if r.Outcome == outcome.NotRun && r.IdempotencyKey != "" && ran[r.Workspace+"/"+r.IdempotencyKey] > 0 {
			s.t.Errorf("line %d: key %s has run, the last answer was not-run, %s", r.Line, r.IdempotencyKey, last.Reason)
		}
	}
	s.t.Logf("%d requests: %v", v.Requests, ends)
	return v
}

// attempts counts the attempts of all records.
func attempts(records []judge.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Attempts)
	}
	return n
}

// attached counts the records with two attempts of one request id: the second
// read on where the first had stopped.
func attached(records []judge.Record) int {
	n := 0
	for _, r := range records {
		for i := 1; i < len(r.Attempts); i++ {
			if id := r.Attempts[i].RequestID; id != "" && id == r.Attempts[i-1].RequestID {
				n++
				break
			}
		}
	}
	return n
}

// once fails the test for each key that ran twice and returns how many ran.
func (s *scene) once() int {
	s.t.Helper()
	ran := s.byKey()
	for key, n := range ran {
		if n != 1 {
			s.t.Errorf("key %s ran %d times", key, n)
		}
	}
	return len(ran)
}

// byKey counts the runs of each key.
func (s *scene) byKey() map[string]int {
	runs, err := s.Runs(func(r ledger.Run) bool { return r.IdempotencyKey != "" })
	s.must(err)
	count := make(map[string]int)
	for _, r := range runs {
		count[r.Workspace+"/"+r.IdempotencyKey]++
	}
	return count
}

// changes counts the changes of the configuration that the store has taken.
func (s *scene) changes() int {
	s.t.Helper()
	_, body := s.ask("GET", s.Address("platform")+"/ledger", "")
	var l struct {
		Keys map[string][]struct{} `json:"keys"`
	}
	s.must(json.Unmarshal([]byte(body), &l))
	return len(l.Keys["config/head"])
}
