package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Defaults of Settings.
const (
	DefaultChunk = 8 << 20
	// DefaultBurst is how long the unused rate is kept.
	DefaultBurst = 100 * time.Millisecond
)

// Settings bound the queue.
type Settings struct {
	// Rate is the bytes a second that the weight store gives to the groups of
	// this queue; 0 stops all loading.
	Rate int64
	// Chunk is the most bytes of one read; 0 means DefaultChunk.
	Chunk int64
	// Burst is how long the unused rate is kept; 0 means DefaultBurst.
	Burst time.Duration
}

// Task loads one replica and later frees the one it replaces.
type Task struct {
	Layer, Rank, Slot int
	// Load and Drop are experts; a negative Drop is a free slot.
	Load, Drop int32
	Bytes      int64
	// Gain orders the tasks: the most useful first.
	Gain float64
}

// Plan is what a group has to load to get to a new map.
type Plan struct {
	Group   string
	Version uint64
	// Share is the group's weight at the store; 0 means 1.
	Share float64
	// FreeMemory is the free memory of each rank beside the map in force, in bytes.
	FreeMemory []int64
	// Replicas is the number of replicas of each expert by layer, as in force.
	Replicas [][]int
	Tasks    []Task
}

// PlanError says why a plan can't be loaded.
type PlanError struct {
	// Reason is "busy", "invalid" or "no-room".
	Reason string
	Group  string
	Rank   int
}

// Error returns the reason with the group and the rank.
func (e *PlanError) Error() string {
	return fmt.Sprintf("load plan of group %s: %s (rank %d)", e.Group, e.Reason, e.Rank)
}

// Fetch reads a range of one expert's weights on one rank.
type Fetch struct {
	Group       string
	Version     uint64
	Rank, Layer int
	Expert      int32
	Offset      int64
	Length      int64
	task        int
	read        uint64
}

// Arm says that all replicas of a wave are loaded: the group may prepare the
// switch to the map with these moves.
type Arm struct {
	Group   string
	Version uint64
	Wave    int
	Moves   []Task
}

// Release asks to switch to a map without these replicas first, because no
// rank has room for the next wave otherwise. Each expert keeps a replica.
type Release struct {
	Group   string
	Version uint64
	Wave    int
	Drops   []Task
}

// Actions is what is to be done next.
type Actions struct {
	Fetches  []Fetch
	Arms     []Arm
	Releases []Release
	// Failed holds the plans that were given up for lack of room.
	Failed []*PlanError
}

// Queue orders the loading of several groups.
type Queue struct {
	settings Settings
	groups   []*group // by name
	tokens   float64
	last     time.Time
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	if s.Chunk <= 0 {
		s.Chunk = DefaultChunk
	}
	if s.Burst <= 0 {
		s.Burst = DefaultBurst
	}
	return &Queue{settings: s}
}

// Begin takes in a plan. It returns a *PlanError when the group still loads
// another one or the plan doesn't fit its own sizes.
func (q *Queue) Begin(now time.Time, p Plan) error {
	g := q.group(p.Group)
	if g != nil && g.phase != idle {
		return &PlanError{Reason: "busy", Group: p.Group}
	}
	for _, t := range p.Tasks {
		if !p.fits(t) {
			return &PlanError{Reason: "invalid", Group: p.Group, Rank: t.Rank}
		}
	}
	if g == nil {
		g = &group{}
		q.groups = append(q.groups, g)
	}
	g.begin(p)
	slices.SortFunc(q.groups, func(a, b *group) int { return cmp.Compare(a.plan.Group, b.plan.Group) })
	q.refill(now)
	q.catchUp(g)
	return nil
}

// catchUp keeps a group that was idle from claiming the rate it didn't use:
// without it, the group would hold up all others until it had read as much.
func (q *Queue) catchUp(g *group) {
	first, found := 0.0, false
	for _, other := range q.groups {
		if other != g && other.phase == loading && (!found || other.served < first) {
			first, found = other.served, true
		}
	}
	if found {
		g.served = max(g.served, first)
	}
}

func (p *Plan) fits(t Task) bool {
	if t.Rank < 0 || t.Rank >= len(p.FreeMemory) || t.Layer < 0 || t.Layer >= len(p.Replicas) {
		return false
	}
	experts := int32(len(p.Replicas[t.Layer]))
	return t.Load >= 0 && t.Load < experts && t.Drop < experts && t.Bytes > 0
}

func (q *Queue) group(name string) *group {
	for _, g := range q.groups {
		if g.plan.Group == name {
			return g
		}
	}
	return nil
}

func (q *Queue) refill(now time.Time) {
	if q.last.IsZero() {
		q.last = now
	}
	rate := float64(q.settings.Rate)
	q.tokens += rate * now.Sub(q.last).Seconds()
	q.tokens = min(q.tokens, max(rate*q.settings.Burst.Seconds(), float64(q.settings.Chunk)))
	q.last = now
}

// Next returns what is to be done now: the reads that the rate allows, at
// most one at a time on a rank, and the switches that are due. Call it again
// after each event and as time passes.
func (q *Queue) Next(now time.Time) Actions {
	q.refill(now)
	var a Actions
	for _, g := range q.groups {
		g.advance(&a)
	}
	for q.tokens > 0 {
		g := q.leastServed()
		if g == nil {
			break
		}
		f := g.fetch(q.settings.Chunk)
		q.tokens -= float64(f.Length)
		g.served += float64(f.Length) / g.share()
		a.Fetches = append(a.Fetches, f)
	}
	return a
}

func (q *Queue) leastServed() *group {
	var best *group
	for _, g := range q.groups {
		if g.ready() >= 0 && (best == nil || g.served < best.served) {
			best = g
		}
	}
	return best
}

// Progress says that a read ended after n bytes: all of them, or fewer when it
// broke. The rest is asked for again from there. A late report of an older
// plan, or of a rank that restarted since, is ignored.
func (q *Queue) Progress(f Fetch, n int64) {
	g := q.group(f.Group)
	if g == nil || g.phase != loading || g.plan.Version != f.Version || f.task >= len(g.tasks) {
		return
	}
	t := &g.tasks[f.task]
	// The end of a read from before a restart may come when a new read of the
	// same range is under way: taking it would leave a hole in the weights.
	if !t.reading || t.read != f.read || t.Load != f.Expert || t.Rank != f.Rank || t.Layer != f.Layer {
		return
	}
	t.reading, g.busy[t.Rank] = false, false
	t.offset += min(max(n, 0), f.Length)
}

// RankRestarted says that a rank lost its memory: what it had loaded of the wave
// is loaded again. The room is its free memory beside the map in force. An
// armed wave is left to the switch, which aborts it and settles.
func (q *Queue) RankRestarted(name string, rank int, room int64) {
	g := q.group(name)
	if g == nil || (g.phase != loading && g.phase != releasing) || rank < 0 || rank >= len(g.plan.FreeMemory) {
		return
	}
	g.restart(rank, room)
}

// SwitchEnded says how the switch that an Arm or a Release asked for ended. After
// an abort the plan is given up, and its loaded replicas may be freed.
func (q *Queue) SwitchEnded(name string, committed bool) {
	g := q.group(name)
	if g == nil || (g.phase != armed && g.phase != releasing) {
		return
	}
	if !committed {
		g.phase = idle
		return
	}
	g.settle()
}

// Loading reports whether a plan of the group is under way.
func (q *Queue) Loading(name string) bool {
	g := q.group(name)
	return g != nil && g.phase != idle
}

// RemainingBytes returns the bytes that a group has still to read.
func (q *Queue) RemainingBytes(name string) int64 {
	g := q.group(name)
	if g == nil || g.phase == idle {
		return 0
	}
	left := int64(0)
	for _, t := range g.tasks {
		left += t.Bytes - t.offset
	}
	for _, t := range g.waiting {
		left += t.Bytes
	}
	return left
}
