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
	// startedAt is when the server was started, in Unix milliseconds.
	startedAt   int64
	maps        map[int64][][]int
	lastVersion int64

	version, prepared int64
	copying           int64
	copyDone          time.Time
	armed, armedStep  int64
	heldStep          int64
	counts            [layers * experts]int64
	waiting, running  []*stream
}

// start resets the rank to the state of a newly started server, with its first map.
func (r *Rank) start() {
	first := make([][]int, layers)
	for l := range first {
		for e := r.index; e < experts; e += len(r.group.ranks) {
			first[l] = append(first[l], e)
		}
	}
	*r = Rank{
		group: r.group, index: r.index, id: r.id, ip: r.ip, startedAt: time.Now().UnixMilli(),
		maps: map[int64][][]int{0: first}, waiting: r.waiting, running: r.running,
	}
}

// membership returns the state of the group as the rank reports it.
func (r *Rank) membership() map[string]any {
	state := "open"
	if len(r.group.absent) > 0 {
		state = "broken"
	}
	return map[string]any{"name": r.group.name, "epoch": r.group.epoch, "rank": r.index, "state": state}
}

// finishCopy marks a map as prepared once its weights have been copied.
func (r *Rank) finishCopy(now time.Time) {
	if r.copying != 0 && !now.Before(r.copyDone) {
		r.prepared, r.copying = r.copying, 0
	}
}

// runStep admits waiting streams and sends an event to each running one.
func (r *Rank) runStep() {
	for len(r.running) < slots && len(r.waiting) > 0 {
		r.running = append(r.running, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	remaining := r.running[:0]
	for _, s := range r.running {
		r.countExperts()
		select {
		case <-s.callerDone:
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
		remaining = append(remaining, s)
	}
	r.running = remaining
}

// countExperts counts the experts that one step of a stream uses.
func (r *Rank) countExperts() {
	for l := range r.group.popularity {
		for e, p := range r.group.popularity[l] {
			r.counts[l*experts+e] += int64(p)
		}
	}
}

// ServeHTTP implements the model server's API of the platform's specification.
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
	r.finishCopy(time.Now())
	body := map[string]any{
		"stage": "unified", "seq": 0, "size": len(g.ranks), "step": g.step, "map": r.version, "pace": 1.0,
		"group": r.membership(), "born": r.startedAt,
		"queued": len(r.waiting), "running": len(r.running), "prepared": nil, "armed": nil, "held": nil,
	}
	if r.prepared != 0 {
		body["prepared"] = r.prepared
	}
	if r.armed != 0 {
		body["armed"] = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	if r.heldStep != 0 {
		body["held"] = r.heldStep
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

// orderBody is the JSON body of an order.
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

// apply carries out an order and returns the HTTP status of its answer.
func (r *Rank) apply(o orderBody) int {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r.finishCopy(time.Now())
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
		if g.step >= o.Step || r.heldStep != 0 && r.heldStep != o.Step {
			return http.StatusConflict
		}
		r.heldStep = o.Step
	case "go":
		if r.heldStep == o.Step {
			r.heldStep = 0
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
	if o.Version <= r.lastVersion || r.armed != 0 || len(o.Map) != layers {
		return http.StatusConflict
	}
	fresh := make([][]int, layers)
	copies := 0
	for l := range fresh {
		if len(o.Map[l]) != len(r.group.ranks) || len(o.Map[l][r.index]) > slotsPerRank {
			return http.StatusBadRequest
		}
		fresh[l] = o.Map[l][r.index]
		added := 0
		for _, e := range fresh[l] {
			if !contains(r.maps[r.version][l], e) {
				added++
			}
		}
		if added > spareSlots {
			return http.StatusConflict
		}
		copies += added
	}
	r.lastVersion, r.copying, r.prepared = o.Version, o.Version, 0
	r.maps[o.Version] = fresh
	r.copyDone = time.Now().Add(time.Duration(copies) * 5 * time.Millisecond)
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
