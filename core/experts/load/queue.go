package load

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Default values of Settings.
const (
	DefaultChunk = 8 << 20
	// DefaultBurst is the duration for which unused rate accumulates.
	DefaultBurst = 100 * time.Millisecond
)

// Settings are the limits of a Queue.
type Settings struct {
	// Rate is the rate, in bytes per second, at which the groups of this queue
	// may read from the weight store; 0 stops all loading.
	Rate int64
	// Chunk is the maximum size of one read in bytes; 0 means DefaultChunk.
	Chunk int64
	// Burst is the duration for which unused rate accumulates; 0 means
	// DefaultBurst.
	Burst time.Duration
}

// Task loads one replica and, after the switch, frees the one it replaces.
type Task struct {
	Layer, Rank, Slot int
	// Load and Drop are experts; a negative Drop is a free slot.
	Load, Drop int32
	Bytes      int64
	// Gain is the benefit of the task; tasks with a larger gain are loaded
	// first.
	Gain float64
}

// Plan lists what a group has to load to reach a new map.
type Plan struct {
	Group   string
	Version uint64
	// Share is the group's weight in dividing the store's rate; 0 means 1.
	Share float64
	// FreeMemory is the memory in bytes that each rank has free beside the
	// active map.
	FreeMemory []int64
	// Replicas is the number of replicas of each expert in the active map, by
	// layer.
	Replicas [][]int
	Tasks    []Task
}

// PlanError reports why a plan can't be loaded.
type PlanError struct {
	// Reason is "busy", "invalid" or "no-room".
	Reason string
	Group  string
	Rank   int
}

// Error returns the reason, the group and the rank.
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
	readID      uint64
}

// Arm reports that all replicas of a wave are loaded: the group may prepare
// the switch to the map with these moves.
type Arm struct {
	Group   string
	Version uint64
	Wave    int
	Moves   []Task
}

// Release requests a switch to a map without the replicas in Drops, because
// otherwise no rank has memory for the next wave. Each expert keeps a replica.
type Release struct {
	Group   string
	Version uint64
	Wave    int
	Drops   []Task
}

// Actions holds the work that is due.
type Actions struct {
	Fetches  []Fetch
	Arms     []Arm
	Releases []Release
	// Failed holds the plans that were abandoned for lack of memory.
	Failed []*PlanError
}

// Queue schedules the loading of several groups.
type Queue struct {
	settings Settings
	groups   []*group // sorted by name
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

// Begin starts a plan. It returns a *PlanError when the group is still loading
// another plan, or when a task's rank, layer, expert or size is out of range.
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

// catchUp raises the service count of a group that was idle to the lowest
// count of the groups that are loading. Without it, the group would block all
// others until it had read as much as they have.
func (q *Queue) catchUp(g *group) {
	lowest, found := 0.0, false
	for _, other := range q.groups {
		if other != g && other.phase == loading && (!found || other.served < lowest) {
			lowest, found = other.served, true
		}
	}
	if found {
		g.served = max(g.served, lowest)
	}
}

// fits reports whether the task's rank, layer, experts and size are in range.
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

// Next returns the work that is due: the reads that the rate allows, at most
// one at a time per rank, and the switches. Call it again after each event and
// periodically.
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
		if g.nextReadable() >= 0 && (best == nil || g.served < best.served) {
			best = g
		}
	}
	return best
}

// Progress records that a read ended after n bytes, fewer than f.Length when
// it was interrupted. The rest is requested again from that offset. A late
// report for an older plan, or for a rank that has restarted since, is ignored.
func (q *Queue) Progress(f Fetch, n int64) {
	g := q.group(f.Group)
	if g == nil || g.phase != loading || g.plan.Version != f.Version || f.task >= len(g.tasks) {
		return
	}
	t := &g.tasks[f.task]
	// The end of a read from before a restart may be reported while a new read
	// of the same range is in progress: accepting it would leave a gap in the
	// weights.
	if !t.reading || t.readID != f.readID || t.Load != f.Expert || t.Rank != f.Rank || t.Layer != f.Layer {
		return
	}
	t.reading, g.busy[t.Rank] = false, false
	t.offset += min(max(n, 0), f.Length)
}

// RankRestarted records that a rank lost its memory: what it had loaded of the
// wave is loaded again. The parameter free is its free memory beside the active
// map. An armed wave stays as it is, because the switch aborts and SwitchEnded
// ends the plan.
func (q *Queue) RankRestarted(name string, rank int, free int64) {
	g := q.group(name)
	if g == nil || (g.phase != loading && g.phase != releasing) || rank < 0 || rank >= len(g.plan.FreeMemory) {
		return
	}
	g.rankRestarted(rank, free)
}

// SwitchEnded records the outcome of the switch that an Arm or a Release
// requested. After an abort the plan is abandoned, and its loaded replicas may
// be freed.
func (q *Queue) SwitchEnded(name string, committed bool) {
	g := q.group(name)
	if g == nil || (g.phase != armed && g.phase != releasing) {
		return
	}
	if !committed {
		g.phase = idle
		return
	}
	g.commitSwitch()
}

// Loading reports whether a plan of the group is in progress.
func (q *Queue) Loading(name string) bool {
	g := q.group(name)
	return g != nil && g.phase != idle
}

// RemainingBytes returns the number of bytes that a group has yet to read.
func (q *Queue) RemainingBytes(name string) int64 {
	g := q.group(name)
	if g == nil || g.phase == idle {
		return 0
	}
	remaining := int64(0)
	for _, t := range g.tasks {
		remaining += t.Bytes - t.offset
	}
	for _, t := range g.pending {
		remaining += t.Bytes
	}
	return remaining
}
