package follow

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
)

// exchangeGrace is how much longer than a period one exchange may take.
const exchangeGrace = 2 * time.Second

// Gossip distributes configurations between processes. In each period it
// exchanges revisions with a few agents; the side with the lower one gets the
// newer configuration at once, so that a revision reaches n processes in about
// log n periods without a call to the store.
type Gossip struct {
	// Name is the name of this process; it never exchanges with itself.
	Name     string
	Follower *Follower
	Dialer   *peer.Dialer
	Log      *slog.Logger
	// Members chooses the agents of a round and is updated from their answers.
	Members *Members
	// Period is the time between rounds.
	Period time.Duration
	// Seeds are the agents of a round while there is no configuration.
	Seeds []string
	// Describe, if set, adds this process's own state to the request.
	Describe func(m *wire.ExchangeRequest)
	// OnResponse, if set, is called with each answer.
	OnResponse func(agent string, m *wire.ExchangeResponse)
	// OnFailure, if set, is called for each agent that did not answer.
	OnFailure func(agent string)
}

// Run exchanges until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	tick := time.NewTicker(g.Period)
	defer tick.Stop()
	for {
		for _, t := range g.pickPeers() {
			go g.exchange(ctx, t)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pickPeers picks the agents of one round: the seeds until there is a
// configuration.
func (g *Gossip) pickPeers() []config.Target {
	x := g.Follower.Index()
	if x == nil {
		return g.seeds()
	}
	var picked []config.Target
	for _, name := range g.Members.Round() {
		if t, ok := x.Target(name); ok {
			picked = append(picked, *t)
		}
	}
	return picked
}

func (g *Gossip) seeds() []config.Target {
	targets := make([]config.Target, 0, len(g.Seeds))
	for _, addr := range g.Seeds {
		targets = append(targets, config.Target{Name: addr, Agent: addr})
	}
	return targets
}

func (g *Gossip) exchange(ctx context.Context, t config.Target) {
	ctx, cancel := context.WithTimeout(ctx, g.Period+exchangeGrace)
	defer cancel()
	requestedAt := time.Now()
	fetched := g.Follower.FetchedRevision()
	req := &wire.ExchangeRequest{From: g.Name, Revision: g.Follower.Revision(), Digest: g.Members.Digest(t.Name)}
	if g.Describe != nil {
		g.Describe(req)
	}
	resp, err := g.Dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		g.fail(t.Name)
		return
	}
	if err := g.Members.Merge(resp.Msg.Digest); err != nil {
		g.Log.Info("membership digest of a peer not merged", "peer", t.Name, "error", err)
	}
	if g.OnResponse != nil {
		g.OnResponse(t.Name, resp.Msg)
	}
	if resp.Msg.Revision > 0 {
		g.Follower.MarkConfirmed()
		g.Follower.AddAnswer(config.PeerAnswer{From: t.Agent, Revision: resp.Msg.Revision, RequestedAt: requestedAt})
	}
	if resp.Msg.Revision > fetched {
		g.fetch(ctx, t)
	}
	if resp.Msg.Revision < g.Follower.Revision() {
		g.push(ctx, t)
	}
}

func (g *Gossip) fail(agent string) {
	g.Members.RecordFailure(agent)
	if g.OnFailure != nil {
		g.OnFailure(agent)
	}
}

// fetch gets the configuration of an agent that has a higher revision.
func (g *Gossip) fetch(ctx context.Context, t config.Target) {
	resp, err := g.Dialer.Agent(t.Agent).FetchConfig(ctx, connect.NewRequest(&wire.FetchConfigRequest{HaveRevision: g.Follower.FetchedRevision()}))
	if err != nil || len(resp.Msg.Config) == 0 {
		return
	}
	if _, err := g.Follower.OfferEncoded(resp.Msg.Config); err != nil {
		g.Log.Warn("configuration of a peer is unreadable", "peer", t.Name, "error", err)
	}
}

// push sends the configuration to an agent that has a lower revision.
func (g *Gossip) push(ctx context.Context, t config.Target) {
	revision, data := g.Follower.Encoded()
	if len(data) == 0 {
		return
	}
	_, _ = g.Dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		From: g.Name, Revision: revision, Config: data,
	}))
}
