package clients

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/platform"
	"verbenashift/standin/deployment"
	"verbenashift/standin/fleet"
)

const (
	// memoryMb is the memory in megabytes at which a gateway is killed, maxDescriptors how many
	// descriptors it may have.
	memoryMb       = 64
	maxDescriptors = 1000
	// testTimeout is the time limit of a test. It does not affect the verdict.
	testTimeout = 2 * time.Minute
	// metricsPort and feedPort are the ports of a gateway beside those of its settings.
	metricsPort = "9750"
	feedPort    = "9310"
)

// TestMain makes the tests wait for those of other processes with the same addresses, and runs
// them one at a time.
func TestMain(m *testing.M) {
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "verbenashift-proof.lock"), os.O_CREATE|os.O_RDWR, 0o666)
	if err == nil {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "clients: cannot acquire the lock:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = deployment.Clean()
	_ = lock.Close()
	os.Exit(code)
}

// process is a program under test.
type process struct {
	*is.I
	t   *testing.T
	ctx context.Context
	pid int
	// ended is closed when the process has ended.
	ended chan struct{}
	// descriptors is the largest number of open descriptors that was seen.
	descriptors atomic.Int64
}

// gateway is a gateway under test with the stand-in of the platform.
type gateway struct {
	*process
	*fleet.Fleet
	// front is its address for callers; the others are its further addresses.
	front, ready, metrics, feed string
}

// startGateway starts a gateway with little memory, and waits until it serves a request. Its log
// goes to the given file, or to one in a temporary directory.
func startGateway(t *testing.T, log *os.File) *gateway {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	g := &gateway{process: &process{I: is.New(t), t: t, ctx: ctx, ended: make(chan struct{})}}
	programs, err := deployment.Build(ctx)
	g.NoErr(err)
	g.Fleet, err = fleet.Start(fleet.Shape{Dir: t.TempDir(), Block: "127.0.111", Ranks: 2, Gateways: 1})
	g.NoErr(err)
	t.Cleanup(g.Stop)
	boot := g.Boots[len(g.Boots)-1]
	g.limit(boot.File)
	g.front, g.ready = g.Fronts[0], g.Ready[0]
	host, _, err := net.SplitHostPort(g.front)
	g.NoErr(err)
	g.metrics, g.feed = net.JoinHostPort(host, metricsPort), net.JoinHostPort(host, feedPort)
	if log == nil {
		log, err = os.Create(filepath.Join(g.Dir, "gateway.log"))
		g.NoErr(err)
	}
	cmd := exec.Command(filepath.Join(programs, boot.Role))
	cmd.Env = append(os.Environ(), platform.BootEnv+"="+boot.File)
	cmd.Stdout, cmd.Stderr = log, log
	g.start(cmd)
	g.NoErr(log.Close())
	g.NoErr(g.WaitReady(ctx, time.Minute))
	return g
}

// limit lowers the limits in a settings file.
func (g *gateway) limit(file string) {
	data, err := os.ReadFile(file)
	g.NoErr(err)
	settings := map[string]any{}
	g.NoErr(json.Unmarshal(data, &settings))
	settings["limits"] = map[string]any{"memoryMb": memoryMb, "maxFds": maxDescriptors}
	data, err = json.Marshal(settings)
	g.NoErr(err)
	g.NoErr(os.WriteFile(file, data, 0o600))
}

// start starts a program, which is killed when the test ends.
func (p *process) start(cmd *exec.Cmd) {
	p.NoErr(cmd.Start())
	p.pid = cmd.Process.Pid
	go func() {
		// Its state is of no interest: the process must not end during the test.
		_ = cmd.Wait()
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill() // It may have ended already.
		<-p.ended
	})
	go p.watch()
}

// watchInterval is how often open descriptors are counted.
const watchInterval = 5 * time.Millisecond

// watch counts the open descriptors of the process until it ends.
func (p *process) watch() {
	dir := "/proc/" + strconv.Itoa(p.pid) + "/fd"
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(watchInterval):
		}
		if open, err := os.ReadDir(dir); err == nil {
			p.descriptors.Store(max(p.descriptors.Load(), int64(len(open))))
		}
	}
}

// mostMemory returns the most memory in bytes that was resident.
func (p *process) mostMemory() int {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.pid) + "/status")
	p.NoErr(err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			p.NoErr(err)
			return kb << 10
		}
	}
	p.t.Fatal("no VmHWM")
	return 0
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// verify checks that the process lives within its bounds.
func (p *process) verify(memory, descriptors int) {
	p.t.Helper()
	p.True(p.alive())
	most := p.mostMemory()
	open := int(p.descriptors.Load())
	p.t.Logf("%d MB resident, %d descriptors", most>>20, open)
	p.True(most < memory)
	p.True(open < descriptors)
}

// verifyGateway checks a gateway when its clients have gone: its bounds, and that it answers an
// ordinary request.
func (g *gateway) verifyGateway() {
	g.t.Helper()
	g.verify(memoryMb<<20, maxDescriptors)
	g.Equal(g.exchange(ordinary(0)), http.StatusOK)
}

// exchange sends a request on a new connection until it is not refused, and returns the status of
// its answer.
func (g *gateway) exchange(request string) int {
	g.t.Helper()
	for g.alive() && g.ctx.Err() == nil {
		if status := g.send(request); status != 0 && status != http.StatusServiceUnavailable {
			return status
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatal("no answer")
	return 0
}

// send sends a request on a new connection, and returns the status of its answer, or 0.
func (g *gateway) send(request string) int {
	c, err := net.Dial("tcp", g.front)
	if err != nil {
		return 0
	}
	defer c.Close()
	stop := context.AfterFunc(g.ctx, func() { _ = c.Close() })
	defer stop()
	if _, err := c.Write([]byte(request)); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
