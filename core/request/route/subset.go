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
// a hash of round and name, not by a shuffle of the list: an added or removed
// member shifts the parts by one position and leaves the order of the others.
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
// position among the others.
const hashedIndexSpan = 4096

func (o Options) index() int {
	if o.Entries > 0 {
		return o.Index
	}
	return int(xxhash.Sum64String(o.Entry) % hashedIndexSpan)
}

const (
	// fewEntries is the highest number of entries sharing a target at which each
	// still takes the best of its subset; see the design note on routing.
	fewEntries = 25
	// minChoices is the number of choices when the entries are many, or it is
	// not known how many there are.
	minChoices = 2
)

// choices returns how many members of its subset an entry considers in a pool.
func (o Options) choices(members int) int {
	if o.Choices > 0 {
		return o.Choices
	}
	size := min(o.Subset, members)
	sharing := float64(o.Entries*size) / float64(members)
	if sharing == 0 {
		return minChoices
	}
	part := fewEntries / sharing
	return max(minChoices, int(float64(size)*min(1, part*part)))
}
