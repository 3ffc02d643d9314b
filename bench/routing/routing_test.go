package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"verbenashift/bench/figure"
)

func TestGatesHold(t *testing.T) {
	for name, figures := range map[string]func() []figure.Figure{
		"late": lateReportFigures, "prefix": prefixFigures, "straggler": stragglerFigures,
		"failing": failingFigures, "return": recoveryFigures,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, f := range figures() {
				if f.Gate && !f.OK() {
					t.Error(line(f))
				}
			}
		})
	}
}

func TestTrialsRepeat(t *testing.T) {
	is := is.New(t)
	set := base(chosen)
	set.length, set.prefixes = 5*time.Second, prefixCount
	a, b := run(set), run(set)
	is.Equal(a.samples, b.samples)
	set.seed++
	is.True(len(run(set).samples) != len(a.samples))
}

func TestTargetKeepsItsPlacesAndCache(t *testing.T) {
	is := is.New(t)
	g := &target{clock: &clock{}, slow: 1}
	ended := 0
	for range targetSlots + 1 {
		g.submit(&job{cost: targetRate / targetSlots, prefix: 5, done: func(time.Duration, attemptOutcome) { ended++ }})
	}
	is.Equal(g.load().Running, targetSlots)
	is.True(g.load().Queued > 0)
	g.run(time.Second)
	is.Equal(ended, targetSlots) // the last began when the first hit ended
	is.Equal(g.hits, targetSlots)
}
