package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// partOf returns the fingerprint of a part.
func partOf(name string) Fingerprint { return PartFingerprint(name) }

// promptOf returns a request with the given parts.
func promptOf(n int, parts ...string) Request {
	r := Request{Content: fingerprintOf(n)}
	for _, name := range parts {
		r.Parts = append(r.Parts, partOf(name))
	}
	return r
}

// answer has n sound requests answered, each with one of ten first parts.
func (b *fixture) answer(n int) {
	for i := range n {
		b.CompletedParts("pool", []Fingerprint{partOf(fmt.Sprint("first-", i%10))}, b.now)
	}
}

// crashWith reports the crash of a target with the given requests, and lets it count.
func (b *fixture) crashWith(requests ...Request) {
	b.ended++
	c := Crash{Target: fmt.Sprint("p", b.ended), Service: "pool"}
	for _, r := range requests {
		c.Add(r)
	}
	b.Report(&Report{Crashes: []Crash{c}}, b.now)
	b.now = b.now.Add(reportDelay)
	for p, h := range b.PendingWrites(b.now) {
		b.storeHold(p, h)
	}
}

// storeHold writes a hold into the store, as a gateway does.
func (b *fixture) storeHold(p Fingerprint, h Hold) {
	b.stored++
	_, err := b.Apply(HoldKey(p), b.stored, h.Bytes(), b.now)
	b.NoErr(err)
}

// refused reports whether a request is refused.
func (b *fixture) refused(r Request) bool {
	d, _ := b.DecideRequest(r, b.now)
	return d.Quarantined && !d.Probe
}

// crashThree has targets crash under requests with a part, beside sound ones.
func (b *fixture) crashThree(part string) {
	for n := range 3 {
		b.crashWith(promptOf(100+n, "first-1", part), promptOf(200+n, "first-2"), promptOf(300+n, fmt.Sprint("first-", n)))
	}
}

func TestPartIsQuarantined(t *testing.T) {
	b := newFixture(t)
	b.answer(1000)
	b.crashThree("culprit")
	b.True(b.refused(promptOf(1, "first-1", "culprit")))
	b.True(b.refused(promptOf(1, "culprit", "other")))
	b.True(!b.refused(promptOf(1, "first-1", "other")))
	b.True(!b.refused(promptOf(200, "first-2")))
	b.Equal(b.Quarantined(), 1)
	_, reason := b.DecideRequest(promptOf(1, "first-1", "culprit"), b.now)
	b.Equal(reason, partOf("culprit"))
	b.True(b.quarantined[reason].Part)
}

// Guards against a gateway that has just started and takes the parts of most requests for the cause.
func TestNewGatewayQuarantinesNoPart(t *testing.T) {
	b := newFixture(t)
	b.crashThree("culprit")
	b.Equal(b.Quarantined(), 0)
}

// Guards against forgetting what gateways have seen answered that have restarted since.
func TestAnswersOfOtherProcessesCount(t *testing.T) {
	before := newFixture(t)
	before.answer(1000)
	for n := range 2 {
		before.crashWith(promptOf(100+n, "first-1", "culprit"))
	}
	answered := before.Answered(before.now)
	before.Report(&Report{Answered: answered}, before.now) // its own report comes back
	before.Equal(len(before.others), 0)
	b := newFixture(t)
	b.process = "later"
	b.Report(&Report{Answered: answered}, b.now)
	b.crashThree("culprit")
	b.True(b.refused(promptOf(1, "culprit")))
	b.True(!b.refused(promptOf(1, "first-1")))
}

// Guards against quarantining a part of a request that crashes targets and is the only one with it:
// the request itself is quarantined.
func TestOneRequestDoesNotConvictItsParts(t *testing.T) {
	b := newFixture(t)
	b.answer(1000)
	for range 4 {
		b.crashWith(promptOf(1, "first-1", "own-session"))
	}
	b.True(b.refused(promptOf(1, "first-1", "own-session")))
	b.True(!b.refused(promptOf(2, "first-1", "own-session")))
}

// Guards against refusing all requests with a part of a request that crashes targets again and again,
// because another one with that part was in progress beside it.
func TestRepeatedRequestDoesNotConvictASharedPart(t *testing.T) {
	b := newFixture(t)
	b.answer(1000)
	for n := range 8 {
		beside := promptOf(100+n, fmt.Sprint("first-", n))
		b.crashWith(promptOf(1, "first-1"), beside)
	}
	b.True(b.refused(promptOf(1, "first-1")))
	b.Equal(b.Quarantined(), 1)
}

// Guards against not finding a part whose requests are each retried until they are quarantined
// themselves.
func TestRetriedRequestsWithACrashingPart(t *testing.T) {
	b := newFixture(t)
	b.answer(1000)
	for n := range 6 {
		b.crashWith(promptOf(1+n/3, "first-1", "culprit"), promptOf(100+n, fmt.Sprint("first-", n)))
	}
	b.True(b.quarantined[partOf("culprit")] != nil)
	b.True(b.quarantined[partOf("culprit")].ProbeNow) // one of the requests may be the cause
	b.True(b.quarantined[partOf("first-1")] == nil)
}

// Guards against quarantining a sound request that is retried beside requests with a crashing part.
func TestRetriedRequestBesideACrashingPart(t *testing.T) {
	b := newFixture(t)
	b.answer(1000)
	for n := range 4 {
		b.crashWith(promptOf(100+n, "culprit"), promptOf(7, "first-2"))
	}
	b.True(b.refused(promptOf(1, "culprit")))
	b.True(!b.refused(promptOf(7, "first-2")))
}

// Guards against keeping a part in quarantine, or in suspicion, that a target has answered whole.
func TestAnswerClearsAPart(t *testing.T) {
	b := newFixture(t)
	b.answer(1000)
	b.crashWith(promptOf(1, "rare"))
	b.crashWith(promptOf(2, "rare"))
	b.Equal(b.CompletedParts("pool", []Fingerprint{partOf("rare"), partOf("first-1")}, b.now), []Fingerprint{partOf("rare")})
	b.crashWith(promptOf(3, "rare"))
	b.Equal(b.Quarantined(), 0)
	b.crashThree("culprit")
	b.Equal(b.CompletedParts("pool", []Fingerprint{partOf("culprit")}, b.now), []Fingerprint{partOf("culprit")})
	b.True(!b.refused(promptOf(4, "culprit")))
	// The others hear of it.
	other := newFixture(t)
	other.answer(1000)
	other.crashThree("culprit")
	other.Report(&Report{Completed: []Fingerprint{partOf("culprit")}}, other.now)
	other.True(!other.refused(promptOf(4, "culprit")))
}

// Guards against a report for each answer because parts that most requests have are in most crashes.
func TestFrequentPartsAreNotReported(t *testing.T) {
	b := newFixture(t)
	b.answer(1000)
	b.crashThree("culprit")
	for range 20 {
		b.Equal(b.CompletedParts("pool", []Fingerprint{partOf("first-1")}, b.now), nil)
		b.crashWith(promptOf(900+b.ended, "first-1"))
	}
}

// Guards against a probe that shows nothing, of a request that is quarantined for two reasons.
func TestNoProbeForTwoReasons(t *testing.T) {
	b := newFixture(t)
	for _, name := range []string{"a", "b"} {
		b.storeHold(partOf(name), Hold{Crashes: 3, Part: true, ProbeNow: true})
	}
	d, _ := b.DecideRequest(promptOf(1, "a", "b"), b.now)
	b.True(d.Quarantined && !d.Probe)
	d, reason := b.DecideRequest(promptOf(1, "first-1", "b"), b.now)
	b.True(d.Quarantined && d.Probe)
	b.Equal(reason, partOf("b"))
	b.True(d.Hold.WithProbe().Part)
	b.True(d.Hold.WithInconclusiveProbe().Part)
}

// Guards against parts that are taken for the cause because they are looked at again and again.
func TestOldCrashesAreNotExaminedAgain(t *testing.T) {
	b := newFixture(t)
	for n := range 3 {
		b.crashWith(promptOf(100+n, "first-1", "culprit"))
	}
	b.now = b.now.Add(time.Minute)
	b.answer(1000) // also with the part first-1, which clears it
	b.PendingWrites(b.now)
	b.Equal(b.Quarantined(), 0)
	b.crashWith(promptOf(104, "culprit"))
	b.Equal(b.Quarantined(), 1)
}

// Guards against memory, reports and time that grow with the parts of prompts, which anyone may name.
func TestPartsAreBounded(t *testing.T) {
	b := newFixture(t)
	const many = 40
	for n := range 2 * maxCrashes {
		c := Crash{Target: fmt.Sprint(n), Service: fmt.Sprint("pool-", n%(2*maxServices))}
		for k := range maxRequests {
			r := Request{Content: fingerprintOf(n*1000 + k)}
			for i := range many {
				r.Parts = append(r.Parts, partOf(fmt.Sprint(n, k, i)))
			}
			c.Add(r)
			b.CompletedParts(c.Service, r.Parts, b.now)
		}
		b.Report(&Report{Crashes: []Crash{c}, Answered: []Answered{{Process: fmt.Sprint(n), Total: -n}, {Process: fmt.Sprint(n), Service: "pool", Total: n}}}, b.now)
	}
	b.True(len(b.partCounts) <= maxCrashes*maxCrashParts)
	b.True(len(b.answeredParts) <= maxServices)
	for _, f := range b.answeredParts {
		b.True(len(f.current.parts)+len(f.previous.parts) <= 2*(maxAnsweredParts+many))
	}
	b.Equal(len(b.others), maxProcesses)
	for _, a := range b.Answered(b.now) {
		b.True(len(a.Parts) <= maxCandidates)
	}
	b.True(len(b.Answered(b.now)) <= maxServices)
}

// Guards against reports of processes of the build before, which have no parts, and against parts in
// another number than requests.
func TestReportsOfOtherBuilds(t *testing.T) {
	b := newFixture(t)
	var r Report
	b.NoErr(json.Unmarshal([]byte(`{"crashes":[{"target":"a","born":1,"requests":["`+fingerprintOf(1).String()+`"],"parts":[[],["`+partOf("x").String()+`"]]}],
		"answered":[{"process":"p","service":"pool","total":-5,"parts":{"`+partOf("x").String()+`":-7}}]}`), &r))
	b.Report(&r, b.now)
	b.Equal(b.Crashes(fingerprintOf(1)), 1)
	b.Equal(b.Crashes(partOf("x")), 0)
	var old Crash
	old.Add(Request{Content: fingerprintOf(1)})
	old.Add(promptOf(2, "x"))
	b.Equal(old.request(0).Parts, nil)
	b.Equal(old.request(1).Parts, []Fingerprint{partOf("x")})
}

func TestTail(t *testing.T) {
	b := newFixture(t)
	for _, tt := range []struct {
		k, n int
		q    float64
		want float64
	}{
		{0, 5, 0.1, 1}, {5, 5, 0.1, 1e-5}, {1, 1, 0.25, 0.25}, {1, 2, 0.5, 0.75}, {3, 3, 1, 1}, {2, 4, 0.5, 0.6875},
	} {
		got := tail(tt.k, tt.n, tt.q)
		b.True(got > tt.want-1e-9 && got < tt.want+1e-9)
	}
	b.True(tail(300, 512, 1e-3) >= 0)
}

// BenchmarkCompletedParts measures what an answered request with two parts costs.
func BenchmarkCompletedParts(b *testing.B) {
	g := New("process")
	for i := 0; b.Loop(); i++ {
		parts := []Fingerprint{PartFingerprint("first"), PartFingerprint(fmt.Sprint(i % 200))}
		g.CompletedParts("pool", parts, start)
	}
}

// BenchmarkSuspects measures one evaluation after 75 crashes with 12 requests of three parts each.
func BenchmarkSuspects(b *testing.B) {
	f := &fixture{Register: New("process"), now: start}
	f.answer(1000)
	for n := range 75 {
		c := Crash{Target: fmt.Sprint(n), Service: "pool"}
		for k := range 12 {
			c.Add(promptOf(100*n+k, fmt.Sprint("first-", k%10), fmt.Sprint("second-", k), fmt.Sprint("third-", n, k)))
		}
		f.Report(&Report{Crashes: []Crash{c}}, f.now)
	}
	f.now = f.now.Add(reportDelay)
	list := f.unexplained("pool", reportDelay, f.now)
	for b.Loop() {
		f.suspects("pool", list)
	}
}
