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

// testTimeout is the time limit of a test. It does not affect the verdict, which depends on
// the ledgers.
const testTimeout = 2 * time.Minute

// deploymentSlots limits the number of deployments that run at once: each has some fifteen
// processes.
var deploymentSlots = make(chan struct{}, 4)

// TestMain makes a second run on the same machine wait for the first, since both use the same
// addresses.
func TestMain(m *testing.M) {
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "verbenashift-proof.lock"), os.O_CREATE|os.O_RDWR, 0o666)
	if err == nil {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "proof: cannot acquire the lock:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = deployment.Clean()
	_ = lock.Close()
	os.Exit(code)
}

// harness is a test with the deployment that it runs against.
type harness struct {
	*is.I
	*deployment.Deployment
	t   *testing.T
	ctx context.Context
}

// acquireSlot waits for a deployment slot, which is released when the test ends, and returns
// the context of the test.
func acquireSlot(t *testing.T) context.Context {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// start starts a small deployment: four engines, two plain services, an agent for each of them
// and two entries, unless the shape says otherwise.
func start(t *testing.T, s deployment.Shape) *harness {
	t.Helper()
	ctx := acquireSlot(t)
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
	return &harness{I: is.NewRelaxed(t), Deployment: d, t: t, ctx: ctx}
}

// must fails the test at once on an error of the test setup.
func (s *harness) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// awaitRunning waits for n runs that have not ended at target, or at any target if it is
// empty.
func (s *harness) awaitRunning(n int, target string) []ledger.Run {
	s.t.Helper()
	runs, err := s.WaitRuns(s.ctx, n, deployment.Running(target))
	s.must(err)
	return runs
}

// verify checks the records: every promise must have been kept. In addition to the judge it
// checks that a key that ran is not reported as "not-run" to a later attempt.
func (s *harness) verify(records []judge.Record) *judge.Verdict {
	s.t.Helper()
	v, err := s.Verdict(records)
	s.must(err)
	for _, b := range v.Breaches {
		s.t.Errorf("breach: %s", b)
	}
	ran := s.runsByKey()
	ends := make(map[string]int)
	for _, r := range records {
		last := judge.Attempt{}
		if n := len(r.Attempts); n > 0 {
			last = r.Attempts[n-1]
		}
		ends[r.Outcome.String()+" "+last.Reason]++
		if r.Outcome == outcome.NotRun && r.IdempotencyKey != "" && ran[r.Workspace+"/"+r.IdempotencyKey] > 0 {
			s.t.Errorf("line %d: key %s has run, but the last response was not-run, %s", r.Line, r.IdempotencyKey, last.Reason)
		}
	}
	s.t.Logf("%d requests: %v", v.Requests, ends)
	return v
}

// countAttempts returns the number of attempts in all records.
func countAttempts(records []judge.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Attempts)
	}
	return n
}

// countReattached counts the records with two consecutive attempts with one request id: the
// second resumed where the first had stopped.
func countReattached(records []judge.Record) int {
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

// checkRanOnce fails the test for each key that ran more than once and returns how many keys
// ran.
func (s *harness) checkRanOnce() int {
	s.t.Helper()
	ran := s.runsByKey()
	for key, n := range ran {
		if n != 1 {
			s.t.Errorf("key %s ran %d times", key, n)
		}
	}
	return len(ran)
}

// runsByKey returns the number of runs of each key.
func (s *harness) runsByKey() map[string]int {
	runs, err := s.Runs(func(r ledger.Run) bool { return r.IdempotencyKey != "" })
	s.must(err)
	count := make(map[string]int)
	for _, r := range runs {
		count[r.Workspace+"/"+r.IdempotencyKey]++
	}
	return count
}

// configChanges returns the number of configuration changes that the store has accepted.
func (s *harness) configChanges() int {
	s.t.Helper()
	_, body := s.send("GET", s.Address("platform")+"/ledger", "")
	var l struct {
		Keys map[string][]struct{} `json:"keys"`
	}
	s.must(json.Unmarshal([]byte(body), &l))
	return len(l.Keys["config/head"])
}
