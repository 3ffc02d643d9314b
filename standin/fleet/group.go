package fleet

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The dimensions of the group's expert map.
const (
	layers       = 2
	experts      = 16
	slotsPerRank = 6
	spareSlots   = 2
)

// balancedPassTime is the duration of a forward pass with balanced load; the duration
// is proportional to the skew.
const balancedPassTime = 8 * time.Millisecond

// Group is a set of ranks that run every forward pass together with one expert map.
type Group struct {
	mu   sync.Mutex
	rng  *rand.Rand
	name string
	// absent are the ranks that are down, none while the group is open. refuseFrom is
	// the end of the stall, after which the group refuses everything.
	absent     map[*Rank]bool
	refuseFrom time.Time
	ranks      []*Rank
	step       int64
	epoch      int64
	// popularity is the relative frequency of each expert, by layer. ShiftLoad changes
	// it.
	popularity [layers][experts]float64
	// mismatchedSteps counts the passes that began while ranks had different maps.
	mismatchedSteps int
	// mapChanges counts the maps that came into force.
	mapChanges int
	skew       float64
	// lateOrders is the share of orders that are carried out late and not answered.
	lateOrders float64
}

// stream is one answer, to which each forward pass adds an event.
type stream struct {
	next, last int
	events     chan int
	callerDone <-chan struct{}
	// aborted means that the server aborts the answer.
	aborted bool
}

// slots is how many streams a rank runs at once.
const slots = 12

// stallTime is how long a group that has lost a rank stalls before it refuses
// requests.
const stallTime = 300 * time.Millisecond

// NewGroup returns the group with the given number, with n ranks on their first map.
func NewGroup(number, n int) *Group {
	g := &Group{epoch: 1, absent: map[*Rank]bool{}, name: fmt.Sprintf("g%d", number), rng: rand.New(rand.NewPCG(1, 2+uint64(number)))}
	for i := range n {
		r := &Rank{group: g, index: i, id: fmt.Sprintf("i-%s-rank%d", g.name, i)}
		g.ranks = append(g.ranks, r)
	}
	for _, r := range g.ranks {
		r.start()
	}
	g.ShiftLoad()
	return g
}

// removeRank marks a rank as down.
func (g *Group) removeRank(r *Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.absent) == 0 {
		g.refuseFrom = time.Now().Add(stallTime)
	}
	g.absent[r] = true
}

// rejoin adds a rank back that has been restarted. If it was the last one that was
// down, the group forms anew in a new epoch, and all ranks start again with their
// first map.
func (g *Group) rejoin(rank *Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abortStreams()
	rank.start()
	delete(g.absent, rank)
	if len(g.absent) > 0 {
		return
	}
	g.epoch++
	for _, r := range g.ranks {
		startedAt := r.startedAt
		r.start()
		r.startedAt = startedAt
	}
}

// abortStreams aborts all running and waiting streams.
func (g *Group) abortStreams() {
	for _, r := range g.ranks {
		for _, s := range append(r.running, r.waiting...) {
			s.aborted = true
			close(s.events)
		}
		r.running, r.waiting = nil, nil
	}
}

// refuses reports whether the group refuses requests because a rank is down.
func (g *Group) refuses() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.absent) > 0 && !time.Now().Before(g.refuseFrom)
}

// ShiftLoad changes which experts are popular.
func (g *Group) ShiftLoad() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.popularity {
		for e := range g.popularity[l] {
			g.popularity[l][e] = 1
		}
		for range 3 {
			g.popularity[l][g.rng.IntN(experts)] = 14
		}
	}
}

// Run runs forward passes until done is closed.
func (g *Group) Run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(g.pass()):
		}
	}
}

// pass runs one forward pass, unless something blocks it, and returns the time until
// the next call.
func (g *Group) pass() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.absent) > 0 {
		if !time.Now().Before(g.refuseFrom) {
			g.abortStreams()
		}
		return 2 * time.Millisecond
	}
	busy := false
	for _, r := range g.ranks {
		r.finishCopy(time.Now())
		if r.heldStep == g.step+1 {
			return time.Millisecond
		}
		busy = busy || len(r.running)+len(r.waiting) > 0
	}
	if !busy {
		return 2 * time.Millisecond
	}
	g.step++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.version, r.armed, r.armedStep = r.armed, 0, 0
			if r.index == 0 {
				g.mapChanges++
			}
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.mismatchedSteps++
			break
		}
	}
	for _, r := range g.ranks {
		r.runStep()
	}
	g.skew = g.computeSkew()
	return time.Duration(float64(balancedPassTime) * g.skew)
}

// computeSkew returns the load of the most loaded rank over the mean, averaged over
// the layers.
func (g *Group) computeSkew() float64 {
	total := 0.0
	for l := range g.popularity {
		copies := [experts]float64{}
		for _, r := range g.ranks {
			for _, e := range r.maps[r.version][l] {
				copies[e]++
			}
		}
		sum, most := 0.0, 0.0
		for _, r := range g.ranks {
			load := 0.0
			for _, e := range r.maps[r.version][l] {
				load += g.popularity[l][e] / copies[e]
			}
			sum += load
			most = max(most, load)
		}
		total += most / (sum / float64(len(g.ranks))) / layers
	}
	return total
}
