package main

import (
	"sync"
	"time"

	"verbenashift/core/experts/rankpeer"
)

const (
	// gatewayPollMaxAge is for how long a gateway counts that has requested a digest: it does so
	// several times a second, and once or twice a second while it gets no usable response.
	gatewayPollMaxAge = 3 * time.Second
	// eventMaxAge is for how long a gateway's report on the store counts.
	eventMaxAge = 1500 * time.Millisecond
	// classesMaxAge is for how long a gateway's report of its requests counts: several polls. One
	// that turns to another agent counts twice for as long.
	classesMaxAge = time.Second
	// maxGateways bounds the names that are stored, whoever sends them.
	maxGateways = 1024
)

// gateways is what an agent knows of the gateways that poll it for digests, and what they report
// of the store. The zero value has none. It is safe for concurrent use.
type gateways struct {
	mu       sync.Mutex
	lastPoll map[string]gatewayPoll
	// event is the newest change of the store that a gateway has reported, at eventAt; gap the
	// longest gap between events that callers are to see, or 0.
	event   int64
	eventAt time.Time
	gap     time.Duration
}

// gatewayPoll is the last poll of a gateway.
type gatewayPoll struct {
	at         time.Time
	zone, feed string
	// classes is what it has of requests for a group, or nil.
	group   string
	classes *rankpeer.Classes
}

// record records a gateway's request for a digest.
func (g *gateways) record(req *rankpeer.Request, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastPoll == nil {
		g.lastPoll = map[string]gatewayPoll{}
	}
	if _, known := g.lastPoll[req.Gateway]; known || len(g.lastPoll) < maxGateways {
		g.lastPoll[req.Gateway] = gatewayPoll{now, req.Zone, req.Feed, req.Word.Group.Name, req.Classes}
	}
	if req.Event > 0 && (req.Event >= g.event || now.Sub(g.eventAt) > eventMaxAge) {
		g.event, g.eventAt = req.Event, now
	}
	if req.Gap > 0 {
		g.gap = req.Gap
	}
}

// count returns how many gateways have polled recently.
func (g *gateways) count(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	return len(g.lastPoll)
}

// expire removes the gateways that have stopped polling. The lock must be held.
func (g *gateways) expire(now time.Time) {
	for gateway, poll := range g.lastPoll {
		if now.Sub(poll.at) > gatewayPollMaxAge {
			delete(g.lastPoll, gateway)
		}
	}
}

// classes returns the sums of what the gateways have of requests for a group, or nil if none has
// reported any recently.
func (g *gateways) classes(group string, now time.Time) *rankpeer.ClassSums {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := make([]rankpeer.ClassSums, 0, len(g.lastPoll))
	for _, poll := range g.lastPoll {
		if age := now.Sub(poll.at); poll.classes != nil && poll.group == group && age <= classesMaxAge {
			reports = append(reports, rankpeer.ClassSums{Classes: *poll.classes, Gateways: 1, Age: age})
		}
	}
	return rankpeer.SumClasses(reports)
}

// newestEvent returns the newest change of the store that was reported recently, or 0.
func (g *gateways) newestEvent(now time.Time) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.eventAt) > eventMaxAge {
		return 0
	}
	return g.event
}

// longestGap returns the longest gap between events that callers are to see, as gateways report
// it, or 0.
func (g *gateways) longestGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gap
}

// amongFirst reports whether a gateway is one of the n first by name among those that poll this
// agent.
func (g *gateways) amongFirst(gateway string, n int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	for other := range g.lastPoll {
		if other < gateway {
			n--
		}
	}
	return n > 0
}

// feeds returns the gateways of each zone that could watch the store for others, with the number of
// that list. The list is nil if it is the one with the number that is known already.
func (g *gateways) feeds(known uint64, now time.Time) ([]rankpeer.Feed, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	var candidates []rankpeer.Feed
	for gateway, poll := range g.lastPoll {
		if poll.feed != "" {
			candidates = append(candidates, rankpeer.Feed{Gateway: gateway, Zone: poll.zone, Addr: poll.feed})
		}
	}
	list := rankpeer.FirstFeeds(candidates)
	number := rankpeer.FeedList(list)
	if number == known {
		return nil, number
	}
	return list, number
}
