package quota

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	tick = 50 * time.Millisecond
	cost = 100
	rate = 5000
)

// fleet is a set of entries with one workspace and its home.
type fleet struct {
	home     *Home
	entries  []*Limiter
	now      time.Time
	admitted []float64
	// debt is what each entry has yet to offer, less than the cost of one request.
	debt      []float64
	replyLost func(entry int) bool
}

func newFleet(n int) *fleet {
	f := &fleet{home: newTestHome(), now: time.Unix(1e9, 0), admitted: make([]float64, n), replyLost: func(int) bool { return false }}
	for i := range n {
		f.debt = append(f.debt, cost*float64(i)/float64(n))
		l := New(fmt.Sprint("entry", i), rand.New(rand.NewPCG(7, uint64(i))))
		l.SetMembers(n, []string{"agent"})
		l.SetLimit("w", Limit{Rate: rate})
		f.entries = append(f.entries, l)
	}
	return f
}

func newTestHome() *Home {
	h := NewHome()
	h.SetLimit("w", Limit{Rate: rate})
	return h
}

// run offers tokens a second at each entry for a time, and returns what was admitted in total.
func (f *fleet) run(t *testing.T, span time.Duration, offered func(entry int) float64) float64 {
	t.Helper()
	before := f.total()
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(tick) {
		for i, l := range f.entries {
			for f.debt[i] += offered(i) * tick.Seconds(); f.debt[i] >= cost; f.debt[i] -= cost {
				if ok, _ := l.Allow("w", cost, f.now); ok {
					f.admitted[i] += cost
				}
			}
			f.exchange(t, i)
		}
	}
	return f.total() - before
}

func (f *fleet) exchange(t *testing.T, i int) {
	l := f.entries[i]
	for _, home := range l.Due(f.now) {
		report := l.AppendReport(nil, home, f.now)
		if f.replyLost(i) {
			l.ReportFailed(home)
			continue
		}
		reply, err := f.home.Merge(nil, report, f.now)
		if err == nil {
			err = l.Merge(home, reply, f.now)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func (f *fleet) total() (sum float64) {
	for _, a := range f.admitted {
		sum += a
	}
	return sum
}

func even(total float64, n int) func(int) float64 {
	return func(int) float64 { return total / float64(n) }
}

func overshootBound(n float64) float64 {
	return rate + n*(rate/math.Sqrt(n)+cost) + 2*rate*ReportInterval.Seconds()
}

// All members of a workspace send requests at once, through all entries, with four times the
// limit. Guards against entries that admit their part before they know of the others, which
// would overload the targets, and against a workspace that gets less than its limit once the
// entries know.
func TestLimitOverAllEntries(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n)
			sum := 0.0
			for s := 1; s <= 30; s++ {
				sum += f.run(t, time.Second, even(4*rate, n))
				is.True(sum <= rate*float64(s)+overshootBound(float64(n)))
			}
			late := f.run(t, 20*time.Second, even(4*rate, n))
			is.True(late >= 0.9*rate*20 && late <= 1.1*rate*20)
			sum += late + f.run(t, 30*time.Second, even(4*rate, n))
			is.True(sum <= rate*80+2*rate) // the excess is taken back
		})
	}
}

// Guards against fixed shares: when all of a workspace's members move from one entry to
// another, they would be refused there although nobody uses the limit.
func TestDemandMoves(t *testing.T) {
	is := is.New(t)
	f := newFleet(400)
	only := func(entry int) func(int) float64 {
		return func(i int) float64 {
			if i == entry {
				return 0.9 * rate
			}
			return 0
		}
	}
	f.run(t, 10*time.Second, only(0))
	is.True(f.run(t, 5*time.Second, only(0)) >= 0.85*rate*5)
	f.run(t, 2*time.Second, only(5))
	is.True(f.run(t, 2*time.Second, only(5)) >= 0.85*rate*2)
}

// Three entries lose the home in the middle of a burst. Guards against entries that keep the
// last fraction they received and admit as much as arrives: after three seconds each must keep
// to its safe share.
func TestCutOffEntriesKeepTheirSafeShare(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.run(t, 5*time.Second, even(0.5*rate, 3))
	f.replyLost = func(int) bool { return true }
	is.True(f.run(t, ReplyTimeout+time.Second, even(6*rate, 3)) <= overshootBound(3))
	got := f.run(t, 20*time.Second, even(6*rate, 3))
	is.True(got <= 1.05*rate*20)
	is.True(got >= 0.9*rate*20)
	f.replyLost = func(int) bool { return false }
	f.run(t, 20*time.Second, even(0.5*rate, 3))
	is.True(f.run(t, 5*time.Second, even(0.5*rate, 3)) >= 0.49*rate*5)
}

// One entry carries all requests of a workspace when the home no longer knows the workspace,
// after a restart with an older configuration. The entry must fall back as if it was cut off,
// and must not refuse everything because of what it rightly admitted.
func TestHomeWithoutTheWorkspace(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	first := func(i int) float64 {
		if i == 0 {
			return 0.9 * rate
		}
		return 0
	}
	f.run(t, time.Minute, first)
	f.home = NewHome()
	f.run(t, ReplyTimeout+time.Second, first)
	got := f.run(t, 10*time.Second, first)
	is.True(got >= 0.9*rate/3*10 && got <= 1.1*rate/3*10)
	f.home = newTestHome()
	f.run(t, 5*time.Second, first)
	is.True(f.run(t, 5*time.Second, first) >= 0.85*rate*5)
}

// The traffic of an entry jumps. Guards against an allowance that grows more than twofold with
// each reply of the home: the other entries' traffic jumps too.
func TestAllowanceAtMostDoubles(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	l, s := f.entries[0], f.entries[0].states["w"]
	s.admitted, s.offered, s.answeredUntil = 4*rate, 4*rate, f.now.Add(-MinReportInterval)
	before := l.headroom(s)
	s.markSent(f.now)
	l.applyReply(s, reply{fraction: fractionUnit, interval: ReportInterval}, f.now)
	is.True(l.headroom(s) <= 2*before)
	l.refill(s, f.now)
	l.refill(s, f.now.Add(time.Hour))
	is.True(s.headroomLeft <= l.headroom(s)) // an hour without demand accumulates no more
}

// The home is replaced while the demand is ten times the limit. Guards against a home that
// starts with a full bucket and without the excess admitted so far, and grants more at each
// change: it must learn within seconds and take back the excess.
func TestHomeIsReplaced(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{30, 300} {
		f := newFleet(n)
		f.run(t, 40*time.Second, even(10*rate, n))
		f.home = newTestHome()
		is.True(f.run(t, 5*time.Second, even(10*rate, n)) <= 1.3*rate*5)
		is.True(f.run(t, 15*time.Second, even(10*rate, n)) <= 1.05*rate*15)
	}
}

// A burst through all entries ends. Guards against entries that report seldom, because the
// demand was steady, and go on refusing nine of ten requests afterwards.
func TestBurstEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(300)
	f.run(t, time.Minute, even(10*rate, 300))
	f.run(t, 12*time.Second, even(0.8*rate, 300))
	is.True(f.run(t, 5*time.Second, even(0.8*rate, 300)) >= 0.95*0.8*rate*5)
}

// An entry that shares the limit with another stops without notice. Guards against charging the
// other for longer than the report is valid with what the home expected of the stopped one.
func TestStoppedEntryIsNotChargedToOthers(t *testing.T) {
	is := is.New(t)
	h, now := newTestHome(), time.Unix(1e9, 0)
	r := record{id: ID("w"), offered: 0.8 * rate, admitted: 0.8 * rate, fraction: fractionUnit, span: time.Second}
	h.apply(1, r, now)
	for range 5 {
		h.apply(2, r, now)
		now = now.Add(time.Second)
	}
	is.Equal(h.apply(2, r, now).fraction, 1.0)
}

// A network partition separates two regions, and each chooses a home among its own agents.
// Guards against granting the limit twice.
func TestPartitionedHomesShareTheLimit(t *testing.T) {
	is := is.New(t)
	sum := 0.0
	for range 2 {
		side := newFleet(6)
		side.home.SetVisibleFraction(0.5)
		side.run(t, 20*time.Second, even(4*rate, 6))
		sum += side.run(t, 20*time.Second, even(4*rate, 6))
	}
	is.True(sum <= 1.1*rate*20)
}

// Responses are shorter than declared. Guards against keeping the overcharge, with which the
// workspace would get half of its limit.
func TestOverchargeIsReturned(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	served := 0.0
	for range 40 * 20 {
		for range 10 {
			if ok, _ := f.entries[0].Allow("w", cost, f.now); ok {
				f.entries[0].Reconcile("w", cost, cost/2, f.now)
				served += cost / 2
			}
		}
		f.exchange(t, 0)
		f.now = f.now.Add(tick)
	}
	is.True(served >= 0.9*rate*40)
}

// Many entries see one request each of a workspace that may have a quarter of its demand.
// Guards against a common initial credit, with which all would refuse, or all admit.
func TestFirstDecisionsAreSpread(t *testing.T) {
	is := is.New(t)
	f, admitted := newFleet(400), 0
	for _, l := range f.entries {
		s := l.states["w"]
		s.fraction, s.receivedAt, s.headroomLeft = 0.25, f.now, l.headroom(s)
		if ok, _ := l.Allow("w", cost, f.now); ok {
			admitted++
		}
	}
	is.True(admitted > 70 && admitted < 130)
}

func TestAllow(t *testing.T) {
	is := is.New(t)
	l := New("entry", rand.New(rand.NewPCG(1, 1)))
	l.SetMembers(4, nil)
	l.SetLimit("w", Limit{Rate: 100, Burst: 100})
	now := time.Unix(1e9, 0)
	ok, _ := l.Allow("unlimited", 1<<30, now)
	is.True(ok)
	ok, _ = l.Allow("w", 80, now) // more than the allowance of 50: a debt
	is.True(ok)
	ok, after := l.Allow("w", 80, now)
	is.True(!ok && after > time.Second)
	is.Equal(testing.AllocsPerRun(100, func() { l.Allow("w", 3, now) }), 0.0)
}

// Limits in requests use a cost of one: an entry then sees one request in several seconds.
// Guards against rounding its demand to zero.
func TestLimitInRequests(t *testing.T) {
	is := is.New(t)
	h, now := NewHome(), time.Unix(1e9, 0)
	h.SetLimit("w", Limit{Rate: 1})
	for second := range 60 {
		for entry := range uint64(40) { // each a request in ten seconds: 4/s
			if second%10 == int(entry%10) {
				h.apply(entry, record{id: ID("w"), offered: 1, fraction: fractionUnit, span: 10 * time.Second}, now)
			}
		}
		now = now.Add(time.Second)
	}
	is.True(math.Abs(h.accounts[ID("w")].demand-4) < 0.1)
}

// Guards against moving the home of other workspaces than those of an agent that is removed.
func TestHomeOfMovesLittle(t *testing.T) {
	is := is.New(t)
	agents := []string{"a", "b", "c", "d", "e"}
	homes := map[string]int{}
	for i := range 500 {
		w := fmt.Sprint("w", i)
		home := HomeOf(w, agents)
		homes[home]++
		if home != "e" {
			is.Equal(HomeOf(w, agents[:4]), home)
		}
	}
	for _, a := range agents {
		is.True(homes[a] > 60)
	}
}

func FuzzMerge(f *testing.F) {
	f.Add(appendRecord([]byte("entry id"), record{ID("w"), 100, -5, 4096, time.Second}))
	f.Add([]byte("\x01\x02"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var malformed *MalformedError
		h, now := newTestHome(), time.Unix(1e9, 0)
		reply, err := h.Merge(nil, b, now)
		if err != nil && (!errors.As(err, &malformed) || len(reply) > 0 || len(h.accounts) > 0) {
			t.Fatalf("error %v with reply %x", err, reply)
		}
		l := newFleet(1).entries[0]
		if err := l.Merge("agent", reply, now); err != nil {
			t.Fatalf("reply %x: %v", reply, err)
		}
		if err := l.Merge("agent", b, now); err != nil && !errors.As(err, &malformed) {
			t.Fatal(err)
		}
	})
}

// A quiet workspace is used at all entries. Guards against reports of each entry every second,
// hundreds a second at one home.
func TestManyEntriesReportSeldom(t *testing.T) {
	is := is.New(t)
	h, now := newTestHome(), time.Unix(1e9, 0)
	var last reply
	for second := range 20 {
		at := now.Add(time.Duration(second) * time.Second)
		for entry := range 390 {
			report := binary.LittleEndian.AppendUint64(nil, uint64(entry))
			b, err := h.Merge(nil, appendRecord(report, record{ID("w"), 1, 1, fractionUnit, time.Second}), at)
			is.NoErr(err)
			last, _ = readReply(b)
		}
	}
	is.Equal(last.interval, calmInterval)
}
