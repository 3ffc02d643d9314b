// Package path measures what the way through an entry and an agent costs,
// against a direct call to the same stand-in in the same run.
//
// The programs run as processes on loopback. Times are compared by turns, one
// direct call and one through the system, so that both see the same machine.
// What a frame costs is the slope between short and long streams, so that the
// cost of a request and of an idle process falls out.
//
// # Usage
//
//	figures, err := path.Run(os.Stdout)
package path

import (
	"context"
	"fmt"
	"io"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/plumbing/pause"
	"verbenashift/standin/deployment"
)

// The load of one run.
const (
	pings        = 2000
	shortAnswers = 400
	loadCalls    = 6000
	loadWorkers  = 8
	streams      = 16
	shortTokens  = 64
	longTokens   = 1536
	idleTime     = 3 * time.Second
	runTime      = 3 * time.Minute
)

// The bounds of the figures.
const (
	addedMedianBound = 300  // µs
	addedP99Bound    = 2000 // µs
	callCPUBound     = 400  // µs
	frameCPUBound    = 60   // µs
	frameAllocsBound = 2
	memoryBound      = 32 << 20
)

const workspace = "harbor-home"

// Run starts the deployments, measures and stops them. It writes one line for
// each figure to w.
func Run(w io.Writer) ([]figure.Figure, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	var all []figure.Figure
	for _, part := range []func(context.Context) ([]figure.Figure, error){measureWay, measureMemory} {
		figures, err := part(ctx)
		if err != nil {
			return all, err
		}
		for _, f := range figures {
			all = append(all, f)
			if _, err := fmt.Fprintf(w, "%-36s %12.4g %-10s ok %-5v %s\n", f.Name, f.Value, f.Unit, f.OK(), f.Note); err != nil {
				return all, err
			}
		}
	}
	return all, nil
}

// measureWay measures times, processor time and allocations on the way of a
// request.
func measureWay(ctx context.Context) (figures []figure.Figure, err error) {
	d, err := deployment.Start(ctx, deployment.Shape{
		Block: "127.0.50", Entries: 1, ModelTargets: 1, ServiceTargets: 1, Workspaces: []string{workspace},
		EngineFlags: []string{"-step", "2ms", "-slots", "32"}, PlainFlags: []string{"-work", "0s"},
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = d.Close() }()
	for _, part := range []func(context.Context, *way) ([]figure.Figure, error){addedTimes, callCosts, frameCosts} {
		more, err := part(ctx, newWay(d))
		if err != nil {
			return nil, err
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

// addedTimes compares calls of a plain service and streams of one token with
// direct ones.
func addedTimes(ctx context.Context, y *way) ([]figure.Figure, error) {
	_, calls, err := alternate(ctx, pings, y.directPing, y.ping)
	if err != nil {
		return nil, err
	}
	first, whole, err := alternate(ctx, shortAnswers, y.directShort, y.short)
	if err != nil {
		return nil, err
	}
	return []figure.Figure{
		calls.added("path-added-median", 0.5, addedMedianBound),
		calls.added("path-added-p99", 0.99, addedP99Bound),
		first.added("path-first-token-added-median", 0.5, addedMedianBound),
		first.added("path-first-token-added-p99", 0.99, addedP99Bound),
		whole.added("path-short-answer-added-median", 0.5, addedMedianBound),
		whole.added("path-short-answer-added-p99", 0.99, addedP99Bound),
	}, nil
}

// callCosts measures what a short call costs both processes.
func callCosts(ctx context.Context, y *way) ([]figure.Figure, error) {
	entry, agent := y.probe("entry-1"), y.probe("agent-2")
	idle, err := during(ctx, []probe{entry, agent}, func() error { return sleep(ctx, idleTime) })
	if err != nil {
		return nil, err
	}
	load, err := during(ctx, []probe{entry, agent}, func() error {
		return together(loadWorkers, loadCalls, func() error {
			_, err := y.ping(ctx)
			return err
		})
	})
	if err != nil {
		return nil, err
	}
	var figures []figure.Figure
	for i, name := range []string{"entry", "agent"} {
		net := load[i].less(idle[i])
		figures = append(figures,
			figure.Figure{
				Name: "path-call-cpu-" + name, Value: net.cpu.Seconds() * 1e6 / loadCalls, Unit: "us", Bound: callCPUBound, Better: figure.Lower,
				Note: fmt.Sprintf("%d calls by %d workers", loadCalls, loadWorkers),
			},
			figure.Figure{Name: "path-call-allocs-" + name, Value: net.mallocs / loadCalls, Unit: "allocs"})
	}
	return figures, nil
}

// frameCosts measures what one relayed frame costs: the slope between short
// and long streams.
func frameCosts(ctx context.Context, y *way) ([]figure.Figure, error) {
	probes := []probe{y.probe("entry-1"), y.probe("agent-1")}
	play := func(tokens int) ([]usage, error) {
		return during(ctx, probes, func() error {
			return together(streams, streams, func() error { return y.stream(ctx, tokens) })
		})
	}
	if _, err := play(shortTokens); err != nil {
		return nil, err
	}
	idle, err := during(ctx, probes, func() error { return sleep(ctx, idleTime) })
	if err != nil {
		return nil, err
	}
	short, err := play(shortTokens)
	if err != nil {
		return nil, err
	}
	long, err := play(longTokens)
	if err != nil {
		return nil, err
	}
	const frames = streams * (longTokens - shortTokens)
	note := fmt.Sprintf("slope from %d to %d frames over %d streams, 2 ms a step", shortTokens, longTokens, streams)
	var figures []figure.Figure
	for i, name := range []string{"entry", "agent"} {
		net := long[i].less(idle[i])
		base := short[i].less(idle[i])
		figures = append(figures,
			figure.Figure{
				Name: "path-frame-allocs-" + name, Value: (net.mallocs - base.mallocs) / frames, Unit: "allocs",
				Bound: frameAllocsBound, Better: figure.Lower, Gate: true, Note: note,
			},
			figure.Figure{
				Name: "path-frame-cpu-" + name, Value: (net.cpu - base.cpu).Seconds() * 1e6 / frames, Unit: "us",
				Bound: frameCPUBound, Better: figure.Lower, Note: note,
			})
	}
	return figures, nil
}

// sleep waits, and returns why it was cut short.
func sleep(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
