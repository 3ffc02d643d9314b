package steering

import (
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/experts/group"
	"verbenashift/core/membership/lease"
)

// One rank's engine continues with its old map after a switch for which it was
// armed. No message shows this; callers get wrong answers until the ranks'
// reports are compared.
func TestMixedStepIsDetected(t *testing.T) {
	at := func(sequence uint64, v group.Version, next uint64) group.RankState {
		n := lease.Number{Fence: 1, Sequence: sequence}
		return group.RankState{Epoch: lease.Number{Fence: 1, Sequence: 1}, Since: n, Version: v, Next: next}
	}
	type report struct {
		from  string
		state group.RankState
	}
	for _, tt := range []struct {
		name    string
		reports []report
		culprit string
	}{
		{"on one map", []report{{"a", at(1, 1, 9)}, {"b", at(1, 1, 12)}}, ""},
		{"b has not come to the step", []report{{"a", at(5, 2, 11)}, {"b", at(1, 1, 10)}}, ""},
		{"late report of before", []report{{"a", at(5, 2, 40)}, {"b", at(5, 2, 41)}, {"b", at(1, 1, 10)}}, ""},
		{"b went on", []report{{"a", at(5, 2, 11)}, {"b", at(1, 1, 11)}}, "b"},
		{"b's report first", []report{{"b", at(1, 1, 11)}, {"a", at(5, 2, 11)}}, "b"},
		{"seen by the earlier report", []report{{"a", at(5, 2, 11)}, {"a", at(5, 2, 90)}, {"b", at(1, 1, 20)}}, "b"},
		{"b's late report last", []report{{"b", at(1, 1, 20)}, {"b", at(1, 1, 9)}, {"a", at(5, 2, 15)}}, "b"},
		{"the same map again", []report{{"a", at(5, 1, 11)}, {"b", at(1, 1, 20)}}, ""},
		{"another epoch", []report{
			{"a", at(5, 2, 11)},
			{"b", group.RankState{Epoch: lease.Number{Fence: 2}, Since: lease.Number{Fence: 2}, Version: 1, Next: 20}},
		}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var w mixedStepDetector
			culprit, times := "", 0
			replay := func() {
				for _, r := range tt.reports {
					if name, found := w.observe(r.from, r.state); found {
						culprit, times = name, times+1
					}
				}
			}
			replay()
			is.Equal(culprit, tt.culprit)
			replay() // repeated reports are not counted again
			is.Equal(times == 1, tt.culprit != "")
		})
	}
}
