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

// pickPeers picks the agents of one round: the seeds until there is a
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
	requestedAt := time.Now()
	fetched := s.Follower.FetchedRevision()
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
		s.Follower.AddAnswer(config.PeerAnswer{From: t.Agent, Revision: resp.Msg.Revision, RequestedAt: requestedAt})
	}
	if resp.Msg.Revision > fetched {
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

// fetch gets the configuration of an agent that has a higher revision.
func (s *Gossip) fetch(ctx context.Context, t config.Target) {
	resp, err := s.Dialer.Agent(t.Agent).FetchConfig(ctx, connect.NewRequest(&wire.FetchConfigRequest{HaveRevision: s.Follower.FetchedRevision()}))
	if err != nil || len(resp.Msg.Config) == 0 {
		return
	}
	if _, err := s.Follower.OfferEncoded(resp.Msg.Config); err != nil {
		s.Log.Warn("configuration of a peer is unreadable", "peer", t.Name, "error", err)
	}
}

// push sends the configuration to an agent that has a lower revision.
func (s *Gossip) push(ctx context.Context, t config.Target) {
	revision, data := s.Follower.Encoded()
	if len(data) == 0 {
		return
	}
	_, _ = s.Dialer.Agent(t.Agent).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{
		From: s.Name, Revision: revision, Config: data,
	}))
}
