package member

import (
	"time"
)

// Lookup returns what is known of a listed agent.
func (v *View) Lookup(name string) (Member, bool) {
	m, ok := v.members[idOf(name)]
	if !ok || !m.listed {
		return Member{}, false
	}
	return *m, true
}

// Members appends the listed agents to dst, in the order in which the node
// came to know them.
func (v *View) Members(dst []Member) []Member {
	for _, m := range v.order {
		if m.listed {
			dst = append(dst, *m)
		}
	}
	return dst
}

// Eligible reports whether an agent may get new work: it is listed, neither
// the list nor the agent says that it leaves, and it is not gone.
func (v *View) Eligible(name string) bool {
	m, ok := v.members[idOf(name)]
	return ok && m.listed && !m.Leaving && !m.Draining && m.State != Dead
}

// Superseded reports whether a process with this node's name and a larger
// incarnation has been heard of. The node is then an old copy, for instance
// one that was paused and replaced, and must stop.
func (v *View) Superseded() bool { return v.superseded }

// Isolated reports whether the node has heard nobody for CutOffAfter, though the
// list says that there are others. It guards against a node that goes on with
// a configuration and limits it can no longer hear changes of; its readiness
// check must fail, so that the platform's balancer passes it by.
func (v *View) Isolated(now time.Time) bool {
	return len(v.names) > 0 && now.Sub(v.heard) >= IsolatedAfter
}

// VisibleFraction returns the part of the listed agents, between 0 and 1, in zones of
// which any agent has been heard of within ZoneSilentAfter. It falls below 1
// in a partition, and not when single agents fail.
func (v *View) VisibleFraction(now time.Time) float64 {
	var zones [maxZones]struct {
		zone   string
		agents int
		heard  bool
	}
	n, total, seen := 0, 0, 0
	for _, m := range v.order {
		if !m.listed {
			continue
		}
		i := 0
		for i < n && zones[i].zone != m.Zone {
			i++
		}
		if i == n {
			if n == maxZones {
				continue
			}
			zones[i].zone = m.Zone
			n++
		}
		zones[i].agents++
		zones[i].heard = zones[i].heard || now.Sub(m.Seen) < ZoneTimeout
	}
	for _, z := range zones[:n] {
		total += z.agents
		if z.heard || z.zone == v.self.Zone {
			seen += z.agents
		}
	}
	if total == 0 {
		return 1
	}
	return float64(seen) / float64(total)
}
