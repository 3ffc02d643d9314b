package main

import (
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"time"

	"verbenashift/platform"
)

// Ask is what the steward of a group asks of the sidecar beside a rank.
type Ask struct {
	// Term is the steward's fencing number, From its instance.
	Term int64
	From string
	// Rank is that beside which the steward runs.
	Rank int
	// Counts and Placement ask for more than the state of the rank.
	Counts    bool
	Placement bool
	// Order, if there is one, is given to the rank before it is read.
	Order *platform.Order
}

// Tell is the answer.
type Tell struct {
	// Term is the highest that the sidecar has heard.
	Term int64
	// Known says that the rank has answered; State is fresh then.
	Known     bool
	State     platform.RankState
	Counts    *platform.Counts
	Placement *platform.Placement
	// Status is that of the answer to the order; 0 means none came.
	Status int
}

const (
	// orderWait is how long a rank may take to answer an order: it answers in
	// a millisecond or not at all. readWait is the same for a reading.
	orderWait = 100 * time.Millisecond
	readWait  = 120 * time.Millisecond
	// quietConnection is how long a steward may leave a connection unused.
	quietConnection = 30 * time.Second
)

// serve answers stewards until the listener is closed.
func (a *agent) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			a.log.Info("no longer listening", "error", err.Error())
			return
		}
		go a.talk(c)
	}
}

// talk answers the asks on one connection, in turn.
func (a *agent) talk(c net.Conn) {
	defer func() { _ = c.Close() }()
	in, out := gob.NewDecoder(c), gob.NewEncoder(c)
	for {
		if err := c.SetDeadline(time.Now().Add(quietConnection)); err != nil {
			return
		}
		var ask Ask
		if err := in.Decode(&ask); err != nil {
			// The steward has gone or has given the connection up.
			return
		}
		tell := a.answer(ask)
		if err := out.Encode(tell); err != nil {
			return
		}
	}
}

// answer does what a steward asks, unless a newer one has been heard: the
// orders of a steward that was paused must not reach the rank.
func (a *agent) answer(ask Ask) Tell {
	term, ok := a.hear(ask)
	if !ok {
		return Tell{Term: term}
	}
	return a.consult(ask, term)
}

// consult gives the order to the rank and reads it.
func (a *agent) consult(ask Ask, term int64) Tell {
	tell := Tell{Term: term}
	if ask.Order != nil {
		tell.Status = giveOrder(a.rank, *ask.Order, a.log)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	st, err := a.rank.State(ctx)
	if err != nil {
		a.log.Warn("rank not read", "error", err.Error())
		return tell
	}
	tell.State, tell.Known = st, true
	if ask.Counts {
		if counts, err := a.rank.Counts(ctx); err == nil {
			tell.Counts = &counts
		} else {
			a.log.Warn("counts not read", "error", err.Error())
		}
	}
	if ask.Placement {
		if place, err := a.rank.Placement(ctx); err == nil {
			tell.Placement = &place
		} else {
			a.log.Warn("placement not read", "error", err.Error())
		}
	}
	return tell
}

// giveOrder gives an order to a rank and returns the status of the answer, or 0
// if none came.
func giveOrder(rank *platform.RankClient, o platform.Order, log *slog.Logger) int {
	ctx, cancel := context.WithTimeout(context.Background(), orderWait)
	defer cancel()
	status, err := rank.Order(ctx, o)
	attrs := []any{"order", string(o.Kind), "version", o.Version, "step", o.Step, "epoch", o.Epoch, "expect", o.Expect, "term", o.Fence, "status", status}
	if err != nil {
		log.Warn("order not answered", append(attrs, "error", err.Error())...)
		return 0
	}
	log.Info("order", attrs...)
	return status
}
