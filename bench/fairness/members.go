package fairness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/membership/member"
)

const (
	memberWarmUp    = 40
	memberRounds    = 30
	memberTrials    = 5
	maxMemberRounds = 60
	incarnation     = 1_769_846_400_000
	revisionRounds  = 13
	drainRounds     = 13
	// heartbeat is the payload of a bare heartbeat in bytes, for the baseline.
	heartbeat = 20
)

// memberSize is a size of the fleet.
type memberSize struct{ entries, agents, zones int }

// memberSizes are the sizes to measure. The last is the size to design for.
var memberSizes = []memberSize{{3, 5, 3}, {24, 40, 3}, {188, 324, 9}, {390, 670, 9}}

// node is one node with its traffic.
type node struct {
	*member.View
	name     string
	bytes    int
	revision uint64
}

// gossip simulates nodes that exchange digests in rounds of one second.
type gossip struct {
	now   time.Time
	nodes []*node
	index map[string]*node
	// agents are the nodes that accept heartbeats from others.
	agents []*node
}

func newGossip(size memberSize, seed uint64) *gossip {
	g := &gossip{now: epoch, index: make(map[string]*node)}
	var list []member.Instance
	for i := range size.entries + size.agents {
		self := member.Self{
			Name: fmt.Sprint("node-", i), Zone: fmt.Sprint("zone-", i%size.zones),
			Incarnation: incarnation, Agent: i >= size.entries,
		}
		v := &node{View: member.New(self, rand.New(rand.NewPCG(seed, uint64(i)))), name: self.Name}
		g.nodes = append(g.nodes, v)
		g.index[self.Name] = v
		if self.Agent {
			list = append(list, member.Instance{Name: self.Name, Zone: self.Zone})
			g.agents = append(g.agents, v)
		}
	}
	for _, v := range g.nodes {
		v.SetInstances(list, g.now)
	}
	return g
}

// runRound simulates one second. The nodes act one after the other, in a new
// random order each round, and messages take no time, so that an update may
// travel several hops in a round.
func (g *gossip) runRound(rnd *rand.Rand) error {
	g.now = g.now.Add(time.Second)
	for _, i := range rnd.Perm(len(g.nodes)) {
		v := g.nodes[i]
		for _, name := range v.Round(g.now) {
			peer := g.index[name]
			if err := g.send(v, peer); err != nil {
				return err
			}
			if err := g.send(peer, v); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *gossip) send(from, to *node) error {
	digest := from.Digest(nil, to.name, nil, g.now)
	received, err := to.Merge(digest, g.now)
	if err != nil {
		return err
	}
	to.revision = max(to.revision, received.Revision)
	to.SetRevision(received.Revision)
	from.bytes += len(digest) + messageOverhead
	to.bytes += len(digest) + messageOverhead
	return nil
}

// roundsUntil runs rounds until the condition holds at all nodes and returns, in
// ascending order, the numbers of rounds after which it first held at each node.
// A node that has not reached it after maxMemberRounds counts with that number.
func (g *gossip) roundsUntil(rnd *rand.Rand, holds func(v *node) bool) ([]int, error) {
	var rounds []int
	known := make(map[*node]bool)
	for n := 0; n <= maxMemberRounds; n++ {
		for _, v := range g.nodes {
			if !known[v] && holds(v) {
				known[v] = true
				rounds = append(rounds, n)
			}
		}
		if len(rounds) == len(g.nodes) {
			return rounds, nil
		}
		if err := g.runRound(rnd); err != nil {
			return nil, err
		}
	}
	for len(rounds) < len(g.nodes) {
		rounds = append(rounds, maxMemberRounds)
	}
	return rounds, nil
}

// memberResult is the result for one size of the fleet. Bytes are per second and
// node; the numbers of rounds are sorted.
type memberResult struct {
	meanBytes, maxBytes           float64
	maxEntryBytes                 float64
	meanAgentBytes, maxAgentBytes float64
	revision, drains              []int
}

func simulateMembers(size memberSize, trials int) (memberResult, error) {
	var r memberResult
	for seed := range uint64(trials) {
		rnd := rand.New(rand.NewPCG(31, seed))
		g := newGossip(size, seed)
		if err := g.rounds(rnd, memberWarmUp); err != nil {
			return r, err
		}
		if seed == 0 {
			if err := g.measure(rnd, &r); err != nil {
				return r, err
			}
		}
		source := g.nodes[rnd.IntN(len(g.nodes))]
		source.revision = 2
		source.SetRevision(2)
		rounds, err := g.roundsUntil(rnd, func(v *node) bool { return v.revision == 2 })
		if err != nil {
			return r, err
		}
		r.revision = append(r.revision, rounds...)
		leaving := g.agents[rnd.IntN(len(g.agents))]
		leaving.SetDraining()
		rounds, err = g.roundsUntil(rnd, func(v *node) bool { return v == leaving || !v.Eligible(leaving.name) })
		if err != nil {
			return r, err
		}
		r.drains = append(r.drains, rounds...)
	}
	slices.Sort(r.revision)
	slices.Sort(r.drains)
	return r, nil
}

func (g *gossip) rounds(rnd *rand.Rand, n int) error {
	for range n {
		if err := g.runRound(rnd); err != nil {
			return err
		}
	}
	return nil
}

// measure runs memberRounds rounds in the steady state and stores their traffic
// in r.
func (g *gossip) measure(rnd *rand.Rand, r *memberResult) error {
	for _, v := range g.nodes {
		v.bytes = 0
	}
	if err := g.rounds(rnd, memberRounds); err != nil {
		return err
	}
	for _, v := range g.nodes {
		b := float64(v.bytes) / memberRounds
		r.meanBytes += b / float64(len(g.nodes))
		r.maxBytes = max(r.maxBytes, b)
	}
	for _, v := range g.nodes[:len(g.nodes)-len(g.agents)] {
		r.maxEntryBytes = max(r.maxEntryBytes, float64(v.bytes)/memberRounds)
	}
	for _, v := range g.agents {
		b := float64(v.bytes) / memberRounds
		r.meanAgentBytes += b / float64(len(g.agents))
		r.maxAgentBytes = max(r.maxAgentBytes, b)
	}
	return nil
}

func runMembers() ([]figure.Figure, error) {
	var figures []figure.Figure
	results := make([]memberResult, len(memberSizes))
	for i, size := range memberSizes {
		r, err := simulateMembers(size, memberTrials)
		if err != nil {
			return nil, err
		}
		results[i] = r
		n := size.entries + size.agents
		name := fmt.Sprint("member-", n, "-peers-")
		mesh := float64(2 * size.agents * (messageOverhead + heartbeat))
		figures = append(figures,
			atMost(name+"bytes", r.maxBytes, "B/s", controlBudget, mesh, fmt.Sprintf("busiest node, both directions, mean %.0f; baseline (computed): an entry in a full mesh each second", r.meanBytes)),
			atMost(name+"revision-rounds", last(r.revision), "s", revisionRounds, 0, fmt.Sprintf("last node of %d trials, p50 %d", memberTrials, r.revision[len(r.revision)/2])),
			atMost(name+"drain-rounds", last(r.drains), "s", drainRounds, 0, fmt.Sprintf("last node of %d trials, p50 %d", memberTrials, r.drains[len(r.drains)/2])))
	}
	return append(figures, informational("member-bytes-slope", slope(64, results[1].meanBytes, 512, results[2].meanBytes), "exponent", 1, "of the mean, 64 to 512 peers")), nil
}

func last(sorted []int) float64 { return float64(sorted[len(sorted)-1]) }
