package group

import (
	"flag"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	runs  = flag.Uint64("group.runs", 5000, "interleavings to explore")
	first = flag.Uint64("group.seed", 1, "first seed")
)

// found is the lowest seed at which something went wrong.
type found struct {
	seed uint64
	err  error
}

// explore plays seeds until one is bad or the last is played. Each seed is a run
// of its own, so that the result is the same for any number of processors.
func explore(from, n uint64, off guardsOff, bad func(w *world, err error) bool) (worst found, commits int64) {
	var next atomic.Uint64
	var total atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	play := func() {
		for seed := from + next.Add(1) - 1; seed < from+n; seed = from + next.Add(1) - 1 {
			w, err := runOne(seed, off)
			total.Add(int64(w.commits))
			if !bad(w, err) {
				continue
			}
			next.Store(n)
			mu.Lock()
			if worst.err == nil || seed < worst.seed {
				worst = found{seed, err}
			}
			mu.Unlock()
		}
	}
	for range runtime.GOMAXPROCS(0) {
		wg.Go(play)
	}
	wg.Wait()
	return worst, total.Load()
}

// An engine that used two maps in one step would answer callers with tokens of
// no model at all. Messages are lost, repeated, delayed and reordered, agents
// and engines die, pause and start empty, the store is out and loses answers.
// The oracle knows only which map each rank used in each step; once the faults
// stop, every run has to end in one epoch on one map.
func TestExplore(t *testing.T) {
	began := time.Now()
	worst, commits := explore(*first, *runs, guardsOff{}, func(_ *world, err error) bool { return err != nil })
	if worst.err != nil {
		t.Fatal(worst.err)
	}
	if commits == 0 {
		t.Fatal("no run committed a switch while faults were injected")
	}
	t.Logf("%d runs, %d commits under faults, %v", *runs, commits, time.Since(began).Round(time.Millisecond))
}

// Each guard is there for a failure that the explorer can find: without it the
// same interleavings end in a mixed step. An exploration that still passed
// would prove nothing.
func TestExploreFindsEachMissingGuard(t *testing.T) {
	tests := []struct {
		name string
		off  guardsOff
	}{
		// A rank arms for a step it has begun on the old map; the others commit.
		{"arm check", guardsOff{arm: true}},
		// A rank reaches the step without the outcome and continues on the old map.
		{"wait", guardsOff{wait: true}},
		// A delayed order of an older coordinator or epoch is carried out.
		{"fencing check", guardsOff{fence: true}},
		// An order of a dead agent arrives after its successor has read the
		// rank, at an engine that ignores fencing.
		{"settling time", guardsOff{readBack: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const most = 20000
			mixed := func(w *world, _ error) bool { return w.oracle.mixed != "" }
			worst, _ := explore(1, most, tt.off, mixed)
			if worst.err == nil {
				t.Fatalf("no mixed step in %d runs without the %s", most, tt.name)
			}
			t.Log(worst.err)
		})
	}
}
