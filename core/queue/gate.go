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
)

// Gate keeps requests waiting while all targets refuse them.
//
// The load pattern it answers is a service that starts again as a whole: for a
// second every target refuses at once, and passing that on would send away all
// callers of the second, although they could be served in the next. A closed
// gate lets one request through now and then, and opens with the first that is
// not refused. The zero value is open.
type Gate struct {
	closed  bool
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
	g.closed, g.next = true, now.Add(gateProbe)
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

// Pass reports whether a request may go now.
func (g *Gate) Pass(now time.Time) bool {
	if !g.closed {
		return true
	}
	if now.Before(g.next) {
		return false
	}
	g.next = now.Add(gateProbe)
	return true
}
