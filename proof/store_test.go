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

// fault is the switches of the platform's store.
type fault map[string]any

// declare declares an intent that gives a workspace a share, at an entry.
func (s *scene) declare(entry int, name string, share float64) intent.Plan {
	s.t.Helper()
	plan, err := s.Operator(entry).Declare(s.ctx, intent.Intent{
		Name: name, Workspaces: []config.Share{{Workspace: "harbor-home", Share: share}},
	})
	s.must(err)
	return plan
}

// share is the share of harbor-home that an entry has in force.
func (s *scene) share(entry int) float64 {
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

// An operator confirms a plan and the store goes down at once. Nodes are
// killed and started again while it is down. Each must come back with the
// confirmed revision, heard from its peers, and none may ever act on the older
// one that the operator has replaced. Callers are served all the while, and
// jobs that ran before do not run again at the agents that forgot them.
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
	s.Equal(s.kept(streams).Complete, 12)
	records = append(records, s.Begin(s.ctx, jobs, "entry-2", "entry-1").Wait()...)
	s.must(s.Fault(s.ctx, "platform", fault{"down": false}))
	s.must(s.WaitRevision(s.ctx, 2))
	s.kept(append(records, streams...))
	s.Equal(s.once(), 24)
}

// One agent is frozen while an operator revokes what revision 1 allowed; it
// wakes with the old revision when the store is down, two of the three agents
// that starting nodes ask are dead and the network is ill. An entry that starts
// then can hear only the old revision. It must act on none, say so to the balancer
// and let no caller in until it has heard enough; when it serves, it must be with
// revision 2.
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
	s.must(s.WaitRevision(s.ctx, 1, "agent-1")) // the old word can be heard
	said := false
	for range 30 {
		history, err := s.History(s.ctx, "entry-1")
		s.must(err)
		s.Equal(len(history), 0) // acts on nothing
		status, why := s.ask("GET", s.ObserveAddress("entry-1")+"/readyz", "")
		s.Equal(status, http.StatusServiceUnavailable)
		said = said || strings.Contains(why, "peers")
		conn, err := net.Dial("tcp", s.Entries()[0])
		if err == nil {
			_ = conn.Close()
		}
		s.True(errors.Is(err, syscall.ECONNREFUSED)) // nobody is let in
		time.Sleep(50 * time.Millisecond)
	}
	s.True(said) // that too few peers were heard
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
		s.Equal(history, []uint64{2}) // never the old one
	}
	s.kept(nil)
}

// The store takes a second for each call. A confirmed plan still comes into
// force on every node, and callers' requests, which need no store, are whole.
func TestStoreSlow(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.23"})
	s.must(s.Fault(s.ctx, "platform", fault{"latency-ms": 1000}))
	play := s.Begin(s.ctx, append(s.Streams("slow", 12, 60), s.Jobs("slow", 12)...))
	plan := s.declare(2, "month-end", 4)
	_, err := s.Operator(2).Confirm(s.ctx, plan.ID)
	s.must(err)
	s.must(s.WaitRevision(s.ctx, 2))
	s.Equal(s.share(1), 4.0)
	s.Equal(s.kept(play.Wait()).Complete, 24)
}

// An operator confirms a plan; the store writes it down and its answer is
// lost. The operator's tool asks again. The plan must be confirmed once, as
// one revision, and the operator must hear that it was done.
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
	s.Equal(s.changes(), 2) // the first configuration and the plan
	again, err := s.Operator(2).Confirm(s.ctx, plan.ID)
	s.True(err != nil || again.Revision == 2) // nothing new comes of a third try
	s.Equal(s.changes(), 2)
	s.kept(nil)
}

// Two operators confirm plans that conflict, at two entries, at once. One plan
// becomes the revision; the other operator gets a conflict that names the
// winner. All nodes have the winner's share, and no node ever had the loser's.
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
	s.True(errors.As(errs[1-winner], &conflict)) // the other one heard of it
	if conflict != nil {
		s.Equal(conflict.Kind, operator.KindConflict)
		s.Equal(conflict.Winner, plans[winner].ID)
		s.Equal(conflict.Revision, uint64(2))
	}
	s.must(s.WaitRevision(s.ctx, 2))
	want := []float64{6, 7}[winner]
	s.Equal(s.share(1), want)
	s.Equal(s.share(2), want)
	s.Equal(s.changes(), 2)
	s.kept(nil)
}
