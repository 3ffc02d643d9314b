package rankpeer

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

// Map is the packed map of a complete group: the experts by layer, rank and slot, as
// variable-length integers that are one higher than the expert; 0 is an empty slot.
// Nested slices would take twice the bytes on a narrow link.
type Map struct {
	Layers, Ranks, Places int
	Data                  []byte
}

// Change is a map to prepare, as the difference from a map that the receiver may
// have. A change moves a few experts on each rank, which takes a tenth of the bytes of the map.
type Change struct {
	// Base is the hash of the map that Moves apply to; see Map.Hash.
	Base uint64
	// First is the shape of a group whose first map is the base; the receiver computes
	// that map with FirstMap.
	First *Shape
	Moves Moves
	// Full is the complete map; it is nil where Moves suffice.
	Full *Map
}

// Shape holds the dimensions that determine the first map of a group.
type Shape struct {
	Layers, Ranks, Places, Experts int
}

// maxShapePlaces bounds the maps that are computed for a shape from the wire. A group of
// 1,000 ranks with 100 layers and 5 slots a rank has half as many slots.
const maxShapePlaces = 1 << 20

// FirstMap returns the map that the engines start with, in which expert e is on rank e
// modulo the number of ranks. It returns nil if the shape is invalid. Callers must compare
// its hash with that of the current map before they rely on it.
func FirstMap(s Shape) *Map {
	if s.Layers <= 0 || s.Ranks <= 0 || s.Places <= 0 || s.Layers > maxShapePlaces || s.Ranks > maxShapePlaces || s.Places > maxShapePlaces ||
		s.Layers*s.Ranks > maxShapePlaces || s.Layers*s.Ranks*s.Places > maxShapePlaces || s.Experts > s.Ranks*s.Places {
		return nil
	}
	m := make([][][]int, s.Layers)
	for l := range m {
		m[l] = make([][]int, s.Ranks)
		for e := range s.Experts {
			m[l][e%s.Ranks] = append(m[l][e%s.Ranks], e)
		}
	}
	return Pack(m, s.Places)
}

// Hash identifies a map by its content, independent of the version under which the ranks
// had it: a group that is formed again starts with a map that its agents know.
func (m *Map) Hash() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintln(h, m.Layers, m.Ranks, m.Places)
	_, _ = h.Write(m.Data)
	return h.Sum64()
}

// Moves is the packed difference between two maps of one shape. For each slot that
// differs it holds the distance from the previous such slot, and the expert there plus 1,
// or 0 for none, as variable-length integers. A move takes some two bytes, which matters
// since each change goes to all ranks over one narrow link.
type Moves []byte

// Pack packs a map of the experts by layer and rank, with at most the given number of
// slots a rank.
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

// grid returns the slots of the map, or false if it is malformed.
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

// Unpack returns the experts by layer and rank, without empty slots, or false
// if the map is malformed.
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

// Diff returns the moves from one map to another, or false if their shapes differ.
func Diff(from, to *Map) (Moves, bool) {
	a, okA := from.grid()
	b, okB := to.grid()
	if !okA || !okB || len(a) != len(b) || from.Ranks != to.Ranks || from.Places != to.Places {
		return nil, false
	}
	moves, last := Moves{}, -1
	for i, e := range b {
		if a[i] != e {
			moves = binary.AppendUvarint(moves, uint64(i-last))
			moves = binary.AppendUvarint(moves, uint64(e+1))
			last = i
		}
	}
	return moves, true
}

// Apply returns the map after the moves, or false if the moves do not fit it.
func (m *Map) Apply(moves Moves) (*Map, bool) {
	grid, ok := m.grid()
	if !ok {
		return nil, false
	}
	last := -1
	for len(moves) > 0 {
		gap, size := binary.Uvarint(moves)
		if size <= 0 || gap == 0 || gap >= uint64(len(grid)-last) {
			return nil, false
		}
		moves = moves[size:]
		expert, size := binary.Uvarint(moves)
		if size <= 0 || expert > maxExpert {
			return nil, false
		}
		moves = moves[size:]
		last += int(gap)
		grid[last] = int(expert) - 1
	}
	out := &Map{Layers: m.Layers, Ranks: m.Ranks, Places: m.Places}
	for _, e := range grid {
		out.Data = binary.AppendUvarint(out.Data, uint64(e+1))
	}
	return out, true
}

// maxExpert bounds the expert numbers that are accepted from the wire.
const maxExpert = 1 << 16
