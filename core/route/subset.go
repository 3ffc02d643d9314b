package route

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// subset returns the size members that this entry chooses from. Entries with
// the indices of one round get disjoint parts of the same permutation, so that
// every round loads each member once (deterministic subsetting, Site
// Reliability Engineering, chapter 20). The permutation orders the members by
// a hash of round and name, not by a shuffle of the list: a member that comes
// or goes shifts the parts by one place and leaves the order of the others.
func subset(members []uint16, name func(uint16) string, index, size int) []uint16 {
	if len(members) <= size {
		return members
	}
	parts := len(members) / size
	round, part := index/parts, index%parts
	ordered := orderByHash(members, name, strconv.Itoa(round))
	// Members beyond parts*size would belong to no entry of this round: the
	// parts are cut at even fractions of the whole list instead.
	from := part * len(ordered) / parts
	to := (part + 1) * len(ordered) / parts
	return ordered[from:to]
}

// orderByHash returns the members in the order of a hash of seed and name.
func orderByHash(members []uint16, name func(uint16) string, seed string) []uint16 {
	type keyed struct {
		hash   uint64
		member uint16
	}
	keys := make([]keyed, len(members))
	for k, m := range members {
		keys[k] = keyed{xxhash.Sum64String(seed + "/" + name(m)), m}
	}
	slices.SortFunc(keys, func(a, b keyed) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		return int(a.member) - int(b.member)
	})
	out := make([]uint16, len(keys))
	for k := range keys {
		out[k] = keys[k].member
	}
	return out
}

// hashedIndexSpan is the range of the index of an entry that does not know its
// place among the others.
const hashedIndexSpan = 4096

func (o Options) index() int {
	if o.Entries > 0 {
		return o.Index
	}
	return int(xxhash.Sum64String(o.Entry) % hashedIndexSpan)
}
