package load

import (
	"cmp"
	"slices"
)

// phase is the state of a group's plan.
type phase int

const (
	idle phase = iota
	loading
	armed
	releasing
)

// taskProgress is a task of the current wave with what has been read of it.
type taskProgress struct {
	Task
	offset  int64
	reading bool
	readID  uint64 // of the read in progress
}

// group is the state of one group's plan.
type group struct {
	plan         Plan
	phase        phase
	wave         int
	pending      []Task         // not in a wave yet, by descending gain
	tasks        []taskProgress // of the current wave
	releaseDrops []Task         // of the release in progress
	busy         []bool         // by rank: a read is in progress
	readsStarted uint64         // number of reads started
	served       float64        // bytes read, divided by the share
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
	pending := slices.Clone(p.Tasks)
	slices.SortStableFunc(pending, byGain)
	*g = group{plan: p, phase: loading, pending: pending, served: served, readsStarted: g.readsStarted, busy: make([]bool, len(p.FreeMemory))}
}

// advance starts the next wave, arms a wave that is loaded, or ends the plan.
func (g *group) advance(a *Actions) {
	if g.phase != loading {
		return
	}
	if len(g.tasks) == 0 {
		g.nextWave(a)
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

// nextWave takes the tasks of the next wave from the pending ones. When none
// fits, it requests a release of replicas or abandons the plan.
func (g *group) nextWave(a *Actions) {
	if len(g.pending) == 0 {
		g.phase = idle
		return
	}
	g.wave++
	wave := g.keepExperts(g.fittingTasks())
	if len(wave) > 0 {
		g.pending = without(g.pending, wave)
		for _, t := range wave {
			g.tasks = append(g.tasks, taskProgress{Task: t})
			g.plan.FreeMemory[t.Rank] -= t.Bytes
		}
		return
	}
	g.releaseDrops = g.spareReplicas()
	if len(g.releaseDrops) == 0 {
		g.phase = idle
		a.Failed = append(a.Failed, &PlanError{Reason: "no-room", Group: g.plan.Group, Rank: g.pending[0].Rank})
		return
	}
	g.phase = releasing
	a.Releases = append(a.Releases, Release{
		Group: g.plan.Group, Version: g.plan.Version, Wave: g.wave, Drops: slices.Clone(g.releaseDrops),
	})
}

// fittingTasks returns the pending tasks, by descending gain, that fit into the
// free memory of their ranks.
func (g *group) fittingTasks() []Task {
	free := slices.Clone(g.plan.FreeMemory)
	var wave []Task
	for _, t := range g.pending {
		if free[t.Rank] >= t.Bytes {
			free[t.Rank] -= t.Bytes
			wave = append(wave, t)
		}
	}
	return wave
}

// keepExperts removes tasks from a wave until the map after it holds every
// expert. A wave must not drop the last replica of an expert before a new one
// is loaded: the expert's requests could not be served until the next wave.
func (g *group) keepExperts(wave []Task) []Task {
	for {
		i := g.leastUsefulLastDrop(wave)
		if i < 0 {
			return wave
		}
		wave = slices.Delete(wave, i, i+1)
	}
}

// leastUsefulLastDrop returns the index of the task with the smallest gain that
// drops an expert which the wave leaves without a replica, or -1.
func (g *group) leastUsefulLastDrop(wave []Task) int {
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

// replica identifies an expert of a layer.
type replica struct {
	layer  int
	expert int32
}

// spareReplicas returns the pending tasks whose drops leave every expert a
// replica.
func (g *group) spareReplicas() []Task {
	var drops []Task
	dropped := map[replica]int{}
	for _, t := range g.pending {
		r := replica{t.Layer, t.Drop}
		if t.Drop >= 0 && g.plan.Replicas[t.Layer][t.Drop]-dropped[r] > 1 {
			dropped[r]++
			drops = append(drops, t)
		}
	}
	return drops
}

// commitSwitch records a committed switch: the memory of the dropped replicas
// is free from now on.
func (g *group) commitSwitch() {
	if g.phase == releasing {
		remaining := without(slices.Clone(g.pending), g.releaseDrops)
		for _, t := range g.releaseDrops {
			g.freeDropped(t)
			t.Drop = -1
			remaining = append(remaining, t)
		}
		slices.SortStableFunc(remaining, byGain)
		g.pending = remaining
		g.releaseDrops = nil
	}
	for _, t := range g.tasks {
		g.freeDropped(t.Task)
		g.plan.Replicas[t.Layer][t.Load]++
	}
	g.tasks = nil
	g.phase = loading
}

// freeDropped accounts for the removal of the replica that the task drops.
func (g *group) freeDropped(t Task) {
	if t.Drop < 0 {
		return
	}
	g.plan.FreeMemory[t.Rank] += t.Bytes
	g.plan.Replicas[t.Layer][t.Drop]--
}

// rankRestarted discards what a rank had loaded of the wave. When the wave no
// longer fits into the rank's free memory, its tasks become pending again and
// the next wave is selected from all of them.
func (g *group) rankRestarted(rank int, free int64) {
	g.busy[rank] = false
	g.plan.FreeMemory[rank] = free
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
		g.pending = append(g.pending, t.Task)
	}
	slices.SortStableFunc(g.pending, byGain)
	g.tasks = nil
	clear(g.busy)
}

func byGain(a, b Task) int { return cmp.Compare(b.Gain, a.Gain) }

// without returns tasks without those in excluded. It modifies tasks.
func without(tasks, excluded []Task) []Task {
	set := make(map[Task]bool, len(excluded))
	for _, t := range excluded {
		set[t] = true
	}
	return slices.DeleteFunc(tasks, func(t Task) bool { return set[t] })
}

// nextReadable returns the index of the first task of the wave whose reading
// can start or continue, or -1. A rank reads one expert at a time.
func (g *group) nextReadable() int {
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
	i := g.nextReadable()
	t := &g.tasks[i]
	t.reading, g.busy[t.Rank] = true, true
	g.readsStarted++
	t.readID = g.readsStarted
	return Fetch{
		Group: g.plan.Group, Version: g.plan.Version, Rank: t.Rank, Layer: t.Layer, Expert: t.Load,
		Offset: t.offset, Length: min(chunk, t.Bytes-t.offset), task: i, readID: t.readID,
	}
}
