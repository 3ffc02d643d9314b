package main

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"verbenashift/core/rankpeer"
	"verbenashift/platform"
)

const (
	// tellWait is how long a sidecar may take to answer: its own waits for the
	// rank and the way there and back. One that has not answered last time gets
	// lostWait, so that the others still hear the steward in time.
	tellWait = orderTries*ownWait + readWait + 60*time.Millisecond
	lostWait = 50 * time.Millisecond
	// directEvery is the pause between tries at the rank itself while its
	// sidecar does not answer. Such a reading costs the group a moment.
	directEvery = 400 * time.Millisecond
	// redialEvery is the pause between tries to reach a sidecar.
	redialEvery = 250 * time.Millisecond
)

// peer is the steward's way to one rank: through the sidecar beside it, or
// straight to the rank while that does not answer.
type peer struct {
	member rankpeer.Member
	// belongs says that its rank has told that it belongs to the steward's group.
	belongs bool
	// number spreads the peers over the rounds.
	number  int
	sidecar *rankpeer.Client
	log     *slog.Logger
	dialAt  time.Time
	direct  *platform.RankClient
	readAt  time.Time
	// last is what the rank told when it was last read directly.
	last rankpeer.Tell
	// lost says that the sidecar does not answer.
	lost bool
	// told is the roster that the sidecar has.
	told *rankpeer.Roster
}

func newPeer(m rankpeer.Member, port uint16, number int, log *slog.Logger) *peer {
	return &peer{
		member: m, number: number, sidecar: rankpeer.NewClient(netip.AddrPortFrom(m.Addr.Addr(), port).String()),
		direct: platform.NewRankClient(m.Addr), log: log,
	}
}

func (p *peer) close() {
	p.sidecar.Close()
	p.direct.Close()
}

// command asks like ask. A direct order is given to the rank itself; the rank is
// read through its sidecar all the same, because only there the reading is
// fresh.
func (p *peer) command(ctx context.Context, ask rankpeer.Ask, direct bool) rankpeer.Tell {
	if !direct || ask.Order == nil {
		return p.ask(ctx, ask)
	}
	status, _ := p.orderDirect(ask)
	ask.Order = nil
	tell := p.ask(ctx, ask)
	tell.Status = status
	return tell
}

// ask asks the sidecar, or else the rank itself.
func (p *peer) ask(ctx context.Context, ask rankpeer.Ask) rankpeer.Tell {
	tell, err := p.askSidecar(ctx, ask)
	if err == nil {
		if p.lost {
			p.lost = false
			p.log.Info("sidecar answers again", "target", p.member.ID)
		}
		return tell
	}
	if !p.lost {
		p.lost = true
		p.log.Warn("sidecar does not answer", "target", p.member.ID, "error", err.Error())
	}
	return p.askRank(ctx, ask)
}

func (p *peer) askSidecar(ctx context.Context, ask rankpeer.Ask) (rankpeer.Tell, error) {
	if err := p.connect(ctx); err != nil {
		return rankpeer.Tell{}, err
	}
	tell, err := p.sidecar.Ask(ask, p.patience(tellWait))
	if err != nil {
		// Whoever answers next may be another process.
		p.told = nil
		return tell, err
	}
	if ask.Roster != nil {
		p.told = ask.Roster
	}
	return tell, nil
}

// patience is how long to wait for a peer that may be gone.
func (p *peer) patience(d time.Duration) time.Duration {
	if p.lost {
		return min(d, lostWait)
	}
	return d
}

// connect makes a connection if there is none, now and then.
func (p *peer) connect(ctx context.Context) error {
	if p.sidecar.Connected() {
		return nil
	}
	now := time.Now()
	if now.Before(p.dialAt) {
		return errSoon
	}
	p.dialAt = now.Add(redialEvery)
	return p.sidecar.Connect(ctx, p.patience(readWait))
}

type soonError struct{}

func (soonError) Error() string { return "tried a moment ago" }

var errSoon = soonError{}

// askRank gives the order to the rank and reads it from afar. The reading is
// some hundred milliseconds old, which is safe: see package lockstep. Counts
// are left out, since the group pauses while they are read from afar.
func (p *peer) askRank(ctx context.Context, ask rankpeer.Ask) rankpeer.Tell {
	now := time.Now()
	if ask.Order == nil && now.Before(p.readAt) {
		return p.last
	}
	p.readAt = now.Add(directEvery)
	tell := rankpeer.Tell{}
	if ask.Order != nil {
		tell.Status, tell.NeedMap = p.orderDirect(ask)
	}
	ctx, cancel := context.WithTimeout(ctx, p.patience(readWait))
	defer cancel()
	st, err := p.direct.State(ctx)
	if err != nil {
		p.log.Warn("rank not read from afar", "target", p.member.ID, "error", err.Error())
		p.last = rankpeer.Tell{}
		return tell
	}
	tell.State, tell.Known = st, true
	p.last = rankpeer.Tell{State: st, Known: true}
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
func (p *peer) orderDirect(ask rankpeer.Ask) (status int, needMap bool) {
	var m *rankpeer.Map
	if ask.Change != nil {
		m = ask.Change.Full
	}
	return giveAsked(p.direct, afarWait, ask, m, p.log)
}
