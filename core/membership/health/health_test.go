package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

// monitorTest is a monitor of n targets in one pool with a clock of its own.
type monitorTest struct {
	*Monitor
	now time.Time
	rng *rand.Rand
}

func newMonitorTest(n, groupSize int) *monitorTest {
	r := &monitorTest{Monitor: New(Options{}), now: start, rng: rand.New(rand.NewPCG(1, 1))}
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Name: fmt.Sprint("target-", i), Pool: "caption"}
		if groupSize > 0 {
			members[i].Group = fmt.Sprint("group-", i/groupSize)
		}
	}
	r.Update(members)
	return r
}

// after advances the time and returns the changes by target.
func (r *monitorTest) after(d time.Duration) map[int]Change {
	r.now = r.now.Add(d)
	out := map[int]Change{}
	for _, c := range r.Tick(r.now, r.rng) {
		out[c.Target] = c
	}
	return out
}

func (r *monitorTest) count(s State) int {
	n := 0
	for i := range r.members {
		if r.State(i) == s {
			n++
		}
	}
	return n
}

// Guards against sending a returning target its full share at once, so that it fails again.
func TestEjectProbeSlowStart(t *testing.T) {
	is := is.New(t)
	r := newMonitorTest(4, 0)
	r.Fail(0, Soft, r.now)
	r.Succeed(0, time.Millisecond, r.now) // not consecutive
	r.Fail(0, Soft, r.now)
	r.Fail(0, Soft, r.now)
	is.Equal(len(r.after(time.Second)), 0)
	r.Fail(0, Soft, r.now)
	c := r.after(time.Second)[0]
	is.Equal(c, Change{Target: 0, State: Ejected, Trusted: true, Cause: Failing})
	c = r.after(7 * time.Second)[0]
	is.True(c.State == HalfOpen && c.Probe && c.Share == 0)
	r.Fail(0, Soft, r.now) // one failed probe is enough
	is.Equal(r.after(time.Second)[0].State, Ejected)
	is.Equal(len(r.after(7*time.Second)), 0) // for longer than before
	is.Equal(r.after(7 * time.Second)[0].State, HalfOpen)
	is.True(r.after(probeInterval)[0].Probe) // no answer yet: another
	r.Succeed(0, time.Millisecond, r.now)
	c = r.after(time.Second)[0]
	is.True(c.State == SlowStart && c.Share < 0.2)
	c = r.after(5 * time.Second)[0]
	is.True(c.Share > 0.4 && c.Share < 0.7)
	is.Equal(r.after(5 * time.Second)[0].State, Healthy)
}

// Guards against ejecting all targets for a fault of the entry's own network.
func TestFloorKeepsHalf(t *testing.T) {
	for n, want := range map[int]int{1: 0, 2: 1, 3: 1, 16: 8, 67: 33} {
		is := is.New(t)
		r := newMonitorTest(n, 0)
		for round := range 20 {
			for i := range n {
				r.Fail(i, Hard, r.now)
			}
			r.after(time.Duration(round) * 100 * time.Millisecond)
			is.True(r.count(Ejected)+r.count(HalfOpen) <= want)
		}
		is.Equal(r.count(Ejected)+r.count(HalfOpen), want)
	}
}

// Guards against not ejecting a dead target because slow ones have used up the floor.
func TestFloorEjectsSurestFirst(t *testing.T) {
	is := is.New(t)
	r := newMonitorTest(3, 0)
	for range 5 {
		r.Succeed(0, 10*time.Second, r.now)
		r.Succeed(1, 100*time.Millisecond, r.now)
		r.Succeed(2, 100*time.Millisecond, r.now)
	}
	r.Fail(2, Hard, r.now)
	r.Fail(2, Hard, r.now)
	c := r.after(time.Second)
	is.Equal(len(c), 1)
	is.Equal(c[2].Cause, Failing)
}

// Guards against ejecting a single rank although all ranks of its group are as slow.
func TestStalledRankEjectsItsGroup(t *testing.T) {
	is := is.New(t)
	r := newMonitorTest(16, 4)
	slowSteps(r)
	c := r.after(250 * time.Millisecond)
	is.Equal(len(c), 4)
	for i := 4; i < 8; i++ {
		is.Equal(c[i].Cause, Straggler)
	}
	// Slow steps reported by heartbeats keep it out without a probe.
	for range 58 {
		slowSteps(r)
		r.after(time.Second)
		is.Equal(r.count(Ejected), 4)
	}
	// It is probed in the end, since an idle engine may repeat its last step
	// time forever. The steps of the probe show that it is still slow.
	for range 40 {
		if r.count(HalfOpen) == 0 {
			slowSteps(r)
			r.after(250 * time.Millisecond)
		}
	}
	is.Equal(r.count(HalfOpen), 4)
	slowSteps(r)
	r.Succeed(4, time.Millisecond, r.now)
	r.after(time.Second)
	is.Equal(r.count(Ejected), 4)
}

// slowSteps records two steps of each target, with target 5 stalled.
func slowSteps(r *monitorTest) {
	for range 2 {
		for i := range r.members {
			r.RecordStep(i, 20, r.now)
		}
		r.RecordStep(5, 200, r.now)
	}
}

// Guards against using the slow one of two groups as the baseline, and against evaluating a
// single group.
func TestStragglerOfTwoGroups(t *testing.T) {
	is := is.New(t)
	for groupSize, want := range map[int]int{4: 4, 8: 0} {
		r := newMonitorTest(8, groupSize)
		slowSteps(r)
		r.after(time.Second)
		is.Equal(r.count(Ejected), want)
	}
}

// Guards against spending a large part of all requests on targets that still fail.
func TestProbesAreLimited(t *testing.T) {
	is := is.New(t)
	r := newMonitorTest(100, 0)
	for i := range 50 {
		r.Fail(i, Hard, r.now)
		r.Fail(i, Hard, r.now)
	}
	probes := 0
	for range 240 { // a minute
		for i, c := range r.after(250 * time.Millisecond) {
			if c.Probe {
				probes++
				r.Fail(i, Hard, r.now)
			}
		}
	}
	is.True(probes > 20)
	is.True(probes <= 30+probeBurst)
	for range 120 { // all answer again; the longest ejection is 13 s
		for i, c := range r.after(250 * time.Millisecond) {
			if c.Probe {
				r.Succeed(i, time.Millisecond, r.now)
			}
		}
	}
	is.Equal(r.count(Ejected)+r.count(HalfOpen), 0)
}

// Guards against sending callers to a paused target until their deadlines.
func TestSilentTargetIsEjected(t *testing.T) {
	is := is.New(t)
	r := newMonitorTest(4, 0)
	r.Heartbeat(0, r.now)
	r.Heartbeat(1, r.now)
	r.Succeed(2, time.Millisecond, r.now)
	r.RecordStep(1, 20, r.now.Add(4*time.Second))
	is.Equal(r.after(6 * time.Second)[0].Cause, Silent)
	is.Equal(r.count(Ejected), 1)                    // target 2 answered once, which requires no heartbeats
	is.Equal(len(r.after(3500*time.Millisecond)), 1) // target 1 now, target 0 stays out
	r.Heartbeat(0, r.now)
	is.Equal(r.after(time.Millisecond)[0].State, HalfOpen) // it returns at once
}

// Guards against a failing target that hundreds of entries detect one by one, and against one
// mistaken entry that empties all pools.
func TestPeerEjectionsEjectByAgreement(t *testing.T) {
	is := is.New(t)
	r := newMonitorTest(4, 0)
	r.RecordPeerEjections(0, minPeerEjections-1, r.now)
	is.Equal(len(r.after(time.Second)), 0)
	r.Fail(0, Soft, r.now)
	r.Fail(1, Soft, r.now)
	is.Equal(len(r.after(time.Second)), 1)
	is.True(r.OwnEvidence(0)) // one failure was enough
	for range 50 {
		r.RecordPeerEjections(2, minPeerEjections, r.now)
		r.after(time.Second)
		is.True(r.State(2) == Ejected && !r.OwnEvidence(2)) // and no probe
	}
	r.after(peerEjectionsValid + evidenceExtension + time.Second)
	is.Equal(r.State(2), HalfOpen) // the others no longer eject it
	r.Succeed(2, time.Millisecond, r.now)
	r.RecordPeerEjections(2, minPeerEjections, r.now)
	r.after(time.Second)
	is.Equal(r.State(2), SlowStart) // its own answer counts more
}

// Guards against sending everything to a target whose reports say that it is idle.
func TestLyingReporterLosesTrust(t *testing.T) {
	is := is.New(t)
	r := newMonitorTest(2, 0)
	for range 5 {
		r.CompareLoads(0, 0, 50_000, 5*time.Second) // too far apart in time to compare
		r.CompareLoads(1, 900, 1500, 0)
	}
	is.Equal(len(r.after(time.Second)), 0)
	for range mismatchesToRevoke {
		r.CompareLoads(0, 0, 50_000, 100*time.Millisecond)
	}
	is.True(!r.after(time.Second)[0].Trusted)
	for range matchesToRestore {
		r.CompareLoads(0, 50_000, 50_000, 0)
	}
	is.True(r.after(time.Second)[0].Trusted)
}

func TestUpdateKeepsStateByName(t *testing.T) {
	is := is.New(t)
	r := newMonitorTest(4, 0)
	r.Fail(0, Hard, r.now)
	r.Fail(0, Hard, r.now)
	r.after(time.Second)
	members := append([]Member(nil), r.members...)
	members[1].Name = ""
	r.Update(members)
	is.Equal(r.State(0), Ejected)
	members[0].Name = "another"
	r.Update(members)
	is.Equal(r.State(0), Healthy)
}
