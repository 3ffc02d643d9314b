package follow

import (
	"math/rand/v2"
	"sync"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/membership/member"
)

// Members is this process's membership view of the agents, updated from the
// digests that heartbeats carry. It is safe for use by several goroutines.
type Members struct {
	mu      sync.Mutex
	view    *member.View
	targets []config.Target
	leaving map[string]bool
}

// NewMembers returns a view that knows only its own process.
func NewMembers(self member.Self) *Members {
	return &Members{view: member.New(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// Update sets the targets of a new configuration: each has an agent.
func (m *Members) Update(x *config.Index) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets = x.Config().Targets
	m.view.SetRevision(x.Revision())
	m.updateInstances()
}

// SetLeaving sets the names that the platform's instance list marks as leaving.
func (m *Members) SetLeaving(leaving map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
	m.updateInstances()
}

// updateInstances passes the list of agents to the view. The caller holds mu.
func (m *Members) updateInstances() {
	list := make([]member.Instance, 0, len(m.targets))
	for _, t := range m.targets {
		list = append(list, member.Instance{Name: t.Name, Zone: t.Zone, Leaving: m.leaving[t.Name]})
	}
	m.view.SetInstances(list, time.Now())
}

// Round returns the agents to exchange with now.
func (m *Members) Round() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.view.Round(time.Now())...)
}

// Digest returns the encoded digest for a peer.
func (m *Members) Digest(peer string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Digest(nil, peer, nil, time.Now())
}

// Merge applies a peer's digest; an empty one is ignored.
func (m *Members) Merge(digest []byte) error {
	if len(digest) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err := m.view.Merge(digest, time.Now())
	return err
}

// RecordFailure records that an exchange with an agent failed.
func (m *Members) RecordFailure(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.RecordFailure(name, time.Now())
}

// SetDraining says that this agent takes no new work.
func (m *Members) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetDraining()
}

// SetWait says how long new work waits at this agent.
func (m *Members) SetWait(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetWait(d)
}

// Ineligible returns the agents that may get no new work, because they are
// leaving, draining or unreachable.
func (m *Members) Ineligible() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]bool)
	for _, t := range m.targets {
		if !m.view.Eligible(t.Name) {
			out[t.Name] = true
		}
	}
	return out
}

// VisibleFraction returns the fraction of the agents that are in reachable zones; it
// falls below 1 in a partition and not when single agents fail.
func (m *Members) VisibleFraction() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.VisibleFraction(time.Now())
}

// Isolated reports whether this process has received nothing from any agent for
// some seconds. It must then report to the platform's load balancer that it is
// not ready.
func (m *Members) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Isolated(time.Now())
}

// Superseded reports whether a later process has this agent's name: this process
// was paused and replaced meanwhile, and must stop.
func (m *Members) Superseded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Superseded()
}
