package queue

import "time"

const (
	// gateRefusals is how many refusals in a row close a gate, and gateTargets
	// by how many targets: one target that leaves refuses what it gets.
	gateRefusals = 3
	gateTargets  = 2
	// gateProbe is the pause between the requests that a closed gate lets
	// through. Each may be refused and has to be tried again, out of a budget
	// of a few a second.
	gateProbe = 150 * time.Millisecond
	// gateLasting is how long a gate has been closed when nobody should wait for
	// it any more. A lost or frozen rank stops its group for up to 6 s: the stall,
	// the start of its instance and the forming of the group.
	gateLasting = 7 * time.Second
)

// Gate keeps requests waiting while all targets refuse them.
//
// The load pattern it answers is a service that starts again as a whole: for a
// second every target refuses at once, and passing that on would send away all
// callers of the second, although they could be served in the next. A closed
// gate lets one request through now and then, and opens with the first that is
// not refused. The zero value is open.
//
// A service that has refused for long, as a group does that is not complete,
// will hardly serve within a caller's patience. Whoever cannot be its next probe
// is better off with a refusal at once than with one after a wait; see Lasting.
type Gate struct {
	closed  bool
	since   time.Time
	next    time.Time
	refused int
	targets []string
}

// Refused records that a target has refused a request. It reports whether this
// closed the gate.
func (g *Gate) Refused(target string, now time.Time) bool {
	g.refused++
	known := false
	for _, t := range g.targets {
		known = known || t == target
	}
	if !known && len(g.targets) < gateTargets {
		g.targets = append(g.targets, target)
	}
	if g.closed || g.refused < gateRefusals || len(g.targets) < gateTargets {
		return false
	}
	g.closed, g.since, g.next = true, now, now.Add(gateProbe)
	return true
}

// Accepted records that a target has taken a request. It reports whether this
// opened the gate.
func (g *Gate) Accepted() bool {
	opened := g.closed
	*g = Gate{targets: g.targets[:0]}
	return opened
}

// Closed reports whether requests are kept waiting.
func (g *Gate) Closed() bool { return g.closed }

// FailFast reports whether a request that comes now should be refused at once:
// the gate has been closed for long, and it is not time for a probe.
func (g *Gate) FailFast(now time.Time) bool {
	return g.closed && now.Sub(g.since) >= gateLasting && now.Before(g.next)
}

// ProbeDue reports whether a closed gate would let a request through now.
func (g *Gate) ProbeDue(now time.Time) bool { return g.closed && !now.Before(g.next) }

// SetNextProbe sets when the next request is let through, since something else tells whether the
// targets may take requests again.
func (g *Gate) SetNextProbe(t time.Time) { g.next = t }

// Allow reports whether a request may go now.
func (g *Gate) Allow(now time.Time) bool {
	if !g.closed {
		return true
	}
	if now.Before(g.next) {
		return false
	}
	g.next = now.Add(gateProbe)
	return true
}
