package crash

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/request/quarantine"
)

// harness is a Detector with one target whose address answers as the test specifies.
type harness struct {
	*Detector
	// answer is the result of opening a connection.
	answer  error
	serves  bool
	dials   int
	crashes []quarantine.Crash
}

func newHarness() *harness {
	b := &harness{serves: true}
	dial := func(context.Context, string, string) (net.Conn, error) {
		b.dials++
		if b.answer != nil {
			return nil, b.answer
		}
		conn, _ := net.Pipe()
		return conn, nil
	}
	b.Detector = New(dial, func(deployment.Target) bool { return b.serves }, slog.New(slog.DiscardHandler),
		func(c quarantine.Crash) { b.crashes = append(b.crashes, c) })
	return b
}

func target() deployment.Target {
	return deployment.Target{ID: "t0", StartedAt: 7, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
}

func fingerprintOf(n int) quarantine.Fingerprint {
	c := quarantine.Content{Target: fmt.Sprint(n)}
	return c.Fingerprint()
}

// requestOf returns a request with two parts, the first of which all requests share.
func requestOf(n int) quarantine.Request {
	return quarantine.Request{Content: fingerprintOf(n), Parts: []quarantine.Fingerprint{quarantine.PartFingerprint("shared"), quarantine.PartFingerprint(fmt.Sprint(n))}}
}

// crashOf returns the crash of the target while it ran one request.
func crashOf(n int) quarantine.Crash {
	c := quarantine.Crash{Target: "t0", StartedAt: 7}
	c.Add(requestOf(n))
	return c
}

// waitForCheck waits until the Detector has checked the target's address.
func waitForCheck() {
	time.Sleep(time.Second)
	synctest.Wait()
}

// errUnreachable is the error of a connection to an instance without power.
var errUnreachable = errors.New("i/o timeout")

// Guards against treating a lost packet or a fault in one answer as the crash of a target.
func TestCrashOrBrokenAnswer(t *testing.T) {
	for name, tt := range map[string]struct {
		answer error
		// after is called some time after the answer broke off.
		after func(b *harness)
		want  int
	}{
		"accepts connections":                      {nil, nil, 0},
		"accepts connections, and is removed soon": {nil, func(b *harness) { b.Removed(target()) }, 0},
		"accepts connections, and has restarted":   {nil, func(b *harness) { b.Restarted(target()) }, 1},
		"accepts connections, and restarts later": {nil, func(b *harness) {
			time.Sleep(listeningRetention)
			b.Restarted(target())
		}, 0},
		"no answer, and has restarted":             {errUnreachable, func(b *harness) { b.Restarted(target()) }, 1},
		"nobody listens":                           {syscall.ECONNREFUSED, nil, 1},
		"nobody listens, and its entry is removed": {syscall.ECONNREFUSED, func(b *harness) { b.Removed(target()) }, 1},
		"no answer":                           {errUnreachable, nil, 0},
		"no answer, and its entry is removed": {errUnreachable, func(b *harness) { b.Removed(target()) }, 1},
		"no answer, and a call is refused":    {errUnreachable, func(b *harness) { b.Refused(target()) }, 1},
		"no answer, and its entry is removed late": {errUnreachable, func(b *harness) {
			time.Sleep(retention)
			b.Tick(time.Now())
			b.Removed(target())
		}, 0},
		"no answer, and another target is removed": {errUnreachable, func(b *harness) { b.Removed(deployment.Target{ID: "t1", StartedAt: 7}) }, 0},
		"no answer, and an earlier incarnation ends": {errUnreachable, func(b *harness) {
			b.Removed(deployment.Target{ID: "t0", StartedAt: 6})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness()
				b.answer = tt.answer
				b.AnswerBroken(target(), requestOf(1))
				waitForCheck()
				if tt.after != nil {
					tt.after(b)
				}
				is.Equal(len(b.crashes), tt.want)
				for _, c := range b.crashes {
					is.Equal(c, crashOf(1))
				}
			})
		})
	}
}

// Guards against missing a crash when answers break off after the target's entry was removed.
func TestBreaksAfterTargetRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		b.answer, b.serves = errUnreachable, false
		b.AnswerBroken(target(), requestOf(1))
		waitForCheck()
		is.Equal(len(b.crashes), 1)
	})
}

// Guards against treating a planned shutdown as a crash.
func TestPlannedEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		b.answer, b.serves = syscall.ECONNREFUSED, false
		b.AnswerBroken(target(), requestOf(1))
		waitForCheck()
		b.Removed(target())
		is.Equal(len(b.crashes), 0)
	})
}

// Guards against checking a target once for each broken answer, and against reporting an
// unbounded number of requests.
func TestManyAnswersBreakTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		b.answer = syscall.ECONNREFUSED
		for n := range 2 * maxRequests {
			b.AnswerBroken(target(), requestOf(n))
			b.AnswerBroken(target(), requestOf(n))
		}
		waitForCheck()
		is.Equal(b.dials, 1)
		is.Equal(len(b.crashes), 1)
		is.Equal(len(b.crashes[0].Requests), maxRequests)
	})
}

// Guards against attributing a crash to a request after which its target has accepted a connection.
func TestAnswerClearsEarlierBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		b.AnswerBroken(target(), requestOf(1))
		waitForCheck()
		b.answer = syscall.ECONNREFUSED
		b.AnswerBroken(target(), requestOf(2))
		waitForCheck()
		is.Equal(b.crashes, []quarantine.Crash{crashOf(2)})
	})
}
