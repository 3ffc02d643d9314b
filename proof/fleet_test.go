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

// fleetHarness runs gateways and sidecars as processes against the stand-in of the platform.
type fleetHarness struct {
	*is.I
	*fleet.Fleet
	t    *testing.T
	ctx  context.Context
	dir  string
	mu   sync.Mutex
	cmds map[string]*exec.Cmd
}

// fleetRanks is the default number of ranks of a group in these tests.
const fleetRanks = 4

// startFleet starts a fleet with groups of four ranks and two gateways, or more if the shape
// says so, and waits until it is ready.
func startFleet(t *testing.T, shape fleet.Shape) *fleetHarness {
	t.Helper()
	ctx := acquireSlot(t)
	s := &fleetHarness{I: is.New(t), t: t, ctx: ctx, cmds: map[string]*exec.Cmd{}}
	var err error
	s.dir, err = deployment.Build(ctx)
	s.NoErr(err)
	shape.Dir, shape.Ranks, shape.Gateways = t.TempDir(), max(shape.Ranks, fleetRanks), max(shape.Gateways, 2)
	t.Cleanup(s.saveLogs)
	s.Fleet, err = fleet.Start(shape)
	s.NoErr(err)
	t.Cleanup(s.Stop)
	for _, b := range s.Boots {
		s.startProcess(b)
	}
	t.Cleanup(s.verifyNoRaces)
	t.Cleanup(s.killAll)
	s.NoErr(s.WaitReady(ctx, time.Minute))
	s.NoErr(s.Started())
	return s
}

// verifyNoRaces fails the test if a process that was built for the race detector has reported a race.
func (s *fleetHarness) verifyNoRaces() {
	for _, b := range s.Boots {
		if strings.Contains(s.log(b.Name), "WARNING: DATA RACE") {
			s.t.Errorf("%s has reported a data race", b.Name)
		}
	}
}

// saveLogs copies the logs of the processes of a failed test to a directory that stays.
func (s *fleetHarness) saveLogs() {
	if !s.t.Failed() || s.Fleet == nil {
		return
	}
	kept, err := os.MkdirTemp("", "verbenashift-fleet-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(s.Shape.Dir))
	}
	s.t.Logf("logs are in %s (%v)", kept, err)
}

// startProcess starts the process that a settings file describes.
func (s *fleetHarness) startProcess(b fleet.Boot) {
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

// boot returns the settings file of a process by its name.
func (s *fleetHarness) boot(name string) fleet.Boot {
	for _, b := range s.Boots {
		if b.Name == name {
			return b
		}
	}
	s.t.Fatalf("no process %s", name)
	return fleet.Boot{}
}

// signal sends a signal to a process.
func (s *fleetHarness) signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.NoErr(s.cmds[name].Process.Signal(sig))
}

// kill kills a process and waits until it has ended.
func (s *fleetHarness) kill(name string) {
	s.mu.Lock()
	cmd := s.cmds[name]
	s.mu.Unlock()
	s.NoErr(cmd.Process.Kill())
	_ = cmd.Wait()
}

// killAll kills all processes.
func (s *fleetHarness) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cmd := range s.cmds {
		// It may have ended already.
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// log returns the log output of a process.
func (s *fleetHarness) log(name string) string {
	data, err := os.ReadFile(filepath.Join(s.Shape.Dir, name+".log"))
	s.NoErr(err)
	return string(data)
}

// coordinator returns the name of the sidecar that is the coordinator of the first group.
func (s *fleetHarness) coordinator() string { return s.coordinatorOf(0) }

// coordinatorOf returns the name of the sidecar that is the coordinator of a group: the one
// that has claimed the highest term in its log.
func (s *fleetHarness) coordinatorOf(group int) string {
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

// playDuring plays at least n requests, and more until fn returns, and returns the verdict on
// them. Without requests there would be no load counts, and the expert map would not change.
func (s *fleetHarness) playDuring(n int, fn func()) fleet.Verdict {
	done := make(chan struct{})
	played := make(chan []fleet.Call, 1)
	go func() {
		calls := fleet.Play(s.ctx, s.Fleet, n)
		for {
			select {
			case <-done:
				played <- calls
				return
			default:
				calls = append(calls, fleet.Play(s.ctx, s.Fleet, callBatch)...)
			}
		}
	}()
	fn()
	close(done)
	v := fleet.Judge(s.Fleet, <-played)
	s.t.Logf("%+v", v)
	return v
}

// callBatch is how many requests are played at a time until fn returns.
const callBatch = 100

// awaitMapChanges shifts the demand for experts of each group until its map has changed: a
// shift that leaves the ranks nearly balanced does not cause a change.
func (s *fleetHarness) awaitMapChanges() {
	for group := range s.Groups {
		s.awaitMapChange(group)
	}
}

// awaitMapChange does the same for one group.
func (s *fleetHarness) awaitMapChange(group int) {
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

// Without faults every caller gets its complete response, the expert map follows the load, and
// no forward pass starts on two maps.
func TestFleetQuiet(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.61"})
	v := s.playDuring(600, func() {})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
	s.True(v.MapChanges > 0)
}

// Guards against a group that stops or uses two maps when the process of its coordinator is
// killed repeatedly during map changes, while the workers apply orders late. The group must go
// on with one map, and the next coordinator must adapt it to the load.
func TestFleetStewardDies(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.62", LateOrders: 0.2})
	v := s.playDuring(3000, func() {
		for range 3 {
			s.awaitMapChanges()
			name := s.coordinator()
			s.kill(name)
			s.awaitMapChanges()
			s.startProcess(s.boot(name))
		}
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}

// Guards against stale orders of a coordinator that is suspended during its work and resumes
// after another one has taken over. Nothing that it had decided may reach a rank.
func TestFleetStewardFreezes(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.63"})
	v := s.playDuring(3000, func() {
		for range 3 {
			s.awaitMapChanges()
			name := s.coordinator()
			s.signal(name, syscall.SIGSTOP)
			s.awaitMapChanges()
			s.signal(name, syscall.SIGCONT)
		}
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}

// Guards against a group that stops when the store is unavailable for seconds while requests
// arrive, the map is due to change and the coordinator is killed. The known state stays in
// use, and no group may wait for the store.
func TestFleetWithoutStore(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.64"})
	v := s.playDuring(3000, func() {
		s.awaitMapChanges()
		s.Store.SetDown(true)
		name := s.coordinator()
		s.kill(name)
		time.Sleep(3 * time.Second)
		s.Store.SetDown(false)
		s.startProcess(s.boot(name))
		s.awaitMapChanges()
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}

// Guards against a stopped group when the coordinator is killed during a long outage of the
// store. The next coordinator must know the group without the store: the load keeps shifting,
// and a hold on the ranks that the killed coordinator has left would block all requests.
func TestFleetStewardDiesWithoutStore(t *testing.T) {
	for name, outage := range map[string]struct {
		block string
		set   func(*fleet.Store, bool)
	}{
		"refuses":   {"127.0.70", (*fleet.Store).SetDown},
		"is silent": {"127.0.71", (*fleet.Store).SetUnresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			s := startFleet(t, fleet.Shape{Block: outage.block})
			v := s.playDuring(1500, func() {
				s.awaitMapChanges()
				outage.set(s.Store, true)
				s.kill(s.coordinator())
				for range 3 {
					s.awaitMapChanges()
				}
				outage.set(s.Store, false)
			})
			s.True(v.Passed())
			s.Equal(v.Complete, v.Requests)
		})
	}
}

// Guards against rejected callers when all model servers refuse requests for a moment, as
// after a loss of power. Requests of that moment must wait.
func TestFleetAllRefuse(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.65"})
	v := s.playDuring(400, func() {
		time.Sleep(300 * time.Millisecond)
		s.Refuse(true)
		time.Sleep(500 * time.Millisecond)
		s.Refuse(false)
	})
	s.True(v.Passed())
	s.True(v.Complete >= v.Requests*95/100)
}

// Guards against lost drafts when the instance of a model server stalls for three seconds: its
// group goes on, but this server sends nothing. Its callers see their drafts stop, or not
// start, and time out after two seconds. The drafts must resume on other servers before that.
func TestFleetRankStandsStill(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.69"})
	v := s.playDuring(1500, func() {
		time.Sleep(500 * time.Millisecond)
		s.Freeze(2, true)
		time.Sleep(3 * time.Second)
		s.Freeze(2, false)
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}

// Guards against responses that are cut off when a gateway gets SIGTERM. The load balancer
// must be told first, and each connection must end after a complete response.
func TestFleetGatewayStops(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.66"})
	v := s.playDuring(400, func() {
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

// Guards against requests that are cut without an answer because a gateway ends before their server has
// answered.
func TestFleetStoppedGatewayAnswersAll(t *testing.T) {
	const wait = 15 * time.Second // longer than the gateway has for its stop
	s := startFleet(t, fleet.Shape{Block: "127.0.113"})
	s.configure(int(wait.Milliseconds()), []string{"front-0"})
	for i := range s.Plains() {
		s.SetFault(i, fleet.Unresponsive)
	}
	played := make(chan []fleet.Call, 1)
	go func() { played <- fleet.PlayHolds(s.ctx, s.Fleet, 0, 40, wait) }()
	time.Sleep(time.Second)
	s.signal("front-0", syscall.SIGTERM)
	calls := <-played
	status := map[int]int{}
	for _, c := range calls {
		if c.Front == s.Fronts[0] {
			status[c.Status]++
		}
	}
	s.True(status[http.StatusBadGateway] > 0)
	s.Equal(len(status), 1)
	v := fleet.Judge(s.Fleet, calls)
	s.True(v.Passed())
	s.mu.Lock()
	cmd := s.cmds["front-0"]
	s.mu.Unlock()
	s.NoErr(cmd.Wait())
	s.True(strings.Contains(s.log("front-0"), `"clean":true`))
}

// Guards against gateways that all get SIGTERM at once and end without reporting that they are
// not ready: the load balancer would go on sending callers to a closed port.
func TestFleetAllGatewaysStop(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.68"})
	stopped := make(chan []int, len(s.Ready))
	v := s.playDuring(200, func() {
		time.Sleep(300 * time.Millisecond)
		for _, addr := range s.Ready {
			go func() { stopped <- s.pollReadiness(addr) }()
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

// pollReadiness polls the readiness endpoint of a gateway until the gateway has ended, and
// returns the status codes.
func (s *fleetHarness) pollReadiness(addr string) []int {
	const pollReady = 5 * time.Millisecond
	var seen []int
	for s.ctx.Err() == nil {
		resp, err := http.Get("http://" + addr + platform.ReadyPath)
		if err != nil {
			return seen
		}
		_ = resp.Body.Close() // Only the status matters.
		seen = append(seen, resp.StatusCode)
		time.Sleep(pollReady)
	}
	return seen
}

// Guards against errors that callers see when a process gets the signal to reload its settings
// file or the configuration changes.
func TestFleetReloads(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.67"})
	v := s.playDuring(400, func() {
		for i := range 5 {
			s.signal("front-0", syscall.SIGHUP)
			s.signal(s.coordinator(), syscall.SIGHUP)
			s.Configure(1500 + 100*i)
			s.Store.Compact()
			time.Sleep(150 * time.Millisecond)
		}
	})
	s.True(v.Passed())
	s.Equal(v.Complete, v.Requests)
}
