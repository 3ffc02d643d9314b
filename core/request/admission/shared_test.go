package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/allotment"
	"verbenashift/core/request/headroom"
	"verbenashift/core/request/precedence"
	"verbenashift/core/request/queue"
)

// contest plays entries of two sizes before a group of engines. All callers of the first class come to
// one of the smallest entries, and those of the last to the others, which asks for more than there are
// slots.
type contest struct {
	entries, slots int
	// urgent and patient are the requests a second of the first and of the last class; each takes
	// runs.
	urgent, patient float64
	runs            time.Duration
	// shared says that entries share their demand, late how late reports are.
	shared bool
	late   time.Duration
	// lost is when no report comes any more, for lostFor.
	lost time.Duration
	// cutOff is an entry that reports nothing and gets no report.
	cutOff int
	// older says that one in so many entries is of the version before: it does not share its demand.
	older int
	// claims changes what an entry reports.
	claims func(entry int, d *allotment.Demand)
	// restart is when the entries other than the first lose all that they know and run, one after
	// the other.
	restart time.Duration
	// mixed says that callers of both classes come to all entries, by their size.
	mixed bool
	// longPasses says that passes of a full group are so long that only longPassUsable of its slots
	// should be taken.
	longPasses bool
}

const (
	contestStep   = 10 * time.Millisecond
	contestReport = 200 * time.Millisecond
	contestFor    = 14 * time.Second
	contestWarmUp = 4 * time.Second
	lostFor       = 2 * time.Second
	// smallShare is the size of every third entry, for 1 of the others.
	smallShare = 0.36
	patientAim = time.Second
	// atOnce is what an objective of the urgent leaves beside a first event that takes long.
	atOnce = 150 * time.Millisecond
	// longPass is that of a full group, and longPassPause what callers accept.
	longPass      = 105 * time.Millisecond
	longPassPause = 100 * time.Millisecond
)

// contestResult is the outcome of a contest, by class where there are two.
type contestResult struct {
	// served are the shares of the requests that started, onTime of those that did within their
	// objective, with the time in which they wait for a slot at the engines.
	served, onTime [2]float64
	// atOnce is the share of the urgent that started within that time.
	atOnce float64
	// newer is the share of the patient requests at entries that share their demand that started.
	newer float64
	// taken is the mean number of slots that are taken.
	taken float64
	// over is the mean and most the largest number of running requests above the slots, which wait at the engines.
	over float64
	most int
}

// contestView is the state of the group at a time, as reported to the entries.
type contestView struct {
	at, sumsAt time.Time
	running    int
	sums       allotment.Demand
	// usable is the sum of what the entries have learned, and entries how many reported one.
	usable, entries int
}

// contestPlay is the state of a play.
type contestPlay struct {
	contest
	rng     *rand.Rand
	now     time.Time
	pools   []*Pool
	running int
	ends    endings
	// epoch counts the restarts of each entry; what it ran before ends unnoticed by it.
	epoch   []int
	views   []contestView
	asked   [2]int
	started [2]int
	onTime  [2]int
	atOnce  int
	// askedNewer and startedNewer are those of the patient at entries that share their demand.
	askedNewer, startedNewer int
	arrived                  map[string]arrival
	next                     int
}

type arrival struct {
	class   int
	at      time.Time
	counted bool
}

func (c contest) play(t *testing.T, seed uint64) contestResult {
	t.Helper()
	p := &contestPlay{contest: c, rng: rand.New(rand.NewPCG(seed, 5)), now: start, arrived: map[string]arrival{}, epoch: make([]int, c.entries)}
	for i := range c.entries {
		p.pools = append(p.pools, p.newEntry(i))
	}
	var out contestResult
	steps := 0
	for at := time.Duration(0); at < contestFor; at += contestStep {
		p.now = start.Add(at)
		p.end()
		p.report(at)
		p.restartEntries(at)
		p.arrive(at)
		for i, pool := range p.pools {
			pool.Tick(p.now)
			p.begin(i)
		}
		if at >= contestWarmUp {
			steps++
			out.taken += float64(min(p.running, c.slots))
			out.over += float64(max(p.running-c.slots, 0))
			out.most = max(out.most, p.running-c.slots)
		}
	}
	out.taken /= float64(steps)
	out.over /= float64(steps)
	out.newer = float64(p.startedNewer) / max(float64(p.askedNewer), 1)
	out.atOnce = float64(p.atOnce) / max(float64(p.asked[0]), 1)
	for k := range 2 {
		n := max(float64(p.asked[k]), 1)
		out.served[k], out.onTime[k] = float64(p.started[k])/n, float64(p.onTime[k])/n
	}
	t.Logf("shared %v, late %v: served %.3f, on time %.3f, at once %.3f, %.0f of %d slots taken, %.1f over, %d at most", c.shared, c.late, out.served, out.onTime, out.atOnce, out.taken, c.slots, out.over, out.most)
	return out
}

func (p *contestPlay) newEntry(i int) *Pool {
	pool := New(rand.New(rand.NewPCG(uint64(i+100*p.epoch[i]), 6)))
	pool.SetGroups(map[string]int{"g": p.slots}, p.now)
	pool.SetClasses(3, p.now)
	if p.longPasses {
		pool.SetPassCost(headroom.Cost{Base: 60 * time.Millisecond, PerRequest: 3 * time.Millisecond}, 10, longPassPause)
	}
	return pool
}

// size returns the size of an entry.
func (p *contestPlay) size(i int) float64 {
	if i%3 == 0 {
		return smallShare
	}
	return 1
}

// end ends the requests whose time has come.
func (p *contestPlay) end() {
	for len(p.ends) > 0 && !p.ends[0].at.After(p.now) {
		e := heap.Pop(&p.ends).(ended)
		p.running--
		if e.entry >= 0 {
			p.pools[e.entry].Done(e.id, cost, p.now)
			p.begin(e.entry)
		}
	}
}

// begin starts the requests that an entry has admitted.
func (p *contestPlay) begin(i int) {
	for _, d := range p.pools[i].Decisions() {
		a := p.arrived[d.ID]
		delete(p.arrived, d.ID)
		if d.Refusal != nil {
			continue
		}
		if a.counted {
			c := min(a.class, 1)
			p.started[c]++
			if c == 1 && !p.isOlder(i) {
				p.startedNewer++
			}
			if c == 0 && p.now.Sub(a.at) <= atOnce {
				p.atOnce++
			}
			atEngine := p.runs * time.Duration(max(p.running+1-p.slots, 0)) / time.Duration(p.slots)
			if p.now.Sub(a.at)+atEngine <= aimOf(a.class) {
				p.onTime[c]++
			}
		}
		p.running++
		p.pools[i].Accepted(d.ID, p.now)
		heap.Push(&p.ends, ended{p.now.Add(p.runs/2 + time.Duration(p.rng.Int64N(int64(p.runs)))), i, d.ID, d.Group})
	}
}

func aimOf(class int) time.Duration {
	if class == 0 {
		return objective
	}
	return patientAim
}

// report takes the state of the group, and reports an earlier one to the entries, to each at another
// moment.
func (p *contestPlay) report(at time.Duration) {
	if at%contestReport == 0 {
		v := contestView{at: p.now, sumsAt: p.now, running: p.running}
		reported := 0
		for i, pool := range p.pools {
			d, ok := pool.Demand("g")
			if !ok || i == p.cutOff-1 || p.isOlder(i) {
				continue
			}
			if p.claims != nil {
				p.claims(i, &d)
			}
			v.sums.Add(d)
			reported++
			if d.Usable > 0 {
				v.usable += d.Usable
				v.entries++
			}
		}
		v.sums.Usable = v.usable / max(v.entries, 1)
		v.sums.Entries = reported
		p.views = append(p.views, v)
	}
	if p.lost > 0 && at >= p.lost && at < p.lost+lostFor {
		return
	}
	for i, pool := range p.pools {
		if i == p.cutOff-1 || at%contestReport != time.Duration(i)%(contestReport/contestStep)*contestStep {
			continue
		}
		age := p.late + 50*time.Millisecond
		for k := len(p.views) - 1; k >= 0; k-- {
			v := &p.views[k]
			if p.now.Sub(v.at) < age {
				continue
			}
			if p.longPasses {
				pool.groups["g"].passes.limit.Observe(longPass, p.slots, p.now)
			}
			if p.shared && !p.isOlder(i) {
				pool.ReportDemand("g", v.sums, v.sumsAt, v.at)
			}
			pool.ReportLoad(Load{Group: "g", Complete: true, Running: min(v.running, p.slots), Queued: max(v.running-p.slots, 0), PassTime: 30 * time.Millisecond, Entries: p.entries}, p.now)
			p.begin(i)
			break
		}
	}
}

// isOlder reports whether an entry is of the version before.
func (p *contestPlay) isOlder(i int) bool { return p.older > 0 && i%p.older == 0 }

// restartEntries restarts one entry each 100 ms; what it ran goes on at the engines for a moment.
func (p *contestPlay) restartEntries(at time.Duration) {
	const every = 100 * time.Millisecond
	i := int((at-p.restart)/every) + 1
	if p.restart == 0 || at < p.restart || (at-p.restart)%every != 0 || i >= p.entries {
		return
	}
	p.epoch[i]++
	for k := range p.ends {
		if p.ends[k].entry == i {
			p.ends[k].entry = -1
		}
	}
	p.pools[i] = p.newEntry(i)
}

// arrive adds the requests of one step.
func (p *contestPlay) arrive(at time.Duration) {
	for want := p.urgent * contestStep.Seconds(); want > p.rng.Float64(); want-- {
		i := 0
		if p.mixed {
			i = p.pick()
		}
		p.enqueue(i, 0, at)
	}
	for want := p.patient * contestStep.Seconds(); want > p.rng.Float64(); want-- {
		i := p.pick()
		for !p.mixed && i == 0 {
			i = p.pick()
		}
		p.enqueue(i, 2, at)
	}
}

// pick returns an entry by its size.
func (p *contestPlay) pick() int {
	for {
		if i := p.rng.IntN(p.entries); p.rng.Float64() < p.size(i) {
			return i
		}
	}
}

func (p *contestPlay) enqueue(i, class int, at time.Duration) {
	p.next++
	r := Request{ID: fmt.Sprint(p.next), Cost: cost, Objective: aimOf(class), Class: class}
	counted := at >= contestWarmUp && at < contestFor-2*time.Second
	if counted {
		p.asked[min(class, 1)]++
		if class > 0 && !p.isOlder(i) {
			p.askedNewer++
		}
	}
	p.arrived[r.ID] = arrival{class, p.now, counted}
	if p.pools[i].Enqueue(r, p.now) != nil {
		delete(p.arrived, r.ID)
	}
	p.begin(i)
}

// sixteen returns a contest with a flood of the last class at sixteen entries, of 2.5 times what the engines run.
func sixteen() contest {
	return contest{entries: 16, slots: 630, urgent: 110, patient: 720, runs: 1900 * time.Millisecond, shared: true}
}

// alone returns the outcome of the same contest if each entry decides alone.
func (c contest) alone(t *testing.T, seed uint64) contestResult {
	c.shared = false
	return c.play(t, seed)
}

// Guards against a slot that is given to a patient request while an urgent one waits at another entry.
func TestUrgentCallersAtTheSmallestEntry(t *testing.T) {
	for seed := range uint64(3) {
		for _, longPasses := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, long passes %v", seed, longPasses), func(t *testing.T) {
				c := sixteen()
				c.longPasses = longPasses
				before, after := c.alone(t, seed), c.play(t, seed)
				if before.onTime[0] > 0.75 {
					t.Errorf("alone: %.3f of the urgent on time", before.onTime[0])
				}
				if after.onTime[0] < 0.95 || after.atOnce < 0.95 {
					t.Errorf("%.3f of the urgent on time, %.3f at once; alone %.3f, %.3f", after.onTime[0], after.atOnce, before.onTime[0], before.atOnce)
				}
				if after.taken < 0.95*before.taken || after.over > before.over {
					t.Errorf("%.0f slots taken, %.1f over; alone %.0f, %.1f", after.taken, after.over, before.taken, before.over)
				}
			})
		}
	}
}

// Guards against callers that are worse off with reports of all entries than without them: where
// nothing is to be divided, and where callers of both classes come to all entries.
func TestSharingHarmsNobody(t *testing.T) {
	for name, change := range map[string]func(*contest){
		"callers of both classes everywhere": func(c *contest) { c.mixed = true },
		"the same with long passes":          func(c *contest) { c.mixed, c.longPasses = true, true },
		"room for all":                       func(c *contest) { c.patient = 150 },
		"room for all, callers everywhere":   func(c *contest) { c.patient, c.mixed = 150, true },
		"just full":                          func(c *contest) { c.patient = 210 },
		"just full, callers everywhere":      func(c *contest) { c.patient, c.mixed = 210, true },
	} {
		t.Run(name, func(t *testing.T) {
			c := sixteen()
			change(&c)
			before, after := c.notWorse(t, 1)
			c.notMoreOver(t, before, after)
		})
	}
}

// notWorse fails the test if fewer urgent requests are on time than if each entry decides alone, or
// fewer in all but for the slots that are kept free for the urgent, and the some tenths of a second in
// which a slot is handed over.
func (c contest) notWorse(t *testing.T, seeds ...uint64) (before, after contestResult) {
	t.Helper()
	for _, seed := range seeds {
		before.add(c.alone(t, seed), len(seeds))
		after.add(c.play(t, seed), len(seeds))
	}
	all := func(r contestResult) float64 { return r.onTime[0]*c.urgent + r.onTime[1]*c.patient }
	kept := math.Sqrt(c.urgent*c.runs.Seconds()) / float64(c.slots)
	if after.onTime[0] < before.onTime[0]-0.01 || after.atOnce < before.atOnce-0.01 || all(after) < (0.95-kept)*all(before) {
		t.Errorf("%+v; alone %+v", after, before)
	}
	return before, after
}

// add adds the result of one of n plays to their mean.
func (r *contestResult) add(other contestResult, n int) {
	for k := range 2 {
		r.served[k] += other.served[k] / float64(n)
		r.onTime[k] += other.onTime[k] / float64(n)
	}
	r.newer += other.newer / float64(n)
	r.atOnce += other.atOnce / float64(n)
	r.taken += other.taken / float64(n)
	r.over += other.over / float64(n)
	r.most = max(r.most, other.most)
}

// notMoreOver fails the test if more requests wait at the engines than if each entry decides alone.
func (c contest) notMoreOver(t *testing.T, before, after contestResult) {
	t.Helper()
	if after.over > before.over+0.01*float64(c.slots) {
		t.Errorf("%+v; alone %+v", after, before)
	}
}

// Guards against acting again on a load that does not show yet what was started by it.
func TestReportsThatAreLate(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		c := sixteen()
		c.late, c.mixed = time.Second, mixed
		before, after := c.notWorse(t, 1)
		c.notMoreOver(t, before, after)
		if after.onTime[0] < 0.9 || after.over > 0.05*float64(c.slots) {
			t.Errorf("%+v", after)
		}
	}
}

// Guards against waiting for a coordinator that is lost: without reports each entry goes on alone.
func TestCoordinatorIsLostInAFlood(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		c := sixteen()
		c.lost, c.mixed = 7*time.Second, mixed
		c.notWorse(t, 1)
	}
}

// Guards against an entry without reports that stops, or that stops the others.
func TestEntryIsCutOff(t *testing.T) {
	for name, cutOff := range map[string]int{"the one with the urgent callers": 1, "a small one": 4, "a large one": 5} {
		t.Run(name, func(t *testing.T) {
			c := sixteen()
			c.cutOff = cutOff
			before, after := c.notWorse(t, 1)
			c.notMoreOver(t, before, after)
			if after.onTime[0] < 0.9 {
				t.Errorf("%.3f of the urgent on time", after.onTime[0])
			}
		})
	}
}

// Guards against entries that give way to those of the version before during a rolling restart.
func TestSomeEntriesAreOfTheVersionBefore(t *testing.T) {
	for _, older := range []int{2, 3, 16} {
		c := sixteen()
		c.older, c.mixed = older, true
		before, after := c.notWorse(t, 1)
		c.notMoreOver(t, before, after)
		if after.newer < 0.9*before.newer {
			t.Errorf("one in %d older: %.3f of the patient served at the others, %.3f if each decides alone", older, after.newer, before.newer)
		}
	}
}

// Guards against slots that are kept for requests that an entry claims and does not have.
func TestEntryReportsFalsely(t *testing.T) {
	for name, claim := range map[string]func(d *allotment.Demand){
		"many urgent requests wait":          func(d *allotment.Demand) { d.Waiting[0] = 60_000 },
		"some urgent requests wait":          func(d *allotment.Demand) { d.Waiting[0] = 300 },
		"many urgent requests run":           func(d *allotment.Demand) { d.Running[0] = 60_000 },
		"fewer than none run":                func(d *allotment.Demand) { d.Running = allotment.Counts{-500, 0, -60_000} },
		"many of a class that is not known":  func(d *allotment.Demand) { d.Waiting[7] = 60_000 },
		"more than all slots are usable":     func(d *allotment.Demand) { d.Usable = 60_000 },
		"nothing waits and nothing runs":     func(d *allotment.Demand) { *d = allotment.Demand{} },
		"a number that overflows in the sum": func(d *allotment.Demand) { d.Waiting[0] = math.MaxInt - 5 },
	} {
		t.Run(name, func(t *testing.T) {
			c := sixteen()
			c.claims = func(entry int, d *allotment.Demand) {
				if entry == 4 {
					claim(d)
				}
			}
			before, after := c.notWorse(t, 1, 2, 3)
			c.notMoreOver(t, before, after)
		})
	}
}

// Guards against an entry whose passes seem too long and that stops all others: it moves the mean by
// its part.
func TestEntryThatLearnedFalsely(t *testing.T) {
	c := sixteen()
	c.claims = func(entry int, d *allotment.Demand) {
		if entry == 4 {
			d.Usable = 1
		}
	}
	after := c.play(t, 1)
	if part := 1 / float64(c.entries); after.taken < (1-part)*float64(c.slots)*0.99 || after.onTime[0] < 0.95 {
		t.Errorf("%+v", after)
	}
}

// Guards against entries that restart without knowledge and stop the others, or get no part.
func TestEntriesRestartInAFlood(t *testing.T) {
	c := sixteen()
	c.restart = 6 * time.Second
	before, after := c.notWorse(t, 1)
	c.notMoreOver(t, before, after)
	if after.onTime[0] < 0.9 {
		t.Errorf("%.3f of the urgent on time", after.onTime[0])
	}
}

// Guards against a flood of the first class at one entry that stops the last class at the others.
func TestFloodElsewhereLeavesTheFloor(t *testing.T) {
	c := sixteen()
	c.urgent, c.patient = 700, 105
	after := c.play(t, 1)
	if starts := after.served[1] * c.patient; starts < 0.8*precedence.FloorShare*float64(c.slots)/c.runs.Seconds() {
		t.Errorf("%.0f starts of the last class a second", starts)
	}
	if starts := after.served[0] * c.urgent; starts < 0.85*float64(c.slots)/c.runs.Seconds() {
		t.Errorf("%.0f starts of the first class a second", starts)
	}
}

// Guards against requests that count in full at each of two groups: entries would start more than
// there are slots, and too few of the last class.
func TestSlotsOfTwoGroups(t *testing.T) {
	const entries, seeds = 8, 20
	free := map[string]int{"g0": 24, "g1": 8}
	var started allotment.Counts
	for seed := range uint64(seeds) {
		for i := range entries {
			p := New(rand.New(rand.NewPCG(seed, uint64(i))))
			p.SetClasses(2, start)
			own := allotment.Demand{Waiting: allotment.Counts{2, 10}}
			for class, n := range own.Waiting {
				for k := range n {
					_ = p.Enqueue(Request{ID: fmt.Sprint(class, "-", k), Cost: cost, Objective: patientAim, Class: class}, start)
				}
			}
			for name, n := range free {
				g := &group{name: name, slots: 100, usable: 100, limitedByLoad: true, loadAt: start, lastLoad: Load{Group: name, Complete: true, Running: 100 - n, Entries: entries}}
				sums := allotment.Demand{Waiting: allotment.Counts{2 * entries, 10 * entries}, Running: allotment.Counts{0, 100 - n}, Entries: entries}
				g.shared.sums, g.shared.sumsAt, g.shared.takenAt, g.shared.draw = sums, start, start, p.rng.Float64()
				g.shared.own[0] = ownDemand{start, own}
				p.groups[name] = g
				p.names = append(p.names, name)
			}
			slices.Sort(p.names)
			p.Tick(start)
			for _, g := range p.groups {
				for class, n := range g.byClass {
					started[class] += n
				}
			}
		}
	}
	t.Logf("%v started of 16 and 80 that wait for 32 slots, in %d plays", started[:2], seeds)
	if all := started.Total(); all > 33*seeds || all < 29*seeds {
		t.Errorf("%d started in all", all)
	}
	if started[0] < 14*seeds {
		t.Errorf("%d urgent started", started[0])
	}
}

// Guards against all entries filling a group that has just come back, by a load of before.
func TestGroupThatIsBackIsNotDividedYet(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g": 40}, start)
	p.SetClasses(2, start)
	sums := allotment.Demand{Waiting: allotment.Counts{30, 30}, Running: allotment.Counts{4}, Entries: 16}
	report := func(now time.Time) {
		p.ReportDemand("g", sums, now, now)
		p.ReportLoad(Load{Group: "g", Complete: true, Running: 4, Entries: 16}, now)
	}
	report(start)
	now := start.Add(100 * time.Millisecond)
	p.MarkStalled("g", now.Add(time.Second))
	is.Equal(p.Enqueue(request("probe"), now), nil)
	now = now.Add(time.Second)
	report(now)
	p.groups["g"].resetAfterOutage(now)
	for i := range 30 {
		_ = p.Enqueue(Request{ID: fmt.Sprint(i), Cost: cost, Objective: objective}, now)
	}
	is.True(p.groups["g"].running <= queue.RecoveryLimit(40, 16)+1)
	report(now.Add(200 * time.Millisecond))
	is.True(p.groups["g"].running > queue.RecoveryLimit(40, 16)+1)
}

// Guards against reports where no request goes before another.
func TestOneClassReportsNothing(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetGroups(map[string]int{"g": 40}, start)
	_, ok := p.Demand("g")
	is.True(!ok)
	is.True(!p.ReportDemand("g", allotment.Demand{Waiting: allotment.Counts{900, 900}}, start, start))
	p.ReportLoad(Load{Group: "g", Complete: true, Running: 20, Entries: 2}, start)
	is.True(!p.groups["g"].shared.inForce)
	p.SetClasses(2, start)
	p.ReportDemand("g", allotment.Demand{Waiting: allotment.Counts{900, 900}, Entries: 2}, start, start)
	p.ReportLoad(Load{Group: "g", Complete: true, Running: 20, Entries: 2}, start)
	is.True(p.groups["g"].shared.inForce)
	p.Tick(start.Add(loadValidity + time.Millisecond))
	is.True(!p.groups["g"].shared.inForce) // too old
	p.ReportDemand("g", allotment.Demand{Entries: 2}, start, start)
	p.ReportLoad(Load{Group: "g", Complete: true, Running: 20, Entries: 2}, start.Add(2*time.Second))
	is.True(!p.groups["g"].shared.inForce) // the sums are, although the load is new
}
