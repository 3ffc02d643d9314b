package quarantine

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// start is when the tests begin; they add to it.
var start = time.Unix(1_000_000, 0)

func printOf(n int) Fingerprint {
	c := Content{Target: fmt.Sprint(n)}
	return c.Fingerprint()
}

// bench is a Register with a clock and the crashes that it is told.
type bench struct {
	*is.I
	*Register
	now    time.Time
	ended  int
	stored int64
}

func newBench(t *testing.T) *bench {
	return &bench{I: is.New(t), Register: New(), now: start}
}

// crash tells of a further target that has crashed under requests.
func (b *bench) crash(requests ...int) {
	b.ended++
	c := Crash{Target: fmt.Sprintf("t%d", b.ended), StartedAt: 7}
	for _, n := range requests {
		c.Requests = append(c.Requests, printOf(n))
	}
	b.Report(&Report{Crashes: []Crash{c}}, b.now)
}

// held returns which of the requests 0 to 99 are held back once all words have settled.
func (b *bench) held() []int {
	b.now = b.now.Add(settle)
	for p, h := range b.PendingWrites(b.now) {
		b.stored++
		_, err := b.Apply(HoldKey(p), b.stored, h.Bytes(), b.now)
		b.NoErr(err)
	}
	var held []int
	for n := range 100 {
		if b.Decide(printOf(n), b.now).Quarantined {
			held = append(held, n)
		}
	}
	return held
}

// doubtful returns which of the requests that are held back may be tried at once.
func (b *bench) doubtful() []int {
	var list []int
	for n := range 100 {
		if b.Decide(printOf(n), b.now).Probe {
			list = append(list, n)
		}
	}
	return list
}

// store writes a hold into the store, as a gateway does.
func (b *bench) store(n int, h Hold) {
	b.stored++
	_, err := b.Apply(HoldKey(printOf(n)), b.stored, h.Bytes(), b.now)
	b.NoErr(err)
}

func TestWhoIsHeldBack(t *testing.T) {
	for name, tt := range map[string]struct {
		// crashes are the requests that broke off with each target, in order.
		crashes [][]int
		want    []int
		// doubtful are those of them that are tried at once.
		doubtful []int
	}{
		"two crashes":                                {[][]int{{1}, {1}}, nil, nil},
		"three crashes":                              {[][]int{{1}, {1}, {1}}, []int{1}, nil},
		"neighbours differ":                          {[][]int{{1, 2, 3}, {1, 4, 5}, {1, 6, 7}}, []int{1}, nil},
		"a neighbour twice":                          {[][]int{{1, 2}, {1, 2}, {1, 3}}, []int{1}, []int{1}},
		"a neighbour twice, and a fourth crash":      {[][]int{{1, 2}, {1, 2}, {1, 3}, {1}}, []int{1}, nil},
		"a neighbour in three of four":               {[][]int{{1, 2}, {1, 2}, {1, 2}, {1}}, []int{1}, []int{1}},
		"nobody tells the two apart":                 {[][]int{{1, 2}, {1, 2}, {1, 2}}, []int{1, 2}, []int{1, 2}},
		"a neighbour of three culprits":              {[][]int{{1, 9}, {1}, {1}, {2, 9}, {2}, {2}, {3, 9}, {3}, {3}}, []int{1, 2, 3, 9}, []int{1, 2, 3, 9}},
		"a neighbour in more than each culprit":      {[][]int{{1, 9}, {1, 9}, {2, 9}, {2}}, []int{9}, []int{9}},
		"two culprits, once together":                {[][]int{{1, 2}, {1}, {1}, {2}, {2}, {2}}, []int{1, 2}, []int{1}},
		"only ever beside a culprit":                 {[][]int{{1, 2}, {1, 2}, {1, 2}, {1}, {1}}, []int{1}, nil},
		"targets that fail with whatever runs there": {[][]int{{1}, {2}, {3}, {4}, {5}, {6}}, nil, nil},
		"a crash under nothing":                      {[][]int{{}, {}, {}}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			for _, requests := range tt.crashes {
				b.crash(requests...)
			}
			b.Equal(b.held(), tt.want)
			b.Equal(b.doubtful(), tt.doubtful)
		})
	}
}

// Several gateways tell of one crash, each of its own requests: it counts once.
func TestCrashToldByMany(t *testing.T) {
	b := newBench(t)
	for range 5 {
		b.Report(&Report{Crashes: []Crash{{Target: "t1", StartedAt: 7, Requests: []Fingerprint{printOf(1)}}}}, b.now)
	}
	b.Equal(b.held(), nil)
	// The same target in two more lives.
	for born := range int64(2) {
		b.Report(&Report{Crashes: []Crash{{Target: "t1", StartedAt: born, Requests: []Fingerprint{printOf(1)}}}}, b.now)
	}
	b.Equal(b.held(), []int{1})
}

// Guards against deciding on a culprit before the other gateways can have told.
func TestDecisionWaitsForTheOthers(t *testing.T) {
	b := newBench(t)
	for range 3 {
		b.crash(1)
	}
	b.now = b.now.Add(settle - 1)
	b.Equal(len(b.PendingWrites(b.now)), 0)
	for ended := range 4 {
		c := Crash{Target: fmt.Sprintf("t%d", ended+1), StartedAt: 7, Requests: []Fingerprint{printOf(2)}}
		b.Report(&Report{Crashes: []Crash{c}}, b.now)
	}
	b.Equal(b.held(), []int{2})
}

// Guards against taking a request that is always under way for the culprit.
func TestWhatWasAnsweredHasNotCrashed(t *testing.T) {
	b := newBench(t)
	b.Equal(b.Completed(printOf(1)), false) // nobody holds it for a culprit
	b.crash(1)
	innocent := b.Report(&Report{Crashes: []Crash{{Target: "t9", Requests: []Fingerprint{printOf(1)}}}}, b.now)
	b.Equal(innocent, []Fingerprint{printOf(1)})
	b.crash(1)
	b.Equal(b.held(), nil)

	other := newBench(t)
	other.crash(1)
	other.crash(1)
	other.crash(1)
	other.Report(&Report{Completed: innocent}, other.now)
	other.Equal(other.held(), nil)
	other.crash(1)
	other.crash(1)
	other.Equal(other.Completed(printOf(1)), true) // after two crashes it is worth a word
	other.crash(1)
	other.Equal(other.held(), nil)
}

// Guards against trials without end, and callers who are not told when the next one is.
func TestTrials(t *testing.T) {
	b := newBench(t)
	for range 3 {
		b.crash(1)
	}
	b.now = b.now.Add(settle)
	b.Equal(b.PendingWrites(b.now), map[Fingerprint]Hold{printOf(1): {Crashes: 3}})
	b.True(b.Decide(printOf(1), b.now).Quarantined) // also while the store is away
	h := Hold{Crashes: 3}
	for trial, wait := range trialWaits {
		b.store(1, h)
		b.Equal(len(b.PendingWrites(b.now)), 0) // it stands in the store
		b.now = b.now.Add(time.Minute)
		b.Equal(b.Decide(printOf(1), b.now), Decision{Quarantined: true, Hold: h, Revision: b.stored, RetryAfter: wait - time.Minute})
		b.now = b.now.Add(wait - time.Minute)
		v := b.Decide(printOf(1), b.now)
		b.True(v.Probe)
		h = v.Hold.WithProbe()
		b.Equal(h, Hold{Crashes: 3, Probes: trial + 1})
	}
	b.store(1, h)
	b.now = b.now.Add(100 * time.Hour)
	b.Equal(b.Decide(printOf(1), b.now), Decision{Quarantined: true, Hold: h, Revision: b.stored})
}

// Guards against holding a neighbour back that was in the same crashes.
func TestTrialsTellCulpritFromNeighbour(t *testing.T) {
	b := newBench(t)
	for range 3 {
		b.crash(1, 2)
	}
	b.now = b.now.Add(settle)
	b.Equal(len(b.PendingWrites(b.now)), 2)
	b.True(!b.Decide(printOf(1), b.now).Quarantined)
	b.Equal(b.held(), []int{1, 2})
	for n := range 2 {
		v := b.Decide(printOf(n+1), b.now)
		b.Equal(v.Hold, Hold{Crashes: 3, ProbeNow: true})
		b.store(n+1, v.Hold.WithProbe())
		b.True(!b.Decide(printOf(n+1), b.now).Probe) // one at a time
	}
	b.crash(1)
	b.True(b.Completed(printOf(2)))
	b.Equal(b.held(), []int{1})
	b.Equal(b.doubtful(), nil)
}

// Guards against a neighbour that is held for ever since its trials tell nothing.
func TestTrialThatTellsNothing(t *testing.T) {
	b := newBench(t)
	h := Hold{Crashes: 3, ProbeNow: true}
	for trials := range len(trialWaits) {
		b.store(1, h)
		v := b.Decide(printOf(1), b.now)
		b.True(v.Probe)
		h = v.Hold.WithProbe().WithInconclusiveProbe()
		b.Equal(h.Probes, trials+1)
	}
	b.store(1, h)
	b.Equal(b.Decide(printOf(1), b.now), Decision{Quarantined: true, Hold: h, Revision: b.stored, RetryAfter: trialWaits[0]})
	b.now = b.now.Add(trialWaits[0])
	b.True(b.Decide(printOf(1), b.now).Probe)
}

// A trial is answered whole: the request is free, and what was known of it counts no more.
func TestTrialFrees(t *testing.T) {
	b := newBench(t)
	for range 3 {
		b.crash(1)
	}
	b.Equal(b.held(), []int{1})
	b.store(1, Hold{Crashes: 3, Probes: 1})
	b.True(b.Completed(printOf(1)))
	b.Equal(b.held(), nil)

	other := newBench(t)
	other.store(1, Hold{Crashes: 3, Probes: 1})
	other.Equal(other.held(), []int{1})
	freed, ok := other.Remove(HoldKey(printOf(1)))
	other.True(ok)
	other.Equal(freed, printOf(1))
	other.Equal(other.held(), nil)
}

// Guards against holding a request again by reports of before an operator freed it.
func TestFreedRequestStaysFree(t *testing.T) {
	var items [][2]string
	put := func(n int, r Report) { items = append(items, [2]string{ReportKey("front-1", n), string(r.Bytes())}) }
	for n := range 3 {
		put(n, Report{Crashes: []Crash{{Target: fmt.Sprint(n), Requests: []Fingerprint{printOf(1)}}}})
	}
	b := newBench(t)
	b.store(1, Hold{Crashes: 3})
	freed, ok := b.Remove(HoldKey(printOf(1)))
	b.True(ok)
	put(3, Report{Completed: []Fingerprint{freed}}) // as a gateway does that has seen it
	later := newBench(t)
	for i, it := range items {
		_, err := later.Apply(it[0], int64(i+1), []byte(it[1]), later.now)
		later.NoErr(err)
	}
	later.Equal(later.held(), nil)
	_, ok = later.Remove(HoldKey(printOf(1)))
	later.True(!ok) // it was told already
}

// Guards against a gateway that does not know after a start what is held back or free.
func TestStart(t *testing.T) {
	b := newBench(t)
	b.store(1, Hold{Crashes: 3})
	b.store(2, Hold{Crashes: 3})
	report := Report{Crashes: []Crash{{Target: "t1", Requests: []Fingerprint{printOf(3)}}}}
	_, err := b.Apply(ReportKey("front-1", 1), 9, report.Bytes(), b.now)
	b.NoErr(err)
	b.Equal(b.held(), []int{1, 2})
	b.RetainOnly(map[string]bool{HoldKey(printOf(1)): true})
	b.Equal(b.held(), []int{1})
}

// Anybody may write into the store. What is no item of ours is told and changes nothing.
func TestItemsNotUnderstood(t *testing.T) {
	b := newBench(t)
	for key, value := range map[string]string{
		Prefix + "other":              `{}`,
		holdPrefix + "zz":             `{}`,
		HoldKey(printOf(1)):           `[]`,
		ReportKey("front-1", 1):       `{"crashes":[{"requests":["short"]}]}`,
		reportPrefix + "ab/1":         "\x00",
		ReportKey("front-1", 2) + "x": `{"crashes":7}`,
	} {
		_, err := b.Apply(key, 1, []byte(value), b.now)
		var bad *ItemError
		b.True(errors.As(err, &bad))
		b.Equal(bad.Key, key)
	}
	b.Equal(b.held(), nil)
	_, err := b.Apply(HoldKey(printOf(1)), 2, []byte(`{"trials":-5}`), b.now)
	b.NoErr(err)
	b.True(b.Decide(printOf(1), b.now).RetryAfter > 0)
}

// Targets crash for years, with other requests each time.
func TestMemoryIsBounded(t *testing.T) {
	b := newBench(t)
	for n := range 3 * maxCrashes {
		c := Crash{Target: fmt.Sprint(n)}
		for k := range 2 * maxRequests {
			c.Requests = append(c.Requests, printOf(n*1000+k))
		}
		b.Report(&Report{Crashes: []Crash{c}}, b.now)
		b.Completed(printOf(-n))
	}
	b.Equal(len(b.crashes), maxCrashes)
	b.Equal(len(b.counts), maxCrashes*maxRequests)
	for n := range 3 * maxHolds {
		b.store(1000+n, Hold{})
	}
	surplus := b.Surplus()
	b.Equal(len(surplus), maxDeletes)
	b.Equal(surplus[0], HoldKey(printOf(1000))) // the oldest
	for n := range 3 * maxRecent {
		b.Completed(printOf(-n))
	}
	b.True(len(b.done.young)+len(b.done.old) <= 2*maxRecent)
	slots := map[string]bool{}
	for n := range 1000 {
		slots[ReportKey("front-1", n)] = true
	}
	b.Equal(len(slots), reportSlots)
}

func TestSurplusOfReports(t *testing.T) {
	b := newBench(t)
	r := Report{}
	for n := range maxReports + 2 {
		_, err := b.Apply(ReportKey(fmt.Sprintf("front-%d", n), 0), int64(n+1), r.Bytes(), b.now)
		b.NoErr(err)
	}
	surplus := b.Surplus()
	slices.Sort(surplus)
	want := []string{ReportKey("front-0", 0), ReportKey("front-1", 0)}
	slices.Sort(want)
	b.Equal(surplus, want)
}
