package fleet

import (
	"encoding/json"
	"net/http"
	"time"
)

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

// seat is what a rank says of its group.
func (r *Rank) seat() map[string]any {
	state := "open"
	if len(r.group.lost) > 0 {
		state = "broken"
	}
	return map[string]any{"name": r.group.name, "epoch": r.group.epoch, "rank": r.index, "state": state}
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
