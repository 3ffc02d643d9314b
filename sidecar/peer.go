package main

import (
	"context"
	"log/slog"
	"time"

	"verbenashift/core/experts/rankpeer"
	"verbenashift/platform"
)

const (
	// directEvery is the pause between tries at the rank itself while its
	// sidecar does not answer. Such a reading costs the group a moment.
	directEvery = 400 * time.Millisecond
	// straightAtOnce bounds the ranks that are read straight in one round: each reading
	// stops the group for a moment and takes a connection of its own. When the way
	// to many agents is overloaded, reading all of their ranks straight would load it
	// further.
	straightAtOnce = 8
)

// peer is what the steward knows of one rank, with the way straight to it for while the
// sidecar there does not answer.
type peer struct {
	member rankpeer.Member
	// belongs says that its rank has told that it belongs to the steward's group.
	belongs bool
	log     *slog.Logger
	direct  *platform.RankClient
	readAt  time.Time
	// last is what the rank told when it was last read directly.
	last rankpeer.Response
	// lost says that the sidecar does not answer.
	lost bool
}

func newPeer(m rankpeer.Member, log *slog.Logger) *peer {
	return &peer{member: m, direct: platform.NewRankClient(m.Addr), log: log}
}

func (p *peer) close() { p.direct.Close() }

// answered records whether the sidecar has answered.
func (p *peer) answered(ok bool) {
	if p.lost == !ok {
		return
	}
	p.lost = !ok
	if ok {
		p.log.Info("rank is heard again", "target", p.member.ID)
	} else {
		p.log.Warn("rank is not heard through its sidecar", "target", p.member.ID)
	}
}

// straightDue reports whether the rank itself may be asked again.
func (p *peer) straightDue(now time.Time) bool { return !now.Before(p.readAt) }

// askRank gives the order to the rank and reads it from afar. The reading is
// some hundred milliseconds old, which is safe: see package lockstep. Counts
// are left out, since the group pauses while they are read from afar.
func (p *peer) askRank(ctx context.Context, ask rankpeer.Request) rankpeer.Response {
	p.readAt = time.Now().Add(directEvery)
	tell := rankpeer.Response{}
	if ask.Order != nil {
		tell.Status, tell.NeedMap = p.orderDirect(ask)
	}
	ctx, cancel := context.WithTimeout(ctx, lostWait)
	defer cancel()
	st, err := p.direct.State(ctx)
	if err != nil {
		p.log.Warn("rank not read from afar", "target", p.member.ID, "error", err.Error())
		p.last = rankpeer.Response{}
		return tell
	}
	tell.State, tell.Known = st, true
	p.last = rankpeer.Response{State: st, Known: true}
	if ask.Placement {
		if place, err := p.direct.Placement(ctx); err == nil {
			tell.Placement = &place
		} else {
			p.log.Warn("placement not read from afar", "target", p.member.ID, "error", err.Error())
		}
	}
	return tell
}

// orderDirect gives an order to the rank itself. It says that it needs the whole
// map where the order comes with a change: there is nobody to work it out.
func (p *peer) orderDirect(ask rankpeer.Request) (status int, needMap bool) {
	var m *rankpeer.Map
	if ask.Change != nil {
		m = ask.Change.Full
	}
	return giveAsked(p.direct, afarWait, ask, m, p.log)
}
