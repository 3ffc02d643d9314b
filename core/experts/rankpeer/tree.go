package rankpeer

import (
	"cmp"
	"math"
	"slices"
)

// directRanks is the largest group in which the coordinator queries each agent itself.
// Above it relays are used: a relay adds a hop, but saves load on the coordinator's link
// and processor.
const directRanks = 32

// UsesRelays reports whether the coordinator of a group with so many members uses relays.
func UsesRelays(members int) bool { return members > directRanks }

// Split divides the members of a group into branches. Each branch has members of one
// availability zone, and about as many as there are branches, so that neither the
// coordinator nor a relay talks to more than about the square root of the group. In a
// small group each member is a branch of its own. The result depends only on the members,
// not on the coordinator, so that relays keep their connections when the coordinator changes.
func Split(members []Member) [][]Member {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), a.Addr.Compare(b.Addr), cmp.Compare(a.ID, b.ID))
	})
	width := 1
	if UsesRelays(len(members)) {
		width = int(math.Ceil(math.Sqrt(float64(len(members)))))
	}
	var out [][]Member
	for len(sorted) > 0 {
		zone := 1
		for zone < len(sorted) && sorted[zone].Zone == sorted[0].Zone {
			zone++
		}
		out = append(out, balancedChunks(sorted[:zone], width)...)
		sorted = sorted[zone:]
	}
	return out
}

// balancedChunks divides members into chunks of at most width whose lengths differ by one
// at most.
func balancedChunks(members []Member, width int) [][]Member {
	parts := (len(members) + width - 1) / width
	out := make([][]Member, 0, parts)
	for p := range parts {
		out = append(out, members[p*len(members)/parts:(p+1)*len(members)/parts])
	}
	return out
}
