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

// exchangeGrace is how long beyond a period one exchange may take.
const exchangeGrace = 2 * time.Second

// Gossip passes configurations on between processes. In each period it asks a
// few agents which revision they act on; the side that is behind gets the
// newer configuration at once, so that a revision reaches n processes in about
// log n periods without a call to the store.
type Gossip struct {
	// Name is this process; it never asks itself.
	Name     string
	Follower *Follower
	Dialer   *peer.Dialer
	Log      *slog.Logger
	// Members chooses whom a round asks and learns from the answers.
	Members *Members
	// Period is the time between rounds.
	Period time.Duration
	// Seeds are agents to ask while there is no configuration.
	Seeds []string
	// Describe, if set, adds what this process says of itself.
	Describe func(m *wire.ExchangeRequest)
	// OnResponse, if set, is told of each answer.
	OnResponse func(agent string, m *wire.ExchangeResponse)
	// OnFailure, if set, is told of each agent that did not answer.
	OnFailure func(agent string)
}

// Run exchanges until ctx ends.
func (s *Gossip) Run(ctx context.Context) {
	tick := time.NewTicker(s.Period)
	defer tick.Stop()
	for {
		for _, t := range s.pickPeers() {
			go s.exchange(ctx, t)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pickPeers picks the agents of one round; the seeds until there is a
// configuration.
func (s *Gossip) pickPeers() []config.Target {
	x := s.Follower.Index()
	if x == nil {
		return s.seeds()
	}
	var picked []config.Target
	for _, name := range s.Members.Round() {
		if t, ok := x.Target(name); ok {
			picked = append(picked, *t)
		}
	}
	return picked
}

func (s *Gossip) seeds() []config.Target {
	targets := make([]config.Target, 0, len(s.Seeds))
	for _, addr := range s.Seeds {
		targets = append(targets, config.Target{Name: addr, Agent: addr})
	}
	return targets
}

func (s *Gossip) exchange(ctx context.Context, t config.Target) {
	ctx, cancel := context.WithTimeout(ctx, s.Period+exchangeGrace)
	defer cancel()
	asked := time.Now()
	mine := s.Follower.FetchedRevision()
	req := &wire.ExchangeRequest{From: s.Name, Revision: s.Follower.Revision(), Digest: s.Members.Digest(t.Name)}
	if s.Describe != nil {
		s.Describe(req)
	}
	resp, err := s.Dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		s.fail(t.Name)
		return
	}
	if err := s.Members.Merge(resp.Msg.Digest); err != nil {
		s.Log.Info("digest of a peer not taken", "peer", t.Name, "error", err)
	}
	if s.OnResponse != nil {
		s.OnResponse(t.Name, resp.Msg)
	}
	if resp.Msg.Revision > 0 {
		s.Follower.MarkConfirmed()
		s.Follower.AddAnswer(config.PeerAnswer{From: t.Agent, Revision: resp.Msg.Revision, RequestedAt: asked})
	}
	if resp.Msg.Revision > mine {
		s.fetch(ctx, t)
	}
	if resp.Msg.Revision < s.Follower.Revision() {
		s.push(ctx, t)
	}
}

func (s *Gossip) fail(agent string) {
	s.Members.RecordFailure(agent)
	if s.OnFailure != nil {
		s.OnFailure(agent)
	}
}

// fetch takes the configuration of an agent that is ahead.
func (s *Gossip) fetch(ctx context.Context, t config.Target) {
	resp, err := s.Dialer.Agent(t.Agent).FetchConfig(ctx, connect.NewRequest(&wire.FetchConfigRequest{HaveRevision: s.Follower.FetchedRevision()}))
	if err != nil || len(resp.Msg.Config) == 0 {
		return
	}
	if _, err := s.Follower.OfferEncoded(resp.Msg.Config); err != nil {
		s.Log.Warn("configuration of a peer is unreadable", "peer", t.Name, "error", err)
	}
}

// push gives the configuration to an agent that is behind.
func (s *Gossip) push(ctx context.Context, t config.Target) {
	revision, data := s.Follower.Encoded()
	if len(data) == 0 {
		return
	}
	_, _ = s.Dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		From: s.Name, Revision: revision, Config: data,
	}))
}
