package main

import (
	"context"
	"log/slog"
	"time"

	"verbenashift/core/experts/rankpeer"
	"verbenashift/platform"
)

const (
	// directPollInterval is the pause between direct reads of a rank while its sidecar does not
	// answer. Such a read stops the group for a moment.
	directPollInterval = 400 * time.Millisecond
	// maxDirectPolls bounds the ranks that are read directly in one round: each read stops the
	// group for a moment and takes a connection of its own. When the path to many agents is
	// overloaded, reading all of their ranks directly would load it further.
	maxDirectPolls = 8
)

// peer is what the coordinator knows of one rank, with a client for direct calls to the rank
// while its sidecar does not answer.
type peer struct {
	member rankpeer.Member
	// belongs says that the rank has reported that it belongs to the coordinator's group.
	belongs bool
	log     *slog.Logger
	direct  *platform.RankClient
	readAt  time.Time
	// last is what the rank reported when it was last read directly.
	last rankpeer.Response
	// unreachable says that the sidecar does not answer.
	unreachable bool
}

func newPeer(m rankpeer.Member, log *slog.Logger) *peer {
	return &peer{member: m, direct: platform.NewRankClient(m.Addr), log: log}
}

func (p *peer) close() { p.direct.Close() }

// answered records whether the sidecar has answered.
func (p *peer) answered(ok bool) {
	if p.unreachable == !ok {
		return
	}
	p.unreachable = !ok
	if ok {
		p.log.Info("rank is heard again", "target", p.member.ID)
	} else {
		p.log.Warn("rank is not heard through its sidecar", "target", p.member.ID)
	}
}

// directPollDue reports whether the rank may be read directly again.
func (p *peer) directPollDue(now time.Time) bool { return !now.Before(p.readAt) }

// queryRank sends the order to the rank and reads its state directly. The state is some hundred
// milliseconds old, which is safe: see package lockstep. Counts are left out, since the group
// pauses while they are read from another instance.
func (p *peer) queryRank(ctx context.Context, req rankpeer.Request) rankpeer.Response {
	p.readAt = time.Now().Add(directPollInterval)
	resp := rankpeer.Response{}
	if req.Order != nil {
		resp.Status, resp.NeedMap = p.orderDirect(req)
	}
	ctx, cancel := context.WithTimeout(ctx, unreachableWait)
	defer cancel()
	st, err := p.direct.State(ctx)
	if err != nil {
		p.log.Warn("rank not read from afar", "target", p.member.ID, "error", err.Error())
		p.last = rankpeer.Response{}
		return resp
	}
	resp.State, resp.Known = st, true
	p.last = rankpeer.Response{State: st, Known: true}
	if req.Placement {
		if place, err := p.direct.Placement(ctx); err == nil {
			resp.Placement = &place
		} else {
			p.log.Warn("placement not read from afar", "target", p.member.ID, "error", err.Error())
		}
	}
	return resp
}

// orderDirect sends an order to the rank itself. It reports that it needs the whole map where
// the order comes with a change: there is no agent to apply the change.
func (p *peer) orderDirect(req rankpeer.Request) (status int, needMap bool) {
	var m *rankpeer.Map
	if req.Change != nil {
		m = req.Change.Full
	}
	return sendRequestedOrder(p.direct, directWait, req, m, p.log)
}
