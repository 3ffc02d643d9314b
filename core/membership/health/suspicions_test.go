package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an entry with a faulty link of its own that makes all others avoid a target.
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
	own.Drop("a") // it has restarted
	is.Equal(len(own.Avoided(targets, now)), 0)
}

// Guards against expired reports that count towards agreement.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	var d Suspicions
	d.Report("a", "one", false, start)
	d.Report("a", "two", false, start.Add(reportValid+time.Millisecond))
	is.Equal(len(d.Avoided([]string{"a", "b"}, start.Add(reportValid+time.Millisecond))), 0)
	d.Expire(start.Add(time.Hour))
	is.True(!d.Any())
}

// Guards against avoiding all targets when a fault shows everywhere, such as that of a route.
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

// Guards against a target that fails for a long time and costs its callers as many requests
// each time that it is tried again.
func TestRepeatedSuspicionsLastLonger(t *testing.T) {
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
	is.Equal(spans, []time.Duration{suspicionTime, 2 * suspicionTime, 4 * suspicionTime, maxSuspicionTime})
	now = now.Add(time.Minute)
	d.Report("a", "self", true, now)
	is.Equal(len(d.Avoided(targets, now.Add(suspicionTime))), 0)
}

// Guards against memory that grows with the target names that other entries report.
func TestSuspicionsAreBounded(t *testing.T) {
	is := is.New(t)
	var d Suspicions
	for i := range 2 * maxSuspected {
		d.Report(fmt.Sprint("t", i), "other", false, start)
	}
	for i := range 100 {
		d.Report("t0", fmt.Sprint("other", i), false, start)
	}
	is.Equal(len(d.targets), maxSuspected)
	is.Equal(len(d.targets["t0"].reports), maxReports)
}

// Guards against attributing the failures of a kind of request to a target, and against
// missing a target that fails requests that others answer.
func TestFailuresThatAreNoEvidence(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var fails, works FailureRate
	is.True(!works.Rare()) // not enough samples yet
	for range 200 {
		fails.Observe(rng.Float64() < 0.14)
		works.Observe(rng.Float64() < 0.004)
	}
	is.True(!fails.Rare())
	is.True(works.Rare())
	var s Strikes
	is.True(!s.Add(start))
	is.True(!s.Add(start.Add(strikeWindow + 1)))
	is.True(s.Add(start.Add(strikeWindow + 2)))
}

// fault simulates a service of three targets, one of which stops answering, with a number
// of entries. A report reaches the other entries after reportDelay.
func fault(entries int, perSecond float64, reportDelay time.Duration) (lost, reports int, knownAfter time.Duration) {
	const limit = minTimeout + 50*time.Millisecond
	type sending struct {
		at    time.Time
		entry int
	}
	rng := rand.New(rand.NewPCG(3, 4))
	targets := []string{"a", "b", "c"}
	suspicions := make([]Suspicions, entries)
	for e := range suspicions {
		suspicions[e].ReturnOrder = float64(e) / float64(entries)
	}
	var pending, sentReports []sending
	now, end := start, start.Add(7*time.Second)
	for ; now.Before(end); now = now.Add(10 * time.Millisecond) {
		if rng.Float64() < perSecond/100 {
			e := rng.IntN(entries)
			left := len(targets) - len(suspicions[e].Avoided(targets, now))
			if left == len(targets) && rng.IntN(left) == 0 {
				lost++
				pending = append(pending, sending{now, e})
			}
		}
		for len(pending) > 0 && now.Sub(pending[0].at) >= limit {
			p := pending[0]
			pending = pending[1:]
			known := suspicions[p.entry].Agreed("a", now)
			suspicions[p.entry].Report("a", fmt.Sprint(p.entry), true, now)
			if !known {
				sentReports = append(sentReports, sending{now.Add(reportDelay), p.entry})
				reports++
			}
		}
		for len(sentReports) > 0 && !now.Before(sentReports[0].at) {
			for e := range suspicions {
				if e != sentReports[0].entry {
					suspicions[e].Report("a", fmt.Sprint(sentReports[0].entry), false, now)
				}
			}
			sentReports = sentReports[1:]
		}
		all := true
		for e := range suspicions {
			all = all && len(suspicions[e].Avoided(targets, now)) > 0
		}
		if all && knownAfter == 0 {
			knownAfter = now.Sub(start)
		}
	}
	return lost, reports, knownAfter
}

// mostLost is how many requests a target that answers nothing may cost a service that gets
// baselinePerSecond requests a second.
const (
	mostLost          = 15
	baselinePerSecond = 37
)

// Guards against a target that answers nothing and is detected by each entry separately,
// only when the fault is over.
func TestEntriesFindAFaultTogether(t *testing.T) {
	for _, tt := range []struct {
		entries   int
		perSecond float64
	}{{3, 37}, {12, 37}, {53, 60}, {390, 37}} {
		is := is.New(t)
		lost, reports, known := fault(tt.entries, tt.perSecond, 300*time.Millisecond)
		t.Logf("%d entries: %d lost, %d reports, known to all after %v", tt.entries, lost, reports, known)
		is.True(known > 0 && known <= time.Second)
		is.True(float64(lost) <= mostLost*tt.perSecond/baselinePerSecond)
		is.True(reports <= lost)
	}
}
