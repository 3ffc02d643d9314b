package queue

import "time"

const (
	// gateRefusals is how many consecutive refusals close a gate, and gateTargets by how many
	// targets: a single target that shuts down refuses whatever it gets.
	gateRefusals = 3
	gateTargets  = 2
	// gateProbeInterval is the pause between the probe requests that a closed gate lets
	// through. Each may be refused and has to be tried again, from a retry budget of a few
	// requests a second.
	gateProbeInterval = 150 * time.Millisecond
	// failFastAfter is how long a gate has been closed when requests should no longer wait for
	// it. A lost or frozen rank stops its group for up to 6 s: the stall, the start of its
	// instance and the formation of the group.
	failFastAfter = 7 * time.Second
)

// Gate is a circuit breaker that keeps requests waiting while all targets refuse them.
//
// The load pattern it handles is a service that restarts as a whole: for a second every target
// refuses at once, and passing that on would reject all callers of that second, although they
// could be served in the next. A closed gate lets a probe request through now and then, and
// opens with the first one that is not refused. The zero value is open.
//
// A service that has refused for long, such as an incomplete group, is unlikely to serve a
// request within the caller's timeout. A request that cannot be the next probe is better
// refused at once than after a wait; see FailFast.
type Gate struct {
	closed    bool
	closedAt  time.Time
	nextProbe time.Time
	refusals  int
	targets   []string
}

// Refused records that a target has refused a request. It reports whether this
// closed the gate.
func (g *Gate) Refused(target string, now time.Time) bool {
	g.refusals++
	known := false
	for _, t := range g.targets {
		known = known || t == target
	}
	if !known && len(g.targets) < gateTargets {
		g.targets = append(g.targets, target)
	}
	if g.closed || g.refusals < gateRefusals || len(g.targets) < gateTargets {
		return false
	}
	g.closed, g.closedAt, g.nextProbe = true, now, now.Add(gateProbeInterval)
	return true
}

// Accepted records that a target has accepted a request. It reports whether this opened the
// gate.
func (g *Gate) Accepted() bool {
	opened := g.closed
	*g = Gate{targets: g.targets[:0]}
	return opened
}

// Closed reports whether requests are kept waiting.
func (g *Gate) Closed() bool { return g.closed }

// FailFast reports whether a request that arrives now should be refused at once: the gate has
// been closed for long, and the next probe is not due.
func (g *Gate) FailFast(now time.Time) bool {
	return g.closed && now.Sub(g.closedAt) >= failFastAfter && now.Before(g.nextProbe)
}

// ProbeDue reports whether a closed gate would let a request through now.
func (g *Gate) ProbeDue(now time.Time) bool { return g.closed && !now.Before(g.nextProbe) }

// SetNextProbe sets when the next request is let through. It is for owners that learn by other
// means whether the targets may accept requests again.
func (g *Gate) SetNextProbe(t time.Time) { g.nextProbe = t }

// Allow reports whether a request may be sent now.
func (g *Gate) Allow(now time.Time) bool {
	if !g.closed {
		return true
	}
	if now.Before(g.nextProbe) {
		return false
	}
	g.nextProbe = now.Add(gateProbeInterval)
	return true
}
