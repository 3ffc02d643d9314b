package proof

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/platform"
	"verbenashift/standin/deployment"
	"verbenashift/standin/fleet"
)

// fleetScene is gateways and sidecars as processes before the platform's
// stand-in.
type fleetScene struct {
	*is.I
	*fleet.Fleet
	t    *testing.T
	ctx  context.Context
	dir  string
	mu   sync.Mutex
	cmds map[string]*exec.Cmd
}

// fleetRanks is how many ranks a group has in these tests, if they don't say.
const fleetRanks = 4

// startFleet starts a fleet with groups of four ranks and two gateways, or more if the
// shape says so, and waits until it is ready.
func startFleet(t *testing.T, shape fleet.Shape) *fleetScene {
	t.Helper()
	ctx := inPlace(t)
	s := &fleetScene{I: is.New(t), t: t, ctx: ctx, cmds: map[string]*exec.Cmd{}}
	var err error
	s.dir, err = deployment.Build(ctx)
	s.NoErr(err)
	shape.Dir, shape.Ranks, shape.Gateways = t.TempDir(), max(shape.Ranks, fleetRanks), max(shape.Gateways, 2)
	t.Cleanup(s.keepLogs)
	s.Fleet, err = fleet.Start(shape)
	s.NoErr(err)
	t.Cleanup(s.Stop)
	for _, b := range s.Boots {
		s.run(b)
	}
	t.Cleanup(s.killAll)
	s.NoErr(s.WaitReady(ctx, time.Minute))
	return s
}

// keepLogs keeps the processes' logs of a test that has failed.
func (s *fleetScene) keepLogs() {
	if !s.t.Failed() || s.Fleet == nil {
		return
	}
	kept, err := os.MkdirTemp("", "verbenashift-fleet-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(s.Shape.Dir))
	}
	s.t.Logf("logs are in %s (%v)", kept, err)
}

// run starts the process of a settings file.
func (s *fleetScene) run(b fleet.Boot) {
	log, err := os.OpenFile(filepath.Join(s.Shape.Dir, b.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.NoErr(err)
	defer log.Close()
	cmd := exec.Command(filepath.Join(s.dir, b.Role))
	cmd.Env = append(os.Environ(), platform.BootEnv+"="+b.File)
	cmd.Stdout, cmd.Stderr = log, log
	s.NoErr(cmd.Start())
	s.mu.Lock()
	s.cmds[b.Name] = cmd
	s.mu.Unlock()
}

func (s *fleetScene) boot(name string) fleet.Boot {
	for _, b := range s.Boots {
		if b.Name == name {
			return b
		}
	}
	s.t.Fatalf("no process %s", name)
	return fleet.Boot{}
}

// signal sends a signal to a process.
func (s *fleetScene) signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.NoErr(s.cmds[name].Process.Signal(sig))
}

// kill ends a process at once.
func (s *fleetScene) kill(name string) {
	s.mu.Lock()
	cmd := s.cmds[name]
	s.mu.Unlock()
	s.NoErr(cmd.Process.Kill())
	_ = cmd.Wait()
}

func (s *fleetScene) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cmd := range s.cmds {
		// It may have ended already.
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// log returns what a process has written.
func (s *fleetScene) log(name string) string {
	data, err := os.ReadFile(filepath.Join(s.Shape.Dir, name+".log"))
	s.NoErr(err)
	return string(data)
}

// steward returns the name of the sidecar that is the steward of the first group.
func (s *fleetScene) steward() string { return s.stewardOf(0) }

// stewardOf returns the name of the sidecar that is the steward of a group.
func (s *fleetScene) stewardOf(group int) string {
	best, at := "", -1
	for i := group * s.Shape.Ranks; i < (group+1)*s.Shape.Ranks; i++ {
		name := fmt.Sprintf("side-%d", i)
		for _, line := range strings.Split(s.log(name), "\n") {
			var term int
			if k := strings.Index(line, `"msg":"claimed"`); k >= 0 {
				if j := strings.Index(line, `"term":`); j >= 0 {
					_, _ = fmt.Sscanf(line[j:], `"term":%d`, &term)
				}
				if term > at {
					best, at = name, term
				}
			}
		}
	}
	return best
}

// during plays requests while something happens, n at least, and judges. Without
// requests there are no counts, and no map would change any more.
func (s *fleetScene) during(n int, happens func()) fleet.Verdict {
	over := make(chan struct{})
	played := make(chan []fleet.Call, 1)
	go func() {
		calls := fleet.Play(s.ctx, s.Fleet, n)
		for {
			select {
			case <-over:
				played <- calls
				return
			default:
				calls = append(calls, fleet.Play(s.ctx, s.Fleet, moreCalls)...)
			}
		}
	}()
	happens()
	close(over)
	v := fleet.Judge(s.Fleet, <-played)
	s.t.Logf("%+v", v)
	return v
}

// moreCalls is how many requests are played at a time while something still
// happens.
const moreCalls = 100

// changes shifts what is liked until the map has changed again: a shift that
// leaves the ranks about even is not worth a change.
func (s *fleetScene) changes() {
	for group := range s.Groups {
		s.changesOf(group)
	}
}

// changesOf is the same for one group.
func (s *fleetScene) changesOf(group int) {
	before := fleet.Judge(s.Fleet, nil).MapChangesByGroup[group]
	for i := 0; fleet.Judge(s.Fleet, nil).MapChangesByGroup[group] == before; i++ {
		if i%20 == 0 {
			s.Groups[group].ShiftLoad()
		}
		select {
		case <-s.ctx.Done():
			s.t.Fatal("the map has not changed")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// A quiet day on the users' platform: every caller gets its whole answer, the
// expert map follows the load, and no pass begins on two maps.
func TestFleetQuiet(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.61"})
	v := s.during(600, func() {})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.True(v.MapChanges > 0)
}

// The steward's process is killed while maps change, again and again, and the
// workers carry orders out late. The group must go on, on one map, and the
// load must be followed by whoever takes over.
func TestFleetStewardDies(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.62", LateOrders: 0.2})
	v := s.during(3000, func() {
		for range 3 {
			s.changes()
			name := s.steward()
			s.kill(name)
			s.changes()
			s.run(s.boot(name))
		}
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}

// The steward's process stands still in the middle of its work and wakes again
// after another one has taken over. What it had decided must not reach a rank.
func TestFleetStewardFreezes(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.63"})
	v := s.during(3000, func() {
		for range 3 {
			s.changes()
			name := s.steward()
			s.signal(name, syscall.SIGSTOP)
			s.changes()
			s.signal(name, syscall.SIGCONT)
		}
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}

// The store is away for seconds while callers come, the map should change and
// the steward dies. What is known goes on being used, and a group is not left
// standing for want of the store.
func TestFleetWithoutStore(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.64"})
	v := s.during(3000, func() {
		s.changes()
		s.Store.SetDown(true)
		name := s.steward()
		s.kill(name)
		time.Sleep(3 * time.Second)
		s.Store.SetDown(false)
		s.run(s.boot(name))
		s.changes()
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}

// The steward dies while the store is away for long. Whoever takes over must know
// the group without asking the store: the load goes on shifting, and a hold that
// the dead steward has left would let nobody be served.
func TestFleetStewardDiesWithoutStore(t *testing.T) {
	for name, away := range map[string]struct {
		block string
		set   func(*fleet.Store, bool)
	}{
		"refuses":   {"127.0.70", (*fleet.Store).SetDown},
		"is silent": {"127.0.71", (*fleet.Store).SetUnresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			s := startFleet(t, fleet.Shape{Block: away.block})
			v := s.during(1500, func() {
				s.changes()
				away.set(s.Store, true)
				s.kill(s.steward())
				for range 3 {
					s.changes()
				}
				away.set(s.Store, false)
			})
			s.True(v.Passed())
			s.Equal(v.Complete, v.Requests)
		})
	}
}

// All model servers refuse for a moment, as after a loss of power. Callers of
// that moment wait instead of being sent away.
func TestFleetAllRefuse(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.65"})
	v := s.during(400, func() {
		time.Sleep(300 * time.Millisecond)
		s.Refuse(true)
		time.Sleep(500 * time.Millisecond)
		s.Refuse(false)
	})
	s.True(v.Passed())
	s.True(v.Complete >= v.Requests*95/100)
}

// The instance of a model server stands still for three seconds: its group goes
// on, but nothing comes from this server any more. Its callers see their drafts
// stop, or not begin, and give up after two seconds. The drafts must go on at
// other servers before that.
func TestFleetRankStandsStill(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.69"})
	v := s.during(1500, func() {
		time.Sleep(500 * time.Millisecond)
		s.Freeze(2, true)
		time.Sleep(3 * time.Second)
		s.Freeze(2, false)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}

// A gateway gets SIGTERM while it answers. No answer in progress is cut off: the
// balancer is told first, and connections end with an answer.
func TestFleetGatewayStops(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.66"})
	v := s.during(400, func() {
		time.Sleep(500 * time.Millisecond)
		s.signal("front-0", syscall.SIGTERM)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.mu.Lock()
	cmd := s.cmds["front-0"]
	s.mu.Unlock()
	s.NoErr(cmd.Wait())
	s.True(bytes.Contains([]byte(s.log("front-0")), []byte(`"msg":"stopped"`)))
}

// All gateways get SIGTERM at once, while they answer. Each must say that it is
// not ready while it still runs: the balancer goes on sending callers to one that
// ends without a word, and they meet a closed port.
func TestFleetAllGatewaysStop(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.68"})
	stopped := make(chan []int, len(s.Ready))
	v := s.during(200, func() {
		time.Sleep(300 * time.Millisecond)
		for _, addr := range s.Ready {
			go func() { stopped <- s.statuses(addr) }()
		}
		for i := range s.Ready {
			s.signal(fmt.Sprintf("front-%d", i), syscall.SIGTERM)
		}
	})
	s.True(v.Passed())
	for range s.Ready {
		seen := <-stopped
		s.True(len(seen) > 0)
		s.Equal(seen[len(seen)-1], http.StatusServiceUnavailable)
	}
}

// statuses asks a gateway whether it is ready until it is gone, and returns the
// answers.
func (s *fleetScene) statuses(addr string) []int {
	const pollReady = 5 * time.Millisecond
	var seen []int
	for s.ctx.Err() == nil {
		resp, err := http.Get("http://" + addr + platform.ReadyPath)
		if err != nil {
			return seen
		}
		_ = resp.Body.Close() // Only the status counts.
		seen = append(seen, resp.StatusCode)
		time.Sleep(pollReady)
	}
	return seen
}

// The settings file's signal and changes of the configuration come while callers
// are served. Nobody may notice.
func TestFleetReloads(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.67"})
	v := s.during(400, func() {
		for i := range 5 {
			s.signal("front-0", syscall.SIGHUP)
			s.signal(s.steward(), syscall.SIGHUP)
			s.Configure(1500 + 100*i)
			s.Store.Compact()
			time.Sleep(150 * time.Millisecond)
		}
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}
