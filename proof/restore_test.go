package proof

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
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
