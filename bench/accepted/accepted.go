// Package accepted stores the last accepted benchmark figures and compares new
// figures with them.
//
// # Usage
//
//	set, err := accepted.Load("bench/accepted/figures.json")
//	for _, p := range set.Check("routing", figures) {
//		fmt.Println(p) // p.Fatal fails the run
//	}
//	set.Set("routing", figures)
//	err = set.Save("bench/accepted/figures.json")
package accepted

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io/fs"
	"math"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"verbenashift/bench/figure"
)

// Tolerance is the fraction of its accepted value by which a figure may
// regress, even while it is within its bound.
const Tolerance = 0.25

// Figure is one accepted figure.
type Figure struct {
	Suite  string  `json:"suite"`
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Bound  float64 `json:"bound"`
	Better string  `json:"better,omitempty"`
	Gate   bool    `json:"gate"`
}

// Set holds all accepted figures, sorted by suite and name.
type Set struct {
	Figures []Figure
}

// Problem describes a figure that violates its bound, has regressed, has lost
// its gate or is missing.
type Problem struct {
	// Name is the name of the figure.
	Name string
	// Text describes the problem.
	Text string
	// Fatal makes the problem fail the run; other problems are only reported.
	Fatal bool
}

// String returns the problem as one line.
func (p Problem) String() string {
	kind := "note"
	if p.Fatal {
		kind = "FAIL"
	}
	return fmt.Sprintf("%s: %s: %s", kind, p.Name, p.Text)
}

// Load reads a set from a file; a file that does not exist is an empty set.
func Load(name string) (*Set, error) {
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return &Set{}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read accepted figures")
	}
	var s Set
	if err := json.Unmarshal(data, &s.Figures); err != nil {
		return nil, errors.Wrapf(err, "accepted figures in %s", name)
	}
	return &s, nil
}

// Save writes the set to a file with one figure per line, so that a diff shows
// which figures have changed.
func (s *Set) Save(name string) error {
	var b bytes.Buffer
	b.WriteString("[\n")
	for i, f := range s.Figures {
		line, err := json.Marshal(f)
		if err != nil {
			return errors.Wrapf(err, "encode %s", f.Name)
		}
		b.Write(line)
		if i < len(s.Figures)-1 {
			b.WriteByte(',')
		}
		b.WriteByte('\n')
	}
	b.WriteString("]\n")
	if err := os.WriteFile(name, b.Bytes(), 0o644); err != nil {
		return errors.Wrap(err, "write accepted figures")
	}
	return nil
}

// Set replaces the figures of one suite.
func (s *Set) Set(suite string, figures []figure.Figure) {
	s.Figures = slices.DeleteFunc(s.Figures, func(f Figure) bool { return f.Suite == suite })
	for _, f := range figures {
		s.Figures = append(s.Figures, Figure{
			Suite: suite, Name: f.Name, Value: round(f.Value), Unit: f.Unit, Bound: f.Bound, Better: f.Better, Gate: f.Gate,
		})
	}
	slices.SortStableFunc(s.Figures, func(a, b Figure) int {
		return cmp.Or(cmp.Compare(a.Suite, b.Suite), cmp.Compare(a.Name, b.Name))
	})
}

// round rounds v to four significant digits: more would only add noise to a
// diff.
func round(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return v
	}
	scale := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// Check compares the figures of a suite with their bounds and with the accepted
// figures. It also reports accepted figures that are no longer measured.
func (s *Set) Check(suite string, figures []figure.Figure) []Problem {
	var problems []Problem
	measured := make(map[string]bool, len(figures))
	for _, f := range figures {
		measured[f.Name] = true
		old, found := s.find(suite, f.Name)
		if p, ok := check(f, old, found); ok {
			problems = append(problems, p)
		}
	}
	for _, old := range s.Figures {
		if old.Suite == suite && !measured[old.Name] {
			problems = append(problems, Problem{old.Name, "was accepted and is no longer measured", old.Gate})
		}
	}
	return problems
}

func (s *Set) find(suite, name string) (Figure, bool) {
	for _, f := range s.Figures {
		if f.Suite == suite && f.Name == name {
			return f, true
		}
	}
	return Figure{}, false
}

// check returns the problem of one figure, if it has one.
func check(f figure.Figure, old Figure, known bool) (Problem, bool) {
	if !f.OK() {
		return Problem{f.Name, fmt.Sprintf("%.4g %s, bound %.4g", f.Value, f.Unit, f.Bound), f.Gate}, true
	}
	if known && old.Gate && !f.Gate {
		return Problem{f.Name, "was gated and no longer is", true}, true
	}
	if known && regressed(f, old.Value) {
		return Problem{f.Name, fmt.Sprintf("%.4g %s, accepted %.4g", f.Value, f.Unit, old.Value), f.Gate}, true
	}
	return Problem{}, false
}

// regressed reports whether f has regressed from its accepted value by more than
// the tolerance.
func regressed(f figure.Figure, old float64) bool {
	tolerance := math.Abs(old) * Tolerance
	switch f.Better {
	case figure.Lower:
		return f.Value > old+tolerance
	case figure.Higher:
		return f.Value < old-tolerance
	default:
		return false
	}
}
