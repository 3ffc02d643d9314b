package main

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/operator"
	"verbenashift/core/membership/member"
	"verbenashift/core/peer/wire"
)

// The limits of a status query of the whole fleet, which operators request.
const (
	statusConcurrency = 64
	statusTTL         = 500 * time.Millisecond
	// nodeTTL is how long an entry counts as part of the fleet after its last
	// heartbeat to any agent.
	nodeTTL = 15 * time.Second
	// countSamples is the number of reports from which the number of entries is
	// estimated.
	countSamples = 16
)

// fleet holds the last known state of the other processes.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]node
	// counts holds the last reports of how many entries an agent has received
	// heartbeats from.
	counts []uint32
	groups map[string]groupRecord

	// status is the last result of Status, taken at statusAt; concurrent callers
	// share it.
	statusMu sync.Mutex
	status   operator.FleetStatus
	statusAt time.Time
}

// groupRecord is the state of a group as its coordinator last reported it.
type groupRecord struct {
	operator.GroupStatus
	receivedAt time.Time
}

// node is the state of a process as last received.
type node struct {
	operator.Node
	receivedAt time.Time
}

func newFleet() *fleet {
	return &fleet{nodes: make(map[string]node), groups: make(map[string]groupRecord)}
}

// record stores an agent's response and what it reports of the entries.
func (f *fleet) record(name string, m *wire.ExchangeResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.counts = append(f.counts, m.EntriesHeard)
	if n := len(f.counts) - countSamples; n > 0 {
		f.counts = f.counts[n:]
	}
	f.store(node{receivedAt: now, Node: operator.Node{
		Name: name, Kind: operator.KindAgent, Revision: m.Revision, Incarnation: m.GetLoad().GetIncarnation(),
		Draining: m.GetLoad().GetDraining(), Queued: m.GetLoad().GetQueued(), Running: m.GetLoad().GetRunning(),
	}})
	f.storeGroup(m.GroupStatus, now)
	for _, n := range m.Nodes {
		f.store(node{receivedAt: now.Add(-time.Duration(n.AgeMs) * time.Millisecond), Node: operator.Node{
			Name: n.Name, Kind: operator.KindEntry, Zone: n.Zone, Revision: n.Revision,
			Incarnation: n.Incarnation, Draining: n.Draining,
		}})
	}
}

// storeGroup stores a coordinator's report on its group. A coordinator that does
// not know yet that it has lost its lease has a lower fencing token; its report is
// ignored. The caller holds mu.
func (f *fleet) storeGroup(data []byte, now time.Time) {
	var g operator.GroupStatus
	if len(data) == 0 || json.Unmarshal(data, &g) != nil || g.Fence < f.groups[g.Name].Fence {
		return
	}
	f.groups[g.Name] = groupRecord{g, now}
}

// A coordinator's report is shown for groupTTL. Once it is older than nodeTTL,
// the group is shown as one without a coordinator.
const (
	groupTTL           = time.Hour
	stateNoCoordinator = "no-steward"
)

// groupList returns the reported groups, sorted by name.
func (f *fleet) groupList() []operator.GroupStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []operator.GroupStatus
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		g := f.groups[name]
		age := time.Since(g.receivedAt)
		g.AgeMillis = age.Milliseconds()
		if age > nodeTTL {
			g.State = stateNoCoordinator
		}
		if age <= groupTTL {
			list = append(list, g.GroupStatus)
		}
	}
	return list
}

// store stores n unless a newer state of the same process is known. The caller
// holds mu.
func (f *fleet) store(n node) {
	key := n.Kind + "/" + n.Name
	if old, ok := f.nodes[key]; ok && old.receivedAt.After(n.receivedAt) {
		return
	}
	f.nodes[key] = n
}

// list returns the configured agents, whether they have reported or not, and the
// entries that have reported within nodeTTL.
func (f *fleet) list(targets []config.Target) []operator.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var nodes []operator.Node
	for _, t := range targets {
		n, ok := f.nodes[operator.KindAgent+"/"+t.Name]
		if !ok {
			n = node{Node: operator.Node{Name: t.Name, Kind: operator.KindAgent}, receivedAt: now.Add(-nodeTTL)}
		}
		n.Zone = t.Zone
		n.AgeMillis = now.Sub(n.receivedAt).Milliseconds()
		if now.Sub(n.receivedAt) >= nodeTTL {
			n.Revision = 0 // the last report is too old to show the revision in force
		}
		nodes = append(nodes, n.Node)
	}
	for key, n := range f.nodes {
		if n.Kind != operator.KindEntry {
			continue
		}
		n.AgeMillis = now.Sub(n.receivedAt).Milliseconds()
		if now.Sub(n.receivedAt) > nodeTTL {
			delete(f.nodes, key)
			continue
		}
		nodes = append(nodes, n.Node)
	}
	return nodes
}

// draining reports whether an agent has reported that it takes no new work.
func (f *fleet) draining(agent string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[operator.KindAgent+"/"+agent].Draining
}

// estimate returns the estimated number of entries, from the number of entries
// that the agents have received heartbeats from within a minute. An entry
// exchanges heartbeats with a few agents only, so that each agent knows a
// predictable share of the entries.
func (f *fleet) estimate(agents int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.counts) == 0 || agents == 0 {
		return 1
	}
	sum := 0.0
	for _, c := range f.counts {
		sum += float64(c)
	}
	part := 1 - unreachedShare(member.Partners, agents)*unreachedShare(member.SubsetSize, agents)
	return max(1, int(math.Round(sum/float64(len(f.counts))/part)))
}

// unreachedShare returns the share of the agents that an entry with the given
// number of peers among them does not exchange heartbeats with.
func unreachedShare(peers, agents int) float64 {
	return 1 - math.Min(1, float64(peers)/float64(agents))
}

// Status queries all agents for their state and the entries that they know.
// Those that do not answer are listed with their last known state. Operators
// query seldom; concurrent queries share one result.
func (e *Entry) Status(ctx context.Context) (operator.FleetStatus, error) {
	e.fleet.statusMu.Lock()
	defer e.fleet.statusMu.Unlock()
	if time.Since(e.fleet.statusAt) < statusTTL {
		return e.fleet.status, nil
	}
	x := e.follower.Index()
	if x == nil {
		return operator.FleetStatus{Nodes: []operator.Node{e.self()}}, nil
	}
	targets := x.Config().Targets
	e.pollAgents(ctx, targets)
	s := operator.FleetStatus{Nodes: append(e.fleet.list(targets), e.self()), Groups: e.fleet.groupList()}
	s.Nodes = distinct(s.Nodes)
	e.fleet.status, e.fleet.statusAt = s, time.Now()
	return s, nil
}

// self returns the state of this entry.
func (e *Entry) self() operator.Node {
	return operator.Node{
		Name: e.cfg.Name, Kind: operator.KindEntry, Zone: e.cfg.Zone, Revision: e.follower.Revision(),
		Incarnation: e.incarnation, Draining: e.leaving.Load(), Running: uint32(e.open.len()),
	}
}

// distinct removes all but the last of several nodes of one kind and name.
func distinct(nodes []operator.Node) []operator.Node {
	at := make(map[string]int, len(nodes))
	var out []operator.Node
	for _, n := range nodes {
		key := n.Kind + "/" + n.Name
		if i, ok := at[key]; ok {
			out[i] = n
			continue
		}
		at[key] = len(out)
		out = append(out, n)
	}
	return out
}

// pollAgents queries all targets' agents and records their responses.
func (e *Entry) pollAgents(ctx context.Context, targets []config.Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(statusConcurrency)
	for _, t := range targets {
		g.Go(func() error {
			req := &wire.ExchangeRequest{WantNodes: true}
			e.describe(req)
			resp, err := e.dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(req))
			if err == nil {
				e.fleet.record(t.Name, resp.Msg)
				e.router.record(t.Name, resp.Msg.Load)
			}
			return nil
		})
	}
	_ = g.Wait()
}
