package expert

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shiftingGroup is a group whose demand shifts to other experts, replayed in virtual time.
type shiftingGroup struct {
	group  *Group
	rng    *rand.Rand
	common [][]float64
	loads  [][]float64
	maps   []Map
}

// newShiftingGroup returns a group of 32 ranks and 12 layers with a map that fits its loads. A
// part of the demand is common to all mixes.
func newShiftingGroup(seed uint64) *shiftingGroup {
	s := &shiftingGroup{group: &Group{Ranks: make([]Rank, 32), Experts: 128, Slots: 5}, rng: rand.New(rand.NewPCG(seed, 2))}
	for i := range s.group.Ranks {
		s.group.Ranks[i].Server = string(rune('a' + i))
	}
	for range 12 {
		s.common = append(s.common, skewed(s.rng, s.group.Experts))
		s.maps = append(s.maps, roundRobin(s.group))
	}
	s.shift()
	for range 12 {
		s.maps, _, _ = Rebalance(s.group, s.maps, s.loads, Limits{PerLayer: 2, PerRank: 2, TargetSkew: 1.1})
	}
	return s
}

// shift replaces 30 in 100 of the demand.
func (s *shiftingGroup) shift() {
	s.loads = nil
	for _, common := range s.common {
		topic, mix := skewed(s.rng, s.group.Experts), make([]float64, s.group.Experts)
		for e := range mix {
			mix[e] = 0.7*common[e] + 0.3*topic[e]
		}
		s.loads = append(s.loads, mix)
	}
}

func (s *shiftingGroup) skew() float64 {
	total := 0.0
	for l, m := range s.maps {
		total += m.Skew(s.group, s.loads[l])
	}
	return total / float64(len(s.maps))
}

// settle changes the maps until nothing is to be gained, each change taking rest beside its
// copies, and returns how long the skew was above 1.4, the largest number of copies of a rank in a
// change, the number of all copies, and the time that an even load would have saved, in even
// passes, within two seconds.
func (s *shiftingGroup) settle(lim Limits, rest time.Duration) (above time.Duration, most, all int, excess float64) {
	left := 2.0
	for range 10 {
		skew := s.skew()
		next, before, after := Rebalance(s.group, s.maps, s.loads, lim)
		if before-after < 0.1 {
			break
		}
		copies := s.copies(next)
		most = max(most, copies)
		for l := range next {
			all += len(Diff(s.group, l, s.maps[l], next[l]))
		}
		took := rest + time.Duration(copies)*lim.ChangeTime.Copy
		lim.ChangeTime.Observe(took, copies)
		s.maps = next
		excess += (skew-1)*took.Seconds() + copySlowdown*skew*(took-rest).Seconds()
		left -= took.Seconds()
		if skew >= 1.4 {
			above += took
		}
	}
	return above, most, all, excess + (s.skew()-1)*left
}

// copies returns the largest number of experts that are new to a rank.
func (s *shiftingGroup) copies(next []Map) int {
	byRank, most := make([]int, len(s.group.Ranks)), 0
	for l := range next {
		for _, m := range Diff(s.group, l, s.maps[l], next[l]) {
			byRank[m.Rank]++
			most = max(most, byRank[m.Rank])
		}
	}
	return most
}

// Guards against a shift that takes change after change, since each copies one expert to a rank
// though the copy is a sixth of the time of the change.
func TestChangesCopyWhatShortensAShift(t *testing.T) {
	const (
		copyTime = 36500 * time.Microsecond
		rest     = 185 * time.Millisecond
	)
	is := is.New(t)
	var slow, fast time.Duration
	var before, after float64
	var copiesBefore, copiesAfter int
	for seed := range uint64(8) {
		lim := Limits{PerLayer: 2, PerRank: 1, MinGain: 0.1, TargetSkew: 1.1}
		lim.ChangeTime.Copy = copyTime
		lim.ChangeTime.Observe(rest+copyTime, 1)
		fixed, grown := newShiftingGroup(seed), newShiftingGroup(seed)
		fixed.shift()
		grown.shift()
		above, one, all, excess := fixed.settle(lim, rest)
		slow, copiesBefore, before = slow+above, copiesBefore+all, before+excess
		lim.MaxPerRank = 4
		above, most, all, excess := grown.settle(lim, rest)
		fast, copiesAfter, after = fast+above, copiesAfter+all, after+excess
		is.Equal(one, 1)
		is.True(most > 1)
	}
	t.Logf("skew above 1.4 for %v and %v, %d and %d copies, excess %.2f s and %.2f s", slow, fast, copiesBefore, copiesAfter, before, after)
	is.True(fast < slow*3/4)
	is.True(copiesAfter <= copiesBefore)
	is.True(after < 1.05*before)
}

// Guards against copies that delay a change for longer than the balance that they bring lasts.
func TestSlowCopiesAreNotMultiplied(t *testing.T) {
	is := is.New(t)
	for _, c := range []ChangeTime{
		{Copy: 400 * time.Millisecond, Rest: 200 * time.Millisecond},
		{Copy: 36500 * time.Microsecond}, // The time of a change is not known yet.
	} {
		s := newShiftingGroup(1)
		s.shift()
		lim := Limits{PerLayer: 2, PerRank: 1, TargetSkew: 1.1, ChangeTime: c}
		want, _, _ := Rebalance(s.group, s.maps, s.loads, lim)
		lim.MaxPerRank = 4
		got, _, _ := Rebalance(s.group, s.maps, s.loads, lim)
		is.Equal(got, want)
	}
}

// Guards against copies that hardly change the skew: each moves hundreds of megabytes to all ranks.
func TestCopiesThatSaveLittleAreLeftOut(t *testing.T) {
	is := is.New(t)
	s := newShiftingGroup(1)
	s.shift()
	lim := Limits{PerLayer: 2, PerRank: 1, MaxPerRank: 4, MinGain: 0.1, TargetSkew: 1.1}
	lim.ChangeTime = ChangeTime{Copy: 36500 * time.Microsecond, Rest: 185 * time.Millisecond}
	for range 10 {
		one := lim
		one.MaxPerRank = 0
		next, before, after := Rebalance(s.group, s.maps, s.loads, lim)
		_, _, least := Rebalance(s.group, s.maps, s.loads, one)
		copies := s.copies(next)
		t.Logf("%.2f to %.2f with %d copies, %.2f with one", before, after, copies, least)
		is.True(copies <= 1 || least-after >= lim.MinGain*float64(copies-1))
		if before-after < lim.MinGain {
			break
		}
		s.maps = next
	}
}

// Guards against a change time that includes its copies, or that one late change keeps long.
func TestChangeTimeLeavesOutCopies(t *testing.T) {
	is := is.New(t)
	c := ChangeTime{Copy: 40 * time.Millisecond}
	c.Observe(240*time.Millisecond, 1)
	is.Equal(c.Rest, 200*time.Millisecond)
	c.Observe(360*time.Millisecond, 4)
	is.Equal(c.Rest, 200*time.Millisecond)
	c.Observe(2040*time.Millisecond, 1)
	for range 4 {
		c.Observe(240*time.Millisecond, 1)
	}
	is.True(c.Rest < 300*time.Millisecond)
	c.Observe(10*time.Millisecond, 1)
	is.True(c.Rest > 0)
}

// Guards against copies that make the long passes of a shift longer than callers allow.
func TestCopiesLeaveRoomInAPass(t *testing.T) {
	const gap = 150 * time.Millisecond
	for _, c := range []struct {
		name string
		// measured is the time of a pass at the skew before, of which after is the present one.
		measured      time.Duration
		before, after float64
		least, most   time.Duration
	}{
		{"short passes", 40 * time.Millisecond, 1.2, 2, time.Second, math.MaxInt64},
		{"a shift at high load", 70 * time.Millisecond, 1.2, 2.4, 60 * time.Millisecond, 70 * time.Millisecond},
		{"a larger one", 70 * time.Millisecond, 1.2, 2.6, 0, 0},
		{"once the skew is lower", 134 * time.Millisecond, 2.4, 1.6, 100 * time.Millisecond, 110 * time.Millisecond},
		{"too long as it is", 160 * time.Millisecond, 1.5, 1.5, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			f := PassForecast{Window: 500 * time.Millisecond}
			f.Observe(now, 1) // too long ago to count
			for range 3 {
				now = now.Add(200 * time.Millisecond)
				f.Observe(now, c.before)
			}
			f.Observe(now.Add(200*time.Millisecond), c.after)
			room := CopyRoom(f.Pass(c.measured), gap)
			t.Log(room)
			is.True(room >= c.least)
			is.True(room <= c.most)
		})
	}
	is := is.New(t)
	var f PassForecast
	is.Equal(f.Pass(gap), gap)
	is.Equal(CopyRoom(gap, 0), time.Duration(0)) // the gap is not known
}
