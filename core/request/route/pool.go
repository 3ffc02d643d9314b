package route

import (
	"slices"
)

// poolKey selects the targets that may serve a query.
type poolKey struct {
	model, service, group, version, adapter, role string
}

// pool is a set of targets that may serve the same queries.
type pool struct {
	members []uint16
	// near is the entry's subset of the members in its region, far its subset of those in
	// other regions.
	near, far []uint16
	// scanned are the members with Slots in the entry's region, or its subset of them if there are
	// too many.
	scanned []uint16
	// choices is how many members of near are considered.
	choices int
	ring    []uint16
	// aggregate is the index of the aggregate of the pool's model or service.
	aggregate int
}

// rebuild computes pools, subsets, rings and aggregates from targets and states.
func (t *Table) rebuild() {
	t.rebuildAggregates()
	sets := map[poolKey][]uint16{}
	for i := range t.targets {
		if !t.states[i].configured {
			continue
		}
		g := &t.targets[i]
		t.states[i].group = t.groupIndex(g.Group)
		t.states[i].distance = t.distance(g)
		for _, key := range keysOf(g) {
			sets[key] = append(sets[key], uint16(i))
		}
	}
	t.pools = make(map[poolKey]*pool, len(sets))
	same := map[string]*pool{}
	for key, members := range sets {
		// Most keys differ only in version or adapter and have the same members: they share
		// one pool and its ring.
		id := memberID(members)
		if same[id] == nil {
			same[id] = t.newPool(members)
		}
		t.pools[key] = same[id]
	}
}

func memberID(members []uint16) string {
	b := make([]byte, 0, 2*len(members))
	for _, m := range members {
		b = append(b, byte(m), byte(m>>8))
	}
	return string(b)
}

func (t *Table) newPool(members []uint16) *pool {
	name := func(m uint16) string { return t.targets[m].Name }
	// The ring must not depend on the order of the configuration, or entries would disagree on
	// it.
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b uint16) int {
		if name(a) < name(b) {
			return -1
		}
		return 1
	})
	var local, remote, slotted []uint16
	for _, m := range sorted {
		if t.targets[m].Region == t.opt.Region {
			local = append(local, m)
			if t.targets[m].Slots > 0 {
				slotted = append(slotted, m)
			}
			continue
		}
		remote = append(remote, m)
	}
	return &pool{
		members:   sorted,
		choices:   t.opt.choices(len(members)),
		near:      subset(local, name, t.opt.index(), t.opt.Subset),
		far:       subset(remote, name, t.opt.index(), t.opt.Subset),
		scanned:   subset(slotted, name, t.opt.index(), maxScanned),
		ring:      buildRing(sorted, name),
		aggregate: t.states[members[0]].aggregate,
	}
}

// keysOf returns the keys of the queries that a target may serve.
func keysOf(g *Target) []poolKey {
	versions := []string{""}
	if g.Version != "" {
		versions = append(versions, g.Version)
	}
	groups := []string{""}
	if g.Group != "" {
		groups = append(groups, g.Group)
	}
	adapters := append([]string{""}, g.Adapters...)
	var keys []poolKey
	for _, group := range groups {
		for _, v := range versions {
			for _, a := range adapters {
				for _, r := range rolesOf(g.Role) {
					keys = append(keys, poolKey{g.Model, g.Service, group, v, a, r})
				}
			}
		}
	}
	return keys
}

func rolesOf(role string) []string {
	switch role {
	case RolePrefill:
		return prefillRoles
	case RoleDecode:
		return decodeRoles
	default:
		return allRoles
	}
}

// distance returns the penalty in seconds for the region and zone of a target.
func (t *Table) distance(g *Target) float64 {
	switch {
	case g.Region != t.opt.Region:
		return t.opt.RegionPenalty.Seconds()
	case g.Zone != t.opt.Zone:
		return t.opt.ZonePenalty.Seconds()
	default:
		return 0
	}
}
