package rankpeer

import (
	"cmp"
	"math"
	"slices"
)

// directRanks is up to how many ranks a steward asks each agent itself. A relay costs
// a hop; what it saves are the steward's link and processor.
const directRanks = 32

// Split divides the members of a group into branches: members of one availability zone,
// about as many in each as there are branches, so that neither the steward nor a relay
// speaks to more than about the square root of the group. A small group has a branch for
// each member. The same members give the same branches, whoever is the steward:
// relays keep their connections when the steward changes.
func Split(members []Member) [][]Member {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), a.Addr.Compare(b.Addr), cmp.Compare(a.ID, b.ID))
	})
	width := 1
	if len(members) > directRanks {
		width = int(math.Ceil(math.Sqrt(float64(len(members)))))
	}
	var out [][]Member
	for len(sorted) > 0 {
		zone := 1
		for zone < len(sorted) && sorted[zone].Zone == sorted[0].Zone {
			zone++
		}
		out = append(out, chunks(sorted[:zone], width)...)
		sorted = sorted[zone:]
	}
	return out
}

// chunks divides members into parts of nearly one length, at most width.
func chunks(members []Member, width int) [][]Member {
	parts := (len(members) + width - 1) / width
	out := make([][]Member, 0, parts)
	for p := range parts {
		out = append(out, members[p*len(members)/parts:(p+1)*len(members)/parts])
	}
	return out
}
