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
// learned of them.
func (v *View) Members(dst []Member) []Member {
	for _, m := range v.order {
		if m.listed {
			dst = append(dst, *m)
		}
	}
	return dst
}

// Eligible reports whether an agent may get new work: it is listed, neither
// the list nor the agent reports that it leaves, and it is not dead.
func (v *View) Eligible(name string) bool {
	m, ok := v.members[idOf(name)]
	return ok && m.listed && !m.Leaving && !m.Draining && m.State != Dead
}

// Superseded reports whether the node has learned of a process with its name and
// a larger incarnation. The node is then an old copy, for instance one that was
// paused and replaced, and must stop.
func (v *View) Superseded() bool { return v.superseded }

// Isolated reports whether the node has received nothing from any other for
// IsolatedAfter, though the list contains others. It guards against a node that
// continues with configuration and limits whose changes no longer reach it; its
// readiness check must fail, so that the platform's balancer bypasses it.
func (v *View) Isolated(now time.Time) bool {
	return len(v.names) > 0 && now.Sub(v.lastReceived) >= IsolatedAfter
}

// VisibleFraction returns the fraction of the listed agents that are in zones
// of which any agent has been seen within ZoneTimeout. It falls below 1 in a
// partition, and not when single agents fail.
func (v *View) VisibleFraction(now time.Time) float64 {
	var zones [maxZones]struct {
		zone    string
		agents  int
		visible bool
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
		zones[i].visible = zones[i].visible || now.Sub(m.Seen) < ZoneTimeout
	}
	for _, z := range zones[:n] {
		total += z.agents
		if z.visible || z.zone == v.self.Zone {
			seen += z.agents
		}
	}
	if total == 0 {
		return 1
	}
	return float64(seen) / float64(total)
}
