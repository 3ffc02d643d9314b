// Package booking measures the at-most-once registers: the time of a claim, the
// memory of a key and the time of a rebuild.
//
// # Usage
//
//	figures, err := booking.Run(os.Stdout)
package booking

import (
	"encoding/gob"
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/bench/figure"
	core "verbenashift/core/request/booking"
)

const (
	// claimCount is the number of claims over which a figure is averaged.
	claimCount = 20000
	// peakRate is the number of requests per second for which the fleet is
	// designed. All of them are assumed to be non-repeatable.
	peakRate = 6200
	// fleet is the number of targets in the fleet at that rate.
	fleet = 670
	// megabyte is the unit of the memory figures.
	megabyte = 1 << 20
)

// Run measures all figures and writes its progress to w.
func Run(w io.Writer) ([]figure.Figure, error) {
	var figures []figure.Figure
	for _, n := range []int{19, 67, fleet} {
		fmt.Fprintf(w, "booking: %d executors\n", n)
		figures = append(figures, measureClaim(n), measureRebuild(n))
	}
	figures = append(figures, measureSealScan(), homeAllocs(), acceptAllocs())
	return measureHandover(append(figures, measureMemory()...))
}

// targetNames returns the names of n targets.
func targetNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("caption-%03d", i)
	}
	return out
}

// distinctKeys returns n distinct keys.
func distinctKeys(n int) []core.Key {
	out := make([]core.Key, n)
	for i := range out {
		out[i] = core.KeyOf("lightbox", fmt.Sprint(i))
	}
	return out
}

// newHome returns a home without keys, one of n targets.
func newHome(n int) *core.Home {
	all := targetNames(n)
	h := &core.Home{Name: all[0], Incarnation: 1, First: true, Limits: core.Limits{MaxKeys: 2 * claimCount}}
	h.Configure(core.Generation{Revision: 1, Names: all}, 0)
	return h
}

// homeKeys returns keys that belong to newHome(n): its share of claimCount, and
// 100 more.
func homeKeys(n int) []core.Key {
	all := targetNames(n)
	own := make([]core.Key, 0, claimCount)
	for i := 0; len(own) < claimCount/n+100; i++ {
		if key := core.KeyOf("lightbox", fmt.Sprint(i)); core.HomeOf(key, all) == all[0] {
			own = append(own, key)
		}
	}
	return own
}

func newClaim(key core.Key, id, executor string) core.Claim {
	return core.Claim{Key: key, RequestID: id, Executor: executor, ExecutorIncarnation: 1, Revision: 1}
}

// measureClaim measures the time of a first claim with n targets. It takes the
// fastest round, since other work on the machine can only slow a round down.
func measureClaim(n int) figure.Figure {
	const rounds = 7
	own := homeKeys(n)
	best := time.Duration(math.MaxInt64)
	for range rounds {
		h := newHome(n)
		start := time.Now()
		for _, key := range own {
			h.Claim(newClaim(key, "0123456789abcdef0123456789abcdef", "caption-001"), 0)
		}
		best = min(best, time.Since(start))
	}
	cost := float64(best.Nanoseconds()) / float64(len(own))
	return figure.Figure{
		Name: fmt.Sprintf("booking-claim-%d", n), Value: cost, Unit: "ns",
		Bound: 50000, Better: figure.Lower, Note: "first claim among that many targets, best round",
	}
}

// measureRebuild measures the home's side of a rebuild, without the network:
// merging the key lists of the executors, which together hold the keys that one
// home has at the peak rate.
func measureRebuild(n int) figure.Figure {
	all := targetNames(n)
	h := &core.Home{Name: all[0], Incarnation: 2}
	h.Configure(core.Generation{Revision: 1, Names: all}, 0)
	perHome := int(peakRate * core.DefaultRetention.Seconds() / fleet)
	held := distinctKeys(perHome)
	executors := make([]*core.Executor, n)
	for i := range executors {
		executors[i] = &core.Executor{Name: all[i], Incarnation: 1, First: true}
	}
	for i, key := range held {
		grant := core.Grant{Key: key, Home: all[0], HomeIncarnation: 1, Attempt: 1}
		executors[1+i%(n-1)].Accept(core.Submission{Grant: grant, RequestID: "0123456789abcdef", Incarnation: 1}, 0)
	}
	start := time.Now()
	h.Rebuild(0)
	for _, e := range executors[1:] {
		h.SealAnswered(e.Name, e.SealHome(core.Seal{Home: all[0], Incarnation: 2}, 0), 0)
	}
	return figure.Figure{
		Name: fmt.Sprintf("booking-rebuild-%d", n), Value: float64(time.Since(start).Microseconds()), Unit: "us",
		Bound: 1e6, Better: figure.Lower, Note: fmt.Sprintf("%d keys, without the network", h.Len()),
	}
}

// measureSealScan measures the executor's side of a rebuild: scanning all keys
// that it holds at the peak rate for those of one home.
func measureSealScan() figure.Figure {
	e := &core.Executor{Name: "a", Incarnation: 1, First: true}
	count := int(peakRate * core.DefaultRetention.Seconds() / fleet)
	for i, key := range distinctKeys(count) {
		grant := core.Grant{Key: key, Home: fmt.Sprint(i % fleet)}
		e.Accept(core.Submission{Grant: grant, RequestID: "0123456789abcdef", Incarnation: 1}, 0)
	}
	start := time.Now()
	listed := len(e.SealHome(core.Seal{Home: "7", Incarnation: 2}, 0).Keys)
	return figure.Figure{
		Name: "booking-seal-scan", Value: float64(time.Since(start).Microseconds()), Unit: "us", Bound: 50000, Better: figure.Lower,
		Note: fmt.Sprintf("%d of %d keys listed", listed, count),
	}
}

// measureMemory measures the memory of a key in both registers and computes the
// memory of an agent at the peak rate.
func measureMemory() []figure.Figure {
	const count = 50000
	before := liveHeap()
	limits := core.Limits{MaxKeys: 2 * count}
	h := &core.Home{Name: "a", Incarnation: 1, First: true, Limits: limits}
	h.Configure(core.Generation{Revision: 1, Names: []string{"a"}}, 0)
	for i := range count {
		h.Claim(newClaim(core.KeyOf("w", fmt.Sprint(i)), fmt.Sprintf("%032d", i), "a"), time.Duration(i))
	}
	middle := liveHeap()
	e := &core.Executor{Name: "a", Incarnation: 1, First: true, Limits: limits}
	for i := range count {
		key := core.KeyOf("w", fmt.Sprint(i))
		e.Accept(core.Submission{Grant: core.Grant{Key: key, Home: "b"}, RequestID: fmt.Sprintf("%032d", i), Incarnation: 1}, time.Duration(i))
		e.Start(key, time.Duration(i))
		e.End(key, time.Duration(i))
	}
	after := liveHeap()
	perHome, perExecutor := (middle-before)/count, (after-middle)/count
	runtime.KeepAlive(h)
	runtime.KeepAlive(e)
	rate := float64(peakRate) / fleet
	agent := rate * (perHome*core.Limits{}.Window().Seconds() + perExecutor*(core.DefaultRetention+10*time.Second).Seconds())
	return []figure.Figure{
		{Name: "booking-home-key", Value: perHome, Unit: "bytes", Bound: 512, Better: figure.Lower, Gate: true},
		{Name: "booking-executor-key", Value: perExecutor, Unit: "bytes", Bound: 512, Better: figure.Lower, Gate: true},
		{
			Name: "booking-agent-peak", Value: agent / megabyte, Unit: "MB", Bound: 8, Better: figure.Lower, Gate: true,
			Note: "worked out: 6,200 requests a second over 670 agents, runs of 10 s",
		},
	}
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureHandover appends the encoded size of a key in a handover to figures.
func measureHandover(figures []figure.Figure) ([]figure.Figure, error) {
	const count = 5000
	h := &core.Home{Name: "a", Incarnation: 1, First: true}
	h.Configure(core.Generation{Revision: 1, Names: []string{"a"}}, 0)
	for i := range count {
		h.Claim(newClaim(core.KeyOf("w", fmt.Sprint(i)), fmt.Sprintf("%032d", i), "a"), 0)
	}
	var size byteCounter
	if err := gob.NewEncoder(&size).Encode(h.Export(0)); err != nil {
		return nil, errors.Wrap(err, "encode handover")
	}
	return append(figures, figure.Figure{
		Name: "booking-handover-key", Value: float64(size) / count, Unit: "bytes", Bound: 256, Better: figure.Lower, Gate: true,
		Note: "encoded with encoding/gob",
	}), nil
}

// byteCounter counts the bytes written to it.
type byteCounter int

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}
