package proof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenashift/core/plumbing/logreader"
	"verbenashift/standin/fleet"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds")
	soakFor   = flag.Duration("soak.for", 8*time.Second, "how long faults are injected for each seed")
	// A run may use at most half of the memory of the machine and a few hundred processes.
	soakGroups   = flag.Int("soak.groups", 2, "number of expert groups of four ranks, with a sidecar for each rank")
	soakGateways = flag.Int("soak.gateways", 2, "number of gateways")
)

// regressions are seeds that failed once, with the cause. Each is run every time.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{817, "a plain server that was ejected started again under its ID and stayed ejected in the routing table"},
	{830, "the same"},
	{831, "the same, with both plain servers"},
}

// TestSoak runs gateways and sidecars as processes and injects faults drawn from a seed, in
// sequence and overlapping: processes that are killed, suspended, stopped gracefully one after
// the other and restarted; changed settings; links that are delayed, reset, silent or cut in
// one direction; a store that is unavailable, loses its history or comes back from an older copy; orders
// that are applied late; servers that refuse, stall, do not respond, respond with failures, crash under a
// repeated request or under requests that share a part, name limits, ask for pauses, leave, or crash and restart under their ID so
// that a group is formed again; changes of the configuration, shifts of the load, most new connections at one gateway, bursts of the lower of two classes, and callers
// that stop reading and sending. Clocks
// are not changed, since that would need a privilege. The responses to callers and the runs at
// servers must keep the promises all the time, the order of the classes and their floor, and when the faults end, all requests are
// served again.
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

// soak runs one seed at its own block of addresses.
func soak(t *testing.T, seed uint64, block int) {
	rng := rand.New(rand.NewPCG(seed, 11))
	s := startFleet(t, fleet.Shape{
		Block: fmt.Sprintf("127.1.%d", block), LateOrders: rng.Float64() * 0.3, Links: true, OmitGroup: rng.IntN(3) == 0,
		Groups: *soakGroups, Gateways: *soakGateways, Classes: true,
	})
	faults := &faultInjector{fleetHarness: s, rng: rng, down: map[string]bool{}, paused: map[string]bool{}}
	signals := &backpressure{faultInjector: faults, rng: rand.New(rand.NewPCG(seed, 12))}
	restorer := &storeRestorer{faultInjector: faults, rng: rand.New(rand.NewPCG(seed, 13))}
	crowds := &crowdInjector{faultInjector: faults, rng: rand.New(rand.NewPCG(seed, 14))}
	ctx, cancel := context.WithTimeout(s.ctx, *soakFor)
	defer cancel()
	stop := make(chan []fleet.Call)
	go func() { stop <- fleet.PlayUntil(ctx, s.Fleet) }()
	for ctx.Err() == nil {
		faults.injectFault()
		signals.injectSignal()
		restorer.restoreStore()
		crowds.inject()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+rng.IntN(500)) * time.Millisecond):
		}
	}
	faults.restoreAll()
	signals.clearSignals()
	calls := <-stop
	v := fleet.Judge(s.Fleet, calls)
	t.Logf("seed %d: %s\n%+v", seed, strings.Join(faults.injected, ", "), v)
	for _, c := range calls {
		if c.Mismatch != "" {
			t.Logf("call %s of %s at %s: %s", c.ID, c.Kind, c.Front, c.Mismatch)
		}
	}
	s.True(v.Passed())
	s.True(v.Complete > 0)
	s.checkOrder()
	s.checkFloor(calls)
	s.NoErr(s.WaitReady(s.ctx, time.Minute))
	s.awaitServing()
	after := fleet.Judge(s.Fleet, fleet.Play(s.ctx, s.Fleet, 120))
	t.Logf("after the faults: %+v", after)
	s.True(after.Passed())
	s.True(after.Complete >= 114)
}

// checkOrder checks that no urgent request was refused while more of the class behind it started at
// its gateway than the floor allows: a tenth of all starts, and one for the start that is owed already.
func (s *fleetHarness) checkOrder() {
	for i := range s.Fronts {
		lines := logreader.Read(strings.NewReader(s.log(fmt.Sprintf("front-%d", i))))
		checked := 0
		for _, l := range lines {
			refused := l.Message == "request" && l.Field("status") == "503" && l.Field("target") == ""
			if cause := l.Field("held-by"); !refused || l.Field("class") != "0" || cause == "" || cause == "outage" {
				continue
			}
			checked++
			h, ok := logreader.HoldingOf(l.ID, lines)
			s.True(ok)
			if h.Behind > 1+(h.Before+h.Same+h.Behind)/10 {
				s.t.Errorf("request %s at gateway %d: %v", l.ID, i, h)
			}
		}
		s.t.Logf("gateway %d: %d refused requests of the first class", i, checked)
	}
}

// minServed is how many streams have to be served at least so that less than a quarter of the share of
// half of them is no chance.
const minServed = 40

// checkFloor checks that the lower class is served at least a quarter as often as all streams.
func (s *fleetHarness) checkFloor(calls []fleet.Call) {
	var all, lower, allServed, lowerServed int
	for _, c := range calls {
		if c.Kind != fleet.Stream {
			continue
		}
		all++
		if c.OK {
			allServed++
		}
		if c.Lower {
			lower++
			if c.OK {
				lowerServed++
			}
		}
	}
	s.t.Logf("streams served: %d of %d, of the lower class %d of %d", allServed, all, lowerServed, lower)
	s.True(allServed < minServed || 4*lowerServed*all >= allServed*lower)
}

// faultInjector injects faults into a fleet and ends them.
type faultInjector struct {
	*fleetHarness
	rng          *rand.Rand
	down, paused map[string]bool
	// callers tracks the goroutines of callers that do harm.
	callers  sync.WaitGroup
	injected []string
}

// note records an injected fault for the log of the test.
func (f *faultInjector) note(format string, args ...any) {
	f.injected = append(f.injected, fmt.Sprintf(format, args...))
}

// victim returns the name of a random running process.
func (f *faultInjector) victim() string {
	for {
		b := f.Boots[f.rng.IntN(len(f.Boots))]
		if !f.down[b.Name] && !f.paused[b.Name] {
			return b.Name
		}
	}
}

// maxDown is the maximum number of processes that are killed or suspended at once.
const maxDown = 3

// injectFault injects a random fault, or restores a process if maxDown are down.
func (f *faultInjector) injectFault() {
	if len(f.down)+len(f.paused) >= maxDown {
		f.restoreOne()
		return
	}
	switch f.rng.IntN(20) {
	case 0, 1:
		name := f.victim()
		f.note("kill %s", name)
		f.kill(name)
		f.down[name] = true
	case 2, 3:
		name := f.victim()
		f.note("suspend %s", name)
		f.signal(name, syscall.SIGSTOP)
		f.paused[name] = true
	case 4, 5:
		f.restoreOne()
	case 6:
		f.note("store unavailable")
		f.Store.SetDown(true)
		f.endLater(maxFaultDuration, func() { f.Store.SetDown(false) })
	case 7:
		f.Store.Compact()
		f.note("store history compacted")
	case 8:
		f.Configure(1500 + f.rng.IntN(1000))
		f.ShiftLoad()
		f.note("configuration change and load shift")
	case 9:
		f.note("servers refuse")
		f.Refuse(true)
		f.endLater(maxFaultDuration, func() { f.Refuse(false) })
	case 10:
		f.Links.Reset()
		f.note("links reset")
	case 11:
		f.note("links silent")
		f.Links.Blackhole(true)
		f.endLater(maxFaultDuration, func() { f.Links.Blackhole(false) })
	case 12:
		f.note("store silent")
		f.Store.SetUnresponsive(true)
		f.endLater(maxFaultDuration, func() { f.Store.SetUnresponsive(false) })
	case 13:
		rank := f.rng.IntN(f.ranks())
		f.note("rank %d stalled", rank)
		f.Freeze(rank, true)
		f.endLater(maxFaultDuration, func() { f.Freeze(rank, false) })
	case 14:
		d := fleet.Direction(f.rng.IntN(2))
		f.note("links cut in direction %d", d)
		f.Links.Block(d, true)
		f.endLater(maxFaultDuration, func() { f.Links.Block(d, false) })
	case 15:
		d, by := fleet.Direction(f.rng.IntN(2)), time.Duration(1+f.rng.IntN(60))*time.Millisecond
		f.note("links delayed in direction %d by %v", d, by)
		f.Links.Delay(d, by)
		f.endLater(2*maxFaultDuration, func() { f.Links.Delay(d, 0) })
	case 16:
		rank := f.rng.IntN(f.ranks())
		f.note("server of rank %d crashes and restarts", rank)
		f.Crash(rank, time.Duration(f.rng.Int64N(int64(maxFaultDuration))))
	case 17:
		f.roll()
	case 18:
		kind := []string{fleet.Stream, fleet.Safe}[f.rng.IntN(2)]
		f.note("a request crashes servers of %s", kind)
		f.callers.Go(func() {
			ctx, stop := context.WithTimeout(f.ctx, maxFaultDuration)
			defer stop()
			fleet.PlayCrashing(ctx, f.Fleet, kind, repeatInterval)
		})
	case 19:
		plain, fault := f.rng.IntN(f.Plains()), fleet.Fault(1+f.rng.IntN(2))
		f.note("plain server %d has fault %d", plain, fault)
		f.SetFault(plain, fault)
		f.endLater(2*maxFaultDuration, func() { f.SetFault(plain, fleet.NoFault) })
	}
}

// soakSlowCallers is how many callers read and send nothing at once.
const soakSlowCallers = 200

// crowdInjector directs most new connections to one gateway, sends requests with parts that crash
// servers and bursts of the lower class, and holds callers that read or send nothing. Its draws are its own as well.
type crowdInjector struct {
	*faultInjector
	rng *rand.Rand
}

// inject now and then injects one of them.
func (c *crowdInjector) inject() {
	switch c.rng.IntN(16) {
	case 0:
		gateway := c.rng.IntN(len(c.Fronts))
		c.note("most connections go to gateway %d", gateway)
		c.Crowd(gateway)
		time.AfterFunc(time.Duration(c.rng.Int64N(int64(2*maxFaultDuration))), func() { c.Crowd(fleet.NoCrowd) })
	case 1:
		kind := []string{fleet.Stream, fleet.Safe}[c.rng.IntN(2)]
		parts := [][]string{{"dead01"}, {"fade01"}, {"dead02", "dead03"}}[c.rng.IntN(3)]
		c.note("parts %v crash servers of %s", parts, kind)
		c.callers.Go(func() {
			ctx, stop := context.WithTimeout(c.ctx, 2*maxFaultDuration)
			defer stop()
			fleet.PlayCrashingParts(ctx, c.Fleet, kind, parts, repeatInterval)
		})
	case 3:
		c.note("burst of the lower class")
		c.callers.Go(func() {
			ctx, stop := context.WithTimeout(c.ctx, maxFaultDuration)
			defer stop()
			fleet.PlayLower(ctx, c.Fleet, time.Millisecond)
		})
	case 2:
		c.note("%d callers stop reading and sending", soakSlowCallers)
		c.callers.Go(func() {
			ctx, stop := context.WithTimeout(c.ctx, 2*maxFaultDuration)
			defer stop()
			fleet.HoldSlowCallers(ctx, c.Fleet, soakSlowCallers)
		})
	}
}

// storeRestorer restores the store from earlier copies of it. Its draws are its own, so that a seed
// draws the same other faults with it.
type storeRestorer struct {
	*faultInjector
	rng *rand.Rand
	// older is a copy of the store.
	older *fleet.Copy
}

// restoreStore now and then copies the store, or restores it from the last copy: while it answers,
// while it is down, twice in a row, or between a write and its answer. What it has lost of the
// operator's and the servers' writes is written again.
func (r *storeRestorer) restoreStore() {
	if r.rng.IntN(8) != 0 {
		return
	}
	if r.older == nil || r.rng.IntN(4) == 0 {
		r.older = r.Store.Copy()
		r.note("copy of the store")
		return
	}
	older := r.older
	switch kind := r.rng.IntN(4); kind {
	case 0:
		r.note("store restored after a write")
		r.Store.RestoreAfterWrite(older)
		// In case that nothing is written.
		r.later(func() { r.Store.Restore(older) })
	case 1:
		r.note("store restored while down")
		r.Store.SetDown(true)
		r.Store.Restore(older)
		r.later(func() { r.Store.SetDown(false) })
	case 2:
		r.note("store restored twice")
		r.Store.Restore(older)
		r.Store.Rewrite()
		r.later(func() { r.Store.Restore(older) })
	case 3:
		r.note("store restored")
		r.Store.Restore(older)
	}
	// The last restore is up to maxFaultDuration later.
	for range 2 {
		r.later(r.Store.Rewrite)
	}
	time.AfterFunc(maxFaultDuration+rewriteDelay, r.Store.Rewrite)
	r.older = nil
}

// later calls a function after a random time below maxFaultDuration.
func (r *storeRestorer) later(fn func()) {
	time.AfterFunc(time.Duration(r.rng.Int64N(int64(maxFaultDuration))), fn)
}

// rewriteDelay is how long after a restore the operator and the servers write again at the latest.
const rewriteDelay = 500 * time.Millisecond

// ranks returns the number of ranks in all groups.
func (f *faultInjector) ranks() int { return len(f.Groups) * f.Shape.Ranks }

// roll gracefully restarts up to three processes, one after the other. The settings of each
// are changed first, and some get the signal to reload them.
func (f *faultInjector) roll() {
	for range 1 + f.rng.IntN(maxDown) {
		b := f.boot(f.victim())
		f.NoErr(f.RewriteSettings(b, 500+f.rng.IntN(2000)))
		if f.rng.IntN(2) == 0 {
			f.signal(b.Name, syscall.SIGHUP)
		}
		f.note("graceful restart of %s", b.Name)
		f.signal(b.Name, syscall.SIGTERM)
		f.mu.Lock()
		cmd := f.cmds[b.Name]
		f.mu.Unlock()
		_ = cmd.Wait() // The error only reports the end by a signal.
		f.startProcess(b)
	}
}

// maxFaultDuration is the longest duration of one fault of the store, the servers or the
// links. Overlapping faults last longer together.
const maxFaultDuration = 1500 * time.Millisecond

// endLater ends a fault after a random time below a limit.
func (f *faultInjector) endLater(limit time.Duration, end func()) {
	time.AfterFunc(time.Duration(f.rng.Int64N(int64(limit))), end)
}

// restoreOne resumes or restarts one process that is down.
func (f *faultInjector) restoreOne() {
	for name := range f.paused {
		f.note("resume %s", name)
		f.signal(name, syscall.SIGCONT)
		delete(f.paused, name)
		return
	}
	for name := range f.down {
		f.note("start %s", name)
		f.startProcess(f.boot(name))
		delete(f.down, name)
		return
	}
}

// restoreAll ends all faults.
func (f *faultInjector) restoreAll() {
	for len(f.down)+len(f.paused) > 0 {
		f.restoreOne()
	}
	f.Store.SetDown(false)
	f.Store.SetUnresponsive(false)
	f.Refuse(false)
	f.Crowd(fleet.NoCrowd)
	f.callers.Wait()
	time.Sleep(maxFaultDuration + rewriteDelay) // The store was written again.
	f.Store.SetDown(false)
	time.Sleep(fleet.CrashDowntime) // Crashed servers have restarted.
	f.Links.Blackhole(false)
	f.Links.Delay(fleet.ToServer, 0)
	f.Links.Delay(fleet.ToClient, 0)
	for rank := range f.ranks() {
		f.Freeze(rank, false)
	}
	for plain := range f.Plains() {
		f.SetFault(plain, fleet.NoFault)
	}
}

// awaitServing waits until all requests of a batch are served.
func (s *fleetHarness) awaitServing() {
	for {
		calls := fleet.Play(s.ctx, s.Fleet, 8)
		if fleet.Judge(s.Fleet, calls).Complete == len(calls) {
			return
		}
		s.NoErr(s.ctx.Err())
	}
}
