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

// The bounds of a look at the whole fleet, which an operator asks for.
const (
	statusCalls = 64
	statusLife  = 500 * time.Millisecond
	// nodeLife is how long an entry counts as part of the fleet after its
	// last heartbeat to any agent.
	nodeLife = 15 * time.Second
	// keptCounts is how many answers the number of entries is worked out from.
	keptCounts = 16
)

// fleet holds what is known of the other processes.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]node
	// counts are the last answers on how many entries an agent has heard.
	counts []uint32
	groups map[string]groupHeard

	// status is one look at the fleet, shared by those who ask at once.
	statusMu sync.Mutex
	status   operator.FleetStatus
	taken    time.Time
}

// groupHeard is a group as its steward last told.
type groupHeard struct {
	operator.GroupStatus
	heard time.Time
}

// node is a process as last heard.
type node struct {
	operator.Node
	heard time.Time
}

func newFleet() *fleet {
	return &fleet{nodes: make(map[string]node), groups: make(map[string]groupHeard)}
}

// heard takes the answer of an agent and what it knows of the entries.
func (f *fleet) heard(name string, m *wire.ExchangeResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.counts = append(f.counts, m.EntriesHeard)
	if n := len(f.counts) - keptCounts; n > 0 {
		f.counts = f.counts[n:]
	}
	f.keep(node{heard: now, Node: operator.Node{
		Name: name, Kind: operator.KindAgent, Revision: m.Revision, Incarnation: m.GetLoad().GetIncarnation(),
		Draining: m.GetLoad().GetDraining(), Queued: m.GetLoad().GetQueued(), Running: m.GetLoad().GetRunning(),
	}})
	f.keepGroup(m.GroupStatus, now)
	for _, n := range m.Nodes {
		f.keep(node{heard: now.Add(-time.Duration(n.AgeMs) * time.Millisecond), Node: operator.Node{
			Name: n.Name, Kind: operator.KindEntry, Zone: n.Zone, Revision: n.Revision,
			Incarnation: n.Incarnation, Draining: n.Draining,
		}})
	}
}

// keepGroup takes a steward's word on its group. One whose lease has passed on
// and who does not know it yet has a lower fence. The caller holds mu.
func (f *fleet) keepGroup(data []byte, now time.Time) {
	var g operator.GroupStatus
	if len(data) == 0 || json.Unmarshal(data, &g) != nil || g.Fence < f.groups[g.Name].Fence {
		return
	}
	f.groups[g.Name] = groupHeard{g, now}
}

// The life of a steward's word: for groupLife it is shown at all, and after
// nodeLife as that of a group without a steward.
const (
	groupLife    = time.Hour
	stateNoOwner = "no-steward"
)

// groupList returns the groups heard of, by name.
func (f *fleet) groupList() []operator.GroupStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []operator.GroupStatus
	for _, name := range slices.Sorted(maps.Keys(f.groups)) {
		g := f.groups[name]
		age := time.Since(g.heard)
		g.AgeMillis = age.Milliseconds()
		if age > nodeLife {
			g.State = stateNoOwner
		}
		if age <= groupLife {
			list = append(list, g.GroupStatus)
		}
	}
	return list
}

// keep takes the word that was heard later. The caller holds mu.
func (f *fleet) keep(n node) {
	key := n.Kind + "/" + n.Name
	if old, ok := f.nodes[key]; ok && old.heard.After(n.heard) {
		return
	}
	f.nodes[key] = n
}

// list returns the configured agents, heard of or not, and the entries heard
// lately.
func (f *fleet) list(targets []config.Target) []operator.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var nodes []operator.Node
	for _, t := range targets {
		n, ok := f.nodes[operator.KindAgent+"/"+t.Name]
		if !ok {
			n = node{Node: operator.Node{Name: t.Name, Kind: operator.KindAgent}, heard: now.Add(-nodeLife)}
		}
		n.Zone = t.Zone
		n.AgeMillis = now.Sub(n.heard).Milliseconds()
		if now.Sub(n.heard) >= nodeLife {
			n.Revision = 0 // its last word says nothing of what it acts on now
		}
		nodes = append(nodes, n.Node)
	}
	for key, n := range f.nodes {
		if n.Kind != operator.KindEntry {
			continue
		}
		n.AgeMillis = now.Sub(n.heard).Milliseconds()
		if now.Sub(n.heard) > nodeLife {
			delete(f.nodes, key)
			continue
		}
		nodes = append(nodes, n.Node)
	}
	return nodes
}

// drains reports whether an agent has said that it takes no new work.
func (f *fleet) drains(agent string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[operator.KindAgent+"/"+agent].Draining
}

// estimate returns how many entries there are, from what the agents have heard
// in a minute. An entry exchanges with a few agents only, so that each of them
// hears a known part of the entries.
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
	part := 1 - unmet(member.Partners, agents)*unmet(member.SubsetSize, agents)
	return max(1, int(math.Round(sum/float64(len(f.counts))/part)))
}

// unmet returns the part of the agents that an entry with so many peers among
// them does not exchange with.
func unmet(peers, agents int) float64 {
	return 1 - math.Min(1, float64(peers)/float64(agents))
}

// Status asks all agents how they are and which entries they have heard of.
// Those that do not answer are listed as they were last heard. Operators ask
// seldom; many who ask at once share one look.
func (e *Entry) Status(ctx context.Context) (operator.FleetStatus, error) {
	e.fleet.statusMu.Lock()
	defer e.fleet.statusMu.Unlock()
	if time.Since(e.fleet.taken) < statusLife {
		return e.fleet.status, nil
	}
	x := e.follower.Index()
	if x == nil {
		return operator.FleetStatus{Nodes: []operator.Node{e.self()}}, nil
	}
	targets := x.Config().Targets
	e.askAll(ctx, targets)
	s := operator.FleetStatus{Nodes: append(e.fleet.list(targets), e.self()), Groups: e.fleet.groupList()}
	s.Nodes = distinct(s.Nodes)
	e.fleet.status, e.fleet.taken = s, time.Now()
	return s, nil
}

// self is this entry as a node.
func (e *Entry) self() operator.Node {
	return operator.Node{
		Name: e.cfg.Name, Kind: operator.KindEntry, Zone: e.cfg.Zone, Revision: e.follower.Revision(),
		Incarnation: e.incarnation, Draining: e.leaving.Load(), Running: uint32(e.open.len()),
	}
}

// distinct keeps the last of several nodes of one kind and name.
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

func (e *Entry) askAll(ctx context.Context, targets []config.Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(statusCalls)
	for _, t := range targets {
		g.Go(func() error {
			req := &wire.ExchangeRequest{WantNodes: true}
			e.describe(req)
			resp, err := e.dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(req))
			if err == nil {
				e.fleet.heard(t.Name, resp.Msg)
				e.router.heard(t.Name, resp.Msg.Load)
			}
			return nil
		})
	}
	_ = g.Wait()
}
