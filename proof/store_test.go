package proof

import (
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/operator"
	"verbenashift/standin/deployment"
)

// fault is a set of fault switches of a stand-in.
type fault map[string]any

// declare declares an intent that sets the share of harbor-home, through an entry.
func (s *harness) declare(entry int, name string, share float64) intent.Plan {
	s.t.Helper()
	plan, err := s.Operator(entry).Declare(s.ctx, intent.Intent{
		Name: name, Workspaces: []config.Share{{Workspace: "harbor-home", Share: share}},
	})
	s.must(err)
	return plan
}

// share returns the share of harbor-home that is in force at an entry.
func (s *harness) share(entry int) float64 {
	s.t.Helper()
	list, err := s.Operator(entry).Workspaces(s.ctx)
	s.must(err)
	for _, ws := range list {
		if ws.Name == "harbor-home" {
			return ws.Share
		}
	}
	s.t.Fatal("harbor-home is not configured")
	return 0
}

// Guards against a node that starts with an outdated configuration. The store becomes
// unavailable right after an operator confirmed a plan, and nodes are killed and restarted
// meanwhile. Each must start with the confirmed revision, received from its peers, and none
// may ever act on the older one. Callers are served all the time, and jobs that ran before do
// not run again at agents that lost their state.
func TestStoreDownAtStart(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.22"})
	plan := s.declare(1, "month-end", 3)
	_, err := s.Operator(1).Confirm(s.ctx, plan.ID)
	s.must(err)
	s.must(s.WaitRevision(s.ctx, 2))
	jobs := s.Jobs("outage", 24)
	records := s.Play(s.ctx, jobs)
	s.must(s.Fault(s.ctx, "platform", fault{"down": true}))
	for _, node := range []string{"entry-1", "agent-1", "agent-5", "entry-2"} {
		s.must(s.Kill9(node))
		s.must(s.Restart(s.ctx, node))
		s.must(s.WaitRevision(s.ctx, 2))
	}
	streams := s.Play(s.ctx, s.Streams("outage", 12, 20))
	s.Equal(s.verify(streams).Complete, 12)
	records = append(records, s.Begin(s.ctx, jobs, "entry-2", "entry-1").Wait()...)
	s.must(s.Fault(s.ctx, "platform", fault{"down": false}))
	s.must(s.WaitRevision(s.ctx, 2))
	s.verify(append(records, streams...))
	s.Equal(s.checkRanOnce(), 24)
}

// Guards against a node that starts with an older configuration than the confirmed one, and against
// keyed jobs that run twice, after the store has come back from a copy of before the confirmation and
// before the agents' last starts.
func TestStoreRestoredBeforeAStart(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.107"})
	s.must(s.Copy(s.ctx))
	plan := s.declare(1, "month-end", 3)
	_, err := s.Operator(1).Confirm(s.ctx, plan.ID)
	s.must(err)
	s.must(s.WaitRevision(s.ctx, 2))
	s.must(s.Kill9("agent-1"))
	s.must(s.Restart(s.ctx, "agent-1"))
	s.must(s.WaitRevision(s.ctx, 2))
	jobs := s.Jobs("restored", 24)
	records := s.Play(s.ctx, jobs)
	s.must(s.Restore(s.ctx))
	for _, node := range []string{"entry-1", "agent-1", "agent-5", "entry-2"} {
		// Without two of the three agents that it asks, it has no majority.
		s.must(s.Stop("agent-2"))
		s.must(s.Stop("agent-3"))
		s.must(s.Kill9(node))
		s.must(s.Restart(s.ctx, node))
		s.must(s.WaitRevision(s.ctx, 2, node))
		s.must(s.Cont("agent-2"))
		s.must(s.Cont("agent-3"))
		history, err := s.History(s.ctx, node)
		s.must(err)
		s.Equal(history[0], uint64(2)) // it never acted on an older one
	}
	streams := s.Play(s.ctx, s.Streams("restored", 12, 20))
	s.Equal(s.verify(streams).Complete, 12)
	records = append(records, s.Begin(s.ctx, jobs, "entry-2", "entry-1").Wait()...)
	// The operator writes the configuration in force back, and changes go on from it.
	_, err = s.Operator(1).Restore(s.ctx)
	s.must(err)
	plan = s.declare(2, "year-end", 5)
	_, err = s.Operator(2).Confirm(s.ctx, plan.ID)
	s.must(err)
	s.must(s.WaitRevision(s.ctx, 3))
	s.verify(append(records, streams...))
	s.Equal(s.checkRanOnce(), 24)
}

// Guards against an entry that starts with a revoked configuration. One agent is suspended
// while an operator revokes what revision 1 allowed; it resumes with the old revision when the
// store is unavailable, two of the three agents that starting nodes query are killed and the
// network drops messages. An entry that starts then can receive only the old revision. It must
// not act on any, must report this to the load balancer and accept no caller until enough
// peers have responded; when it serves, it must use revision 2.
func TestStaleWordAtStart(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.36", LinkAgents: true})
	s.must(s.Stop("agent-1"))
	plan := s.declare(2, "month-end", 8)
	_, err := s.Operator(2).Confirm(s.ctx, plan.ID)
	s.must(err)
	s.must(s.WaitRevision(s.ctx, 2, "agent-2", "agent-3", "agent-4", "agent-5", "agent-6", "entry-1", "entry-2"))
	s.must(s.Fault(s.ctx, "platform", fault{"down": true}))
	for _, node := range []string{"agent-2", "agent-3", "entry-1"} {
		s.must(s.Kill9(node))
	}
	for _, agent := range []string{"agent-4", "agent-5", "agent-6"} {
		s.Link(agent).Blackhole()
	}
	s.must(s.Restart(s.ctx, "entry-1"))
	s.must(s.Cont("agent-1"))
	s.must(s.WaitRevision(s.ctx, 1, "agent-1")) // the old revision can be received
	reported := false
	for range 30 {
		history, err := s.History(s.ctx, "entry-1")
		s.must(err)
		s.Equal(len(history), 0) // no revision is in force
		status, why := s.send("GET", s.ObserveAddress("entry-1")+"/readyz", "")
		s.Equal(status, http.StatusServiceUnavailable)
		reported = reported || strings.Contains(why, "peers")
		conn, err := net.Dial("tcp", s.Entries()[0])
		if err == nil {
			_ = conn.Close()
		}
		s.True(errors.Is(err, syscall.ECONNREFUSED)) // no caller is accepted
		time.Sleep(50 * time.Millisecond)
	}
	s.True(reported) // the reason names the missing peers
	for _, agent := range []string{"agent-4", "agent-5", "agent-6"} {
		s.Link(agent).Heal()
	}
	s.must(s.Fault(s.ctx, "platform", fault{"down": false}))
	for _, node := range []string{"agent-2", "agent-3"} {
		s.must(s.Restart(s.ctx, node))
	}
	s.must(s.WaitRevision(s.ctx, 2))
	for _, node := range []string{"agent-2", "agent-3", "entry-1"} {
		history, err := s.History(s.ctx, node)
		s.must(err)
		s.Equal(history, []uint64{2}) // never the old revision
	}
	s.verify(nil)
}

// Guards against effects of a store that takes a second for each call. A confirmed plan must
// still come into force on every node, and requests of callers, which need no store, must
// complete.
func TestStoreSlow(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.23"})
	s.must(s.Fault(s.ctx, "platform", fault{"latency-ms": 1000}))
	play := s.Begin(s.ctx, append(s.Streams("slow", 12, 60), s.Jobs("slow", 12)...))
	plan := s.declare(2, "month-end", 4)
	_, err := s.Operator(2).Confirm(s.ctx, plan.ID)
	s.must(err)
	s.must(s.WaitRevision(s.ctx, 2))
	s.Equal(s.share(1), 4.0)
	s.Equal(s.verify(play.Wait()).Complete, 24)
}

// Guards against a plan that is confirmed twice when the store writes the confirmation and its
// response is lost. The client of the operator retries. The plan must be confirmed once, as
// one revision, and the operator must learn that it was.
func TestStoreLosesAnswer(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.24"})
	plan := s.declare(1, "month-end", 5)
	s.must(s.Fault(s.ctx, "platform", fault{"lose-answers": 1, "lose-prefix": "config/head"}))
	client := s.Operator(1)
	client.RequestID = "confirm-once"
	closed, err := client.Confirm(s.ctx, plan.ID)
	var unknown *operator.Error
	if errors.As(err, &unknown) && unknown.Kind == operator.KindUnknown {
		closed, err = client.Confirm(s.ctx, plan.ID)
	}
	s.must(err)
	s.Equal(closed.State, intent.StateConfirmed)
	s.must(s.WaitRevision(s.ctx, 2))
	s.Equal(s.configChanges(), 2) // the first configuration and the plan
	again, err := s.Operator(2).Confirm(s.ctx, plan.ID)
	s.True(err != nil || again.Revision == 2) // a third attempt changes nothing
	s.Equal(s.configChanges(), 2)
	s.verify(nil)
}

// Guards against lost updates when two operators confirm conflicting plans at two entries at
// once. One plan becomes the revision; the other operator gets a conflict that names the
// winner. All nodes have the share of the winner, and no node ever had that of the loser.
func TestRacingConfirms(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.25"})
	plans := []intent.Plan{s.declare(1, "month-end", 6), s.declare(2, "year-end", 7)}
	errs := make([]error, 2)
	done := make(chan int)
	for i := range plans {
		go func() {
			_, errs[i] = s.Operator(i+1).Confirm(s.ctx, plans[i].ID)
			done <- i
		}()
	}
	<-done
	<-done
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	s.NoErr(errs[winner])
	var conflict *operator.Error
	s.True(errors.As(errs[1-winner], &conflict)) // the other operator got the conflict
	if conflict != nil {
		s.Equal(conflict.Kind, operator.KindConflict)
		s.Equal(conflict.Winner, plans[winner].ID)
		s.Equal(conflict.Revision, uint64(2))
	}
	s.must(s.WaitRevision(s.ctx, 2))
	want := []float64{6, 7}[winner]
	s.Equal(s.share(1), want)
	s.Equal(s.share(2), want)
	s.Equal(s.configChanges(), 2)
	s.verify(nil)
}
