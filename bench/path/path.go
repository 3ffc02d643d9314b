// Package path measures the overhead of the request path through an entry and
// an agent, compared with direct calls to the same stand-in in the same run.
//
// The programs run as processes on loopback. Direct calls and calls through the
// system alternate, so that both see the same load on the machine. The cost of
// a frame is the slope between short and long streams, which cancels out the
// cost of a request and of an idle process.
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

// The load of one run: numbers of calls, tokens, and durations.
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

// Run starts the deployments, takes the measurements and stops the deployments.
// It writes one line for each figure to w.
func Run(w io.Writer) ([]figure.Figure, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	var all []figure.Figure
	for _, part := range []func(context.Context) ([]figure.Figure, error){measureRequestPath, measureMemory} {
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

// measureRequestPath measures the added latency, CPU time and allocations of a
// request.
func measureRequestPath(ctx context.Context) (figures []figure.Figure, err error) {
	d, err := deployment.Start(ctx, deployment.Shape{
		Block: "127.0.50", Entries: 1, ModelTargets: 1, ServiceTargets: 1, Workspaces: []string{workspace},
		EngineFlags: []string{"-step", "2ms", "-slots", "32"}, PlainFlags: []string{"-work", "0s"},
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = d.Close() }()
	for _, part := range []func(context.Context, *loadClient) ([]figure.Figure, error){addedTimes, callCosts, frameCosts} {
		more, err := part(ctx, newLoadClient(d))
		if err != nil {
			return nil, err
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

// addedTimes measures the latency that the system adds to calls of a plain
// service and to streams of one token.
func addedTimes(ctx context.Context, c *loadClient) ([]figure.Figure, error) {
	_, calls, err := callAlternately(ctx, pings, c.directPing, c.ping)
	if err != nil {
		return nil, err
	}
	first, total, err := callAlternately(ctx, shortAnswers, c.directShort, c.short)
	if err != nil {
		return nil, err
	}
	return []figure.Figure{
		calls.added("path-added-median", 0.5, addedMedianBound),
		calls.added("path-added-p99", 0.99, addedP99Bound),
		first.added("path-first-token-added-median", 0.5, addedMedianBound),
		first.added("path-first-token-added-p99", 0.99, addedP99Bound),
		total.added("path-short-answer-added-median", 0.5, addedMedianBound),
		total.added("path-short-answer-added-p99", 0.99, addedP99Bound),
	}, nil
}

// callCosts measures the CPU time and allocations of a short call in the entry
// and the agent.
func callCosts(ctx context.Context, c *loadClient) ([]figure.Figure, error) {
	entry, agent := c.probe("entry-1"), c.probe("agent-2")
	idle, err := usageDuring(ctx, []probe{entry, agent}, func() error { return sleep(ctx, idleTime) })
	if err != nil {
		return nil, err
	}
	load, err := usageDuring(ctx, []probe{entry, agent}, func() error {
		return runConcurrently(loadWorkers, loadCalls, func() error {
			_, err := c.ping(ctx)
			return err
		})
	})
	if err != nil {
		return nil, err
	}
	var figures []figure.Figure
	for i, name := range []string{"entry", "agent"} {
		net := load[i].minusIdle(idle[i])
		figures = append(figures,
			figure.Figure{
				Name: "path-call-cpu-" + name, Value: net.cpu.Seconds() * 1e6 / loadCalls, Unit: "us", Bound: callCPUBound, Better: figure.Lower,
				Note: fmt.Sprintf("%d calls by %d workers", loadCalls, loadWorkers),
			},
			figure.Figure{Name: "path-call-allocs-" + name, Value: net.mallocs / loadCalls, Unit: "allocs"})
	}
	return figures, nil
}

// frameCosts measures the CPU time and allocations of one relayed frame: the
// slope between short and long streams.
func frameCosts(ctx context.Context, c *loadClient) ([]figure.Figure, error) {
	probes := []probe{c.probe("entry-1"), c.probe("agent-1")}
	readStreams := func(tokens int) ([]usage, error) {
		return usageDuring(ctx, probes, func() error {
			return runConcurrently(streams, streams, func() error { return c.stream(ctx, tokens) })
		})
	}
	if _, err := readStreams(shortTokens); err != nil {
		return nil, err
	}
	idle, err := usageDuring(ctx, probes, func() error { return sleep(ctx, idleTime) })
	if err != nil {
		return nil, err
	}
	short, err := readStreams(shortTokens)
	if err != nil {
		return nil, err
	}
	long, err := readStreams(longTokens)
	if err != nil {
		return nil, err
	}
	const frames = streams * (longTokens - shortTokens)
	note := fmt.Sprintf("slope from %d to %d frames over %d streams, 2 ms a step", shortTokens, longTokens, streams)
	var figures []figure.Figure
	for i, name := range []string{"entry", "agent"} {
		net := long[i].minusIdle(idle[i])
		base := short[i].minusIdle(idle[i])
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

// sleep waits for d and returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
