package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an entry with a fault of its own link that takes a target from all.
func TestOneEntryConvincesNobodyElse(t *testing.T) {
	is := is.New(t)
	var d Suspicions
	targets := []string{"a", "b", "c"}
	for i := range 10 {
		d.Report("a", "liar", false, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := start.Add(time.Second)
	is.Equal(len(d.Avoided(targets, now)), 0)
	d.Report("a", "another", false, now)
	is.Equal(d.Avoided(targets, now), []string{"a"})
	var own Suspicions
	own.Report("a", "self", true, now)
	is.Equal(own.Avoided(targets, now), []string{"a"})
	own.Drop("a") // it has started again
	is.Equal(len(own.Avoided(targets, now)), 0)
}

// Guards against old reports that add up to a new one.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	var d Suspicions
	d.Report("a", "one", false, start)
	d.Report("a", "two", false, start.Add(reportValid+time.Millisecond))
	is.Equal(len(d.Avoided([]string{"a", "b"}, start.Add(reportValid+time.Millisecond))), 0)
	d.Expire(start.Add(time.Hour))
	is.True(!d.Any())
}

// Guards against a fault that shows everywhere, such as that of a route, which would leave
// no target.
func TestSomeTargetsAreNeverAvoided(t *testing.T) {
	for n, most := range map[int]int{1: 0, 2: 1, 3: 2, 12: 8, 670: 447} {
		is := is.New(t)
		var d Suspicions
		var targets []string
		for i := range n {
			id := fmt.Sprint("t", i)
			targets = append(targets, id)
			d.Report(id, "self", true, start)
		}
		is.Equal(len(d.Avoided(targets, start)), most)
	}
}

// Guards against a target that fails for long and costs its callers as much again each time
// that it is tried.
func TestDoubtsLastLongerInVain(t *testing.T) {
	is := is.New(t)
	var d Suspicions
	targets := []string{"a", "b"}
	now := start
	var spans []time.Duration
	for range 4 {
		d.Report("a", "self", true, now)
		began := now
		for len(d.Avoided(targets, now)) > 0 {
			now = now.Add(100 * time.Millisecond)
		}
		spans = append(spans, now.Sub(began))
		now = now.Add(500 * time.Millisecond)
	}
	is.Equal(spans, []time.Duration{doubtFor, 2 * doubtFor, 4 * doubtFor, maxDoubt})
	now = now.Add(time.Minute)
	d.Report("a", "self", true, now)
	is.Equal(len(d.Avoided(targets, now.Add(doubtFor))), 0)
}

// Guards against memory that grows with the names that others tell.
func TestDoubtsAreBounded(t *testing.T) {
	is := is.New(t)
	var d Suspicions
	for i := range 2 * maxDoubted {
		d.Report(fmt.Sprint("t", i), "other", false, start)
	}
	for i := range 100 {
		d.Report("t0", fmt.Sprint("other", i), false, start)
	}
	is.Equal(len(d.targets), maxDoubted)
	is.Equal(len(d.targets["t0"].reports), maxReports)
}

// Guards against taking the fault of a kind of request for that of a target, and against
// missing a target that fails what others do not.
func TestFailuresThatSayNothingOfATarget(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var fails, works FailureRate
	is.True(!works.Rare()) // not known yet
	for range 200 {
		fails.Observe(rng.Float64() < 0.14)
		works.Observe(rng.Float64() < 0.004)
	}
	is.True(!fails.Rare())
	is.True(works.Rare())
	var s Strikes
	is.True(!s.Add(start))
	is.True(!s.Add(start.Add(strikeSpan + 1)))
	is.True(s.Add(start.Add(strikeSpan + 2)))
}

// fault replays a service of three targets, one of which answers nothing from a moment on,
// before so many entries. A report reaches the other entries after a while.
func fault(entries int, perSecond float64, told time.Duration) (lost, words int, knownAfter time.Duration) {
	const limit = leastPending + 50*time.Millisecond
	type sending struct {
		at    time.Time
		entry int
	}
	rng := rand.New(rand.NewPCG(3, 4))
	targets := []string{"a", "b", "c"}
	doubts := make([]Suspicions, entries)
	for e := range doubts {
		doubts[e].ReturnOrder = float64(e) / float64(entries)
	}
	var pending, news []sending
	now, end := start, start.Add(7*time.Second)
	for ; now.Before(end); now = now.Add(10 * time.Millisecond) {
		if rng.Float64() < perSecond/100 {
			e := rng.IntN(entries)
			left := len(targets) - len(doubts[e].Avoided(targets, now))
			if left == len(targets) && rng.IntN(left) == 0 {
				lost++
				pending = append(pending, sending{now, e})
			}
		}
		for len(pending) > 0 && now.Sub(pending[0].at) >= limit {
			p := pending[0]
			pending = pending[1:]
			known := doubts[p.entry].Agreed("a", now)
			doubts[p.entry].Report("a", fmt.Sprint(p.entry), true, now)
			if !known {
				news = append(news, sending{now.Add(told), p.entry})
				words++
			}
		}
		for len(news) > 0 && !now.Before(news[0].at) {
			for e := range doubts {
				if e != news[0].entry {
					doubts[e].Report("a", fmt.Sprint(news[0].entry), false, now)
				}
			}
			news = news[1:]
		}
		all := true
		for e := range doubts {
			all = all && len(doubts[e].Avoided(targets, now)) > 0
		}
		if all && knownAfter == 0 {
			knownAfter = now.Sub(start)
		}
	}
	return lost, words, knownAfter
}

// mostLost is how many requests a target that answers nothing may cost a service that gets
// usualPerSecond requests a second.
const (
	mostLost       = 15
	usualPerSecond = 37
)

// Guards against a target that answers nothing and is found out by each entry for itself,
// when the fault is over.
func TestEntriesFindAFaultTogether(t *testing.T) {
	for _, tt := range []struct {
		entries   int
		perSecond float64
	}{{3, 37}, {12, 37}, {53, 60}, {390, 37}} {
		is := is.New(t)
		lost, words, known := fault(tt.entries, tt.perSecond, 300*time.Millisecond)
		t.Logf("%d entries: %d lost, %d words, known to all after %v", tt.entries, lost, words, known)
		is.True(known > 0 && known <= time.Second)
		is.True(float64(lost) <= mostLost*tt.perSecond/usualPerSecond)
		is.True(words <= lost)
	}
}
