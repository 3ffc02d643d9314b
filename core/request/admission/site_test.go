package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenashift/core/request/headroom"
	"verbenashift/core/request/queue"
)

// demand is what the callers of one class ask for.
type demand struct {
	// rate is in requests a second, burst by how much it is multiplied in the burst.
	rate, burst float64
	objective   time.Duration
	// workspaces is among how many workspaces they spread.
	workspaces int
	// abuse says that refused callers come back at once and often during the burst.
	abuse bool
	// at returns the gateway of a request; nil spreads them evenly.
	at func(rng *rand.Rand) int
}

// site plays gateways before one group of engines, the passes of which take as long as headroom.Cost
// says. Times are those since the start.
type site struct {
	gateways, slots int
	demands         []demand
	burst           [2]time.Duration
	lasts           time.Duration
	// stretch returns how many times as long a pass takes as at evenly loaded ranks; nil means once.
	stretch func(at time.Duration) float64
	// eventDelay is by how much the link of a gateway delays an event; nil means not at all.
	eventDelay func(gateway int, at time.Duration) time.Duration
	// bound says that the gateways know the cost of a pass, and classes that they order requests.
	bound, classes bool
}

const (
	siteStep       = 10 * time.Millisecond
	siteReport     = 200 * time.Millisecond
	sitePause      = 120 * time.Millisecond
	siteEvents     = 23
	siteEngineSlot = 10
	// abuseReturn is after how long a caller that abuses retries is back, up to maxAbuse times.
	abuseReturn = 100 * time.Millisecond
	maxAbuse    = 5
)

var siteCost = headroom.Cost{Base: 35100 * time.Microsecond, PerRequest: 2800 * time.Microsecond, Reading: 13 * time.Millisecond}

// fate counts the requests of a class by what became of them. Callers that came back are counted once.
type fate struct {
	asked, onTime, late, refused int
	// overtaken counts refusals for the wait within a moment after which later classes started at
	// the same gateway more often than their floor allows.
	overtaken int
}

func (f fate) share() float64 { return float64(f.onTime) / float64(max(f.asked, 1)) }

// stream is a request of a site.
type stream struct {
	id             string
	class, gateway int
	arrived        time.Duration
	tries          int
	workspace      string
	events         int
	late           bool
	// last is when its last event was sent.
	last time.Duration
}

type siteRun struct {
	site
	rng   *rand.Rand
	now   time.Duration
	pools []*Pool
	next  int
	// waiting are the streams at gateways by ID, back those that come back by the step.
	waiting map[string]*stream
	back    map[time.Duration][]*stream
	// queued wait at the engines, joining run from the next pass on.
	queued, joining, running []*stream
	passEnd                  time.Duration
	// fates are by class, during those of the requests that arrived in the burst.
	fates, during []fate
	// byGateway are those in the burst by gateway and class.
	byGateway [][]fate
	// starts are the last starts at each gateway.
	starts [][]siteStart
	// peak and lowest are those of the running streams after the first two seconds.
	most   int
	usable []int
}

type siteStart struct {
	at    time.Duration
	class int
}

func (s site) play(seed uint64) *siteRun {
	r := &siteRun{
		site: s, rng: rand.New(rand.NewPCG(seed, 7)), waiting: map[string]*stream{}, back: map[time.Duration][]*stream{},
		fates: make([]fate, len(s.demands)), during: make([]fate, len(s.demands)), starts: make([][]siteStart, s.gateways),
	}
	for i := range s.gateways {
		r.byGateway = append(r.byGateway, make([]fate, len(s.demands)))
		p := New(rand.New(rand.NewPCG(seed, uint64(8+i))))
		if s.classes {
			p.SetClasses(len(s.demands), start)
		}
		if s.bound {
			p.SetPassCost(siteCost, siteEngineSlot, sitePause)
		}
		p.SetGroups(map[string]int{"g": s.slots}, start)
		r.pools = append(r.pools, p)
	}
	for r.now = 0; r.now < s.lasts; r.now += siteStep {
		r.step()
	}
	return r
}

func (r *siteRun) clock() time.Time { return start.Add(r.now) }

func (r *siteRun) inBurst(at time.Duration) bool { return at >= r.burst[0] && at < r.burst[1] }

func (r *siteRun) step() {
	if r.now >= r.passEnd {
		r.endPass()
	}
	if r.now%siteReport == 0 {
		for i, p := range r.pools {
			p.ReportLoad(Load{Group: "g", Complete: true, Running: len(r.running) + len(r.joining), Queued: len(r.queued), Entries: r.gateways}, r.clock())
			r.collect(i)
			r.usable = append(r.usable, p.Groups(r.clock())[0].Usable)
		}
	}
	for _, c := range r.back[r.now] {
		r.enqueue(c)
	}
	delete(r.back, r.now)
	for class, d := range r.demands {
		rate := d.rate
		if r.inBurst(r.now) && d.burst > 0 {
			rate *= d.burst
		}
		for want := rate * siteStep.Seconds(); want > r.rng.Float64(); want-- {
			r.arrive(class, d)
		}
	}
	for i, p := range r.pools {
		p.Tick(r.clock())
		r.collect(i)
	}
}

func (r *siteRun) arrive(class int, d demand) {
	c := &stream{class: class, gateway: r.rng.IntN(r.gateways), arrived: r.now, workspace: fmt.Sprint("w", r.rng.IntN(max(d.workspaces, 1)))}
	if d.at != nil {
		c.gateway = d.at(r.rng)
	}
	r.count(c, func(f *fate) { f.asked++ })
	r.enqueue(c)
}

// count counts in the fates of the stream's class.
func (r *siteRun) count(c *stream, add func(*fate)) {
	add(&r.fates[c.class])
	if r.inBurst(c.arrived) {
		add(&r.byGateway[c.gateway][c.class])
		add(&r.during[c.class])
	}
}

func (r *siteRun) enqueue(c *stream) {
	r.next++
	c.id = fmt.Sprint(r.next)
	class := c.class
	if !r.classes {
		class = 0
	}
	refusal := r.pools[c.gateway].Enqueue(Request{
		ID: c.id, Workspace: c.workspace, Cost: cost, Objective: r.demands[c.class].objective, Retry: c.tries > 0, Class: class,
	}, r.clock())
	if refusal != nil {
		r.refuse(c, refusal.Reason, refusal.RetryAfter)
	} else {
		r.waiting[c.id] = c
	}
	r.collect(c.gateway)
}

// overtakenFor is how long before a refusal the starts of later classes count.
const overtakenFor = time.Second

func (r *siteRun) refuse(c *stream, reason string, after time.Duration) {
	if reason == queue.ReasonDeadline || reason == queue.ReasonExpired {
		all, behind := 0, 0
		for _, s := range r.starts[c.gateway] {
			if r.now-s.at <= overtakenFor {
				all++
				if s.class > c.class {
					behind++
				}
			}
		}
		if float64(behind) > 0.1*float64(all)+2 {
			r.count(c, func(f *fate) { f.overtaken++ })
		}
	}
	c.tries++
	again := c.tries < 2
	if r.demands[c.class].abuse && r.inBurst(r.now) {
		again, after = c.tries < maxAbuse, abuseReturn
	}
	if !again {
		r.count(c, func(f *fate) { f.refused++ })
		return
	}
	at := (r.now + max(after, siteStep)).Truncate(siteStep)
	r.back[at] = append(r.back[at], c)
}

func (r *siteRun) collect(gateway int) {
	for _, d := range r.pools[gateway].Decisions() {
		c := r.waiting[d.ID]
		delete(r.waiting, d.ID)
		if d.Refusal != nil {
			r.refuse(c, d.Refusal.Reason, d.Refusal.RetryAfter)
			continue
		}
		r.starts[gateway] = append(r.starts[gateway], siteStart{r.now, c.class})
		if n := len(r.starts[gateway]); n > 200 {
			r.starts[gateway] = append(r.starts[gateway][:0], r.starts[gateway][n-100:]...)
		}
		r.pools[gateway].Accepted(d.ID, r.clock())
		r.queued = append(r.queued, c)
	}
	r.admit()
}

// admit moves streams that wait at the engines to free slots.
func (r *siteRun) admit() {
	for len(r.queued) > 0 && len(r.running)+len(r.joining) < r.slots {
		r.joining = append(r.joining, r.queued[0])
		r.queued = r.queued[1:]
	}
}

// endPass sends an event of each stream of the pass, and starts the next one.
func (r *siteRun) endPass() {
	rest := r.running[:0]
	var done []*stream
	for _, c := range r.running {
		r.event(c)
		if c.events == siteEvents {
			done = append(done, c)
			continue
		}
		rest = append(rest, c)
	}
	r.running = append(rest, r.joining...)
	reads := len(r.joining) > 0
	r.joining = nil
	for _, c := range done {
		r.pools[c.gateway].Done(c.id, cost, r.clock())
		onTime := func(f *fate) { f.onTime++ }
		if c.late {
			onTime = func(f *fate) { f.late++ }
		}
		r.count(c, onTime)
		r.collect(c.gateway)
	}
	r.admit()
	r.passEnd += r.passTime(reads)
	r.passEnd = max(r.passEnd, r.now+siteStep)
}

func (r *siteRun) passTime(reads bool) time.Duration {
	stretch := 1.0
	if r.stretch != nil {
		stretch = r.stretch(r.now)
	}
	ranks := float64(r.slots / siteEngineSlot)
	d := time.Duration(stretch * (siteCost.Base.Seconds() + siteCost.PerRequest.Seconds()*float64(len(r.running))/ranks) * float64(time.Second))
	if reads {
		d += siteCost.Reading
	}
	return d
}

func (r *siteRun) event(c *stream) {
	c.events++
	p := r.pools[c.gateway]
	sent := r.passEnd
	if r.eventDelay != nil {
		sent += r.eventDelay(c.gateway, r.passEnd)
	}
	if c.events == 1 {
		p.ObserveFirstEvent(c.id, r.now-c.arrived)
		c.late = sent-c.arrived > r.demands[c.class].objective
	} else {
		p.ObservePause(c.id, sent-c.last, r.clock())
		c.late = c.late || sent-c.last > sitePause
	}
	c.last = sent
}
