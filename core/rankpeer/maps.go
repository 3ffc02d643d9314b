package rankpeer

import "encoding/binary"

// Map is a map of a whole group, packed: the experts by layer, rank and place,
// as variable-length numbers that are one higher than the expert; 0 is an empty
// place. Nested slices would take twice the bytes on a narrow link.
type Map struct {
	Layers, Ranks, Places int
	Data                  []byte
}

// Change is a map to prepare, as what differs from one that the receiver may
// have. A change moves one expert or so on each rank: a hundredth of the map.
type Change struct {
	// Base is the number of the map that Moves start from.
	Base  int64
	Moves []Move
	// Full is the whole map; it is nil where Moves suffice.
	Full *Map
}

// Move puts an expert into a place; Expert is -1 for an empty one.
type Move struct {
	Layer, Rank, Place int
	Expert             int
}

// Pack packs a map that has the experts by layer and rank, with at most so many
// places a rank.
func Pack(m [][][]int, places int) *Map {
	p := &Map{Layers: len(m), Places: places}
	if len(m) > 0 {
		p.Ranks = len(m[0])
	}
	for _, layer := range m {
		for _, rank := range layer {
			for k := range places {
				e := -1
				if k < len(rank) {
					e = rank[k]
				}
				p.Data = binary.AppendUvarint(p.Data, uint64(e+1))
			}
		}
	}
	return p
}

// grid returns the places of the map, or false if it is damaged.
func (m *Map) grid() ([]int, bool) {
	n := m.Layers * m.Ranks * m.Places
	if n < 0 || n > len(m.Data) {
		return nil, false
	}
	grid := make([]int, 0, n)
	for data := m.Data; len(data) > 0; {
		e, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, false
		}
		grid = append(grid, int(e)-1)
		data = data[size:]
	}
	return grid, len(grid) == n
}

// Unpack returns the experts by layer and rank, without empty places, or false
// if the map is damaged.
func (m *Map) Unpack() ([][][]int, bool) {
	grid, ok := m.grid()
	if !ok {
		return nil, false
	}
	out := make([][][]int, m.Layers)
	for l := range out {
		out[l] = make([][]int, m.Ranks)
		for r := range out[l] {
			at := (l*m.Ranks + r) * m.Places
			for _, e := range grid[at : at+m.Places] {
				if e >= 0 {
					out[l][r] = append(out[l][r], e)
				}
			}
		}
	}
	return out, true
}

// Diff returns the moves from one map to another of the same shape.
func Diff(from, to *Map) ([]Move, bool) {
	a, okA := from.grid()
	b, okB := to.grid()
	if !okA || !okB || len(a) != len(b) || from.Ranks != to.Ranks || from.Places != to.Places {
		return nil, false
	}
	var moves []Move
	for i, e := range b {
		if a[i] != e {
			moves = append(moves, Move{
				Layer: i / (to.Ranks * to.Places), Rank: i / to.Places % to.Ranks, Place: i % to.Places, Expert: e,
			})
		}
	}
	return moves, true
}

// Apply returns the map after the moves, or false if they don't fit it.
func (m *Map) Apply(moves []Move) (*Map, bool) {
	grid, ok := m.grid()
	if !ok {
		return nil, false
	}
	for _, mv := range moves {
		i := (mv.Layer*m.Ranks+mv.Rank)*m.Places + mv.Place
		if mv.Rank < 0 || mv.Rank >= m.Ranks || mv.Place < 0 || mv.Place >= m.Places || i < 0 || i >= len(grid) {
			return nil, false
		}
		grid[i] = mv.Expert
	}
	out := &Map{Layers: m.Layers, Ranks: m.Ranks, Places: m.Places}
	for _, e := range grid {
		out.Data = binary.AppendUvarint(out.Data, uint64(e+1))
	}
	return out, true
}
