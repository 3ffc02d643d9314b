package expert

import "fmt"

// Empty marks a slot that holds no expert.
const Empty int32 = -1

// Rank describes where one rank of a group runs and how fast it is.
type Rank struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	// Pace is the time that the rank takes for its work relative to the
	// expected time; 0 means 1. A slow rank delays the whole group unless it
	// gets correspondingly less work.
	Pace float64 `json:"pace,omitempty"`
}

func (r *Rank) pace() float64 {
	if r.Pace <= 0 {
		return 1
	}
	return r.Pace
}

// Group is the fixed configuration of an expert-parallel group.
type Group struct {
	Ranks []Rank `json:"ranks"`
	// Experts is the number of experts in each layer.
	Experts int `json:"experts"`
	// Slots is how many expert replicas of a layer a rank can hold.
	Slots int `json:"slots"`
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64 `json:"expert-bytes"`
	// StoreRate is the group's share of the weight store's rate in bytes per
	// second; 0 means unknown.
	StoreRate int64 `json:"store-rate"`
	// MinReplicas is the minimum number of replicas of each expert; 0 means 1.
	MinReplicas int `json:"min-replicas,omitempty"`
}

// ShapeError reports an invalid map or group.
type ShapeError struct {
	// Reason is a stable kebab-case word.
	Reason string
	// Expert, Rank and Slots locate the error, where they apply.
	Expert, Rank, Slots int
}

// Error returns the reason and the location.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("expert map: %s (expert %d, rank %d, slots %d)", e.Reason, e.Expert, e.Rank, e.Slots)
}

// Validate returns a *ShapeError when the group has no ranks or its slots
// can't hold the minimum number of replicas of every expert.
func (g *Group) Validate() error {
	if len(g.Ranks) == 0 || g.Experts <= 0 || g.Slots <= 0 {
		return &ShapeError{Reason: "empty-group", Slots: g.Slots}
	}
	if g.minReplicas() > len(g.Ranks) || g.Experts*g.minReplicas() > g.size() {
		return &ShapeError{Reason: "too-few-slots", Expert: g.Experts, Slots: g.size()}
	}
	return nil
}

func (g *Group) size() int { return len(g.Ranks) * g.Slots }

func (g *Group) minReplicas() int { return max(g.MinReplicas, 1) }

// Map is the placement of one layer: the expert in slot k of rank r is at index
// r*Slots+k. A rank holds an expert at most once.
type Map []int32

// NewMap returns a map of empty slots.
func NewMap(g *Group) Map {
	m := make(Map, g.size())
	for i := range m {
		m[i] = Empty
	}
	return m
}

// Replicas returns the number of replicas of each expert.
func (m Map) Replicas(experts int) []int {
	n := make([]int, experts)
	for _, e := range m {
		if e != Empty {
			n[e]++
		}
	}
	return n
}

// Validate returns a *ShapeError when the map doesn't fit the group, names an
// unknown expert, holds an expert twice on a rank or lacks an expert.
func (m Map) Validate(g *Group) error {
	if len(m) != g.size() {
		return &ShapeError{Reason: "wrong-size", Slots: len(m)}
	}
	for i, e := range m {
		if e == Empty {
			continue
		}
		rank := i / g.Slots
		if e < 0 || int(e) >= g.Experts {
			return &ShapeError{Reason: "unknown-expert", Expert: int(e), Rank: rank}
		}
		if holds(m[rank*g.Slots:i], e) {
			return &ShapeError{Reason: "expert-twice", Expert: int(e), Rank: rank}
		}
	}
	for e, n := range m.Replicas(g.Experts) {
		if n < g.minReplicas() {
			return &ShapeError{Reason: "too-few-replicas", Expert: e, Slots: n}
		}
	}
	return nil
}

// Skew returns the largest product of a rank's load and its pace over the mean
// load, for loads per expert in any unit. It is 1 when there is no load. The
// load of an expert without a replica counts in the mean only.
func (m Map) Skew(g *Group, loads []float64) float64 {
	n := m.Replicas(g.Experts)
	total := sum(loads)
	if total <= 0 {
		return 1
	}
	worst := 0.0
	for r := range g.Ranks {
		load := 0.0
		for _, e := range m[r*g.Slots : (r+1)*g.Slots] {
			if e != Empty {
				load += loads[e] / float64(n[e])
			}
		}
		worst = max(worst, load*g.Ranks[r].pace())
	}
	return worst * float64(len(g.Ranks)) / total
}

// Move loads an expert into a slot in place of another.
type Move struct {
	Layer int `json:"layer"`
	Rank  int `json:"rank"`
	Slot  int `json:"slot"`
	// Load and Drop are experts; Drop is Empty for a free slot.
	Load int32 `json:"load"`
	Drop int32 `json:"drop"`
	// Gain is the load that the new replica takes over, in units of the mean
	// load of a rank.
	Gain float64 `json:"gain"`
}

// Apply returns a copy of the map with the moves of the given layer applied.
func (m Map) Apply(g *Group, layer int, moves []Move) Map {
	out := append(Map(nil), m...)
	for _, mv := range moves {
		if mv.Layer == layer {
			out[mv.Rank*g.Slots+mv.Slot] = mv.Load
		}
	}
	return out
}

// Diff returns the moves that turn one map into another. An expert that only
// changes its slot within a rank is already in memory and isn't a move.
func Diff(g *Group, layer int, from, to Map) []Move {
	var moves []Move
	for r := range g.Ranks {
		have, want := from[r*g.Slots:(r+1)*g.Slots], to[r*g.Slots:(r+1)*g.Slots]
		slot := 0
		for _, e := range want {
			if e == Empty || holds(have, e) {
				continue
			}
			for holds(want, have[slot]) && have[slot] != Empty {
				slot++
			}
			moves = append(moves, Move{Layer: layer, Rank: r, Slot: slot, Load: e, Drop: have[slot]})
			slot++
		}
	}
	return moves
}

func holds(slots []int32, e int32) bool {
	for _, x := range slots {
		if x == e {
			return true
		}
	}
	return false
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
