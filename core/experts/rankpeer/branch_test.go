package rankpeer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
)

// randomState returns a random state of a rank during a change of map.
func randomState(rng *rand.Rand, rank int) engine.State {
	return engine.State{
		Group: "g", Epoch: rng.Int64N(4), Born: 1_790_000_000_000 + rng.Int64N(5000), Rank: rank, Size: 192, Open: rng.IntN(9) > 0,
		Seq: rng.Int64N(3), Step: rng.Int64N(100), Map: rng.Int64N(1 << 40), Prepared: rng.Int64N(1 << 40), ArmedMap: rng.Int64N(2) * 77,
		ArmedStep: rng.Int64N(100), Held: rng.Int64N(3), Busy: rng.IntN(2) == 0, Running: rng.IntN(12), Queued: rng.IntN(40),
		Pace: float64(rng.IntN(5000)) / packedPaceUnit,
	}
}

func TestStatesRoundTrip(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 40 {
		var states []engine.State
		for r := range n {
			states = append(states, randomState(rng, r))
		}
		packed := PackStates(states)
		got, ok := packed.Unpack("g", n)
		is.True(ok)
		for i := range states {
			is.Equal(got[i], states[i])
		}
	}
}

// Guards against taking the state of one rank for that of another.
func TestMalformedStates(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(2, 1))
	packed := PackStates([]engine.State{randomState(rng, 0), randomState(rng, 1)})
	for _, count := range []int{-1, 0, 1, 3, 1 << 40} {
		_, ok := packed.Unpack("g", count)
		is.True(!ok)
	}
	for cut := range len(packed) {
		_, ok := packed[:cut].Unpack("g", 2)
		is.True(!ok)
	}
}

// Guards against states that saturate the coordinator's link in a large group.
func TestStatesOfAStableGroupAreSmall(t *testing.T) {
	is := is.New(t)
	var states []engine.State
	for r := range 192 {
		states = append(states, engine.State{
			Group: "g", Epoch: 2, Born: 1_790_000_000_000 + int64(r*7), Rank: r, Size: 192, Open: true, Step: 812, Map: 9 << 20, Prepared: 9 << 20,
			Running: 4 + r%3, Pace: 1,
		})
	}
	const most = 24 // bytes a rank, a tenth of a message of its own
	is.True(len(PackStates(states)) <= most*len(states))
}

// Guards against losing or confusing the responses of the members of a branch.
func TestResponsesOfABranch(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 1))
	announced := lockstep.Announcement{Group: engine.GroupID{Name: "g", Epoch: 3}, Term: 40}
	one, two := randomState(rng, 5), randomState(rng, 7)
	responses := []Response{
		{Group: announced.Group, Term: 40, Answered: true, Known: true, State: one, Status: 202, Sample: NewSample(nil, []int64{3, 0})},
		{},
		{Group: engine.GroupID{Name: "g", Epoch: 4}, Term: 40, Answered: true, Refused: lockstep.OlderEpoch},
		{Answered: true, Refused: lockstep.NoMembership},
		{Group: announced.Group, Term: 41, Answered: true, Refused: lockstep.NewerCoordinator},
		{Group: announced.Group, Term: 40, Answered: true, Known: true, State: two, NeedMap: true, Sample: NewSample(nil, []int64{1, 9})},
	}
	packed := PackResponses(announced, responses)
	got, ok := packed.Unpack(announced, len(responses))
	is.True(ok)
	for i := range responses {
		want := responses[i]
		want.Sample = nil
		if want.Refused == lockstep.NoMembership {
			want.Term = 40
		}
		is.Equal(got[i], want)
	}
	sum := make([]float64, 2)
	packed.Sample.AddTo(sum)
	is.True(sum[1] == 9 && sum[0] >= 3 && sum[0] <= 5) // 4, rounded to a fifteenth of 9
	_, ok = packed.Unpack(announced, len(responses)-1)
	is.True(!ok)
}

// Guards against sums of counts that are biased by the rounding at relays.
func TestSumsOfSamplesAreUnbiased(t *testing.T) {
	is := is.New(t)
	counts := [][]int64{{10, 1, 0, 300}, {7, 0, 2, 20}, {1, 1, 1, 1}}
	want := []float64{18, 2, 3, 321}
	const rounds = 4000
	got := make([]float64, len(want))
	for range rounds {
		var samples []*Sample
		for _, c := range counts {
			samples = append(samples, NewSample(nil, c))
		}
		SumSamples(samples).AddTo(got)
	}
	for e := range want {
		mean := got[e] / rounds
		is.True(mean > want[e]-2 && mean < want[e]+2) // the step of a sum is 21
	}
	is.Equal(SumSamples(nil), nil)
	odd := []*Sample{NewSample(nil, []int64{4, 4}), NewSample(nil, []int64{9})}
	is.Equal(SumSamples(odd).Experts, 2) // one of another length is ignored
}

func members(zones, each int) []Member {
	var out []Member
	for z := range zones {
		for i := range each {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i / 250), byte(i % 250)}), 80)
			out = append(out, Member{ID: fmt.Sprintf("i-%d-%d", z, i), Addr: addr, Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return out
}

// Guards against an agent of a large group that talks to all others.
func TestBranchesOfAGroup(t *testing.T) {
	for name, tt := range map[string]struct{ zones, each, branches, width int }{
		"16 ranks, queried one by one": {1, 16, 16, 1},
		"32 ranks":                     {2, 16, 32, 1},
		"72 ranks":                     {3, 24, 9, 8},
		"192 ranks":                    {5, 38, 15, 13},
		"256 ranks":                    {4, 64, 16, 16},
		"768 ranks":                    {3, 256, 30, 26},
		"one zone each":                {40, 1, 40, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := members(tt.zones, tt.each)
			parts := Split(all)
			is.Equal(len(parts), tt.branches)
			seen := map[string]bool{}
			for _, part := range parts {
				is.True(len(part) <= tt.width)
				for _, m := range part {
					is.Equal(m.Zone, part[0].Zone)
					is.True(!seen[m.ID])
					seen[m.ID] = true
				}
			}
			is.Equal(len(seen), len(all))
			rand.New(rand.NewPCG(4, 1)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			is.Equal(Split(all), parts) // whichever agent is the coordinator
		})
	}
}

// Guards against a shape from the wire that is invalid or exhausts the memory.
func TestFirstMap(t *testing.T) {
	is := is.New(t)
	m, ok := FirstMap(Shape{Layers: 2, Ranks: 3, Places: 2, Experts: 5}).Unpack()
	is.True(ok)
	is.Equal(m, [][][]int{{{0, 3}, {1, 4}, {2}}, {{0, 3}, {1, 4}, {2}}})
	for _, s := range []Shape{{}, {1, 1, 1, 2}, {-1, 3, 2, 4}, {1 << 30, 1 << 30, 1 << 30, 1}, {1, 1 << 40, 1, 1}} {
		is.True(FirstMap(s) == nil)
	}
	a, b := Pack([][][]int{{{1}, {2}}}, 2), Pack([][][]int{{{2}, {1}}}, 2)
	is.True(a.Hash() != b.Hash())
	is.Equal(a.Hash(), Pack([][][]int{{{1}, {2}}}, 2).Hash())
}
