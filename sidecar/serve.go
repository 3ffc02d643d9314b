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

// The timeouts of calls to other instances are variables, so that tests on a busy machine can
// extend them.
var (
	// localWait is how long the rank on the same instance may take to answer an order,
	// directWait one on another instance: it answers in a millisecond or not at all. An order
	// that is not answered is sent again, orderTries times in all; see package lockstep for why
	// that is safe. The group may be held meanwhile, and the slowest of all ranks decides for
	// how long.
	localWait  = 5 * time.Millisecond
	directWait = 15 * time.Millisecond
	// prepareWait and prepareTries are the same for orders to prepare a map, which send the
	// whole map to the rank, some 40 KB for 192 ranks: on a busy instance that takes longer than
	// 5 ms, and the group is not held meanwhile. All tries together take no longer than those of
	// other orders.
	prepareWait = 20 * time.Millisecond
	// readWait is how long a read of a rank may take.
	readWait = 120 * time.Millisecond
)

// The number of tries of an order, and of an order to prepare a map.
const (
	orderTries   = 12
	prepareTries = 3
)

// serve answers requests until the listener is closed.
func (a *agent) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			a.log.Info("no longer listening", "error", err.Error())
			return
		}
		go func() {
			// It returns when the peer closes the connection.
			_ = rankpeer.Serve(c, a.handleRequest)
		}()
	}
}

// handleRequest executes a request, unless its announcement is for another group or a newer one
// has been accepted: orders of a coordinator that was paused, or of one whose group the rank has
// left, must not reach the rank.
func (a *agent) handleRequest(req rankpeer.Request) rankpeer.Response {
	if req.Digest {
		return a.answerDigest(&req, time.Now())
	}
	if req.View != nil {
		resp := rankpeer.Response{Refused: a.acceptAnnouncement(req), Group: a.membership().Group, Term: a.highestTerm()}
		if resp.Refused == lockstep.Accepted {
			resp.List, resp.FeedList = a.storeDigest(req.View)
		}
		return resp
	}
	if req.Branch == nil {
		return a.handleLocal(req)
	}
	resp := rankpeer.Response{Refused: a.acceptAnnouncement(req)}
	if shouldForward(resp.Refused) {
		resp.Branch = a.forward(req)
	}
	now := time.Now()
	resp.Group, resp.Term = a.membership().Group, a.highestTerm()
	resp.Feeds, resp.FeedList = a.gateways.feeds(req.FeedList, now)
	resp.Gateways, resp.Event, resp.Gap = a.gateways.count(now), a.gateways.newestEvent(now), a.gateways.longestGap()
	resp.Classes = a.gateways.classes(resp.Group.Name, now)
	return resp
}

// handleLocal executes a request for this agent's own rank, if its announcement is accepted.
func (a *agent) handleLocal(req rankpeer.Request) rankpeer.Response {
	reads := a.refreshMembership()
	refusal := a.acceptAnnouncement(req)
	resp := rankpeer.Response{Group: a.membership().Group, Refused: refusal, Term: a.highestTerm()}
	if refusal == lockstep.Accepted && req.Relay != "" {
		a.recordRelay(req.Relay, time.Now())
	}
	// A rank that has just timed out would time out again, and delay all other ranks of the
	// branch.
	if refusal == lockstep.Accepted && reads {
		a.queryOwnRank(req, &resp)
	}
	return resp
}

// queryOwnRank sends the order to the rank and reads its state.
func (a *agent) queryOwnRank(req rankpeer.Request, resp *rankpeer.Response) {
	if req.Order != nil {
		resp.Status, resp.NeedMap = a.order(req)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	st, err := a.readRank(ctx)
	if err != nil {
		a.log.Warn("rank not read", "error", err.Error())
		return
	}
	resp.State, resp.Known = st, true
	resp.Group = st.GroupID()
	if req.Counts {
		if counts, err := a.rank.Counts(ctx); err == nil {
			resp.Sample = a.sample(counts)
		} else {
			a.log.Warn("failed to read expert counts", "error", err.Error())
		}
	}
	if req.Placement {
		if place, err := a.rank.Placement(ctx); err == nil {
			resp.Placement = &place
		} else {
			a.log.Warn("failed to read placement", "error", err.Error())
		}
	}
}

// order sends the order of a request, with the map that its change results in.
func (a *agent) order(req rankpeer.Request) (status int, needMap bool) {
	var m *rankpeer.Map
	if req.Change != nil {
		m = a.storedMaps().build(req.Order.Epoch, req.Order.Version, req.Change)
	}
	return sendRequestedOrder(a.rank, localWait, req, m, a.log)
}

// storedMaps returns the maps of the group that the rank belongs to now.
func (a *agent) storedMaps() *mapStore {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.maps
}

// sendRequestedOrder sends the order of a request to a rank. An order that comes with a change
// needs its map m; needMap says that m is nil or damaged, and that the order was not sent.
func sendRequestedOrder(rank *platform.RankClient, wait time.Duration, req rankpeer.Request, m *rankpeer.Map, log *slog.Logger) (status int, needMap bool) {
	o := *req.Order
	if req.Change != nil {
		if m == nil {
			return 0, true
		}
		var ok bool
		if o.Map, ok = m.Unpack(); !ok {
			log.Error("failed to unpack map", "version", o.Version)
			return 0, true
		}
	}
	return sendOrder(rank, wait, o, log), false
}

// sample returns the choices of experts since the last sample.
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

// sendOrder sends an order to a rank, again if it is not answered, and returns the status of the
// answer, or 0 if none came.
func sendOrder(rank *platform.RankClient, wait time.Duration, o engine.Order, log *slog.Logger) int {
	attrs := []any{"order", string(o.Kind), "version", o.Version, "step", o.Step, "epoch", o.Epoch, "fence", o.Fence}
	tries := orderTries
	if o.Kind == engine.PrepareMap {
		wait, tries = max(wait, prepareWait), prepareTries
	}
	var err error
	for try := range tries {
		var status int
		if status, err = sendOrderOnce(rank, wait, o); err == nil {
			metricOrders.Add(string(o.Kind)+"-"+strconv.Itoa(status), 1)
			log.Info("order", append(attrs, "status", status, "try", try+1)...)
			return status
		}
		metricUnanswered.Add(string(o.Kind), 1)
	}
	log.Warn("order not answered", append(attrs, "tries", tries, "error", err.Error())...)
	return 0
}

func sendOrderOnce(rank *platform.RankClient, wait time.Duration, o engine.Order) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return rank.Order(ctx, o)
}
