package route

import (
	"time"
)

// aggregate holds sums over the targets of one model or service.
type aggregate struct {
	size   int
	known  int
	queued float64 // tokens
	busy   float64 // seconds
	rate   float64 // moving mean, tokens a second
	cost   float64 // moving mean, tokens a request
	sent   float64 // work of this entry, decaying since sentAt
	sentAt int64
}

// groupPenalty is a temporary penalty on all targets of a group.
type groupPenalty struct {
	seconds float64
	until   int64
}

// Table is the knowledge of one entry of all targets. Targets have indices that stay the same
// while they are configured or have requests in flight.
type Table struct {
	opt        Options
	targets    []Target
	states     []state
	recents    []recent
	byName     map[string]int
	pools      map[poolKey]*pool
	aggregates []aggregate
	groups     []groupPenalty
	byGroup    map[string]int
	// probing are the half-open targets that wait for a single request.
	probing []uint16
	// sharing is how many entries send requests to the targets; 0 means unknown.
	sharing int
	epoch   time.Time
}

// New returns an empty Table; Update fills it.
func New(opt Options) *Table {
	return &Table{
		opt:     opt.withDefaults(),
		byName:  map[string]int{},
		pools:   map[poolKey]*pool{},
		byGroup: map[string]int{"": 0},
		groups:  make([]groupPenalty, 1),
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

// SetEntries sets the entry's position among the sorted names of the live entries, and
// computes the subsets again.
func (t *Table) SetEntries(index, entries int) {
	if t.opt.Index == index && t.opt.Entries == entries {
		return
	}
	t.opt.Index, t.opt.Entries = index, entries
	t.rebuild()
}

// Update sets the configured targets. Targets that stay keep their index and their state; the
// indices of removed ones are reused only when they have no request in flight, so that a late
// end never counts for another target.
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
	free := t.freeIndices()
	for _, g := range targets {
		i, ok := t.byName[g.Name]
		if !ok {
			i, free = t.takeIndex(free)
			t.states[i] = state{share: 1}
			t.recents[i] = recent{}
			t.byName[g.Name] = i
		}
		t.targets[i] = g
		t.states[i].configured = true
	}
	t.rebuild()
}

func (t *Table) freeIndices() []int {
	var free []int
	for i := range t.states {
		if !t.states[i].configured && t.states[i].inFlight == 0 {
			free = append(free, i)
		}
	}
	return free
}

// takeIndex returns a free index, or a new one, and the remaining free ones.
func (t *Table) takeIndex(free []int) (int, []int) {
	if len(free) > 0 {
		return free[0], free[1:]
	}
	t.targets = append(t.targets, Target{})
	t.states = append(t.states, state{})
	t.recents = append(t.recents, recent{})
	return len(t.targets) - 1, nil
}

// The roles of queries that targets of each role serve.
var (
	prefillRoles = []string{RolePrefill}
	decodeRoles  = []string{"", RoleDecode}
	allRoles     = []string{"", RolePrefill, RoleDecode}
)

func (t *Table) groupIndex(name string) int {
	g, ok := t.byGroup[name]
	if !ok {
		g = len(t.groups)
		t.groups = append(t.groups, groupPenalty{})
		t.byGroup[name] = g
	}
	return g
}

// rebuildAggregates assigns the targets to aggregates and sums their states again.
func (t *Table) rebuildAggregates() {
	type served struct{ model, service string }
	index := map[served]int{}
	old := t.aggregates
	// The first aggregate is for removed targets, whose requests may still end.
	t.aggregates = make([]aggregate, 1)
	for i := range t.targets {
		s := &t.states[i]
		if !s.configured {
			s.aggregate = 0
			continue
		}
		key := served{t.targets[i].Model, t.targets[i].Service}
		c, ok := index[key]
		if !ok {
			c = len(t.aggregates)
			index[key] = c
			t.aggregates = append(t.aggregates, aggregate{})
			if s.aggregate < len(old) && s.known {
				t.aggregates[c].rate, t.aggregates[c].cost = old[s.aggregate].rate, old[s.aggregate].cost
			}
		}
		s.aggregate = c
		t.aggregates[c].size++
		if s.known {
			t.aggregates[c].add(s.queued, s.busy)
		}
	}
}

func (c *aggregate) add(queued, busy float64) {
	c.known++
	c.queued += queued
	c.busy += busy
}
