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

// bench is a Detector before one target whose address answers as a test says.
type bench struct {
	*Detector
	// answer is what opening a connection gives.
	answer  error
	serves  bool
	dials   int
	crashes []quarantine.Crash
}

func newBench() *bench {
	b := &bench{serves: true}
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
	return deployment.Target{ID: "t0", Born: 7, Addr: netip.MustParseAddrPort("10.0.0.1:80")}
}

func printOf(n int) quarantine.Fingerprint {
	c := quarantine.Content{Target: fmt.Sprint(n)}
	return c.Fingerprint()
}

// elapse lets the Detector ask the target's address.
func elapse() {
	time.Sleep(time.Second)
	synctest.Wait()
}

// errSilent is how opening a connection to an instance without power fails.
var errSilent = errors.New("i/o timeout")

// Guards against taking a lost packet or a fault in one answer for the crash of a target.
func TestCrashOrBrokenAnswer(t *testing.T) {
	for name, tt := range map[string]struct {
		answer error
		// after happens a while after the answer broke off.
		after func(b *bench)
		want  int
	}{
		"somebody listens":                           {nil, nil, 0},
		"somebody listens, and it leaves soon":       {nil, func(b *bench) { b.Removed(target()) }, 0},
		"somebody listens, and it has started again": {nil, func(b *bench) { b.Restarted(target()) }, 1},
		"somebody listens, and it starts again later": {nil, func(b *bench) {
			time.Sleep(livingMemory)
			b.Restarted(target())
		}, 0},
		"no answer, and it has started again": {errSilent, func(b *bench) { b.Restarted(target()) }, 1},
		"nobody listens":                      {syscall.ECONNREFUSED, nil, 1},
		"nobody listens, and its entry goes":  {syscall.ECONNREFUSED, func(b *bench) { b.Removed(target()) }, 1},
		"no answer":                           {errSilent, nil, 0},
		"no answer, and its entry goes":       {errSilent, func(b *bench) { b.Removed(target()) }, 1},
		"no answer, and a call is refused":    {errSilent, func(b *bench) { b.Refused(target()) }, 1},
		"no answer, and its entry goes late": {errSilent, func(b *bench) {
			time.Sleep(memory)
			b.Tick(time.Now())
			b.Removed(target())
		}, 0},
		"no answer, and another one leaves": {errSilent, func(b *bench) { b.Removed(deployment.Target{ID: "t1", Born: 7}) }, 0},
		"no answer, and an earlier life ends": {errSilent, func(b *bench) {
			b.Removed(deployment.Target{ID: "t0", Born: 6})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench()
				b.answer = tt.answer
				b.AnswerBroken(target(), printOf(1))
				elapse()
				if tt.after != nil {
					tt.after(b)
				}
				is.Equal(len(b.crashes), tt.want)
				for _, c := range b.crashes {
					is.Equal(c, quarantine.Crash{Target: "t0", StartedAt: 7, Requests: []quarantine.Fingerprint{printOf(1)}})
				}
			})
		})
	}
}

// The answers of a target that has gone already break off only now.
func TestBreaksAfterTheEntryHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.answer, b.serves = errSilent, false
		b.AnswerBroken(target(), printOf(1))
		elapse()
		is.Equal(len(b.crashes), 1)
	})
}

// Guards against taking a planned end for a crash.
func TestPlannedEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.answer, b.serves = syscall.ECONNREFUSED, false
		b.AnswerBroken(target(), printOf(1))
		elapse()
		b.Removed(target())
		is.Equal(len(b.crashes), 0)
	})
}

// Guards against asking a target once for each answer that broke off, and crashes without
// bound.
func TestManyAnswersBreakTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.answer = syscall.ECONNREFUSED
		for n := range 2 * maxRequests {
			b.AnswerBroken(target(), printOf(n))
			b.AnswerBroken(target(), printOf(n))
		}
		elapse()
		is.Equal(b.dials, 1)
		is.Equal(len(b.crashes), 1)
		is.Equal(len(b.crashes[0].Requests), maxRequests)
	})
}

// Guards against naming a request for a crash before which its target has answered others.
func TestAnswerClearsEarlierBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.AnswerBroken(target(), printOf(1))
		elapse()
		b.answer = syscall.ECONNREFUSED
		b.AnswerBroken(target(), printOf(2))
		elapse()
		is.Equal(b.crashes, []quarantine.Crash{{Target: "t0", StartedAt: 7, Requests: []quarantine.Fingerprint{printOf(2)}}})
	})
}
