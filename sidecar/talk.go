package main

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"time"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/platform"
)

// The waits for other instances are variables, so that tests leave them more time than a busy
// machine takes.
var (
	// ownWait is how long the rank on the same instance may take to answer an
	// order, afarWait another one: it answers in a millisecond or not at all. An
	// order that is not answered is given again, orderTries times in all; see
	// package lockstep for why that is safe. The group may be held meanwhile, and
	// the slowest of all ranks decides for how long.
	ownWait  = 5 * time.Millisecond
	afarWait = 15 * time.Millisecond
	// prepareWait and prepareTries are the same for orders to prepare, which bring the
	// whole map to the rank, some 40 KB for 192 ranks: on a busy instance that takes longer
	// than 5 ms, and nobody is held meanwhile. They take no longer in all.
	prepareWait = 20 * time.Millisecond
	// readWait is how long a rank may take to be read.
	readWait = 120 * time.Millisecond
)

// An order is given so many times in all, one to prepare less often.
const (
	orderTries   = 12
	prepareTries = 3
)

// serve answers stewards until the listener is closed.
func (a *agent) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			a.log.Info("no longer listening", "error", err.Error())
			return
		}
		go func() {
			// It ends when the other side has gone or gives it up.
			_ = rankpeer.Serve(c, a.answer)
		}()
	}
}

// answer does what a steward asks, unless its word is not for this rank, or a newer
// one has been heard: the orders of a steward that was paused, or of one whose group
// the rank has left, must not reach the rank.
func (a *agent) answer(ask rankpeer.Request) rankpeer.Response {
	if ask.Digest {
		return a.tellDigest(&ask, time.Now())
	}
	if ask.View != nil {
		tell := rankpeer.Response{Refused: a.hear(ask), Group: a.seat().Group, Term: a.highestTerm()}
		if tell.Refused == lockstep.Accepted {
			tell.List = a.takeView(ask.View)
		}
		return tell
	}
	if ask.Branch == nil {
		return a.judge(ask)
	}
	tell := rankpeer.Response{Refused: a.hear(ask)}
	if forwards(tell.Refused) {
		tell.Branch = a.forward(ask)
	}
	now := time.Now()
	tell.Group, tell.Term = a.seat().Group, a.highestTerm()
	tell.Gateways, tell.Event, tell.Gap = a.askers.count(now), a.askers.newest(now), a.askers.pause()
	return tell
}

// judge does what a steward asks of this agent's own rank, if its word is heeded.
func (a *agent) judge(ask rankpeer.Request) rankpeer.Response {
	reads := a.refreshSeat()
	refusal := a.hear(ask)
	tell := rankpeer.Response{Group: a.seat().Group, Refused: refusal, Term: a.highestTerm()}
	// A rank that has just not answered would take its time again, and all other ranks of
	// the branch with it.
	if refusal == lockstep.Accepted && reads {
		a.consult(ask, &tell)
	}
	return tell
}

// consult gives the order to the rank and reads it.
func (a *agent) consult(ask rankpeer.Request, tell *rankpeer.Response) {
	if ask.Order != nil {
		tell.Status, tell.NeedMap = a.order(ask)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	st, err := a.readRank(ctx)
	if err != nil {
		a.log.Warn("rank not read", "error", err.Error())
		return
	}
	tell.State, tell.Known = st, true
	tell.Group = st.GroupID()
	if ask.Counts {
		if counts, err := a.rank.Counts(ctx); err == nil {
			tell.Sample = a.sample(counts)
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
}

// order gives the order of an ask, with the map that its change makes.
func (a *agent) order(ask rankpeer.Request) (status int, needMap bool) {
	var m *rankpeer.Map
	if ask.Change != nil {
		m = a.keptMaps().make(ask.Order.Epoch, ask.Order.Version, ask.Change)
	}
	return giveAsked(a.rank, ownWait, ask, m, a.log)
}

// keptMaps returns the maps of the group that the rank belongs to now.
func (a *agent) keptMaps() *mapStore {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.maps
}

// giveAsked gives the order of an ask to a rank. An order that comes with a
// change needs its map m; needMap says that m is nil or damaged, and that the
// order was not given.
func giveAsked(rank *platform.RankClient, wait time.Duration, ask rankpeer.Request, m *rankpeer.Map, log *slog.Logger) (status int, needMap bool) {
	o := *ask.Order
	if ask.Change != nil {
		if m == nil {
			return 0, true
		}
		var ok bool
		if o.Map, ok = m.Unpack(); !ok {
			log.Error("map not understood", "version", o.Version)
			return 0, true
		}
	}
	return giveOrder(rank, wait, o, log), false
}

// sample returns what was chosen since the last sample.
func (a *agent) sample(counts engine.Counts) *rankpeer.Sample {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.counts
	if a.countsEpoch != counts.Epoch {
		before = nil
	}
	a.counts, a.countsEpoch = counts.Values, counts.Epoch
	return rankpeer.NewSample(before, counts.Values)
}

// giveOrder gives an order to a rank, again if it is not answered, and returns the
// status of the answer, or 0 if none came.
func giveOrder(rank *platform.RankClient, wait time.Duration, o engine.Order, log *slog.Logger) int {
	attrs := []any{"order", string(o.Kind), "version", o.Version, "step", o.Step, "epoch", o.Epoch, "fence", o.Fence}
	tries := orderTries
	if o.Kind == engine.PrepareMap {
		wait, tries = max(wait, prepareWait), prepareTries
	}
	var err error
	for try := range tries {
		var status int
		if status, err = tryOrder(rank, wait, o); err == nil {
			metricOrders.Add(string(o.Kind)+"-"+strconv.Itoa(status), 1)
			log.Info("order", append(attrs, "status", status, "try", try+1)...)
			return status
		}
		metricUnanswered.Add(string(o.Kind), 1)
	}
	log.Warn("order not answered", append(attrs, "tries", tries, "error", err.Error())...)
	return 0
}

func tryOrder(rank *platform.RankClient, wait time.Duration, o engine.Order) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return rank.Order(ctx, o)
}
