package proof

import (
	"context"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

const (
	slowCallers = 2000
	slowFor     = 8 * time.Second
	// gatewayMemory is the memory at which a gateway is killed, as its settings say.
	gatewayMemory = 200 << 20
)

// Guards against a gateway that is killed for its memory, or that serves nobody else, when hundreds of
// callers read or send nothing.
func TestFleetCallersThatStopReadingAndSending(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.87", Gateways: 2})
	ctx, stop := context.WithTimeout(s.ctx, slowFor)
	defer stop()
	go fleet.HoldSlowCallers(ctx, s.Fleet, slowCallers)
	calls := fleet.PlayUntil(ctx, s.Fleet)
	v := fleet.Judge(s.Fleet, calls)
	t.Logf("%+v", v)
	s.True(v.Passed())
	s.True(20*v.Complete >= 19*v.Requests)
	for _, name := range []string{"front-0", "front-1"} {
		most := s.mostMemory(name)
		t.Logf("%s: %d MB", name, most>>20)
		s.True(most < gatewayMemory)
	}
}

// mostMemory returns the most bytes that a process has had resident.
func (s *fleetHarness) mostMemory(name string) int {
	s.mu.Lock()
	pid := s.cmds[name].Process.Pid
	s.mu.Unlock()
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	s.NoErr(err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			s.NoErr(err)
			return kb << 10
		}
	}
	s.t.Fatal("no VmHWM")
	return 0
}
