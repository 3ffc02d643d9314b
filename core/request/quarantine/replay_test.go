package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scenario is a simulated load: targets that crash together with the requests that run there,
// and callers that wait until the targets are back.
type scenario struct {
	targets, gateways int
	// backlog is how many requests wait when the targets are back.
	backlog int
	// copies is the maximum number of copies of the crashing request that are sent at once.
	copies int
	seeds  uint64
}

const (
	// replayTries is how often a request is sent in all: twice by its gateway, and twice more
	// after its caller has retried.
	replayTries = 4
	// replayDelay is the longest time until a gateway receives what another has published.
	replayDelay = 700 * time.Millisecond
	// replayWave is the time from one recovery of a group to the next.
	replayWave  = 4300 * time.Millisecond
	replayWaves = 8
	replayStep  = 100 * time.Millisecond
)

// event is an update that a gateway receives at a given time.
type event struct {
	at    time.Time
	apply func(*Register)
}

// deliver applies the events that are due, and returns the others.
func deliver(inbox []event, g *Register, now time.Time) (later []event) {
	for _, e := range inbox {
		if e.at.After(now) {
			later = append(later, e)
			continue
		}
		e.apply(g)
	}
	return later
}

// simulation is a group that gets requests which crash its targets, with the gateways in front
// of it and their store.
type simulation struct {
	scenario
	rng       *rand.Rand
	now       time.Time
	registers []*Register
	inboxes   [][]event
	revision  int64
	holds     map[Fingerprint]int64
	// tries is how often each waiting request may still be sent.
	tries map[int]int
	next  int
	ended int
	// refused are requests other than the cause that were refused.
	refused map[int]bool
	// sent counts the copies of each crashing request that were sent after its third crash.
	sent, crashed map[int]int
}

func newSimulation(sc scenario, seed uint64) *simulation {
	s := &simulation{
		scenario: sc, rng: rand.New(rand.NewPCG(seed, 1)), now: start, inboxes: make([][]event, sc.gateways),
		holds: map[Fingerprint]int64{}, tries: map[int]int{}, next: 1000, refused: map[int]bool{}, sent: map[int]int{}, crashed: map[int]int{},
	}
	for range sc.gateways {
		s.registers = append(s.registers, New(fmt.Sprint("gateway-", len(s.registers))))
	}
	return s
}

// broadcast delivers an update to all gateways, without delay to the one that it comes from.
func (s *simulation) broadcast(from int, apply func(*Register)) {
	for to := range s.inboxes {
		delay := time.Duration(s.rng.Int64N(int64(replayDelay)))
		if to == from {
			delay = 0
		}
		s.inboxes[to] = append(s.inboxes[to], event{s.now.Add(delay), apply})
	}
}

// write stores a hold if its stored revision is the given one, and reports whether it was.
func (s *simulation) write(from int, p Fingerprint, revision int64, h Hold) bool {
	if s.holds[p] != revision {
		return false
	}
	s.revision++
	s.holds[p] = s.revision
	written, at := s.revision, s.now
	s.broadcast(from, func(g *Register) {
		_, err := g.Apply(HoldKey(p), written, h.Bytes(), at)
		if err != nil {
			panic(err) // The item is well-formed.
		}
	})
	return true
}

// admit reports whether a gateway sends a request.
func (s *simulation) admit(from, n int) bool {
	v := s.registers[from].Decide(fingerprintOf(n), s.now)
	return !v.Quarantined || v.Probe && s.write(from, fingerprintOf(n), v.Revision, v.Hold.WithProbe())
}

// placement is a request at a target.
type placement struct{ gateway, request int }

// admitWave sends the waiting requests, new ones and copies of the crashing ones, and crashes
// the targets that got one of those. All requests in progress in the group are cut off.
func (s *simulation) admitWave(crashing []int) {
	at := make([][]placement, s.targets)
	put := func(n int) bool {
		from := s.rng.IntN(s.gateways)
		if !s.admit(from, n) {
			return false
		}
		target := s.rng.IntN(s.targets)
		at[target] = append(at[target], placement{from, n})
		return true
	}
	for len(s.tries) < s.backlog {
		s.next++
		s.tries[s.next] = replayTries
	}
	for n := range s.tries {
		s.refused[n] = !put(n) || s.refused[n]
		if s.tries[n]--; s.tries[n] == 0 {
			delete(s.tries, n)
		}
	}
	hit := map[int]bool{}
	for _, n := range crashing {
		late := s.crashed[n] >= crashThreshold
		for range 1 + s.rng.IntN(s.copies) {
			if put(n) && late {
				s.sent[n]++
			}
		}
	}
	for target, placed := range at {
		for _, n := range crashing {
			if slices.ContainsFunc(placed, func(p placement) bool { return p.request == n }) {
				hit[target] = true
				s.crashed[n]++
			}
		}
	}
	for target := range hit {
		s.crashTarget(at[target])
	}
	if len(hit) == 0 {
		s.complete(at)
	}
}

// crashTarget crashes a target: each gateway reports its own requests there.
func (s *simulation) crashTarget(placed []placement) {
	s.ended++
	by := make([][]Fingerprint, s.gateways)
	for _, p := range placed {
		by[p.gateway] = append(by[p.gateway], fingerprintOf(p.request))
	}
	for from, requests := range by {
		report := Report{Crashes: []Crash{{Target: fmt.Sprint(s.ended), Requests: requests}}}
		at := s.now
		s.broadcast(from, func(g *Register) { g.Report(&report, at) })
	}
}

// complete ends all requests with complete responses.
func (s *simulation) complete(at [][]placement) {
	for _, placed := range at {
		for _, p := range placed {
			delete(s.tries, p.request)
			key, done := fingerprintOf(p.request), Report{Completed: []Fingerprint{fingerprintOf(p.request)}}
			if s.registers[p.gateway].Completed(key) {
				delete(s.holds, key)
				s.broadcast(p.gateway, func(g *Register) {
					g.Report(&done, s.now)
					g.Remove(HoldKey(key))
				})
			}
		}
	}
}

// advance moves the clock on: gateways receive updates from each other, and decide.
func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(replayStep) {
		for i, g := range s.registers {
			s.inboxes[i] = deliver(s.inboxes[i], g, s.now)
			for p, h := range g.PendingWrites(s.now) {
				s.write(i, p, 0, h)
			}
		}
	}
}

// A request that crashes its targets is retried several times a second at all gateways, and a
// group recovers every 4 s. Some copies of it are admitted at once; each crashes a target with
// everything that runs there, and the rest of the group is cut off and retried too. The
// crashing request must not be sent more than three times after the recovery that follows its
// third crash, and none of the hundreds of other requests may be refused.
func TestReplayOfACrashLoop(t *testing.T) {
	for name, sc := range map[string]scenario{
		"a group of 16":    {targets: 16, gateways: 6, backlog: 160, copies: 4, seeds: 60},
		"a group of 192":   {targets: 192, gateways: 53, backlog: 600, copies: 8, seeds: 2},
		"a plain service":  {targets: 3, gateways: 6, backlog: 18, copies: 2, seeds: 60},
		"one plain server": {targets: 1, gateways: 2, backlog: 6, copies: 1, seeds: 60},
	} {
		t.Run(name, func(t *testing.T) {
			crashes := 0
			for seed := range sc.seeds {
				crashes = max(crashes, runScenario(t, sc, seed))
			}
			t.Logf("at most %d crashes under one request", crashes)
		})
	}
}

// runScenario simulates a scenario with one crashing request or two, and returns the most
// crashes that one of them caused.
func runScenario(t *testing.T, sc scenario, seed uint64) (crashes int) {
	s := newSimulation(sc, seed)
	crashing := []int{1, 2}[:1+seed%2]
	for range replayWaves {
		s.admitWave(crashing)
		s.advance(replayWave)
	}
	for _, n := range crashing {
		crashes = max(crashes, s.crashed[n])
		if s.sent[n] > 3 {
			t.Errorf("seed %d: request %d was sent %d times after its third crash", seed, n, s.sent[n])
		}
	}
	for n, was := range s.refused {
		if was {
			t.Errorf("seed %d: request %d was refused", seed, n)
		}
	}
	return crashes
}
