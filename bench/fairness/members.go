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
	memberWarmUp   = 40
	memberRounds   = 30
	memberTrials   = 5
	memberGiveUp   = 60
	incarnation    = 1_769_846_400_000
	revisionRounds = 13
	drainRounds    = 13
	// heartbeat is the payload of a bare heartbeat, for the baseline.
	heartbeat = 20
)

// memberSize is one size of the fleet; the last is that of the letter.
type memberSize struct{ entries, agents, zones int }

var memberSizes = []memberSize{{3, 5, 3}, {24, 40, 3}, {188, 324, 9}, {390, 670, 9}}

// view is one node with its traffic.
type view struct {
	*member.View
	name     string
	bytes    int
	revision uint64
}

// gossip is nodes that exchange digests in rounds of a second.
type gossip struct {
	now   time.Time
	nodes []*view
	index map[string]*view
	// agents are the nodes that others may call.
	agents []*view
}

func newGossip(size memberSize, seed uint64) *gossip {
	g := &gossip{now: epoch, index: make(map[string]*view)}
	var list []member.Instance
	for i := range size.entries + size.agents {
		self := member.Self{
			Name: fmt.Sprint("node-", i), Zone: fmt.Sprint("zone-", i%size.zones),
			Incarnation: incarnation, Agent: i >= size.entries,
		}
		v := &view{View: member.New(self, rand.New(rand.NewPCG(seed, uint64(i)))), name: self.Name}
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

// round plays a second. The nodes act at different instants of it, in another
// order each time, and a message takes no time: news may make several hops.
func (g *gossip) round(rnd *rand.Rand) error {
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

func (g *gossip) send(from, to *view) error {
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

// spread plays rounds until the condition holds at all nodes, and returns for
// each node the round in which it came to hold.
func (g *gossip) spread(rnd *rand.Rand, holds func(v *view) bool) ([]int, error) {
	var rounds []int
	known := make(map[*view]bool)
	for n := 0; n <= memberGiveUp; n++ {
		for _, v := range g.nodes {
			if !known[v] && holds(v) {
				known[v] = true
				rounds = append(rounds, n)
			}
		}
		if len(rounds) == len(g.nodes) {
			return rounds, nil
		}
		if err := g.round(rnd); err != nil {
			return nil, err
		}
	}
	for len(rounds) < len(g.nodes) {
		rounds = append(rounds, memberGiveUp)
	}
	return rounds, nil
}

// memberResult is what one size gave.
type memberResult struct {
	mean, most           float64
	entryMost            float64
	agentMean, agentMost float64
	revision, drains     []int
}

func playMembers(size memberSize, trials int) (memberResult, error) {
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
		rounds, err := g.spread(rnd, func(v *view) bool { return v.revision == 2 })
		if err != nil {
			return r, err
		}
		r.revision = append(r.revision, rounds...)
		leaving := g.agents[rnd.IntN(len(g.agents))]
		leaving.SetDraining()
		rounds, err = g.spread(rnd, func(v *view) bool { return v == leaving || !v.Eligible(leaving.name) })
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
		if err := g.round(rnd); err != nil {
			return err
		}
	}
	return nil
}

// measure counts bytes in a steady state.
func (g *gossip) measure(rnd *rand.Rand, r *memberResult) error {
	for _, v := range g.nodes {
		v.bytes = 0
	}
	if err := g.rounds(rnd, memberRounds); err != nil {
		return err
	}
	for _, v := range g.nodes {
		b := float64(v.bytes) / memberRounds
		r.mean += b / float64(len(g.nodes))
		r.most = max(r.most, b)
	}
	for _, v := range g.nodes[:len(g.nodes)-len(g.agents)] {
		r.entryMost = max(r.entryMost, float64(v.bytes)/memberRounds)
	}
	for _, v := range g.agents {
		b := float64(v.bytes) / memberRounds
		r.agentMean += b / float64(len(g.agents))
		r.agentMost = max(r.agentMost, b)
	}
	return nil
}

func runMembers() ([]figure.Figure, error) {
	var figures []figure.Figure
	results := make([]memberResult, len(memberSizes))
	for i, size := range memberSizes {
		r, err := playMembers(size, memberTrials)
		if err != nil {
			return nil, err
		}
		results[i] = r
		n := size.entries + size.agents
		name := fmt.Sprint("member-", n, "-peers-")
		mesh := float64(2 * size.agents * (messageOverhead + heartbeat))
		figures = append(figures,
			atMost(name+"bytes", r.most, "B/s", controlBudget, mesh, fmt.Sprintf("busiest node, both directions, mean %.0f; baseline (computed): an entry in a full mesh each second", r.mean)),
			atMost(name+"revision-rounds", last(r.revision), "s", revisionRounds, 0, fmt.Sprintf("last node of %d trials, p50 %d", memberTrials, r.revision[len(r.revision)/2])),
			atMost(name+"drain-rounds", last(r.drains), "s", drainRounds, 0, fmt.Sprintf("last node of %d trials, p50 %d", memberTrials, r.drains[len(r.drains)/2])))
	}
	return append(figures, inform("member-bytes-slope", slope(64, results[1].mean, 512, results[2].mean), "exponent", 1, "of the mean, 64 to 512 peers")), nil
}

func last(sorted []int) float64 { return float64(sorted[len(sorted)-1]) }
