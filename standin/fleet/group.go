package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
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

// Rank is one model server of the group.
type Rank struct {
	group *Group
	index int
	id    string
	ip    string
	// born is when the server has started, in Unix milliseconds.
	born int64
	maps map[int64][][]int
	had  int64

	version, prepared int64
	copying           int64
	ready             time.Time
	armed, armedStep  int64
	held              int64
	counts            [layers * experts]int64
	waiting, running  []*stream
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
	g.Shift()
	return g
}

// start makes the server of a rank begin with nothing but its first map.
func (r *Rank) start() {
	first := make([][]int, layers)
	for l := range first {
		for e := r.index; e < experts; e += len(r.group.ranks) {
			first[l] = append(first[l], e)
		}
	}
	*r = Rank{
		group: r.group, index: r.index, id: r.id, ip: r.ip, born: time.Now().UnixMilli(),
		maps: map[int64][][]int{0: first}, waiting: r.waiting, running: r.running,
	}
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

// seat is what a rank says of its group.
func (r *Rank) seat() map[string]any {
	state := "open"
	if len(r.group.lost) > 0 {
		state = "broken"
	}
	return map[string]any{"name": r.group.name, "epoch": r.group.epoch, "rank": r.index, "state": state}
}

// Shift changes which experts are liked.
func (g *Group) Shift() {
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

// settle completes a copy.
func (r *Rank) settle(now time.Time) {
	if r.copying != 0 && !now.Before(r.ready) {
		r.prepared, r.copying = r.copying, 0
	}
}

// work admits requests and makes an event of each running one.
func (r *Rank) work() {
	for len(r.running) < slots && len(r.waiting) > 0 {
		r.running = append(r.running, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	kept := r.running[:0]
	for _, s := range r.running {
		r.choose()
		select {
		case <-s.gone:
			close(s.events)
			continue
		case s.events <- s.next:
		default:
		}
		s.next++
		if s.next > s.last {
			close(s.events)
			continue
		}
		kept = append(kept, s)
	}
	r.running = kept
}

// choose counts the experts that a request's tokens need.
func (r *Rank) choose() {
	for l := range r.group.popular {
		for e, p := range r.group.popular[l] {
			r.counts[l*experts+e] += int64(p)
		}
	}
}

// ServeHTTP answers the calls of the platform's page.
func (r *Rank) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.Method + " " + req.URL.Path {
	case "GET /report":
		r.report(w)
	case "GET /picked":
		r.picked(w, req)
	case "POST /order":
		r.order(w, req)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *Rank) report(w http.ResponseWriter) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r.settle(time.Now())
	body := map[string]any{
		"stage": "unified", "seq": 0, "size": len(g.ranks), "step": g.step, "map": r.version, "pace": 1.0,
		"group": r.seat(), "born": r.born,
		"queued": len(r.waiting), "running": len(r.running), "prepared": nil, "armed": nil, "held": nil,
	}
	if r.prepared != 0 {
		body["prepared"] = r.prepared
	}
	if r.armed != 0 {
		body["armed"] = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	if r.held != 0 {
		body["held"] = r.held
	}
	answer(w, body)
}

func (r *Rank) picked(w http.ResponseWriter, req *http.Request) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if req.URL.Query().Has("lists") {
		answer(w, map[string]any{"epoch": g.epoch, "map": map[string]any{"version": r.version, "experts": r.maps[r.version]}, "prepared": nil})
		return
	}
	answer(w, map[string]any{"step": g.step, "epoch": g.epoch, "counts": r.counts})
}

// orderBody is an order as it comes over the wire.
type orderBody struct {
	Op      string    `json:"op"`
	Epoch   int64     `json:"epoch"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

func (r *Rank) order(w http.ResponseWriter, req *http.Request) {
	var o orderBody
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := r.group
	g.mu.Lock()
	late := g.rng.Float64() < g.lateOrders
	after := time.Duration(200+g.rng.IntN(1500)) * time.Millisecond
	g.mu.Unlock()
	if late {
		time.AfterFunc(after, func() { r.apply(o) })
		<-req.Context().Done()
		return
	}
	w.WriteHeader(r.apply(o))
}

// apply carries out an order and returns the status of its answer.
func (r *Rank) apply(o orderBody) int {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r.settle(time.Now())
	if o.Epoch != g.epoch {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		return r.prepare(o)
	case "arm":
		if r.armed == o.Version && r.armedStep == o.Step {
			return http.StatusOK
		}
		if r.prepared != o.Version || g.step >= o.Step {
			return http.StatusConflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed == o.Version {
			r.armed, r.armedStep = 0, 0
		}
	case "hold":
		if g.step >= o.Step || r.held != 0 && r.held != o.Step {
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held == o.Step {
			r.held = 0
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

func (r *Rank) prepare(o orderBody) int {
	if o.Version == r.prepared || o.Version == r.copying {
		return http.StatusOK
	}
	if o.Version <= r.had || r.armed != 0 || len(o.Map) != layers {
		return http.StatusConflict
	}
	fresh := make([][]int, layers)
	copies := 0
	for l := range fresh {
		if len(o.Map[l]) != len(r.group.ranks) || len(o.Map[l][r.index]) > places {
			return http.StatusBadRequest
		}
		fresh[l] = o.Map[l][r.index]
		added := 0
		for _, e := range fresh[l] {
			if !contains(r.maps[r.version][l], e) {
				added++
			}
		}
		if added > spare {
			return http.StatusConflict
		}
		copies += added
	}
	r.had, r.copying, r.prepared = o.Version, o.Version, 0
	r.maps[o.Version] = fresh
	r.ready = time.Now().Add(time.Duration(copies) * 5 * time.Millisecond)
	return http.StatusAccepted
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}
