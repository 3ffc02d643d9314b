package accepted_test

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"verbenashift/bench/accepted"
	"verbenashift/bench/figure"
)

func TestCheck(t *testing.T) {
	set := &accepted.Set{}
	set.Set("s", []figure.Figure{
		{Name: "allocs", Value: 1, Bound: 2, Better: figure.Lower, Gate: true},
		{Name: "rate", Value: 100, Bound: 50, Better: figure.Higher, Gate: true},
		{Name: "time", Value: 10, Bound: 50, Better: figure.Lower},
	})
	allocs := figure.Figure{Name: "allocs", Value: 1, Bound: 2, Better: figure.Lower, Gate: true}
	rate := figure.Figure{Name: "rate", Value: 100, Bound: 50, Better: figure.Higher, Gate: true}
	time := figure.Figure{Name: "time", Value: 10, Bound: 50, Better: figure.Lower}
	tests := []struct {
		name     string
		change   func(allocs, rate, time *figure.Figure)
		problems int
		fatal    bool
	}{
		{"same", func(_, _, _ *figure.Figure) {}, 0, false},
		{"better", func(a, r, _ *figure.Figure) { a.Value, r.Value = 0, 1000 }, 0, false},
		{"within tolerance", func(a, r, _ *figure.Figure) { a.Value, r.Value = 1.24, 76 }, 0, false},
		{"over the bound", func(a, _, _ *figure.Figure) { a.Value = 2.1 }, 1, true},
		{"worse within the bound", func(a, _, _ *figure.Figure) { a.Value = 1.3 }, 1, true},
		{"under a lower bound", func(_, r, _ *figure.Figure) { r.Value = 49 }, 1, true},
		{"lower within the bound", func(_, r, _ *figure.Figure) { r.Value = 74 }, 1, true},
		{"time only informs", func(_, _, x *figure.Figure) { x.Value = 60 }, 1, false},
		{"gate removed", func(a, _, _ *figure.Figure) { a.Gate = false }, 1, true},
		{"no longer measured", func(a, _, _ *figure.Figure) { a.Name = "other" }, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, r, x := allocs, rate, time
			tt.change(&a, &r, &x)
			got := set.Check("s", []figure.Figure{a, r, x})
			is.Equal(len(got), tt.problems)
			fatal := false
			for _, p := range got {
				fatal = fatal || p.Fatal
			}
			is.Equal(fatal, tt.fatal)
		})
	}
}

func TestSaveAndLoad(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "figures.json")
	empty, err := accepted.Load(name)
	is.NoErr(err)
	is.Equal(len(empty.Figures), 0)
	empty.Set("b", []figure.Figure{{Name: "y", Value: 123456}, {Name: "x", Value: 0.00123456}})
	empty.Set("a", []figure.Figure{{Name: "z", Value: 1}})
	is.NoErr(empty.Save(name))
	again, err := accepted.Load(name)
	is.NoErr(err)
	is.Equal(again.Figures, []accepted.Figure{
		{Suite: "a", Name: "z", Value: 1},
		{Suite: "b", Name: "x", Value: 0.001235},
		{Suite: "b", Name: "y", Value: 123500},
	})
}
