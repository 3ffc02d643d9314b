package load

import (
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	mb   = int64(1 << 20)
	size = 4 * mb // of one replica
)

var start = time.Date(2026, time.December, 1, 6, 0, 0, 0, time.UTC)

// TestMain fixes the seed, so that every run uses the same plans.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "300"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// world is the model of the property test: what the ranks hold and how much of
// each replica has been read, derived from the actions alone.
type world struct {
	t            *rapid.T
	experts      int
	held         []map[int32]bool  // the active map, by rank
	fetchedBytes []map[int32]int64 // bytes read of each new expert, by rank
	capacity     []int64
}

func newWorld(t *rapid.T, ranks, slots, experts int) *world {
	w := &world{t: t, experts: experts}
	for r := range ranks {
		held := map[int32]bool{}
		for k := range slots {
			held[int32((r*slots+k)%experts)] = true
		}
		w.held = append(w.held, held)
		w.fetchedBytes = append(w.fetchedBytes, map[int32]int64{})
		spare := int64(rapid.IntRange(0, 1).Draw(t, "spare"))
		w.capacity = append(w.capacity, (int64(len(held))+spare)*size)
	}
	return w
}

func (w *world) replicas() []int {
	n := make([]int, w.experts)
	for _, held := range w.held {
		for e := range held {
			n[e]++
		}
	}
	return n
}

func (w *world) freeMemory() []int64 {
	freeMemory := make([]int64, len(w.held))
	for r := range freeMemory {
		freeMemory[r] = w.capacity[r] - int64(len(w.held[r]))*size
	}
	return freeMemory
}

func (w *world) fetched(f Fetch, n int64) {
	if w.fetchedBytes[f.Rank][f.Expert] != f.Offset {
		w.t.Fatalf("rank %d expert %d: read from %d, has %d", f.Rank, f.Expert, f.Offset, w.fetchedBytes[f.Rank][f.Expert])
	}
	w.fetchedBytes[f.Rank][f.Expert] = f.Offset + n
	if used := int64(len(w.held[f.Rank])+len(w.fetchedBytes[f.Rank])) * size; used > w.capacity[f.Rank] {
		w.t.Fatalf("rank %d: %d bytes used of %d", f.Rank, used, w.capacity[f.Rank])
	}
}

// change applies a switch and fails the test when a replica isn't loaded or an
// expert has no replica afterwards.
func (w *world) change(moves []Task, loaded bool) {
	for _, m := range moves {
		delete(w.held[m.Rank], m.Drop)
		if !loaded {
			continue
		}
		if w.fetchedBytes[m.Rank][m.Load] != size {
			w.t.Fatalf("armed with %d bytes of expert %d on rank %d", w.fetchedBytes[m.Rank][m.Load], m.Load, m.Rank)
		}
		delete(w.fetchedBytes[m.Rank], m.Load)
		w.held[m.Rank][m.Load] = true
	}
	for e, n := range w.replicas() {
		if n == 0 {
			w.t.Fatalf("expert %d has no replica", e)
		}
	}
}

// tasks draws a change to the map that leaves every expert a replica.
func (w *world) tasks() []Task {
	var tasks []Task
	n := w.replicas()
	for r, held := range w.held {
		for e := range int32(w.experts) {
			if !held[e] || !rapid.Bool().Draw(w.t, "move") {
				continue
			}
			to := int32(rapid.IntRange(0, w.experts-1).Draw(w.t, "to"))
			if held[to] || n[e] < 2 || (len(tasks) > 0 && tasks[len(tasks)-1].Rank == r) {
				continue
			}
			n[e]--
			n[to]++
			tasks = append(tasks, Task{Rank: r, Load: to, Drop: e, Bytes: size, Gain: rapid.Float64Range(0, 1).Draw(w.t, "gain")})
		}
	}
	return tasks
}

func TestWavesKeepMemoryAndExperts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 6).Draw(t, "ranks"), 2, rapid.IntRange(2, 5).Draw(t, "experts"))
		q := NewQueue(Settings{Rate: 1 << 30, Chunk: mb})
		tasks := w.tasks()
		if err := q.Begin(start, Plan{Group: "g", Version: 1, FreeMemory: w.freeMemory(), Replicas: [][]int{w.replicas()}, Tasks: tasks}); err != nil {
			t.Fatal(err)
		}
		var late []Fetch
		for now := start; q.Loading("g"); now = now.Add(10 * time.Millisecond) {
			if now.Sub(start) > 10*time.Second {
				t.Fatalf("still loading: %d bytes left", q.RemainingBytes("g"))
			}
			a := q.Next(now)
			for _, f := range a.Fetches {
				n := int64(rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "read")) * f.Length / 2
				n = min(n, f.Length)
				w.fetched(f, n)
				q.Progress(f, n)
				late = append(late, f)
			}
			if len(late) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				q.Progress(late[0], late[0].Length)
			}
			if rapid.IntRange(0, 15).Draw(t, "restart") == 0 && len(a.Arms) == 0 {
				r := rapid.IntRange(0, len(w.held)-1).Draw(t, "rank")
				w.fetchedBytes[r] = map[int32]int64{}
				q.RankRestarted("g", r, w.freeMemory()[r])
			}
			for _, arm := range a.Arms {
				w.change(arm.Moves, true)
				q.SwitchEnded("g", true)
			}
			for _, release := range a.Releases {
				w.change(release.Drops, false)
				q.SwitchEnded("g", true)
			}
			if len(a.Failed) > 0 {
				return
			}
		}
		for _, task := range tasks {
			if !w.held[task.Rank][task.Load] {
				t.Fatalf("expert %d isn't on rank %d", task.Load, task.Rank)
			}
		}
	})
}

func begin(is *is.I, q *Queue, name string, share float64, gains ...float64) {
	is.Helper()
	p := Plan{Group: name, Version: 1, Share: share, Replicas: [][]int{make([]int, len(gains))}}
	for i, gain := range gains {
		p.FreeMemory = append(p.FreeMemory, size)
		p.Tasks = append(p.Tasks, Task{Rank: i, Load: int32(i), Drop: -1, Bytes: size, Gain: gain})
	}
	is.NoErr(q.Begin(start, p))
}

// A rank restarts during a read, and the end of that read is reported after a
// new read of the same range has started. If the late report counted, reading
// would continue behind it and the rank would serve an expert whose first bytes
// are missing.
func TestLateReadAfterRestart(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: 1 << 30, Chunk: mb})
	begin(is, q, "g", 1, 1)
	q.Next(start)
	first := q.Next(start.Add(time.Second)).Fetches
	is.Equal(len(first), 1) // one read at a time on a rank
	q.RankRestarted("g", 0, size)
	second := q.Next(start.Add(time.Second)).Fetches
	is.Equal(len(second), 1)
	q.Progress(first[0], first[0].Length)
	is.Equal(q.RemainingBytes("g"), size)
	q.Progress(second[0], mb/2)
	third := q.Next(start.Add(2 * time.Second)).Fetches
	is.Equal(third[0].Offset, mb/2) // resumed where it was interrupted
}

func TestMostUsefulFirst(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: mb, Chunk: mb})
	begin(is, q, "g", 1, 0.1, 0.9, 0.5)
	a := q.Next(start)
	is.Equal(len(a.Fetches), 0) // no rate accumulated yet, and the wave is selected
	is.Equal(q.Next(start.Add(time.Second)).Fetches[0].Expert, int32(1))
	is.Equal(q.Next(start.Add(2 * time.Second)).Fetches[0].Expert, int32(2))
}

// A group loads alone for a while; another starts later. If the second group
// got credit for its idle time, the first would stop until both had read the
// same, and its switch would be minutes late. The rate is never exceeded by
// more than one chunk.
func TestGroupsShareTheRate(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: 8 * mb, Chunk: mb})
	begin(is, q, "early", 1, make([]float64, 100)...)
	read := map[string]int64{}
	run := func(from, to int) {
		for i := from; i < to; i++ {
			for _, f := range q.Next(start.Add(time.Duration(i) * 100 * time.Millisecond)).Fetches {
				read[f.Group] += f.Length
				q.Progress(f, f.Length)
			}
		}
	}
	run(0, 200)
	is.True(read["early"] <= 20*8*mb+mb)
	is.True(read["early"] > 19*8*mb)
	begin(is, q, "late", 3, make([]float64, 100)...)
	clear(read)
	run(200, 300)
	total := read["early"] + read["late"]
	is.True(total <= 10*8*mb+2*mb)
	is.True(read["early"] > total/4-2*mb && read["early"] < total/4+2*mb)
}

func TestRefusedPlans(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: mb})
	begin(is, q, "g", 1, 1)
	var refused *PlanError
	is.True(errors.As(q.Begin(start, Plan{Group: "g"}), &refused))
	is.Equal(refused.Reason, "busy")
	bad := Plan{Group: "h", FreeMemory: []int64{size}, Replicas: [][]int{{1}}, Tasks: []Task{{Rank: 1, Bytes: size}}}
	is.True(errors.As(q.Begin(start, bad), &refused))
	is.Equal(refused.Reason, "invalid")
	// The only replica of expert 0 can't be dropped to free memory.
	stuck := Plan{Group: "h", FreeMemory: []int64{0}, Replicas: [][]int{{1, 0}}, Tasks: []Task{{Load: 1, Drop: 0, Bytes: size}}}
	is.NoErr(q.Begin(start, stuck))
	is.Equal(q.Next(start).Failed[0].Reason, "no-room")
	is.Equal(q.Loading("h"), false)
}

func TestAbortEndsPlan(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: 1 << 30, Chunk: size})
	begin(is, q, "g", 1, 1)
	q.Next(start)
	f := q.Next(start.Add(time.Second)).Fetches
	is.Equal(len(f), 1)
	q.Progress(f[0], f[0].Length)
	is.Equal(len(q.Next(start.Add(time.Second)).Arms), 1)
	is.Equal(len(q.Next(start.Add(time.Second)).Arms), 0) // armed once
	q.SwitchEnded("g", false)
	is.Equal(q.Loading("g"), false)
}

// Two ranks exchange their experts, and only one of them has free memory. Half
// of the exchange would fit, but the map after it has no replica of the dropped
// expert: its requests would fail until the second half is loaded. The plan is
// abandoned instead.
func TestHalfAnExchange(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: 1 << 30, Chunk: size})
	is.NoErr(q.Begin(start, Plan{
		Group: "g", FreeMemory: []int64{size, 0}, Replicas: [][]int{{1, 1}},
		Tasks: []Task{{Rank: 0, Load: 1, Drop: 0, Bytes: size}, {Rank: 1, Load: 0, Drop: 1, Bytes: size}},
	}))
	a := q.Next(start.Add(time.Second))
	is.Equal(len(a.Fetches)+len(a.Arms)+len(a.Releases), 0)
	is.Equal(len(a.Failed), 1)
}

// drive reads at full rate and commits every switch until the plan ends.
func drive(q *Queue, from time.Time) (waves, releases, failed int) {
	for i := range 100 {
		a := q.Next(from.Add(time.Duration(i) * time.Second))
		for _, f := range a.Fetches {
			q.Progress(f, f.Length)
		}
		waves, releases, failed = waves+len(a.Arms), releases+len(a.Releases), failed+len(a.Failed)
		if len(a.Arms)+len(a.Releases) > 0 {
			q.SwitchEnded("g", true)
		}
	}
	return waves, releases, failed
}

// A rank restarts while a wave is loading, and reports its free memory again.
// The wave's own replica still needs that memory. If it were allocated twice,
// the next wave would exceed the rank's memory and crash its engine.
func TestRestartKeepsTheWavesMemory(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: 1 << 30, Chunk: size})
	is.NoErr(q.Begin(start, Plan{
		Group: "g", FreeMemory: []int64{size}, Replicas: [][]int{{0, 0}},
		Tasks: []Task{{Load: 0, Drop: -1, Bytes: size}, {Load: 1, Drop: -1, Bytes: size}},
	}))
	q.Next(start)
	q.RankRestarted("g", 0, size)
	waves, _, failed := drive(q, start.Add(time.Second))
	is.Equal(waves, 1)
	is.Equal(failed, 1)
}

func TestMemoryIsFreedOnceTheExpertIsElsewhere(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: 1 << 30, Chunk: size})
	is.NoErr(q.Begin(start, Plan{
		Group: "g", FreeMemory: []int64{0, size}, Replicas: [][]int{{1, 1}},
		Tasks: []Task{{Rank: 0, Load: 1, Drop: 0, Bytes: size}, {Rank: 1, Load: 0, Drop: -1, Bytes: size}},
	}))
	waves, releases, failed := drive(q, start)
	is.Equal(waves, 2)
	is.Equal(releases, 1)
	is.Equal(failed, 0)
}

// Nothing is loaded for a minute. If the unused rate accumulated, the next plan
// would take the store's rate from all other readers at once.
func TestUnusedRateIsNotKept(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{Rate: 8 * mb, Chunk: mb})
	q.Next(start)
	begin(is, q, "g", 1, make([]float64, 50)...)
	read := int64(0)
	for _, f := range q.Next(start.Add(time.Minute)).Fetches {
		read += f.Length
	}
	is.Equal(read, mb)
}

func TestSplit(t *testing.T) {
	tests := map[string]struct {
		rate    int64
		demands []Demand
		want    []int64
	}{
		"nobody":      {100, nil, []int64{}},
		"equal":       {100, []Demand{{Rate: 90}, {Rate: 90}}, []int64{50, 50}},
		"by share":    {100, []Demand{{Share: 3, Rate: 90}, {Share: 1, Rate: 90}}, []int64{75, 25}},
		"unused part": {100, []Demand{{Rate: 10}, {Rate: 90}, {Rate: 60}}, []int64{10, 45, 45}},
		"enough":      {100, []Demand{{Rate: 10}, {Rate: 20}}, []int64{10, 20}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Split(tt.rate, tt.demands), tt.want)
		})
	}
}
