package groups

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenashift/core/experts/expert"
)

// The size of the simulated traces. It was fixed before the first run of a policy
// and is not tuned to any.
const (
	intervals = 240 // of a minute: four hours
	interval  = time.Minute
	layers    = 4
	experts   = 128
	ranks     = 256
	seed      = 20261201

	// popularity is the standard deviation of the logarithm of an expert's
	// popularity. The most popular of 128 experts then has about 6 times the
	// mean.
	popularity = 0.8
	// noise is the relative standard deviation of an expert's load in one
	// interval. At 300 requests a second of a group, and a deviation of the
	// share of one request as large as its mean, it is 0.75%.
	noise = 0.01
	// drift is the standard deviation of the relative change of an expert's load
	// per minute. Mean reversion keeps the spread of popularity constant.
	drift     = 0.015
	smallStep = 0.005

	// Protected requests: arrivals per minute, and the fraction of those in
	// progress that ends in a minute.
	protectedArrivals = 1.2
	protectedEnding   = 0.2
)

// trace is one simulated load trace: the true loads and the reports of them.
type trace struct {
	name string
	// loads are the true loads by interval, layer and expert.
	loads [][][]float64
	// lag is the age of the newest report in intervals.
	lag int
	// lost marks the reports that never arrive, by interval and layer, and gaps
	// the experts that are missing from a report.
	lost      [][]bool
	gaps      [][][]bool
	protected []int
}

// report returns the report on a layer that arrives at the end of interval t: the
// number of an earlier interval and its loads, with NaN in the gaps. The loads
// are nil if there is no report.
func (tr *trace) report(t, layer int) (int, []float64) {
	u := t - tr.lag
	if u < 0 || (tr.lost != nil && tr.lost[u][layer]) {
		return u, nil
	}
	loads := slices.Clone(tr.loads[u][layer])
	if tr.gaps != nil {
		for e, gap := range tr.gaps[u][layer] {
			if gap {
				loads[e] = math.NaN()
			}
		}
	}
	return u, loads
}

// layer returns the loads of layer l of a model with more layers than are
// simulated. Further layers are simulated layers at a later time.
func (tr *trace) layer(t, l int) []float64 {
	return tr.loads[(t+l/layers*plans)%intervals][l%layers]
}

// Indexes of traces in the result of traces.
const (
	slowDrift = iota + 1
	suddenSwap
	_ // hot-expert
	lagAndGaps
)

// traces returns the load traces generated from a seed.
func traces(seed uint64) []*trace {
	return []*trace{
		newTrace("captions-obituaries", seed, 1, drift/3, func(t int) float64 { return logistic(t, 120, 30) }, nil),
		newTrace("slow-drift", seed+1, 1, drift, nil, nil),
		newTrace("sudden-swap", seed+2, 1, drift/3, func(t int) float64 {
			if t >= 80 && t < 160 {
				return 1
			}
			return 0
		}, nil),
		newTrace("hot-expert", seed+3, 1, drift/3, nil, hot),
		withLostReports(newTrace("lag-and-gaps", seed+4, 3, drift, func(t int) float64 { return logistic(t, 120, 30) }, nil), seed+5),
	}
}

// logistic returns a logistic function of t that rises from 0 to 1 around the
// centre. The rise from 10% to 90% takes width intervals.
func logistic(t, centre, width int) float64 {
	const spread = 4.394 // ln 81: from 10% to 90%
	return 1 / (1 + math.Exp(-spread*float64(t-centre)/float64(width)))
}

// hot returns the load factor of the hot expert: it rises to 8 within five
// minutes, stays there for an hour and falls again.
func hot(t int) float64 {
	const (
		start, rise, stay = 90, 5, 60
		factor            = 8.0
	)
	up := math.Min(math.Max(float64(t-start)/rise, 0), 1)
	down := math.Min(math.Max(float64(t-start-rise-stay)/rise, 0), 1)
	return 1 + (factor-1)*(up-down)
}

// newTrace returns a trace in which the popularity of experts follows a random
// walk. If blend is not nil, it shifts the load from a first to a second mix of
// popularities; if hot is not nil, it multiplies the load of one expert of each
// layer.
func newTrace(name string, seed uint64, lag int, step float64, blend, hot func(t int) float64) *trace {
	rng := rand.New(rand.NewPCG(seed, 0))
	tr := &trace{name: name, lag: lag, loads: make([][][]float64, intervals)}
	type mix struct{ first, second, wander []float64 }
	state := make([]mix, layers)
	chosen := make([]int, layers)
	for l := range state {
		state[l] = mix{normals(rng), normals(rng), make([]float64, experts)}
		chosen[l] = rng.IntN(experts)
	}
	back := step * step / (2 * popularity * popularity)
	for t := range tr.loads {
		tr.loads[t] = make([][]float64, layers)
		for l := range state {
			loads := make([]float64, experts)
			for e := range loads {
				w := &state[l].wander[e]
				*w += step*rng.NormFloat64() - back**w
				loads[e] = math.Exp(popularity*state[l].first[e] + *w)
				if blend != nil {
					b := blend(t)
					loads[e] = (1-b)*loads[e] + b*math.Exp(popularity*state[l].second[e]+*w)
				}
				loads[e] *= 1 + noise*rng.NormFloat64()
			}
			if hot != nil {
				loads[chosen[l]] *= hot(t)
			}
			tr.loads[t][l] = loads
		}
	}
	tr.protected = protectedWork(rng)
	return tr
}

func normals(rng *rand.Rand) []float64 {
	values := make([]float64, experts)
	for i := range values {
		values[i] = rng.NormFloat64()
	}
	return values
}

// protectedWork returns the number of protected requests in progress by interval:
// they arrive at random and end after a random time, with 6 in progress on
// average.
func protectedWork(rng *rand.Rand) []int {
	work := make([]int, intervals)
	n := int(protectedArrivals / protectedEnding)
	for t := range work {
		ended := 0
		for range n {
			if rng.Float64() < protectedEnding {
				ended++
			}
		}
		n -= ended
		for wait := rng.ExpFloat64(); wait < protectedArrivals; wait += rng.ExpFloat64() {
			n++
		}
		work[t] = n
	}
	return work
}

// withLostReports removes three of ten reports from tr, and one of twenty experts
// from each of the others.
func withLostReports(tr *trace, seed uint64) *trace {
	const (
		lostReports = 0.3
		lostExperts = 0.05
	)
	rng := rand.New(rand.NewPCG(seed, 0))
	tr.lost = make([][]bool, intervals)
	tr.gaps = make([][][]bool, intervals)
	for t := range tr.loads {
		tr.lost[t] = make([]bool, layers)
		tr.gaps[t] = make([][]bool, layers)
		for l := range layers {
			tr.lost[t][l] = rng.Float64() < lostReports
			tr.gaps[t][l] = make([]bool, experts)
			for e := range experts {
				tr.gaps[t][l][e] = rng.Float64() < lostExperts
			}
		}
	}
	return tr
}

// The hardware of the simulated group.
const (
	ranksPerServer = 8
	zones          = 3
	expertBytes    = 44 << 20
	storeRate      = 20 << 30 // bytes a second, for all layers of the model
	modelLayers    = 58
	// switching is the time from the loading of the last byte to the switch.
	switching = 5 * time.Second
)

// newGroup returns a group whose servers are spread over three availability
// zones.
func newGroup(ranks, slots int) *expert.Group {
	g := &expert.Group{Experts: experts, Slots: slots, ExpertBytes: expertBytes, StoreRate: storeRate}
	for r := range ranks {
		server := r / ranksPerServer
		g.Ranks = append(g.Ranks, expert.Rank{
			Server: fmt.Sprintf("server-%d", server),
			Zone:   fmt.Sprintf("zone-%d", server%zones),
		})
	}
	return g
}
