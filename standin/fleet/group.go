package fleet

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The shape of the group's experts.
const (
	layers  = 2
	experts = 16
	places  = 6
	spare   = 2
)

// passTime is how long a balanced pass takes; it grows with the skew.
const passTime = 8 * time.Millisecond

// Group is a set of ranks that run every pass together on an expert map.
type Group struct {
	mu   sync.Mutex
	rng  *rand.Rand
	name string
	// lost are the ranks that are away, none while the group is open; cutAt is when the
	// stall is over, after which everything is refused.
	lost  map[*Rank]bool
	cutAt time.Time
	ranks []*Rank
	step  int64
	epoch int64
	// popular is how often each expert is chosen, by layer. Shift changes it.
	popular [layers][experts]float64
	// mixed counts passes that began while ranks had different maps.
	mixed int
	// changes counts the maps that came into force.
	changes int
	skew    float64
	// lateOrders is the share of orders that are not answered and carried out
	// later.
	lateOrders float64
}

// stream is one answer that grows by an event each pass.
type stream struct {
	next, last int
	events     chan int
	gone       <-chan struct{}
	// cut says that the server breaks the answer off.
	cut bool
}

const slots = 12

// stall is how long a group stands that has lost a rank, before it refuses.
const stall = 300 * time.Millisecond

// NewGroup returns the group with a number, of so many ranks on their first map.
func NewGroup(number, n int) *Group {
	g := &Group{epoch: 1, lost: map[*Rank]bool{}, name: fmt.Sprintf("g%d", number), rng: rand.New(rand.NewPCG(1, 2+uint64(number)))}
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

// lose takes a rank away.
func (g *Group) lose(r *Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.lost) == 0 {
		g.cutAt = time.Now().Add(stall)
	}
	g.lost[r] = true
}

// rejoin takes a rank back that has started again, and opens the group anew if it was the
// last one that was away: all ranks go on with their first map.
func (g *Group) rejoin(back *Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutOff()
	back.start()
	delete(g.lost, back)
	if len(g.lost) > 0 {
		return
	}
	g.epoch++
	for _, r := range g.ranks {
		born := r.born
		r.start()
		r.born = born
	}
}

// cutOff breaks off all that runs or waits.
func (g *Group) cutOff() {
	for _, r := range g.ranks {
		for _, s := range append(r.running, r.waiting...) {
			s.cut = true
			close(s.events)
		}
		r.running, r.waiting = nil, nil
	}
}

// refuses reports whether the group takes nothing because it has lost a rank.
func (g *Group) refuses() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.lost) > 0 && !time.Now().Before(g.cutAt)
}

// ShiftLoad changes which experts are liked.
func (g *Group) ShiftLoad() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.popular {
		for e := range g.popular[l] {
			g.popular[l][e] = 1
		}
		for range 3 {
			g.popular[l][g.rng.IntN(experts)] = 14
		}
	}
}

// Run makes passes until done is closed.
func (g *Group) Run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(g.pass()):
		}
	}
}

// pass runs one pass, if nothing holds it, and returns how long it takes.
func (g *Group) pass() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.lost) > 0 {
		if !time.Now().Before(g.cutAt) {
			g.cutOff()
		}
		return 2 * time.Millisecond
	}
	busy := false
	for _, r := range g.ranks {
		r.settle(time.Now())
		if r.held == g.step+1 {
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
				g.changes++
			}
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.mixed++
			break
		}
	}
	for _, r := range g.ranks {
		r.work()
	}
	g.skew = g.measure()
	return time.Duration(float64(passTime) * g.skew)
}

// measure returns the most loaded rank over the mean, over the layers.
func (g *Group) measure() float64 {
	total := 0.0
	for l := range g.popular {
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
				load += g.popular[l][e] / copies[e]
			}
			sum += load
			most = max(most, load)
		}
		total += most / (sum / float64(len(g.ranks))) / layers
	}
	return total
}
