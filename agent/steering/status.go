package steering

import (
	"encoding/json"
	"expvar"
	"sync"

	"verbenashift/core/configuration/operator"
	"verbenashift/core/experts/group"
)

// Metrics are the counters of an agent's participation in its group.
type Metrics struct {
	counts *expvar.Map

	mu sync.Mutex
	// stalls is the rank's own count at the last read.
	stalls uint64
}

// NewMetrics publishes the counters with expvar and returns them. A process can
// call it only once.
func NewMetrics() *Metrics {
	m := &Metrics{counts: expvar.NewMap("agent-group")}
	for _, name := range []string{"switches", "aborts", "formed", "stalled-steps", "fencing-refusals", "mixed-steps"} {
		m.counts.Add(name, 0)
	}
	return m
}

// Add adds to a counter.
func (m *Metrics) Add(name string, n int64) { m.counts.Add(name, n) }

// stalled records the rank's count of the steps for which it was stalled. The
// count of a restarted engine starts again at 0.
func (m *Metrics) stalled(total uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if total > m.stalls {
		m.counts.Add("stalled-steps", int64(total-m.stalls))
	}
	m.stalls = total
}

// The states of a group, as in operator.GroupStatus.
const (
	stateSteady    = "steady"
	stateForming   = "forming"
	stateLoading   = "loading"
	stateSwitching = "switching"
	// stateDegraded is the state of a group that runs without its lost ranks.
	stateDegraded = "degraded"
)

// Status returns the status of the group for operators as JSON, or nil if this
// agent is not the coordinator.
func (g *Participant) Status() []byte {
	s, ok := g.groupState(g.ctx)
	if !ok {
		return nil
	}
	st := operator.GroupStatus{Name: g.shape.Load().name, Coordinator: g.self, Fence: s.fence, MapVersion: uint64(commonVersion(s.snapshot))}
	for _, m := range s.snapshot.Members {
		st.Step = max(st.Step, m.Next)
		if m.Health != group.Stepping.String() {
			st.Waiting = append(st.Waiting, operator.RankStatus{Target: m.Name, Health: m.Health, Lost: m.Lost})
		}
	}
	st.State = stateOf(s.snapshot)
	g.planning.fill(&st)
	data, err := json.Marshal(st)
	if err != nil {
		return nil
	}
	return data
}

func stateOf(v group.Snapshot) string {
	state := stateSteady
	if !v.Settled {
		state = stateSwitching
	}
	for _, m := range v.Members {
		switch {
		case m.Epoch == v.Epoch && !m.Epoch.IsZero():
		case !m.Lost:
			return stateForming
		case state == stateSteady:
			state = stateDegraded
		}
	}
	return state
}

// fill adds the planner's state to the status.
func (p *planning) fill(st *operator.GroupStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loading && st.State == stateSteady {
		st.State = stateLoading
	}
	sum := p.history.Summary()
	st.Skew, st.Reason, st.Explanation = p.skew, p.reason, p.text
	st.MeanSkew, st.MaxSkew, st.Moves, st.Bytes = sum.MeanSkew, sum.MaxSkew, sum.Moves, sum.Bytes
	for _, r := range p.history.Records() {
		st.Skews = append(st.Skews, r.Skew)
	}
}
