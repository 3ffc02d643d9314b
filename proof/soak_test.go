package proof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 1, "how many seeds")
	soakFor   = flag.Duration("soak.for", 8*time.Second, "how long faults come for each seed")
)

// regressions are seeds that failed once, with the cause; each is played in every
// run.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// The soak runs gateways and sidecars as processes and injects faults drawn from
// a seed, in series and overlapping: processes killed, paused and restarted,
// links reset and silent, the store away or forgetful, orders carried out late,
// servers that refuse, configurations and shifts of the load. What callers got
// and servers ran must keep the promises all the while, and when the faults stop,
// everybody is served again.
//
//	go test ./proof -run Soak -soak.seed 100 -soak.seeds 50
func TestSoak(t *testing.T) {
	for i, r := range regressions {
		t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { soak(t, r.seed, 127+i) })
	}
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, seed, 1+i%100) })
	}
}

// soak plays one seed at a block of addresses of its own.
func soak(t *testing.T, seed uint64, block int) {
	rng := rand.New(rand.NewPCG(seed, 11))
	s := startFleet(t, fleet.Shape{Block: fmt.Sprintf("127.1.%d", block), LateOrders: rng.Float64() * 0.3, Links: true})
	faults := &faulty{fleetScene: s, rng: rng, down: map[string]bool{}, paused: map[string]bool{}}
	ctx, cancel := context.WithTimeout(s.ctx, *soakFor)
	defer cancel()
	stop := make(chan []fleet.Call)
	go func() { stop <- fleet.PlayUntil(ctx, s.Fleet) }()
	for ctx.Err() == nil {
		faults.strike()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+rng.IntN(500)) * time.Millisecond):
		}
	}
	faults.mend()
	v := fleet.Judge(s.Fleet, <-stop)
	t.Logf("seed %d: %s\n%+v", seed, strings.Join(faults.done, ", "), v)
	s.True(v.Kept())
	s.True(v.Complete > 0)
	s.NoErr(s.WaitReady(s.ctx, time.Minute))
	s.settle()
	calm := fleet.Play(s.ctx, s.Fleet, 120)
	after := fleet.Judge(s.Fleet, calm)
	t.Logf("after the faults: %+v", after)
	s.True(after.Kept())
	s.True(after.Complete >= 114)
}

// faulty strikes a fleet with faults and mends them.
type faulty struct {
	*fleetScene
	rng          *rand.Rand
	down, paused map[string]bool
	done         []string
}

func (f *faulty) note(format string, args ...any) {
	f.done = append(f.done, fmt.Sprintf(format, args...))
}

// victim draws a process that runs.
func (f *faulty) victim() string {
	for {
		b := f.Boots[f.rng.IntN(len(f.Boots))]
		if !f.down[b.Name] && !f.paused[b.Name] {
			return b.Name
		}
	}
}

// mostDown bounds how many processes are away at once.
const mostDown = 3

func (f *faulty) strike() {
	if len(f.down)+len(f.paused) >= mostDown {
		f.raise()
		return
	}
	switch f.rng.IntN(14) {
	case 0, 1:
		name := f.victim()
		f.note("kill %s", name)
		f.kill(name)
		f.down[name] = true
	case 2, 3:
		name := f.victim()
		f.note("pause %s", name)
		f.signal(name, syscall.SIGSTOP)
		f.paused[name] = true
	case 4, 5:
		f.raise()
	case 6:
		f.note("store away")
		f.Store.SetDown(true)
		f.later(longest, func() { f.Store.SetDown(false) })
	case 7:
		f.Store.Compact()
		f.note("history dropped")
	case 8:
		f.Configure(1500 + f.rng.IntN(1000))
		f.Shift()
		f.note("configuration and shift")
	case 9:
		f.note("servers refuse")
		f.Refuse(true)
		f.later(longest, func() { f.Refuse(false) })
	case 10:
		f.Links.Reset()
		f.note("links reset")
	case 11:
		f.note("links silent")
		f.Links.Silence(true)
		f.later(longest, func() { f.Links.Silence(false) })
	case 12:
		f.note("store silent")
		f.Store.SetSilent(true)
		f.later(longest, func() { f.Store.SetSilent(false) })
	case 13:
		rank := f.rng.IntN(f.Shape.Ranks)
		f.note("rank %d stands still", rank)
		f.Freeze(rank, true)
		f.later(longest, func() { f.Freeze(rank, false) })
	}
}

// longest is how long a fault of the store, the servers or the links lasts at
// most. They overlap, and last for longer together.
const longest = 1500 * time.Millisecond

// later ends a fault after a time drawn up to a limit.
func (f *faulty) later(limit time.Duration, end func()) {
	time.AfterFunc(time.Duration(f.rng.Int64N(int64(limit))), end)
}

// raise brings back one process that is away.
func (f *faulty) raise() {
	for name := range f.paused {
		f.note("wake %s", name)
		f.signal(name, syscall.SIGCONT)
		delete(f.paused, name)
		return
	}
	for name := range f.down {
		f.note("start %s", name)
		f.run(f.boot(name))
		delete(f.down, name)
		return
	}
}

// mend ends all faults.
func (f *faulty) mend() {
	for len(f.down)+len(f.paused) > 0 {
		f.raise()
	}
	f.Store.SetDown(false)
	f.Store.SetSilent(false)
	f.Refuse(false)
	f.Links.Silence(false)
	for rank := range f.Shape.Ranks {
		f.Freeze(rank, false)
	}
}

// settle waits until requests are served again.
func (s *fleetScene) settle() {
	for {
		calls := fleet.Play(s.ctx, s.Fleet, 8)
		if fleet.Judge(s.Fleet, calls).Complete == len(calls) {
			return
		}
		s.NoErr(s.ctx.Err())
	}
}
