package retry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// deployment is a number of senders and the requests that they get.
type deployment struct {
	senders, targets int
	// rate is the number of requests a second of all senders together.
	rate  float64
	burst float64
}

// deployments are those of the platform's pages, and the size to design for.
var deployments = []deployment{
	{2, 19, 83, 90}, {12, 75, 290, 116}, {53, 197, 466, 264}, {212, 788, 290, 1040}, {390, 670, 6200, 1040},
}

const (
	modelStep   = 20 * time.Millisecond
	modelWindow = 10 * time.Second
	modelRatio  = 0.2
	// modelRuns is how long a request is at its target.
	modelRuns = 800 * time.Millisecond
	// modelPoll is how often a sender polls a coordinator, which counts it for modelCounted.
	modelPoll    = 200 * time.Millisecond
	modelCounted = 3 * time.Second
	// modelDown is the longest time that a killed sender is away.
	modelDown = 1500 * time.Millisecond
)

// disruption is one of a series.
type disruption struct {
	kind     string
	at, till time.Duration
	// share is the share of the senders, or of the requests, that it affects.
	share float64
}

// series returns random disruptions of a run of the given length.
func series(rng *rand.Rand, length time.Duration) []disruption {
	kinds := []string{
		"reject", "reject", "reject", "lose", "kill", "kill", "kill", "roll", "freeze", "cut", "join", "replace", "shift", "coordinators", "crowd",
	}
	list := make([]disruption, 4+rng.IntN(8))
	for i := range list {
		at := time.Duration(rng.Int64N(int64(length)))
		list[i] = disruption{kinds[rng.IntN(len(kinds))], at, at + time.Duration(rng.Int64N(int64(4*time.Second))), 0.1 + 0.9*rng.Float64()}
		if rng.IntN(2) == 0 {
			list[i].share = 1
		}
	}
	return list
}

// modelSender is one sender of a model.
type modelSender struct {
	budgets *SharedBudgets
	// down is until when it is not running, frozen until when it does nothing, and cut until when it
	// reaches no coordinator.
	down, frozen, cut time.Time
	polledAt          time.Time
	// weight is its part of the callers.
	weight float64
	gone   bool
	// held are the requests that arrived while it was frozen, running those at targets.
	held    int
	running []modelAttempt
}

// modelAttempt is a request that is at a target, or will be at the given time.
type modelAttempt struct {
	at    time.Time
	state Attempts
}

// model plays senders on the code that decides, and counts what reaches the targets.
type model struct {
	deployment
	rng     *rand.Rand
	returns ReturnScheduler
	start   time.Time
	now     time.Time
	senders []*modelSender
	list    []disruption
	// counted is when each sender was last polled by; coordinators answer from answering on.
	counted   map[*modelSender]time.Time
	answering time.Time
	// requests and repeats are counted by step. wanted and made are retries.
	requests, repeats []int
	wanted, made      int
}

func newModel(d deployment, seed uint64, length time.Duration, list []disruption) *model {
	m := &model{
		deployment: d, rng: rand.New(rand.NewPCG(seed, uint64(d.senders))), start: start, now: start, list: list,
		counted:  map[*modelSender]time.Time{},
		requests: make([]int, length/modelStep+1), repeats: make([]int, length/modelStep+1),
	}
	for range d.senders {
		m.senders = append(m.senders, &modelSender{budgets: m.life(time.Time{}), weight: 0.5 + m.rng.Float64()})
	}
	return m
}

// life returns the budgets of a process that starts now.
func (m *model) life(startedAt time.Time) *SharedBudgets {
	a := Allowance{Ratio: modelRatio, Burst: m.burst, Window: modelWindow}
	b := NewSharedBudgets(a, startedAt)
	b.ReportTargets(m.targets)
	return b
}

// run plays the whole length. Senders start some seconds before their callers.
func (m *model) run() {
	for range int(2 * time.Second / modelStep) {
		m.poll()
		m.now = m.now.Add(modelStep)
	}
	m.start = m.now
	for n := range m.requests {
		m.disrupt(time.Duration(n) * modelStep)
		m.poll()
		m.arrive(n)
		for _, s := range m.senders {
			m.attempt(s, n)
		}
		m.now = m.now.Add(modelStep)
	}
}

// active reports whether a disruption of a kind goes on, and how much it affects.
func (m *model) active(kind string) float64 {
	at, share := m.now.Sub(m.start), 0.0
	for _, d := range m.list {
		if d.kind == kind && at >= d.at && at < d.till {
			share = max(share, d.share)
		}
	}
	return share
}

// disrupt begins the disruptions of this step.
func (m *model) disrupt(at time.Duration) {
	for _, d := range m.list {
		if d.at < at || d.at >= at+modelStep {
			continue
		}
		switch d.kind {
		case "lose":
			m.lose(d.share)
		case "coordinators":
			clear(m.counted)
			m.answering = m.now.Add(time.Duration(m.rng.Int64N(int64(2 * time.Second))))
		default:
			for i, s := range m.senders {
				if m.rng.Float64() < d.share {
					m.strike(s, d, i)
				}
			}
		}
	}
}

// strike affects one sender.
func (m *model) strike(s *modelSender, d disruption, i int) {
	long := d.till - d.at
	switch d.kind {
	case "kill":
		m.kill(s, m.now.Add(modelDown/3+time.Duration(m.rng.Int64N(int64(modelDown)))))
	case "roll":
		s.down = m.now.Add(long * time.Duration(i) / time.Duration(len(m.senders)))
	case "freeze":
		s.frozen = m.now.Add(long)
	case "cut":
		s.cut = m.now.Add(long * 6)
	case "join":
		if len(m.senders) < 2*m.deployment.senders {
			m.senders = append(m.senders, &modelSender{budgets: m.life(m.now), weight: s.weight})
		}
	case "replace":
		s.gone = true
		m.senders = append(m.senders, &modelSender{budgets: m.life(m.now), weight: s.weight})
	case "shift":
		m.senders[m.rng.IntN(len(m.senders))].weight += s.weight
		s.weight = 0
	}
}

// kill ends a process; the next one starts at until.
func (m *model) kill(s *modelSender, until time.Time) {
	s.down, s.budgets, s.running, s.held = until, nil, nil, 0
}

// lose breaks a share of what is at the targets.
func (m *model) lose(share float64) {
	for _, s := range m.senders {
		for i := range s.running {
			if !s.running[i].at.After(m.now) && m.rng.Float64() < share {
				s.running[i].at = m.now
				s.running[i].state.MayHaveRun = true
			}
		}
	}
}

// poll has the senders ask for their number, and starts those that are due.
func (m *model) poll() {
	for _, s := range m.senders {
		if s.gone || m.now.Before(s.down) || m.now.Before(s.frozen) {
			continue
		}
		if s.budgets == nil {
			s.budgets = m.life(m.now)
		}
		if m.now.Before(s.cut) || m.now.Before(m.answering) || m.now.Sub(s.polledAt) < modelPoll {
			continue
		}
		s.polledAt, m.counted[s] = m.now, m.now
		s.budgets.ReportSenders(len(m.counted), m.now)
	}
	for s, at := range m.counted {
		if m.now.Sub(at) > modelCounted {
			delete(m.counted, s)
		}
	}
}

// arrive gives the requests of one step to senders.
func (m *model) arrive(n int) {
	sums, total := make([]float64, len(m.senders)), 0.0
	for i, s := range m.senders {
		total += m.weightOf(s)
		sums[i] = total
	}
	for want := m.rate * (1 + m.active("crowd")) * modelStep.Seconds(); want > m.rng.Float64(); want-- {
		m.requests[n]++
		if i := sort.SearchFloat64s(sums, m.rng.Float64()*total); i < len(sums) {
			m.senders[i].held++
		}
	}
}

// weightOf returns a sender's part of the callers, who notice that it is down.
func (m *model) weightOf(s *modelSender) float64 {
	if s.gone || s.budgets == nil {
		return 0
	}
	return s.weight
}

// attempt makes the attempts of a sender that are due in this step.
func (m *model) attempt(s *modelSender, n int) {
	if s.gone {
		return
	}
	if s.budgets != nil && m.now.Before(s.down) {
		m.kill(s, s.down)
	}
	if s.budgets == nil || m.now.Before(s.frozen) {
		return
	}
	for ; s.held > 0; s.held-- {
		s.budgets.Request(ServiceKey("pool"), m.now)
		s.running = append(s.running, modelAttempt{at: m.now})
	}
	kept := s.running[:0]
	for _, a := range s.running {
		if m.advance(s, &a, n) {
			kept = append(kept, a)
		}
	}
	s.running = kept
}

// advance makes an attempt if it is due, and reports whether its request goes on.
func (m *model) advance(s *modelSender, a *modelAttempt, n int) bool {
	if a.at.After(m.now) {
		return true
	}
	if a.at.Before(m.now) { // at its target
		return m.now.Sub(a.at) < modelRuns
	}
	kind := Refused
	switch {
	case a.state.MayHaveRun:
		kind, a.state.MayHaveRun = Broken, false
	case a.state.Errors > 0:
		m.repeats[n]++
		fallthrough
	default:
		if m.rng.Float64() >= m.active("reject") {
			return true
		}
	}
	m.wanted++
	d := Decide(&a.state, kind, s.budgets.For(ServiceKey("pool")), &m.returns, time.Time{}, m.now, m.rng)
	if !d.Retry {
		return false
	}
	m.made++
	a.state.MayHaveRun = false
	a.at = m.now.Add(modelStep * max(1, (d.At.Sub(m.now)+modelStep-1)/modelStep))
	return true
}

// worst returns the most repeats in a window beyond what is allowed there, as the platform's rule
// counts them, with those repeats and what is allowed.
func (m *model) worst() (excess float64, repeats int, allowed float64) {
	excess = math.Inf(-1)
	width := int(modelWindow / modelStep)
	sum := func(counts []int, from int) (n int) {
		for i := max(from, 0); i < min(from+width, len(counts)); i++ {
			n += counts[i]
		}
		return n
	}
	for from := 0; from < len(m.repeats); from += 5 {
		q := max(sum(m.requests, from), sum(m.requests, from-width), sum(m.requests, from-width/2))
		most := modelRatio*float64(q) + m.burst
		if n := sum(m.repeats, from); float64(n)-most > excess {
			excess, repeats, allowed = float64(n)-most, n, most
		}
	}
	return excess, repeats, allowed
}

// play returns a model that has played a random series.
func play(d deployment, seed uint64) *model {
	rng := rand.New(rand.NewPCG(seed, 7))
	length := 8*time.Second + time.Duration(rng.Int64N(int64(24*time.Second)))
	m := newModel(d, seed, length, series(rng, length))
	m.run()
	return m
}

// Guards against more repeats of all senders together than a deployment allows, when senders are
// lost, restarted, frozen, cut off and replaced in series while targets fail.
func TestRetriesOfAllSendersStayWithinTheAllowance(t *testing.T) {
	for _, d := range deployments {
		t.Run(fmt.Sprint(d.senders), func(t *testing.T) {
			seeds := uint64(280)
			if d.rate > 1000 {
				seeds = 8
			}
			if testing.Short() {
				seeds /= 8
			}
			for seed := range seeds {
				m := play(d, seed)
				if excess, repeats, allowed := m.worst(); excess > 0 {
					t.Errorf("seed %d: %d repeats in %v, %.0f allowed; %v", seed, repeats, modelWindow, allowed, m.list)
				}
			}
		})
	}
}

// Guards against a second burst and a second ratio for senders that have just used theirs and
// restart, or whose callers go to others.
func TestRetriesOfEndedProcessesCount(t *testing.T) {
	const length = 18 * time.Second
	twice := []disruption{{"reject", 8 * time.Second, 9200 * time.Millisecond, 0.9}, {"reject", 15500 * time.Millisecond, length, 0.9}}
	for _, kind := range []string{"kill", "replace", "shift"} {
		for _, d := range deployments {
			t.Run(fmt.Sprintf("%s %d", kind, d.senders), func(t *testing.T) {
				m := newModel(d, 1, length, append(twice, disruption{kind, 9300 * time.Millisecond, 9400 * time.Millisecond, 1}))
				m.run()
				if excess, repeats, allowed := m.worst(); excess > 0 {
					t.Errorf("%d repeats in %v, %.0f allowed", repeats, modelWindow, allowed)
				}
			})
		}
	}
}
