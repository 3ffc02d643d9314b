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
	// responseWait is how long an agent may take to respond for its own rank: its own calls to
	// the rank and the round trip. One that did not respond last time gets unreachableWait, so
	// that the others still receive the announcement in time.
	responseWait    = orderTries*localWait + readWait + 60*time.Millisecond
	unreachableWait = 50 * time.Millisecond
)

// redialInterval is the pause between tries to connect to an agent.
const redialInterval = 250 * time.Millisecond

// link is the connection to one agent. It is safe for concurrent use; requests run one after the
// other.
type link struct {
	// sem holds one value while a request is under way.
	sem    chan struct{}
	addr   netip.AddrPort
	client *rankpeer.Client
	dialAt time.Time
	log    *slog.Logger
	// unreachable says that the agent does not answer.
	unreachable bool
	// patient says that the timeout is not shortened while the agent is unreachable.
	patient bool
	// sentRoster is the roster that the agent has accepted over this connection, or nil.
	sentRoster atomic.Pointer[rankpeer.Roster]
	// missingBase is the version of the map whose base the agent has reported as missing, or 0.
	missingBase atomic.Int64
	// namedAt is when this process last named itself to the agent as its relay, in Unix
	// nanoseconds.
	namedAt atomic.Int64
}

// relayNameInterval is how often a relay names itself to the members of its branch: seldom, since
// that makes its requests longer.
const relayNameInterval = time.Second

// nameDue reports whether this process is to name itself to the agent as its relay now.
func (l *link) nameDue(now time.Time) bool {
	return now.UnixNano()-l.namedAt.Load() >= int64(relayNameInterval)
}

// newLink returns a link to an agent, not yet connected.
func newLink(addr netip.AddrPort, log *slog.Logger) *link {
	return &link{sem: make(chan struct{}, 1), addr: addr, client: rankpeer.NewClient(addr.String()), log: log}
}

// query sends a request to the agent, and waits for at most wait in all: for the previous
// request, for a connection and for the response. Whoever waits for the result waits little
// longer.
func (l *link) query(ctx context.Context, req rankpeer.Request, wait time.Duration) (rankpeer.Response, error) {
	until := time.Now().Add(wait)
	if !l.acquire(wait) {
		return rankpeer.Response{}, errBusy
	}
	defer l.release()
	if l.unreachable && !l.patient {
		until = time.Now().Add(min(wait, unreachableWait))
	}
	resp, err := l.try(ctx, req, until)
	switch {
	case err == nil && l.unreachable:
		l.unreachable = false
		l.log.Info("sidecar answers again", "sidecar", l.addr.String())
	case err != nil && !l.unreachable:
		l.unreachable = true
		l.log.Warn("sidecar does not answer", "sidecar", l.addr.String(), "error", err.Error())
	}
	return resp, err
}

// roster returns the roster that the agent has accepted, or nil. Whoever answers over the next
// connection may be another process.
func (l *link) roster() *rankpeer.Roster { return l.sentRoster.Load() }

// acquire waits for the previous request to end. It reports false if that takes too long.
func (l *link) acquire(wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case l.sem <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}

func (l *link) release() { <-l.sem }

func (l *link) try(ctx context.Context, req rankpeer.Request, until time.Time) (rankpeer.Response, error) {
	if err := l.connect(ctx, time.Until(until)); err != nil {
		return rankpeer.Response{}, err
	}
	resp, err := l.client.Do(req, time.Until(until))
	switch {
	case err != nil:
		l.sentRoster.Store(nil)
	case resp.NeedMap && req.Order != nil:
		l.missingBase.Store(req.Order.Version)
	case req.Roster != nil && resp.Refused == lockstep.Accepted:
		l.sentRoster.Store(req.Roster)
	}
	return resp, err
}

// connect connects to the agent if there is no connection, at most once every redialInterval.
func (l *link) connect(ctx context.Context, wait time.Duration) error {
	if l.client.Connected() {
		return nil
	}
	now := time.Now()
	if now.Before(l.dialAt) {
		return errRedialTooSoon
	}
	l.dialAt = now.Add(redialInterval)
	return l.client.Connect(ctx, min(wait, readWait))
}

// close closes the connection, after a request that is under way.
func (l *link) close() {
	l.sem <- struct{}{}
	defer l.release()
	l.client.Close()
}

// busyError says that the previous request has not ended in time.
type busyError struct{}

func (busyError) Error() string { return "previous request is still in progress" }

var errBusy = busyError{}

// redialTooSoonError says that the last try to connect was less than redialInterval ago.
type redialTooSoonError struct{}

func (redialTooSoonError) Error() string { return "last connection attempt was too recent" }

var errRedialTooSoon = redialTooSoonError{}
