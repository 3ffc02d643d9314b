package intent

import (
	"cmp"
	"context"
	"math"
	"slices"

	"verbenashift/core/configuration/config"
)

// The degrees of confidence in a forecast.
const (
	// ConfidenceNone says that there is nothing to forecast from.
	ConfidenceNone = "none"
	// ConfidenceAssumed says that the load was assumed and not measured.
	ConfidenceAssumed = "assumed"
	// ConfidenceMeasured says that the forecast comes from measured loads.
	ConfidenceMeasured = "measured"
)

// Forecast is the expected effect of a plan.
type Forecast struct {
	// SkewBefore and SkewAfter are the load of the busiest rank over the mean
	// load, 1 at best; 0 means unknown.
	SkewBefore float64 `json:"skew-before"`
	SkewAfter  float64 `json:"skew-after"`
	// Bytes and Seconds are the cost of the moves; Seconds is 0 if the rate of
	// the weight store is unknown.
	Bytes   int64   `json:"bytes"`
	Seconds float64 `json:"seconds"`
	// Confidence is "none", "assumed" or "measured", and Note says why.
	Confidence string `json:"confidence"`
	Note       string `json:"note,omitempty"`
}

// Forecaster estimates the effect of a change of the configuration.
type Forecaster interface {
	Forecast(ctx context.Context, cur, next config.Config, in Intent) (Forecast, error)
}

// Estimator is a Forecaster without measured loads. It assumes that the
// popularity of a layer's experts is inversely proportional to their rank by
// popularity, that replicas are distributed uniformly now, and that the planner
// makes a part of the moves towards the best placement that grows with the
// weight of skew.
type Estimator struct {
	// ExpertBytes is the size of one expert of one layer; 0 leaves the bytes
	// of the moves unknown.
	ExpertBytes int64
	// BytesPerSecond is the rate of the weight store; 0 leaves the time of the
	// moves unknown.
	BytesPerSecond float64
}

const assumedNote = "no load has been measured: popularity is assumed to fall as one over the expert's order"

// Forecast returns the estimate for the groups of the intent's models: the
// highest skew and the sum of the moves.
func (e Estimator) Forecast(_ context.Context, _, next config.Config, in Intent) (Forecast, error) {
	f := Forecast{Confidence: ConfidenceNone, Note: "no expert-parallel group takes part"}
	for _, g := range in.Groups(next) {
		f.Confidence, f.Note = ConfidenceAssumed, assumedNote
		e.add(&f, g)
	}
	f.SkewBefore, f.SkewAfter = round(f.SkewBefore), round(f.SkewAfter)
	if e.BytesPerSecond > 0 {
		f.Seconds = float64(f.Bytes) / e.BytesPerSecond
	}
	return f, nil
}

// round rounds to two decimals, as an assumed load justifies no more.
func round(x float64) float64 { return math.Round(x*100) / 100 }

func (e Estimator) add(f *Forecast, g config.Group) {
	loads := assumedLoads(g.Experts)
	before, after := uniformReplicas(g), replicasByLoad(g, loads)
	skewBefore, skewAfter := placeSkew(g, loads, before), placeSkew(g, loads, after)
	part := 1.0
	if g.SkewWeight+g.CostWeight > 0 {
		part = g.SkewWeight / (g.SkewWeight + g.CostWeight)
	}
	moved := 0
	for i := range after {
		moved += max(0, after[i]-before[i])
	}
	f.SkewBefore = max(f.SkewBefore, skewBefore)
	f.SkewAfter = max(f.SkewAfter, skewBefore-part*(skewBefore-skewAfter))
	f.Bytes += int64(part * float64(moved*g.Layers) * float64(e.ExpertBytes))
}

func assumedLoads(experts int) []float64 {
	loads := make([]float64, experts)
	for i := range loads {
		loads[i] = 1 / float64(i+1)
	}
	return loads
}

func uniformReplicas(g config.Group) []int {
	n := make([]int, g.Experts)
	for slot := range g.Ranks * g.SlotsPerRank {
		n[slot%g.Experts]++
	}
	return n
}

// replicasByLoad gives each free slot to the expert with the highest load per
// replica.
func replicasByLoad(g config.Group, loads []float64) []int {
	n := make([]int, g.Experts)
	for i := range n {
		n[i] = 1
	}
	for range g.Ranks*g.SlotsPerRank - g.Experts {
		busiest := 0
		for i := range n {
			if loads[i]/float64(n[i]) > loads[busiest]/float64(n[busiest]) {
				busiest = i
			}
		}
		n[busiest]++
	}
	return n
}

// placeSkew assigns each replica, in order of falling load, to the least loaded
// rank that has a free slot, and returns the skew.
func placeSkew(g config.Group, loads []float64, replicas []int) float64 {
	var parts []float64
	total := 0.0
	for i, n := range replicas {
		total += loads[i]
		for range n {
			parts = append(parts, loads[i]/float64(n))
		}
	}
	slices.SortFunc(parts, func(a, b float64) int { return cmp.Compare(b, a) })
	ranks, used := make([]float64, g.Ranks), make([]int, g.Ranks)
	for _, p := range parts {
		r := leastLoaded(ranks, used, g.SlotsPerRank)
		ranks[r] += p
		used[r]++
	}
	return slices.Max(ranks) * float64(g.Ranks) / total
}

func leastLoaded(ranks []float64, used []int, slots int) int {
	best := -1
	for r := range ranks {
		if used[r] < slots && (best < 0 || ranks[r] < ranks[best]) {
			best = r
		}
	}
	return best
}
