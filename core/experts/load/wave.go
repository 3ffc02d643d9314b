package load

import (
	"cmp"
	"slices"
)

// phase is where a group's plan stands.
type phase int

const (
	idle phase = iota
	loading
	armed
	releasing
)

// progress is a task of the wave that is being loaded.
type progress struct {
	Task
	offset  int64
	reading bool
	read    uint64 // the number of the read under way
}

// group is the state of one group's plan.
type group struct {
	plan    Plan
	phase   phase
	wave    int
	waiting []Task     // not in a wave yet, the most useful first
	tasks   []progress // of the wave
	drops   []Task     // of the release
	busy    []bool     // of a rank: it is reading
	reads   uint64     // begun
	served  float64    // bytes read by share
}

func (g *group) share() float64 {
	if g.plan.Share <= 0 {
		return 1
	}
	return g.plan.Share
}

func (g *group) begin(p Plan) {
	served := g.served
	p.FreeMemory = slices.Clone(p.FreeMemory)
	replicas := make([][]int, len(p.Replicas))
	for l := range p.Replicas {
		replicas[l] = slices.Clone(p.Replicas[l])
	}
	p.Replicas = replicas
	waiting := slices.Clone(p.Tasks)
	slices.SortStableFunc(waiting, byGain)
	*g = group{plan: p, phase: loading, waiting: waiting, served: served, reads: g.reads, busy: make([]bool, len(p.FreeMemory))}
}

// advance starts the next wave, arms a loaded one, or ends the plan.
func (g *group) advance(a *Actions) {
	if g.phase != loading {
		return
	}
	if len(g.tasks) == 0 {
		g.next(a)
		return
	}
	for _, t := range g.tasks {
		if t.offset < t.Bytes {
			return
		}
	}
	g.phase = armed
	arm := Arm{Group: g.plan.Group, Version: g.plan.Version, Wave: g.wave}
	for _, t := range g.tasks {
		arm.Moves = append(arm.Moves, t.Task)
	}
	a.Arms = append(a.Arms, arm)
}

// next cuts the next wave from what is waiting.
func (g *group) next(a *Actions) {
	if len(g.waiting) == 0 {
		g.phase = idle
		return
	}
	g.wave++
	wave := g.keepExperts(g.fitting())
	if len(wave) > 0 {
		g.waiting = without(g.waiting, wave)
		for _, t := range wave {
			g.tasks = append(g.tasks, progress{Task: t})
			g.plan.FreeMemory[t.Rank] -= t.Bytes
		}
		return
	}
	g.drops = g.spare()
	if len(g.drops) == 0 {
		g.phase = idle
		a.Failed = append(a.Failed, &PlanError{Reason: "no-room", Group: g.plan.Group, Rank: g.waiting[0].Rank})
		return
	}
	g.phase = releasing
	a.Releases = append(a.Releases, Release{
		Group: g.plan.Group, Version: g.plan.Version, Wave: g.wave, Drops: slices.Clone(g.drops),
	})
}

// fitting returns the most useful tasks that the ranks have room for.
func (g *group) fitting() []Task {
	room := slices.Clone(g.plan.FreeMemory)
	var wave []Task
	for _, t := range g.waiting {
		if room[t.Rank] >= t.Bytes {
			room[t.Rank] -= t.Bytes
			wave = append(wave, t)
		}
	}
	return wave
}

// keepExperts takes tasks out of a wave until the map after it holds every
// expert. A wave without the new home of an expert must not drop its old one:
// the expert's requests would have nowhere to go until the next wave.
func (g *group) keepExperts(wave []Task) []Task {
	for {
		lost := g.firstLost(wave)
		if lost < 0 {
			return wave
		}
		wave = slices.Delete(wave, lost, lost+1)
	}
}

// firstLost returns the least useful task that drops an expert which the wave
// leaves without a replica, or -1.
func (g *group) firstLost(wave []Task) int {
	change := map[replica]int{}
	for _, t := range wave {
		change[replica{t.Layer, t.Load}]++
		if t.Drop >= 0 {
			change[replica{t.Layer, t.Drop}]--
		}
	}
	for i, t := range slices.Backward(wave) {
		if t.Drop >= 0 && g.plan.Replicas[t.Layer][t.Drop]+change[replica{t.Layer, t.Drop}] < 1 {
			return i
		}
	}
	return -1
}

// replica is an expert of a layer.
type replica struct {
	layer  int
	expert int32
}

// spare returns drops of waiting tasks that leave every expert a replica.
func (g *group) spare() []Task {
	var drops []Task
	dropped := map[replica]int{}
	for _, t := range g.waiting {
		r := replica{t.Layer, t.Drop}
		if t.Drop >= 0 && g.plan.Replicas[t.Layer][t.Drop]-dropped[r] > 1 {
			dropped[r]++
			drops = append(drops, t)
		}
	}
	return drops
}

// settle takes in a committed switch: what it dropped is free memory now.
func (g *group) settle() {
	if g.phase == releasing {
		left := without(slices.Clone(g.waiting), g.drops)
		for _, t := range g.drops {
			g.free(t)
			t.Drop = -1
			left = append(left, t)
		}
		slices.SortStableFunc(left, byGain)
		g.waiting = left
		g.drops = nil
	}
	for _, t := range g.tasks {
		g.free(t.Task)
		g.plan.Replicas[t.Layer][t.Load]++
	}
	g.tasks = nil
	g.phase = loading
}

func (g *group) free(t Task) {
	if t.Drop < 0 {
		return
	}
	g.plan.FreeMemory[t.Rank] += t.Bytes
	g.plan.Replicas[t.Layer][t.Drop]--
}

// restart forgets what a rank had loaded of the wave. When the wave doesn't
// fit the rank's room any more, it is cut anew from all tasks.
func (g *group) restart(rank int, room int64) {
	g.busy[rank] = false
	g.plan.FreeMemory[rank] = room
	for i := range g.tasks {
		if t := &g.tasks[i]; t.Rank == rank {
			t.offset, t.reading = 0, false
			g.plan.FreeMemory[rank] -= t.Bytes
		}
	}
	if g.plan.FreeMemory[rank] >= 0 {
		return
	}
	for _, t := range g.tasks {
		g.plan.FreeMemory[t.Rank] += t.Bytes
		g.waiting = append(g.waiting, t.Task)
	}
	slices.SortStableFunc(g.waiting, byGain)
	g.tasks = nil
	clear(g.busy)
}

func byGain(a, b Task) int { return cmp.Compare(b.Gain, a.Gain) }

func without(tasks, taken []Task) []Task {
	set := make(map[Task]bool, len(taken))
	for _, t := range taken {
		set[t] = true
	}
	return slices.DeleteFunc(tasks, func(t Task) bool { return set[t] })
}

// ready returns the first task of the wave that can be read on, or -1. A rank
// reads one expert at a time.
func (g *group) ready() int {
	if g.phase != loading {
		return -1
	}
	for i, t := range g.tasks {
		if t.offset < t.Bytes && !g.busy[t.Rank] {
			return i
		}
	}
	return -1
}

func (g *group) fetch(chunk int64) Fetch {
	i := g.ready()
	t := &g.tasks[i]
	t.reading, g.busy[t.Rank] = true, true
	g.reads++
	t.read = g.reads
	return Fetch{
		Group: g.plan.Group, Version: g.plan.Version, Rank: t.Rank, Layer: t.Layer, Expert: t.Load,
		Offset: t.offset, Length: min(chunk, t.Bytes-t.offset), task: i, read: t.read,
	}
}
