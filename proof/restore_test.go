package proof

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/configuration/mirror"
	"verbenashift/platform"
	"verbenashift/standin/fleet"
)

// storeHarness is a stand-in of the platform's store with clients.
type storeHarness struct {
	*is.I
	*fleet.Store
	t    *testing.T
	addr netip.AddrPort
}

func startStore(t *testing.T) *storeHarness {
	t.Helper()
	s := &storeHarness{I: is.New(t), Store: fleet.NewStore(), t: t}
	server := httptest.NewServer(s.Store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	s.NoErr(err)
	s.addr = addr
	return s
}

// client returns a client of the store.
func (s *storeHarness) client() *platform.Store {
	c := platform.NewStore(s.addr)
	s.t.Cleanup(c.Close)
	return c
}

// configVersion makes the operator write a version of the configuration.
func (s *storeHarness) configVersion(version int) {
	s.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"routes":[],"backends":[{"name":"desk"}],"limits":{}}`, version))
}

// register makes a server write its entry.
func (s *storeHarness) register(id, state string, host int) {
	s.Put(platform.TargetPrefix+id, fmt.Appendf(nil,
		`{"backend":"desk","addr":"10.0.0.%d:80","zone":"z1","version":"v1","slots":4,"state":%q,"coldMs":0,"seq":1}`, host, state))
}

// hookedStore calls a function before each watch.
type hookedStore struct {
	*platform.Store
	beforeWatch func()
}

func (h *hookedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Page, error) {
	h.beforeWatch()
	return h.Store.Watch(ctx, prefix, after, wait)
}

// follow runs a follower until the test ends. The hook, if there is one, is called before each
// watch.
func (s *storeHarness) follow(hook func()) *mirror.Follower {
	if hook == nil {
		hook = func() {}
	}
	f := mirror.NewFollower(&hookedStore{s.client(), hook}, platform.Formats(), slog.New(slog.DiscardHandler))
	s.run(f)
	return f
}

// run runs a follower until the test ends, and waits until it has a configuration.
func (s *storeHarness) run(f *mirror.Follower) {
	ctx, stop := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	s.t.Cleanup(func() {
		stop()
		<-done
	})
	s.eventually("first configuration", func() bool { return f.Snapshot() != nil })
}

// restoreTimeout bounds what a test waits for: longer than a watch, a backoff and the time for
// which missing entries are retained.
const restoreTimeout = 10 * time.Second

// eventually waits until a condition holds.
func (s *storeHarness) eventually(what string, holds func() bool) {
	s.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > restoreTimeout {
			s.t.Fatal("not reached: " + what)
		}
	}
}

// Guards against a configuration that a process never gets because it was written, in a restored
// store, under a revision that the process has seen before.
func TestChangeAfterRestoreIsDelivered(t *testing.T) {
	s := startStore(t)
	s.configVersion(1)
	older := s.Copy()
	s.register("i-a", "ready", 1)
	s.register("i-b", "ready", 2)
	restored := false
	write := func() {
		if s.Era() == 0 || restored {
			return
		}
		// The follower has read the restored store, and has not begun to watch it.
		if s.Reads() == 0 {
			return
		}
		restored = true
		s.register("i-a", "ready", 1)
		s.configVersion(2)
	}
	f := s.follow(write)
	s.eventually("both servers known", func() bool { return len(f.Snapshot().Targets) == 2 })
	s.Restore(older)
	s.eventually("version 2 in force", func() bool { return f.Snapshot().Config.Version == 2 })
}

// Guards against processes that read everything again and again from a restored store until its
// revision has passed the one that they know.
func TestRestoredStoreIsReadOnce(t *testing.T) {
	const maxCalls = 12 // a complete read takes three calls, a watch one for each change or two seconds
	s := startStore(t)
	s.configVersion(1)
	older := s.Copy()
	for n := range 20 {
		s.register("i-a", "ready", 1+n%2)
	}
	f := s.follow(nil)
	s.eventually("server known", func() bool { return len(f.Snapshot().Targets) == 1 })
	s.Restore(older)
	before := s.Calls()
	time.Sleep(3 * time.Second)
	t.Logf("%d calls in three seconds after the restore", s.Calls()-before)
	s.True(s.Calls()-before <= maxCalls)
}

// Guards against gateways and coordinators that go by what a restored store has lost or gives out
// again: a configuration that is not in force, an evacuated zone that is used, a group that no
// coordinator steers, and reads of everything in a loop.
func TestFleetStoreIsRestored(t *testing.T) {
	const gateways, maxCalls = 2, 200 // a complete read by each process and again by each new coordinator
	for i, c := range []struct {
		name    string
		restore func(s *fleetHarness, older *fleet.Copy)
	}{
		{"during watches", func(s *fleetHarness, older *fleet.Copy) { s.Store.Restore(older) }},
		{"while it is down", func(s *fleetHarness, older *fleet.Copy) {
			s.Store.SetDown(true)
			time.Sleep(time.Second)
			s.Store.Restore(older)
			s.Store.SetDown(false)
		}},
		{"twice in a row", func(s *fleetHarness, older *fleet.Copy) {
			s.Store.Restore(older)
			s.Store.Rewrite()
			time.Sleep(300 * time.Millisecond)
			s.Store.Restore(older)
		}},
		{"after a claim, before its answer", func(s *fleetHarness, older *fleet.Copy) {
			s.Store.RestoreAfterWrite(older)
			name := s.coordinator()
			s.kill(name)
			s.startProcess(s.boot(name))
			s.until("restore", func() bool { return s.Store.Era() > 0 })
		}},
		{"while a gateway is suspended", func(s *fleetHarness, older *fleet.Copy) {
			s.signal("front-1", syscall.SIGSTOP)
			s.Store.Restore(older)
			time.Sleep(500 * time.Millisecond)
			s.signal("front-1", syscall.SIGCONT)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startFleet(t, fleet.Shape{Block: fmt.Sprintf("127.0.%d", 101+i), Ranks: 6, Zones: 3, Gateways: gateways})
			fronts := []string{"front-0", "front-1"}
			v := s.playDuring(1200, func() {
				s.awaitMapChanges()
				older := s.Store.Copy()
				s.Evacuate("z2", true)
				s.configure(2000, fronts)
				time.Sleep(zoneBound)
				before := s.Ledger.RunsIn("z2")
				calls := s.Store.Calls()
				c.restore(s, older)
				time.Sleep(300 * time.Millisecond)
				s.Store.Rewrite()
				s.configure(2100, fronts)
				s.awaitMapChanges()
				time.Sleep(3 * time.Second)
				t.Logf("%d calls to the store", s.Store.Calls()-calls)
				s.True(s.Store.Calls()-calls <= maxCalls)
				name := s.coordinator()
				s.kill(name)
				s.awaitMapChanges()
				s.startProcess(s.boot(name))
				s.configure(2200, fronts)
				s.Equal(s.Ledger.RunsIn("z2"), before)
			})
			s.True(v.Passed())
			s.Equal(v.Complete+v.Refused, v.Requests)
			s.True(v.Refused <= v.Requests/500)
		})
	}
}

// Guards against a burst at a server that names a rate limit when the store loses the permits, and
// against one that is not used any more.
func TestFleetNamedLimitOutlivesRestores(t *testing.T) {
	const rate = 2
	s := startFleet(t, fleet.Shape{Block: "127.0.106", Gateways: 6})
	v := s.playDuring(600, func() {
		older := s.Store.Copy()
		s.Limit(0, rate)
		s.LimitRank(1, rate)
		time.Sleep(limitGrace)
		s.signal("front-4", syscall.SIGSTOP)
		s.Store.Restore(older)
		s.Store.Rewrite()
		time.Sleep(time.Second)
		s.signal("front-4", syscall.SIGCONT)
		time.Sleep(limitGrace)
		s.Store.Restore(older)
		s.Store.Rewrite()
		time.Sleep(limitDuration)
	})
	s.True(v.Passed())
	s.checkLimit(rate)
	before := s.Served(0)
	s.playDuring(200, func() { time.Sleep(limitDuration) })
	served := s.Served(0) - before
	t.Logf("%d requests after the restores", served)
	s.True(served >= rate*int(limitDuration.Seconds())/2)
}
