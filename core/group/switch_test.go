package group

import (
	"flag"
	"testing"
	"time"
)

var (
	runs  = flag.Int("group.runs", 5000, "interleavings to explore")
	first = flag.Uint64("group.seed", 1, "first seed")
)

// An engine that used two maps in one step would answer callers with tokens of
// no model at all. Messages are lost, repeated, delayed and reordered, agents
// and engines die, pause and start empty, the store is out and loses answers.
// The oracle knows only which map each rank used in each step; once the faults
// stop, every run has to end in one epoch on one map.
func TestExplore(t *testing.T) {
	began := time.Now()
	commits := 0
	for seed := *first; seed < *first+uint64(*runs); seed++ {
		w, err := runOne(seed, guardsOff{})
		if err != nil {
			t.Fatal(err)
		}
		commits += w.commits
	}
	if commits == 0 {
		t.Fatal("no run committed a switch")
	}
	t.Logf("%d runs, %d commits, %v", *runs, commits, time.Since(began).Round(time.Millisecond))
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
		// A rank reaches the step without the outcome and goes on as it was.
		{"wait", guardsOff{wait: true}},
		// A delayed order of an older steward or epoch is carried out.
		{"fencing check", guardsOff{fence: true}},
		// An order of a dead agent arrives after its successor has read the
		// rank, at an engine that ignores fencing.
		{"settling time", guardsOff{settle: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const most = 20000
			for seed := uint64(1); seed <= most; seed++ {
				w, err := runOne(seed, tt.off)
				if w.oracle.mixed != "" {
					t.Logf("found after %d runs: %v", seed, err)
					return
				}
			}
			t.Fatalf("no mixed step in %d runs without the %s", most, tt.name)
		})
	}
}
