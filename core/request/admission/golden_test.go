package admission

import (
	"flag"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/headroom"
)

var update = flag.Bool("update", false, "write the golden files")

// session plays random calls to one Pool and records what it decides.
type session struct {
	pool    *Pool
	rng     *rand.Rand
	now     time.Time
	next    int
	waiting []string
	running []string
	log     strings.Builder
}

var sessionGroups = []string{"g0", "g1", "g2"}

func newSession(seed uint64) *session {
	s := &session{pool: New(rand.New(rand.NewPCG(seed, 1))), rng: rand.New(rand.NewPCG(seed, 2)), now: start}
	if seed%2 == 0 {
		s.pool.ColdStart()
	}
	s.pool.SetGroups(map[string]int{"g0": 40, "g1": 40, "g2": 20}, s.now)
	return s
}

func (s *session) notef(format string, args ...any) { fmt.Fprintf(&s.log, format+"\n", args...) }

// step makes one random call and records its result and the decisions that follow.
func (s *session) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(8)) * time.Millisecond)
	switch k := s.rng.IntN(100); {
	case k < 40:
		s.enqueue()
	case k < 65 && len(s.running) > 0:
		s.end()
	case k < 75 && len(s.running) > 0:
		s.answer(s.running[s.rng.IntN(len(s.running))])
	case k < 85:
		s.report()
	case k < 87 && len(s.waiting) > 0:
		s.notef("withdraw %v", s.pool.Withdraw(s.waiting[s.rng.IntN(len(s.waiting))]))
	case k < 88:
		s.disturb()
	default:
		s.pool.Tick(s.now)
	}
	s.collect()
}

func (s *session) enqueue() {
	s.next++
	r := Request{
		ID: fmt.Sprint(s.next), Workspace: fmt.Sprint("w", s.rng.IntN(5)), Cost: 200 + s.rng.Int64N(1500),
		Objective: time.Duration(300+300*s.rng.IntN(3)) * time.Millisecond, Retry: s.rng.IntN(8) == 0,
	}
	if refusal := s.pool.Enqueue(r, s.now); refusal != nil {
		s.notef("%s refused %s %v", r.ID, refusal.Reason, refusal.RetryAfter)
		return
	}
	s.waiting = append(s.waiting, r.ID)
}

func (s *session) end() {
	i := s.rng.IntN(len(s.running))
	id := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	s.pool.Done(id, 200+s.rng.Int64N(1500), s.now)
}

func (s *session) answer(id string) {
	switch s.rng.IntN(8) {
	case 0:
		s.notef("%s refuses %v", id, s.pool.Refused(id, fmt.Sprint("t", s.rng.IntN(3)), s.now))
		group, moved := s.pool.Move(id, s.now)
		s.notef("%s moves %s %v, may retry %v", id, group, moved, s.pool.MayRetry(id, s.now))
	case 1:
		s.pool.ObserveFirstEvent(id, time.Duration(s.rng.IntN(400))*time.Millisecond)
	default:
		s.notef("%s accepts %v", id, s.pool.Accepted(id, s.now))
	}
}

func (s *session) report() {
	g := sessionGroups[s.rng.IntN(len(sessionGroups))]
	s.pool.ReportLoad(Load{
		Group: g, Complete: s.rng.IntN(40) > 0, Running: s.rng.IntN(45), Queued: s.rng.IntN(3),
		PassTime: time.Duration(20+s.rng.IntN(30)) * time.Millisecond, Entries: 1 + s.rng.IntN(4),
	}, s.now)
}

func (s *session) disturb() {
	switch s.rng.IntN(4) {
	case 0:
		s.pool.MarkStalled(sessionGroups[s.rng.IntN(len(sessionGroups))], s.now.Add(300*time.Millisecond))
	case 1:
		s.now = s.now.Add(2 * time.Second)
	case 2:
		s.pool.SetGroups(map[string]int{"g0": 10 + s.rng.IntN(40), "g1": 40, "g2": 20 * s.rng.IntN(2)}, s.now)
	case 3:
		after, down := s.pool.RetryAfter(0, time.Second, s.now)
		s.notef("retry after %v %v, down %v", after, down, s.pool.Down(s.now))
	}
}

func (s *session) collect() {
	for _, d := range s.pool.Decisions() {
		for i, id := range s.waiting {
			if id == d.ID {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				break
			}
		}
		if d.Refusal != nil {
			s.notef("%s refused %s %v", d.ID, d.Refusal.Reason, d.Refusal.RetryAfter)
			continue
		}
		s.notef("%s starts %s", d.ID, d.Group)
		s.running = append(s.running, d.ID)
	}
}

// play returns a line for each hundred steps: their counts, and a checksum of all that was recorded.
func (s *session) play(steps int, each func(*session)) string {
	var out strings.Builder
	for i := range steps {
		s.step()
		each(s)
		if (i+1)%100 == 0 {
			text := s.log.String()
			fmt.Fprintf(&out, "%v: %d started, %d refused, %08x\n", s.now.Sub(start),
				strings.Count(text, " starts "), strings.Count(text, " refused "), crc32.ChecksumIEEE([]byte(text)))
			s.log.Reset()
		}
	}
	return out.String()
}

const goldenFile = "testdata/one_class.golden"

// playAll plays sessions from several seeds, with a call after each step.
func playAll(each func(*session)) string {
	var out strings.Builder
	for seed := range uint64(6) {
		fmt.Fprintf(&out, "seed %d\n%s", seed, newSession(seed).play(3000, each))
	}
	return out.String()
}

// equalLines reports the first line in which two texts differ.
func equalLines(t *testing.T, got, want string) {
	t.Helper()
	g, w := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(g), len(w)) {
		if g[i] != w[i] {
			t.Fatalf("line %d: got %q, want %q", i+1, g[i], w[i])
		}
	}
	is.New(t).Equal(len(g), len(w))
}

// Guards against other decisions where all routes have one priority. The golden file was written by
// the Pool without classes, at 4a6d29d.
func TestOneClassDecidesAsBefore(t *testing.T) {
	is := is.New(t)
	got := playAll(func(*session) {})
	if *update {
		is.NoErr(os.WriteFile(goldenFile, []byte(got), 0o600))
	}
	want, err := os.ReadFile(goldenFile)
	is.NoErr(err)
	equalLines(t, got, string(want))
}

// Guards against a bound on what runs where no pass takes longer than at evenly loaded ranks.
func TestEvenPassesDecideAsBefore(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile(goldenFile)
	is.NoErr(err)
	got := playAll(func(s *session) {
		s.pool.SetPassCost(headroom.Cost{Base: 35 * time.Millisecond, PerRequest: 2800 * time.Microsecond, Reading: 15 * time.Millisecond}, 10, 120*time.Millisecond)
		for _, id := range s.running {
			s.pool.ObservePause(id, 50*time.Millisecond, s.now)
		}
	})
	equalLines(t, got, string(want))
}
