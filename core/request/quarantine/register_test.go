package quarantine

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
)

var start = time.Unix(1_000_000, 0)

func fingerprintOf(n int) Fingerprint {
	c := Content{Target: fmt.Sprint(n)}
	return c.Fingerprint()
}

// fixture is a Register with a clock and a count of the crashes that were reported to it.
type fixture struct {
	*is.I
	*Register
	now    time.Time
	ended  int
	stored int64
}

func newFixture(t *testing.T) *fixture {
	return &fixture{I: is.New(t), Register: New("gateway-1"), now: start}
}

// crash reports a further target that has crashed while running requests.
func (b *fixture) crash(requests ...int) {
	b.ended++
	c := Crash{Target: fmt.Sprintf("t%d", b.ended), StartedAt: 7}
	for _, n := range requests {
		c.Requests = append(c.Requests, fingerprintOf(n))
	}
	b.Report(&Report{Crashes: []Crash{c}}, b.now)
}

// quarantinedRequests returns which of the requests 0 to 99 are quarantined once reportDelay
// has passed.
func (b *fixture) quarantinedRequests() []int {
	b.now = b.now.Add(reportDelay)
	for p, h := range b.PendingWrites(b.now) {
		b.stored++
		_, err := b.Apply(HoldKey(p), b.stored, h.Bytes(), b.now)
		b.NoErr(err)
	}
	var quarantinedRequests []int
	for n := range 100 {
		if b.Decide(fingerprintOf(n), b.now).Quarantined {
			quarantinedRequests = append(quarantinedRequests, n)
		}
	}
	return quarantinedRequests
}

// probeable returns which of the quarantined requests may be probed at once.
func (b *fixture) probeable() []int {
	var list []int
	for n := range 100 {
		if b.Decide(fingerprintOf(n), b.now).Probe {
			list = append(list, n)
		}
	}
	return list
}

// store writes a hold into the store, as a gateway does.
func (b *fixture) store(n int, h Hold) { b.storeHold(fingerprintOf(n), h) }

func TestWhichRequestsAreQuarantined(t *testing.T) {
	for name, tt := range map[string]struct {
		// crashes are the requests that were cut off with each target, in order.
		crashes [][]int
		want    []int
		// probeable are those of want that are probed at once.
		probeable []int
	}{
		"two crashes":                                {[][]int{{1}, {1}}, nil, nil},
		"three crashes":                              {[][]int{{1}, {1}, {1}}, []int{1}, nil},
		"neighbours differ":                          {[][]int{{1, 2, 3}, {1, 4, 5}, {1, 6, 7}}, []int{1}, nil},
		"a neighbour twice":                          {[][]int{{1, 2}, {1, 2}, {1, 3}}, []int{1}, []int{1}},
		"a neighbour twice, and a fourth crash":      {[][]int{{1, 2}, {1, 2}, {1, 3}, {1}}, []int{1}, nil},
		"a neighbour in three of four":               {[][]int{{1, 2}, {1, 2}, {1, 2}, {1}}, []int{1}, []int{1}},
		"the two are always together":                {[][]int{{1, 2}, {1, 2}, {1, 2}}, []int{1, 2}, []int{1, 2}},
		"a neighbour of three causes":                {[][]int{{1, 9}, {1}, {1}, {2, 9}, {2}, {2}, {3, 9}, {3}, {3}}, []int{1, 2, 3, 9}, []int{1, 2, 3, 9}},
		"a neighbour in more than each cause":        {[][]int{{1, 9}, {1, 9}, {2, 9}, {2}}, []int{9}, []int{9}},
		"two causes, once together":                  {[][]int{{1, 2}, {1}, {1}, {2}, {2}, {2}}, []int{1, 2}, []int{1}},
		"only ever beside a cause":                   {[][]int{{1, 2}, {1, 2}, {1, 2}, {1}, {1}}, []int{1}, nil},
		"targets that fail with whatever runs there": {[][]int{{1}, {2}, {3}, {4}, {5}, {6}}, nil, nil},
		"a crash under nothing":                      {[][]int{{}, {}, {}}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			for _, requests := range tt.crashes {
				b.crash(requests...)
			}
			b.Equal(b.quarantinedRequests(), tt.want)
			b.Equal(b.probeable(), tt.probeable)
		})
	}
}

// Guards against counting a crash once per gateway: several report it, each with its own
// requests.
func TestCrashReportedByManyGateways(t *testing.T) {
	b := newFixture(t)
	for range 5 {
		b.Report(&Report{Crashes: []Crash{{Target: "t1", StartedAt: 7, Requests: []Fingerprint{fingerprintOf(1)}}}}, b.now)
	}
	b.Equal(b.quarantinedRequests(), nil)
	// The same target crashes in two further processes.
	for startedAt := range int64(2) {
		b.Report(&Report{Crashes: []Crash{{Target: "t1", StartedAt: startedAt, Requests: []Fingerprint{fingerprintOf(1)}}}}, b.now)
	}
	b.Equal(b.quarantinedRequests(), []int{1})
}

// Guards against quarantining a request before the other gateways can have reported theirs.
func TestDecisionWaitsForOtherGateways(t *testing.T) {
	b := newFixture(t)
	for range 3 {
		b.crash(1)
	}
	b.now = b.now.Add(reportDelay - 1)
	b.Equal(len(b.PendingWrites(b.now)), 0)
	for ended := range 4 {
		c := Crash{Target: fmt.Sprintf("t%d", ended+1), StartedAt: 7, Requests: []Fingerprint{fingerprintOf(2)}}
		b.Report(&Report{Crashes: []Crash{c}}, b.now)
	}
	b.Equal(b.quarantinedRequests(), []int{2})
}

// Guards against quarantining a frequent request that is in progress in every crash and that
// targets answer completely.
func TestAnsweredRequestIsNotQuarantined(t *testing.T) {
	b := newFixture(t)
	b.Equal(b.Completed(fingerprintOf(1)), false) // nobody suspects it
	b.crash(1)
	cleared := b.Report(&Report{Crashes: []Crash{{Target: "t9", Requests: []Fingerprint{fingerprintOf(1)}}}}, b.now)
	b.Equal(cleared, []Fingerprint{fingerprintOf(1)})
	b.crash(1)
	b.Equal(b.quarantinedRequests(), nil)

	other := newFixture(t)
	other.crash(1)
	other.crash(1)
	other.crash(1)
	other.Report(&Report{Completed: cleared}, other.now)
	other.Equal(other.quarantinedRequests(), nil)
	other.crash(1)
	other.crash(1)
	other.Equal(other.Completed(fingerprintOf(1)), true) // from two crashes on it is published
	other.crash(1)
	other.Equal(other.quarantinedRequests(), nil)
}

// Guards against probes without end, and refusals that don't say when the next one is due.
func TestProbes(t *testing.T) {
	b := newFixture(t)
	for range 3 {
		b.crash(1)
	}
	b.now = b.now.Add(reportDelay)
	b.Equal(b.PendingWrites(b.now), map[Fingerprint]Hold{fingerprintOf(1): {Crashes: 3}})
	b.True(b.Decide(fingerprintOf(1), b.now).Quarantined) // also while the store is unavailable
	h := Hold{Crashes: 3}
	for probe, delay := range probeDelays {
		b.store(1, h)
		b.Equal(len(b.PendingWrites(b.now)), 0) // it is stored
		b.now = b.now.Add(time.Minute)
		b.Equal(b.Decide(fingerprintOf(1), b.now), Decision{Quarantined: true, Hold: h, Revision: b.stored, RetryAfter: delay - time.Minute})
		b.now = b.now.Add(delay - time.Minute)
		v := b.Decide(fingerprintOf(1), b.now)
		b.True(v.Probe)
		h = v.Hold.WithProbe()
		b.Equal(h, Hold{Crashes: 3, Probes: probe + 1})
	}
	b.store(1, h)
	b.now = b.now.Add(100 * time.Hour)
	b.Equal(b.Decide(fingerprintOf(1), b.now), Decision{Quarantined: true, Hold: h, Revision: b.stored})
}

// Guards against a long quarantine of a request that was in the same crashes as the cause.
func TestProbesReleaseRequestsOfTheSameCrash(t *testing.T) {
	b := newFixture(t)
	for range 3 {
		b.crash(1, 2)
	}
	b.now = b.now.Add(reportDelay)
	b.Equal(len(b.PendingWrites(b.now)), 2)
	b.True(!b.Decide(fingerprintOf(1), b.now).Quarantined)
	b.Equal(b.quarantinedRequests(), []int{1, 2})
	for n := range 2 {
		v := b.Decide(fingerprintOf(n+1), b.now)
		b.Equal(v.Hold, Hold{Crashes: 3, ProbeNow: true})
		b.store(n+1, v.Hold.WithProbe())
		b.True(!b.Decide(fingerprintOf(n+1), b.now).Probe) // one at a time
	}
	b.crash(1)
	b.True(b.Completed(fingerprintOf(2)))
	b.Equal(b.quarantinedRequests(), []int{1})
	b.Equal(b.probeable(), nil)
}

// Guards against an endless quarantine of a request whose probes are all inconclusive.
func TestInconclusiveProbes(t *testing.T) {
	b := newFixture(t)
	h := Hold{Crashes: 3, ProbeNow: true}
	for probes := range len(probeDelays) {
		b.store(1, h)
		v := b.Decide(fingerprintOf(1), b.now)
		b.True(v.Probe)
		h = v.Hold.WithProbe().WithInconclusiveProbe()
		b.Equal(h.Probes, probes+1)
	}
	b.store(1, h)
	b.Equal(b.Decide(fingerprintOf(1), b.now), Decision{Quarantined: true, Hold: h, Revision: b.stored, RetryAfter: probeDelays[0]})
	b.now = b.now.Add(probeDelays[0])
	b.True(b.Decide(fingerprintOf(1), b.now).Probe)
}

// A probe is answered completely: the request is released and its earlier crashes no longer
// count.
func TestCompleteProbeReleasesRequest(t *testing.T) {
	b := newFixture(t)
	for range 3 {
		b.crash(1)
	}
	b.Equal(b.quarantinedRequests(), []int{1})
	b.store(1, Hold{Crashes: 3, Probes: 1})
	b.True(b.Completed(fingerprintOf(1)))
	b.Equal(b.quarantinedRequests(), nil)

	other := newFixture(t)
	other.store(1, Hold{Crashes: 3, Probes: 1})
	other.Equal(other.quarantinedRequests(), []int{1})
	released, ok := other.Remove(HoldKey(fingerprintOf(1)))
	other.True(ok)
	other.Equal(released, fingerprintOf(1))
	other.Equal(other.quarantinedRequests(), nil)
}

// Guards against quarantining a request again because of reports from before an operator
// released it.
func TestReleasedRequestStaysReleased(t *testing.T) {
	var items [][2]string
	put := func(n int, r Report) { items = append(items, [2]string{ReportKey("front-1", n), string(r.Bytes())}) }
	for n := range 3 {
		put(n, Report{Crashes: []Crash{{Target: fmt.Sprint(n), Requests: []Fingerprint{fingerprintOf(1)}}}})
	}
	b := newFixture(t)
	b.store(1, Hold{Crashes: 3})
	released, ok := b.Remove(HoldKey(fingerprintOf(1)))
	b.True(ok)
	put(3, Report{Completed: []Fingerprint{released}}) // as a gateway does that observed the removal
	later := newFixture(t)
	for i, it := range items {
		_, err := later.Apply(it[0], int64(i+1), []byte(it[1]), later.now)
		later.NoErr(err)
	}
	later.Equal(later.quarantinedRequests(), nil)
	_, ok = later.Remove(HoldKey(fingerprintOf(1)))
	later.True(!ok) // it was reported already
}

// Guards against a gateway that does not know after its start which requests are quarantined.
func TestStart(t *testing.T) {
	b := newFixture(t)
	b.store(1, Hold{Crashes: 3})
	b.store(2, Hold{Crashes: 3})
	report := Report{Crashes: []Crash{{Target: "t1", Requests: []Fingerprint{fingerprintOf(3)}}}}
	_, err := b.Apply(ReportKey("front-1", 1), 9, report.Bytes(), b.now)
	b.NoErr(err)
	b.Equal(b.quarantinedRequests(), []int{1, 2})
	b.RetainOnly(map[string]bool{HoldKey(fingerprintOf(1)): true})
	b.Equal(b.quarantinedRequests(), []int{1})
}

// Anyone may write into the store. Malformed items give errors and change nothing.
func TestMalformedItems(t *testing.T) {
	b := newFixture(t)
	for key, value := range map[string]string{
		Prefix + "other":              `{}`,
		holdPrefix + "zz":             `{}`,
		HoldKey(fingerprintOf(1)):     `[]`,
		ReportKey("front-1", 1):       `{"crashes":[{"requests":["short"]}]}`,
		reportPrefix + "ab/1":         "\x00",
		ReportKey("front-1", 2) + "x": `{"crashes":7}`,
	} {
		_, err := b.Apply(key, 1, []byte(value), b.now)
		var bad *ItemError
		b.True(errors.As(err, &bad))
		b.Equal(bad.Key, key)
	}
	b.Equal(b.quarantinedRequests(), nil)
	_, err := b.Apply(HoldKey(fingerprintOf(1)), 2, []byte(`{"trials":-5}`), b.now)
	b.NoErr(err)
	b.True(b.Decide(fingerprintOf(1), b.now).RetryAfter > 0)
}

// Targets crash for years, each time with other requests.
func TestMemoryIsBounded(t *testing.T) {
	b := newFixture(t)
	for n := range 3 * maxCrashes {
		c := Crash{Target: fmt.Sprint(n)}
		for k := range 2 * maxRequests {
			c.Requests = append(c.Requests, fingerprintOf(n*1000+k))
		}
		b.Report(&Report{Crashes: []Crash{c}}, b.now)
		b.Completed(fingerprintOf(-n))
	}
	b.Equal(len(b.crashes), maxCrashes)
	b.Equal(len(b.counts), maxCrashes*maxRequests)
	for n := range 3 * maxHolds {
		b.store(1000+n, Hold{})
	}
	surplus := b.Surplus()
	b.Equal(len(surplus), maxDeletes)
	b.Equal(surplus[0], HoldKey(fingerprintOf(1000))) // the oldest
	for n := range 3 * maxRecent {
		b.Completed(fingerprintOf(-n))
	}
	b.True(len(b.answered.current)+len(b.answered.previous) <= 2*maxRecent)
	slots := map[string]bool{}
	for n := range 1000 {
		slots[ReportKey("front-1", n)] = true
	}
	b.Equal(len(slots), reportSlots)
}

func TestExcessReports(t *testing.T) {
	b := newFixture(t)
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

// inEra returns a revision of an era.
func inEra(era, counter int64) int64 {
	r, err := kv.NewRevision(era, counter)
	if err != nil {
		panic(err)
	}
	return r
}

// Guards against releasing a request that crashes targets because the store has lost its hold.
func TestHoldsThatTheStoreHasLostAreWrittenAgain(t *testing.T) {
	b := newFixture(t)
	b.store(1, Hold{Crashes: 3})
	b.store(2, Hold{Crashes: 3})
	b.Equal(b.Restored(map[string]bool{HoldKey(fingerprintOf(2)): true}), nil)
	due := b.PendingWrites(b.now)
	b.Equal(due, map[Fingerprint]Hold{fingerprintOf(1): {Crashes: 3}})
	b.True(b.Decide(fingerprintOf(1), b.now).Quarantined)
}

// Guards against quarantining a request again because its hold is back in the store.
func TestReleasedRequestStaysReleasedAfterARestore(t *testing.T) {
	b := newFixture(t)
	b.store(1, Hold{Crashes: 3})
	b.True(b.Completed(fingerprintOf(1)))
	b.store(2, Hold{Crashes: 3})
	_, ok := b.Remove(HoldKey(fingerprintOf(2)))
	b.True(ok)
	stored := map[string]bool{HoldKey(fingerprintOf(1)): true, HoldKey(fingerprintOf(2)): true, HoldKey(fingerprintOf(3)): true}
	b.Equal(len(b.Restored(stored)), 2)
}

// Guards against a second probe, which costs a target, because the store has lost the claim of the
// first.
func TestProbesCountAfterARestore(t *testing.T) {
	b := newFixture(t)
	b.store(1, Hold{Crashes: 3, Probes: 2})
	_, err := b.Apply(HoldKey(fingerprintOf(1)), inEra(1, 1), Hold{Crashes: 3, ProbeNow: true}.Bytes(), b.now.Add(time.Second))
	b.NoErr(err)
	d := b.Decide(fingerprintOf(1), b.now.Add(time.Second))
	b.Equal(d.Hold.Probes, 2)
	b.Equal(d.Revision, inEra(1, 1))
	b.True(!d.Probe)
}
