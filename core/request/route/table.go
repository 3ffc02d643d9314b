package route

import (
	"slices"
	"time"
)

// poolKey selects the targets that may serve a query.
type poolKey struct {
	model, service, group, version, adapter, role string
}

// pool is a set of targets that may serve the same queries.
type pool struct {
	members []uint16
	// near is the entry's subset of the members in its region, far of those
	// in other regions.
	near, far []uint16
	// choices is how many of near are looked at.
	choices int
	ring    []uint16
	// crowd indexes the statistics of the pool's model or service.
	crowd int
}

// crowd holds sums over the targets of one model or service.
type crowd struct {
	size   int
	known  int
	queued float64 // tokens
	busy   float64 // seconds
	rate   float64 // moving mean, tokens a second
	cost   float64 // moving mean, tokens a request
	sent   float64 // work of this entry, decaying since sentAt
	sentAt int64
}

// slowdown is a passing penalty on all targets of a group.
type slowdown struct {
	seconds float64
	until   int64
}

// Table is one entry's knowledge of all targets. Targets have indices that
// stay the same while they are configured or have requests in flight.
type Table struct {
	opt     Options
	targets []Target
	states  []state
	recents []recent
	byName  map[string]int
	pools   map[poolKey]*pool
	crowds  []crowd
	groups  []slowdown
	byGroup map[string]int
	// probing are the half-open targets that wait for a single request.
	probing []uint16
	epoch   time.Time
}

// New returns an empty Table; Update fills it.
func New(opt Options) *Table {
	return &Table{
		opt:     opt.withDefaults(),
		byName:  map[string]int{},
		pools:   map[poolKey]*pool{},
		byGroup: map[string]int{"": 0},
		groups:  make([]slowdown, 1),
	}
}

// Len returns the number of indices, including those of removed targets.
func (t *Table) Len() int { return len(t.targets) }

// Target returns target i as last configured.
func (t *Table) Target(i int) Target { return t.targets[i] }

// Configured reports whether index i is that of a configured target, rather
// than of one that is removed and may still have requests in flight.
func (t *Table) Configured(i int) bool { return t.states[i].configured }

// Lookup returns the index of a configured target.
func (t *Table) Lookup(name string) (int, bool) {
	i, ok := t.byName[name]
	return i, ok
}

// SetEntries tells the table its entry's place among the sorted names of the
// live entries, and cuts the subsets anew.
func (t *Table) SetEntries(index, entries int) {
	if t.opt.Index == index && t.opt.Entries == entries {
		return
	}
	t.opt.Index, t.opt.Entries = index, entries
	t.rebuild()
}

// Update sets the configured targets. Targets that stay keep their index and
// their state; the indices of removed ones are used again only when they have
// no request in flight, so that a late end never reaches another target.
func (t *Table) Update(targets []Target) {
	wanted := make(map[string]bool, len(targets))
	for _, g := range targets {
		wanted[g.Name] = true
	}
	for name, i := range t.byName {
		if !wanted[name] {
			delete(t.byName, name)
			t.states[i].configured = false
			t.setProbing(i, false)
		}
	}
	free := t.freeSlots()
	for _, g := range targets {
		i, ok := t.byName[g.Name]
		if !ok {
			i, free = t.slot(free)
			t.states[i] = state{share: 1}
			t.recents[i] = recent{}
			t.byName[g.Name] = i
		}
		t.targets[i] = g
		t.states[i].configured = true
	}
	t.rebuild()
}

func (t *Table) freeSlots() []int {
	var free []int
	for i := range t.states {
		if !t.states[i].configured && t.states[i].inFlight == 0 {
			free = append(free, i)
		}
	}
	return free
}

// slot takes a free index, or a new one.
func (t *Table) slot(free []int) (int, []int) {
	if len(free) > 0 {
		return free[0], free[1:]
	}
	t.targets = append(t.targets, Target{})
	t.states = append(t.states, state{})
	t.recents = append(t.recents, recent{})
	return len(t.targets) - 1, nil
}

// rebuild computes pools, subsets, rings and sums from targets and states.
func (t *Table) rebuild() {
	t.rebuildCrowds()
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
		// Most keys differ in version or adapter only and have the same
		// members: they share one pool and its ring.
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
	// The order of the configuration must not matter to the ring, or entries
	// would disagree on it.
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b uint16) int {
		if name(a) < name(b) {
			return -1
		}
		return 1
	})
	var local, remote []uint16
	for _, m := range sorted {
		if t.targets[m].Region == t.opt.Region {
			local = append(local, m)
			continue
		}
		remote = append(remote, m)
	}
	return &pool{
		members: sorted,
		choices: t.opt.choices(len(members)),
		near:    subset(local, name, t.opt.index(), t.opt.Subset),
		far:     subset(remote, name, t.opt.index(), t.opt.Subset),
		ring:    buildRing(sorted, name),
		crowd:   t.states[members[0]].crowd,
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

// The roles of queries that targets of each role serve.
var (
	prefillRoles = []string{RolePrefill}
	decodeRoles  = []string{"", RoleDecode}
	allRoles     = []string{"", RolePrefill, RoleDecode}
)

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

// distance returns the penalty in seconds for where a target is.
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

func (t *Table) groupIndex(name string) int {
	g, ok := t.byGroup[name]
	if !ok {
		g = len(t.groups)
		t.groups = append(t.groups, slowdown{})
		t.byGroup[name] = g
	}
	return g
}

// rebuildCrowds assigns the targets to crowds and sums their states anew.
func (t *Table) rebuildCrowds() {
	type served struct{ model, service string }
	index := map[served]int{}
	old := t.crowds
	// The first crowd is that of removed targets, whose requests still end.
	t.crowds = make([]crowd, 1)
	for i := range t.targets {
		s := &t.states[i]
		if !s.configured {
			s.crowd = 0
			continue
		}
		key := served{t.targets[i].Model, t.targets[i].Service}
		c, ok := index[key]
		if !ok {
			c = len(t.crowds)
			index[key] = c
			t.crowds = append(t.crowds, crowd{})
			if s.crowd < len(old) && s.known {
				t.crowds[c].rate, t.crowds[c].cost = old[s.crowd].rate, old[s.crowd].cost
			}
		}
		s.crowd = c
		t.crowds[c].size++
		if s.known {
			t.crowds[c].add(s.queued, s.busy)
		}
	}
}

func (c *crowd) add(queued, busy float64) {
	c.known++
	c.queued += queued
	c.busy += busy
}
