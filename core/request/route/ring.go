package route

import "github.com/cespare/xxhash/v2"

// The sizes of rings: primes, as the permutations require. The size must not
// depend on the number of members, or each added or removed target would move
// nearly all prefixes to targets that don't have them cached. Up to
// smallMembers, the shares of two members differ by at most one slot in 16.
const (
	smallRing    = 16381
	largeRing    = 65521
	smallMembers = 1000
)

// buildRing fills a lookup table in which each member has an equal share of
// the slots, and keeps most of them when other members are added or removed
// (Maglev, Eisenbud et al. 2016). A lookup is one index operation, whatever the
// number of members, where rendezvous hashing would score each of them.
func buildRing(members []uint16, name func(uint16) string) []uint16 {
	if len(members) == 0 {
		return nil
	}
	size := uint64(smallRing)
	if len(members) > smallMembers {
		size = largeRing
	}
	offset := make([]uint64, len(members))
	skip := make([]uint64, len(members))
	for k, m := range members {
		h := xxhash.Sum64String(name(m))
		offset[k] = h % size
		skip[k] = mix(h)%(size-1) + 1
	}
	ring := make([]uint16, size)
	taken := make([]bool, size)
	for filled := uint64(0); ; {
		for k, m := range members {
			for taken[offset[k]] {
				offset[k] = (offset[k] + skip[k]) % size
			}
			ring[offset[k]] = m
			taken[offset[k]] = true
			filled++
			if filled == size {
				return ring
			}
		}
	}
}
