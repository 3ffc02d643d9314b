package main

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
)

var (
	// tellWait is how long an agent may take to answer for its own rank: its own waits
	// for the rank and the way there and back. One that has not answered last time gets
	// lostWait, so that the others still hear the steward in time.
	tellWait = orderTries*ownWait + readWait + 60*time.Millisecond
	lostWait = 50 * time.Millisecond
)

// redialEvery is the pause between tries to reach an agent.
const redialEvery = 250 * time.Millisecond

// link is the way to one agent. It is safe for concurrent use; asks wait for each
// other.
type link struct {
	// turn holds one value while an ask is under way.
	turn   chan struct{}
	addr   netip.AddrPort
	client *rankpeer.Client
	dialAt time.Time
	log    *slog.Logger
	// lost says that the agent does not answer.
	lost bool
	// patient says that a lost agent is waited for as long as others.
	patient bool
	// told is the roster that the agent was given over this connection, or nil.
	told atomic.Pointer[rankpeer.Roster]
	// lacks is the version of the map whose base the agent has said that it lacks, or 0.
	lacks atomic.Int64
}

// newLink returns the way to an agent, of which nothing is known.
func newLink(addr netip.AddrPort, log *slog.Logger) *link {
	return &link{turn: make(chan struct{}, 1), addr: addr, client: rankpeer.NewClient(addr.String()), log: log}
}

// ask asks the agent, and waits for at most wait in all: for the ask before, for a
// connection and for the answer. Whoever has asked it to ask waits little longer.
func (l *link) ask(ctx context.Context, ask rankpeer.Request, wait time.Duration) (rankpeer.Response, error) {
	until := time.Now().Add(wait)
	if !l.take(wait) {
		return rankpeer.Response{}, errBusy
	}
	defer l.release()
	if l.lost && !l.patient {
		until = time.Now().Add(min(wait, lostWait))
	}
	tell, err := l.try(ctx, ask, until)
	switch {
	case err == nil && l.lost:
		l.lost = false
		l.log.Info("sidecar answers again", "sidecar", l.addr.String())
	case err != nil && !l.lost:
		l.lost = true
		l.log.Warn("sidecar does not answer", "sidecar", l.addr.String(), "error", err.Error())
	}
	return tell, err
}

// roster returns the roster that the agent has been told, or nil. Whoever answers over
// the next connection may be another process.
func (l *link) roster() *rankpeer.Roster { return l.told.Load() }

// take waits for the ask before. It reports false if that takes too long.
func (l *link) take(wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case l.turn <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}

func (l *link) release() { <-l.turn }

func (l *link) try(ctx context.Context, ask rankpeer.Request, until time.Time) (rankpeer.Response, error) {
	if err := l.connect(ctx, time.Until(until)); err != nil {
		return rankpeer.Response{}, err
	}
	tell, err := l.client.Do(ask, time.Until(until))
	switch {
	case err != nil:
		l.told.Store(nil)
	case tell.NeedMap && ask.Order != nil:
		l.lacks.Store(ask.Order.Version)
	case ask.Roster != nil && tell.Refused == lockstep.Accepted:
		l.told.Store(ask.Roster)
	}
	return tell, err
}

// connect makes a connection if there is none, now and then.
func (l *link) connect(ctx context.Context, wait time.Duration) error {
	if l.client.Connected() {
		return nil
	}
	now := time.Now()
	if now.Before(l.dialAt) {
		return errSoon
	}
	l.dialAt = now.Add(redialEvery)
	return l.client.Connect(ctx, min(wait, readWait))
}

// close gives the connection up, after an ask that is under way.
func (l *link) close() {
	l.turn <- struct{}{}
	defer l.release()
	l.client.Close()
}

// busyError says that an ask before has not ended in time.
type busyError struct{}

func (busyError) Error() string { return "an ask before is still under way" }

var errBusy = busyError{}

// soonError says that a connection was tried a moment ago.
type soonError struct{}

func (soonError) Error() string { return "tried a moment ago" }

var errSoon = soonError{}
