package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// shape is what a replayed load meets: targets that are lost together with what runs there,
// and callers that wait until they are back.
type shape struct {
	targets, gateways int
	// rush is how many requests are placed when the targets are back.
	rush int
	// copies is how many of the request that crashes its targets are let in at once, at most.
	copies int
	seeds  uint64
}

const (
	// replayTries is how often a request is sent in all: by its gateway twice, and twice when
	// its caller has come back.
	replayTries = 4
	// replayDelay is the longest time in which a gateway hears of what another has told.
	replayDelay = 700 * time.Millisecond
	// replayWave is the time from one opening of a group to the next.
	replayWave  = 4300 * time.Millisecond
	replayWaves = 8
	replayStep  = 100 * time.Millisecond
)

// event is what a gateway hears at a time.
type event struct {
	at    time.Time
	apply func(*Register)
}

// storm is a group under requests that crash its targets, with the gateways before it and
// their store.
type storm struct {
	shape
	rng       *rand.Rand
	now       time.Time
	registers []*Register
	coming    [][]event
	revision  int64
	holds     map[Fingerprint]int64
	// tries are how often the requests that wait may still be sent.
	tries map[int]int
	next  int
	ended int
	// refused are neighbours that were not sent.
	refused map[int]bool
	// sent are the culprits' copies that were sent after the third crash under them.
	sent, crashed map[int]int
}

func newStorm(sh shape, seed uint64) *storm {
	s := &storm{
		shape: sh, rng: rand.New(rand.NewPCG(seed, 1)), now: start, coming: make([][]event, sh.gateways),
		holds: map[Fingerprint]int64{}, tries: map[int]int{}, next: 1000, refused: map[int]bool{}, sent: map[int]int{}, crashed: map[int]int{},
	}
	for range sh.gateways {
		s.registers = append(s.registers, New())
	}
	return s
}

// tell has all gateways hear of something, the one that it comes from at once.
func (s *storm) tell(from int, apply func(*Register)) {
	for to := range s.coming {
		delay := time.Duration(s.rng.Int64N(int64(replayDelay)))
		if to == from {
			delay = 0
		}
		s.coming[to] = append(s.coming[to], event{s.now.Add(delay), apply})
	}
}

// write writes a hold if it has a revision in the store, and reports whether it had.
func (s *storm) write(from int, p Fingerprint, revision int64, h Hold) bool {
	if s.holds[p] != revision {
		return false
	}
	s.revision++
	s.holds[p] = s.revision
	written, at := s.revision, s.now
	s.tell(from, func(g *Register) {
		_, err := g.Apply(HoldKey(p), written, h.Bytes(), at)
		if err != nil {
			panic(err) // It was built here.
		}
	})
	return true
}

// let reports whether a gateway sends a request.
func (s *storm) let(from, n int) bool {
	v := s.registers[from].Decide(printOf(n), s.now)
	return !v.Quarantined || v.Probe && s.write(from, printOf(n), v.Revision, v.Hold.WithProbe())
}

// place is a request at a target.
type place struct{ gateway, request int }

// open places what waits, new requests and copies of the culprits, and crashes the targets
// that got one. All that was under way in the group breaks off with it.
func (s *storm) open(culprits []int) {
	at := make([][]place, s.targets)
	put := func(n int) bool {
		from := s.rng.IntN(s.gateways)
		if !s.let(from, n) {
			return false
		}
		target := s.rng.IntN(s.targets)
		at[target] = append(at[target], place{from, n})
		return true
	}
	for len(s.tries) < s.rush {
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
	for _, n := range culprits {
		late := s.crashed[n] >= enough
		for range 1 + s.rng.IntN(s.copies) {
			if put(n) && late {
				s.sent[n]++
			}
		}
	}
	for target, placed := range at {
		for _, n := range culprits {
			if slices.ContainsFunc(placed, func(p place) bool { return p.request == n }) {
				hit[target] = true
				s.crashed[n]++
			}
		}
	}
	for target := range hit {
		s.lose(at[target])
	}
	if len(hit) == 0 {
		s.complete(at)
	}
}

// lose crashes a target: each gateway tells of its own requests there.
func (s *storm) lose(placed []place) {
	s.ended++
	by := make([][]Fingerprint, s.gateways)
	for _, p := range placed {
		by[p.gateway] = append(by[p.gateway], printOf(p.request))
	}
	for from, requests := range by {
		told := Report{Crashes: []Crash{{Target: fmt.Sprint(s.ended), Requests: requests}}}
		at := s.now
		s.tell(from, func(g *Register) { g.Report(&told, at) })
	}
}

// complete answers all requests whole.
func (s *storm) complete(at [][]place) {
	for _, placed := range at {
		for _, p := range placed {
			delete(s.tries, p.request)
			key, done := printOf(p.request), Report{Completed: []Fingerprint{printOf(p.request)}}
			if s.registers[p.gateway].Completed(key) {
				delete(s.holds, key)
				s.tell(p.gateway, func(g *Register) {
					g.Report(&done, s.now)
					g.Remove(HoldKey(key))
				})
			}
		}
	}
}

// pass lets time pass: gateways hear of each other, and decide.
func (s *storm) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(replayStep) {
		for i, g := range s.registers {
			var later []event
			for _, e := range s.coming[i] {
				if e.at.After(s.now) {
					later = append(later, e)
					continue
				}
				e.apply(g)
			}
			s.coming[i] = later
			for p, h := range g.PendingWrites(s.now) {
				s.write(i, p, 0, h)
			}
		}
	}
}

// A request that crashes its targets comes again several times a second at all gateways, and
// a group opens every 4 s. Some copies of it are let in at once, each of which takes a
// target with all that runs there, and the rest of the group breaks off; they come
// again too. The culprit must not be sent more than three times later than the opening after
// its third crash, and of the hundreds beside it none may be refused.
func TestReplayOfAStorm(t *testing.T) {
	for name, sh := range map[string]shape{
		"a group of 16":    {targets: 16, gateways: 6, rush: 160, copies: 4, seeds: 60},
		"a group of 192":   {targets: 192, gateways: 53, rush: 600, copies: 8, seeds: 2},
		"a plain service":  {targets: 3, gateways: 6, rush: 18, copies: 2, seeds: 60},
		"one plain server": {targets: 1, gateways: 2, rush: 6, copies: 1, seeds: 60},
	} {
		t.Run(name, func(t *testing.T) {
			crashes := 0
			for seed := range sh.seeds {
				crashes = max(crashes, play(t, sh, seed))
			}
			t.Logf("at most %d crashes under one request", crashes)
		})
	}
}

// play plays one storm, of one culprit or two, and returns the most crashes under one.
func play(t *testing.T, sh shape, seed uint64) (crashes int) {
	s := newStorm(sh, seed)
	culprits := []int{1, 2}[:1+seed%2]
	for range replayWaves {
		s.open(culprits)
		s.pass(replayWave)
	}
	for _, n := range culprits {
		crashes = max(crashes, s.crashed[n])
		if s.sent[n] > 3 {
			t.Errorf("seed %d: request %d was sent %d times after its third crash", seed, n, s.sent[n])
		}
	}
	for n, was := range s.refused {
		if was {
			t.Errorf("seed %d: neighbour %d was refused", seed, n)
		}
	}
	return crashes
}
