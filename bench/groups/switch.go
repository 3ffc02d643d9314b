package groups

import (
	"fmt"
	"io"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/experts/group"
	"verbenashift/core/membership/lease"
)

// The size of the fleet to design for, and its limits on control traffic.
const (
	designAccelerators = 5400
	designGroupRanks   = 256
	maxNodeBytes       = 4096 // bytes a second
	maxStoreWrites     = 300  // the low end of "several hundred" a second
)

// The bounds of a switch.
const (
	// messagesPerRank is 6 for the messages of a switch: prepare, loaded, arm,
	// vote, outcome and in force. The rest is for the coordinator's probes.
	messagesPerRank = 6.5
	// maxOrphanSteps bounds the stall after the loss of the coordinator: reading
	// the state of the rank, the timeout of the first member and one round of
	// votes.
	maxOrphanSteps = 30
	// noStagger makes all members count the votes at the same time, for the
	// baseline.
	noStagger = time.Nanosecond
)

var switchSizes = []int{32, 64, 256}

// RunSwitch measures the switch of the expert map in simulated time and the store
// calls of the lease for the coordinator's role. It prints a table to w. All
// figures are the same on every machine.
func RunSwitch(w io.Writer) ([]figure.Figure, error) {
	p := &printer{w: w}
	p.printf("%6s %-28s %9s %9s %10s %8s %8s\n", "ranks", "switch", "messages", "bytes", "steward", "stalled", "seconds")
	var figures []figure.Figure
	for _, n := range switchSizes {
		for _, measure := range []func(*printer, int) ([]figure.Figure, error){
			measureSwitch, measureOrphan, measureRestart, measureAbort, measureSteady,
		} {
			f, err := measure(p, n)
			if err != nil {
				return nil, err
			}
			figures = append(figures, f...)
		}
	}
	return append(figures, leaseFigures(p)...), p.err
}

// runSwitch runs g until every rank steps on map v, and prints a row of the
// table.
func runSwitch(p *printer, g *switchGroup, what string, v group.Version) error {
	began := g.now
	done := func() bool { return g.allOn(v) && (g.coordinator == nil || g.coordinator.Settled()) }
	if !g.until(time.Minute, done) {
		return fmt.Errorf("%s of %d ranks did not end", what, len(g.ranks))
	}
	p.printf("%6d %-28s %9d %9d %10d %8.1f %8.2f\n", len(g.ranks), what,
		g.messages, g.bytes, g.coordinatorBytes, g.stalledSteps(), (g.now - began).Seconds())
	return nil
}

func (g *switchGroup) stalledSteps() float64 {
	return float64(g.stalled) / float64(switchStep)
}

// measureSwitch measures a switch without faults.
func measureSwitch(p *printer, n int) ([]figure.Figure, error) {
	g, err := newSwitchGroup(n, 0)
	if err != nil {
		return nil, err
	}
	g.coordinator.SetDesired(2)
	if err := runSwitch(p, g, "no faults", 2); err != nil {
		return nil, err
	}
	return []figure.Figure{
		switchFigure("messages", n, float64(g.messages), "messages", messagesPerRank*float64(n)),
		switchFigure("stalled-steps", n, g.stalledSteps(), "steps", 0),
		ungated(switchFigure("bytes", n, float64(g.bytes), "bytes", 0)),
	}, nil
}

// newOrphanedSwitch starts a switch whose coordinator disappears once it has sent
// its last Arm.
func newOrphanedSwitch(n int, stagger time.Duration) (*switchGroup, error) {
	g, err := newSwitchGroup(n, stagger)
	if err != nil {
		return nil, err
	}
	arms := 0
	g.onSend = func(_ int, m group.Message) (time.Duration, bool) {
		if _, ok := m.(group.Arm); ok {
			arms++
		}
		if arms == n {
			g.coordinator = nil
		}
		return 0, false
	}
	g.coordinator.SetDesired(2)
	return g, nil
}

// measureOrphan measures the completion of a switch whose coordinator is lost
// while the store is unavailable, so that no other can take over. In the
// baseline, every waiting member counts the votes at the same time.
func measureOrphan(p *printer, n int) ([]figure.Figure, error) {
	base, err := newOrphanedSwitch(n, noStagger)
	if err != nil {
		return nil, err
	}
	if err := runSwitch(p, base, "no steward, all count", 2); err != nil {
		return nil, err
	}
	g, err := newOrphanedSwitch(n, 0)
	if err != nil {
		return nil, err
	}
	if err := runSwitch(p, g, "no steward", 2); err != nil {
		return nil, err
	}
	f := switchFigure("orphan-messages", n, float64(g.messages), "messages", 2*messagesPerRank*float64(n))
	f.Baseline = float64(base.messages)
	f.Note = "baseline: every held member counts the votes at once"
	return []figure.Figure{f, switchFigure("orphan-stalled-steps", n, g.stalledSteps(), "steps", maxOrphanSteps)}, nil
}

// measureRestart measures a switch whose coordinator is lost after the last Arm,
// and whose first agent stops once its rank has voted and restarts without state
// a second later.
func measureRestart(p *printer, n int) ([]figure.Figure, error) {
	g, err := newOrphanedSwitch(n, 0)
	if err != nil {
		return nil, err
	}
	g.until(time.Minute, func() bool { return g.coordinator == nil })
	g.run(switchStep)
	g.members[0] = nil
	g.after(switchRestart, func() { g.startAgent(0) })
	if err := runSwitch(p, g, "no steward, agent restarts", 2); err != nil {
		return nil, err
	}
	f := switchFigure("restart-stalled-steps", n, g.stalledSteps(), "steps", 0)
	f.Note = "1 s for the restart, 1 s until no order of the old process can arrive"
	return []figure.Figure{ungated(f)}, nil
}

// measureAbort measures a switch whose first attempt aborts because one Arm is a
// second late, together with the second attempt.
func measureAbort(p *printer, n int) ([]figure.Figure, error) {
	g, err := newSwitchGroup(n, 0)
	if err != nil {
		return nil, err
	}
	late := false
	g.onSend = func(to int, m group.Message) (time.Duration, bool) {
		if _, ok := m.(group.Arm); ok && to == n-1 && !late {
			late = true
			return time.Second, false
		}
		return 0, false
	}
	g.coordinator.SetDesired(2)
	if err := runSwitch(p, g, "one arm a second late", 2); err != nil {
		return nil, err
	}
	f := switchFigure("late-arm-stalled-steps", n, g.stalledSteps(), "steps", 0)
	f.Note = fmt.Sprintf("%d aborts, %d commits", g.abort, g.commit)
	return []figure.Figure{ungated(f)}, nil
}

// measureSteady measures the traffic of a minute without a switch.
func measureSteady(p *printer, n int) ([]figure.Figure, error) {
	g, err := newSwitchGroup(n, 0)
	if err != nil {
		return nil, err
	}
	g.run(time.Minute)
	p.printf("%6d %-28s %9d %9d %10d %8.1f %8.2f\n", n, "a steady minute",
		g.messages, g.bytes, g.coordinatorBytes, g.stalledSteps(), time.Minute.Seconds())
	perSecond := float64(g.coordinatorBytes) / time.Minute.Seconds()
	return []figure.Figure{switchFigure("steady-steward-bytes", n, perSecond, "bytes/s", maxNodeBytes)}, nil
}

// leaseFigures returns the figures of store calls: none for a switch, and the
// renewals of the lease for the coordinator's role. The baseline is a design that
// stores the outcome of a switch, which each member of the largest group reads
// once.
func leaseFigures(p *printer) []figure.Figure {
	groupCount := (designAccelerators + designGroupRanks - 1) / designGroupRanks
	perMinute := storeCalls()
	perSecond := lease.CallsPerMinute(groupCount, lease.Config{}) / time.Minute.Seconds()
	p.printf("store calls: 0 a switch, %d a minute for a group, %.1f a second for %d groups\n", perMinute, perSecond, groupCount)
	calls := figure.Figure{
		Name: "switch-store-calls", Unit: "calls",
		Baseline: designGroupRanks + 1, Note: "by construction: no state machine of the switch can call the store",
	}
	minute := figure.Figure{
		Name: "duty-store-calls-per-minute", Value: float64(perMinute), Unit: "calls",
		Bound: 20, Better: figure.Lower, Gate: true,
	}
	second := figure.Figure{
		Name: "duty-store-calls-per-second-letter-1", Value: perSecond, Unit: "calls/s",
		Bound: maxStoreWrites / 10, Better: figure.Lower, Gate: true, Note: fmt.Sprintf("%d groups", groupCount),
	}
	return []figure.Figure{calls, minute, second}
}

func switchFigure(name string, ranks int, value float64, unit string, bound float64) figure.Figure {
	return figure.Figure{
		Name: fmt.Sprintf("switch-%s-%d", name, ranks), Value: value, Unit: unit,
		Bound: bound, Better: figure.Lower, Gate: true,
	}
}

// ungated returns f without its bound and gate.
func ungated(f figure.Figure) figure.Figure {
	f.Gate, f.Better, f.Bound = false, "", 0
	return f
}
