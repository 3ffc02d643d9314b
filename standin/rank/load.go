package rank

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
)

// retryPause is the delay after a failed read of weights.
const retryPause = 100 * time.Millisecond

// Apply applies an order, a rank.Order in JSON. If it rejects the order, it
// returns a *group.RefusedError and changes nothing.
func (r *Rank) Apply(argument json.RawMessage) error {
	var o rank.Order
	if err := json.Unmarshal(argument, &o); err != nil {
		return &group.RefusedError{Reason: "bad-order"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := o.Kind == group.LoadMap || o.Kind == group.FormGroup
	if loads && r.maps[o.Version] == nil && o.Placement.Version() != o.Version {
		return &group.RefusedError{Order: o.Order, Reason: "other-content"}
	}
	if err := r.rank.Apply(o.Order); err != nil {
		return err
	}
	if loads && o.Placement != nil {
		r.maps[o.Version] = o.Placement
	}
	if s := r.rank.State; loads && s.Loading == o.Version {
		r.releaseUnused()
		go r.load(o.Version)
	}
	r.wake()
	return nil
}

// releaseUnused frees the maps that are neither in force, loaded nor loading, and
// the weights that no remaining map needs.
func (r *Rank) releaseUnused() {
	s := r.rank.State
	keep := make(map[weight]bool)
	for v, p := range r.maps {
		if v != s.Version && v != s.Loaded && v != s.Loading {
			delete(r.maps, v)
			continue
		}
		for _, w := range r.weights(p) {
			keep[w] = true
		}
	}
	for w := range r.memory {
		if !keep[w] {
			delete(r.memory, w)
		}
	}
}

// weights returns the weights that this rank needs for a map.
func (r *Rank) weights(p rank.Placement) []weight {
	var list []weight
	for l, m := range p {
		for _, e := range r.slots(m) {
			if e != expert.Empty {
				list = append(list, weight{l, e})
			}
		}
	}
	return list
}

// slots returns this rank's slots of a layer.
func (r *Rank) slots(m expert.Map) []int32 {
	from := min(r.cfg.Index*r.cfg.Slots, len(m))
	return m[from:min(from+r.cfg.Slots, len(m))]
}

// load reads the missing weights of a map, until the map is loaded or another one
// supersedes it.
func (r *Rank) load(v group.Version) {
	r.mu.Lock()
	list := r.weights(r.maps[v])
	r.mu.Unlock()
	for _, w := range list {
		for !r.complete(w) {
			if !r.loading(v) {
				return
			}
			if !r.read(w) {
				time.Sleep(retryPause)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rank.State.Loading == v {
		r.rank.FinishLoad()
		r.wake()
	}
}

func (r *Rank) loading(v group.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rank.State.Loading == v
}

// complete reports whether all bytes of an expert's weights are in memory.
func (r *Rank) complete(w weight) bool {
	size, err := r.cfg.Store.Size(context.Background(), r.cfg.Model, w.layer, w.expert)
	r.mu.Lock()
	defer r.mu.Unlock()
	return err == nil && r.memory[w] >= size
}

// read reads the remaining bytes of an expert's weights and reports whether any
// have arrived.
func (r *Rank) read(w weight) bool {
	size, err := r.cfg.Store.Size(context.Background(), r.cfg.Model, w.layer, w.expert)
	if err != nil {
		return false
	}
	r.mu.Lock()
	from := r.memory[w]
	r.mu.Unlock()
	n, err := r.Fetch(context.Background(), rank.WeightsRequest{Layer: w.layer, Expert: w.expert, Offset: from, Length: size - from})
	return err == nil && n > 0
}

// Fetch reads a part of an expert's weights into memory. It returns how many bytes
// of the part are in memory afterwards. A part that would leave a gap before it is
// not read.
func (r *Rank) Fetch(ctx context.Context, part rank.WeightsRequest) (int64, error) {
	w := weight{part.Layer, part.Expert}
	r.mu.Lock()
	have := r.memory[w]
	r.mu.Unlock()
	if have < part.Offset {
		return 0, nil
	}
	if have >= part.Offset+part.Length {
		return part.Length, nil
	}
	n, err := r.cfg.Store.Read(ctx, r.cfg.Model, part)
	if err != nil && n == 0 {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory[w] = max(r.memory[w], part.Offset+n)
	return n, nil
}

// Map returns the content of a map that is in memory.
func (r *Rank) Map(v group.Version) (rank.Placement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.maps[v]
	return p, ok
}

// replicas counts the replicas of each expert on the members of the epoch, since
// only those share its load.
func (r *Rank) replicas(m expert.Map, experts int) []int {
	n := make([]int, experts)
	for i, e := range m {
		if e != expert.Empty && slices.Contains(r.rank.State.Members, r.cfg.Order[i/r.cfg.Slots]) {
			n[e]++
		}
	}
	return n
}

// Loads returns the loads of this rank's experts as of Drift.Lag ago.
func (r *Rank) Loads(now time.Time) rank.Loads {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now.Add(-r.cfg.Drift.Lag)
	v := r.rank.State.Version
	l := rank.Loads{UnixMillis: at.UnixMilli(), Version: v}
	for layer, m := range r.maps[v] {
		all := r.cfg.Drift.At(layer, at)
		n := r.replicas(m, len(all))
		held := slices.Repeat([]float64{rank.NotHeld}, len(all))
		for _, e := range r.slots(m) {
			if e != expert.Empty {
				held[e] = all[e] / float64(n[e])
			}
		}
		l.Layers = append(l.Layers, held)
	}
	return l
}

// relativeLoad returns this rank's load divided by the mean load of the members,
// averaged over the layers.
func (r *Rank) relativeLoad(now time.Time) float64 {
	p := r.maps[r.rank.State.Version]
	total := 0.0
	for layer, m := range p {
		all := r.cfg.Drift.At(layer, now)
		n := r.replicas(m, len(all))
		own, sum := 0.0, 0.0
		for _, load := range all {
			sum += load
		}
		for _, e := range r.slots(m) {
			if e != expert.Empty {
				own += all[e] / float64(n[e])
			}
		}
		total += own * float64(len(r.rank.State.Members)) / sum
	}
	if len(p) == 0 {
		return 1
	}
	return total / float64(len(p))
}
