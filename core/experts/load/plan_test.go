package load

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/expert"
)

// A plan needs more memory than the ranks have free, so that it is applied in
// several waves. Every intermediate map must serve all experts, and the last
// one must be the planned one.
func TestPlanInWaves(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 0))
	g := &expert.Group{Experts: 16, Slots: 4, ExpertBytes: size, Ranks: make([]expert.Rank, 16)}
	before, after := make([]float64, 16), make([]float64, 16)
	for e := range before {
		before[e], after[e] = math.Exp(rng.NormFloat64()), math.Exp(rng.NormFloat64())
	}
	m := expert.Place(g, before)
	goal := expert.Place(g, after)
	moves := expert.Diff(g, 0, m, goal)
	p := Plan{Group: "g", Replicas: [][]int{m.Replicas(16)}, Tasks: Tasks(g, moves)}
	for range g.Ranks {
		p.FreeMemory = append(p.FreeMemory, size)
	}
	q := NewQueue(Settings{Rate: 1 << 30, Chunk: size})
	is.NoErr(q.Begin(start, p))
	waves := 0
	for now := start; q.Loading("g"); now = now.Add(time.Second) {
		a := q.Next(now)
		for _, f := range a.Fetches {
			q.Progress(f, f.Length)
		}
		is.Equal(len(a.Failed), 0)
		for _, arm := range a.Arms {
			waves++
			m = m.Apply(g, 0, Moves(arm.Moves))
			is.NoErr(m.Validate(g))
			q.SwitchEnded("g", true)
		}
		is.Equal(len(a.Releases), 0)
	}
	is.True(waves > 1)
	is.Equal(len(expert.Diff(g, 0, m, goal)), 0)
}
