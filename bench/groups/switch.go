package groups

import (
	"fmt"
	"io"
	"time"

	"verbenashift/bench/figure"
	"verbenashift/core/experts/group"
	"verbenashift/core/membership/lease"
)

// The size of letter 1, and what it allows a node for control.
const (
	letterAccelerators = 5400
	letterGroupRanks   = 256
	letterNodeBytes    = 4096 // bytes a second
	letterStoreWrites  = 300  // the low end of "several hundred" a second
)

// The bounds of a switch.
const (
	// messagesPerRank are those that a switch needs: prepare, loaded, arm,
	// vote, outcome, in force; the rest are the steward's own probes.
	messagesPerRank = 6.5
	// orphanSteps bounds the standstill when the steward is gone: reading the
	// rank, the patience of the first member, and one round of votes.
	orphanSteps = 30
	// fastStagger makes all members count at once, as the baseline.
	fastStagger = time.Nanosecond
)

var switchSizes = []int{32, 64, 256}

// RunSwitch measures the switch of the expert map in simulated time and the
// calls on the store of the duty's lease; it prints a table to w. All figures
// are the same on every machine.
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

// finishSwitch runs until every rank steps on map v, and prints the row.
func finishSwitch(p *printer, g *switchGroup, what string, v group.Version) error {
	began := g.now
	done := func() bool { return g.all(v) && (g.steward == nil || g.steward.Settled()) }
	if !g.until(time.Minute, done) {
		return fmt.Errorf("%s of %d ranks did not end", what, len(g.ranks))
	}
	p.printf("%6d %-28s %9d %9d %10d %8.1f %8.2f\n", len(g.ranks), what,
		g.messages, g.bytes, g.stewards, g.stalledSteps(), (g.now - began).Seconds())
	return nil
}

func (g *switchGroup) stalledSteps() float64 {
	return float64(g.stopped) / float64(switchStep)
}

// measureSwitch measures a switch without faults.
func measureSwitch(p *printer, n int) ([]figure.Figure, error) {
	g, err := newSwitchGroup(n, 0)
	if err != nil {
		return nil, err
	}
	g.steward.SetDesired(2)
	if err := finishSwitch(p, g, "no faults", 2); err != nil {
		return nil, err
	}
	return []figure.Figure{
		switchFigure("messages", n, float64(g.messages), "messages", messagesPerRank*float64(n)),
		switchFigure("stalled-steps", n, g.stalledSteps(), "steps", 0),
		informing(switchFigure("bytes", n, float64(g.bytes), "bytes", 0)),
	}, nil
}

// orphan makes the steward vanish once it has sent its last Arm.
func orphan(n int, stagger time.Duration) (*switchGroup, error) {
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
			g.steward = nil
		}
		return 0, false
	}
	g.steward.SetDesired(2)
	return g, nil
}

// measureOrphan measures the end of a switch whose steward is gone for good
// while the store is out, so that nobody can take over. The baseline is every
// held member counting the votes at once.
func measureOrphan(p *printer, n int) ([]figure.Figure, error) {
	base, err := orphan(n, fastStagger)
	if err != nil {
		return nil, err
	}
	if err := finishSwitch(p, base, "no steward, all count", 2); err != nil {
		return nil, err
	}
	g, err := orphan(n, 0)
	if err != nil {
		return nil, err
	}
	if err := finishSwitch(p, g, "no steward", 2); err != nil {
		return nil, err
	}
	f := switchFigure("orphan-messages", n, float64(g.messages), "messages", 2*messagesPerRank*float64(n))
	f.Baseline = float64(base.messages)
	f.Note = "baseline: every held member counts the votes at once"
	return []figure.Figure{f, switchFigure("orphan-stalled-steps", n, g.stalledSteps(), "steps", orphanSteps)}, nil
}

// measureRestart measures a switch whose steward is gone after the last Arm, and
// whose first agent dies once its rank has voted and comes back empty a second
// later.
func measureRestart(p *printer, n int) ([]figure.Figure, error) {
	g, err := orphan(n, 0)
	if err != nil {
		return nil, err
	}
	g.until(time.Minute, func() bool { return g.steward == nil })
	g.run(switchStep)
	g.members[0] = nil
	g.after(switchRestart, func() { g.startAgent(0) })
	if err := finishSwitch(p, g, "no steward, agent restarts", 2); err != nil {
		return nil, err
	}
	f := switchFigure("restart-stalled-steps", n, g.stalledSteps(), "steps", 0)
	f.Note = "1 s for the restart, 1 s until no order of the old process can arrive"
	return []figure.Figure{informing(f)}, nil
}

// measureAbort measures a first try that aborts because one order to arm is a
// second late, with the second try that follows.
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
	g.steward.SetDesired(2)
	if err := finishSwitch(p, g, "one arm a second late", 2); err != nil {
		return nil, err
	}
	f := switchFigure("late-arm-stalled-steps", n, g.stalledSteps(), "steps", 0)
	f.Note = fmt.Sprintf("%d aborts, %d commits", g.abort, g.commit)
	return []figure.Figure{informing(f)}, nil
}

// measureSteady measures a minute in which nothing happens.
func measureSteady(p *printer, n int) ([]figure.Figure, error) {
	g, err := newSwitchGroup(n, 0)
	if err != nil {
		return nil, err
	}
	g.run(time.Minute)
	p.printf("%6d %-28s %9d %9d %10d %8.1f %8.2f\n", n, "a steady minute",
		g.messages, g.bytes, g.stewards, g.stalledSteps(), time.Minute.Seconds())
	perSecond := float64(g.stewards) / time.Minute.Seconds()
	return []figure.Figure{switchFigure("steady-steward-bytes", n, perSecond, "bytes/s", letterNodeBytes)}, nil
}

// leaseFigures counts the calls on the store: none for a switch, and the
// renewals of the duty's lease. The baseline is an outcome kept in the store,
// which each member of the largest group reads once.
func leaseFigures(p *printer) []figure.Figure {
	duties := (letterAccelerators + letterGroupRanks - 1) / letterGroupRanks
	perMinute := storeCalls()
	perSecond := lease.CallsPerMinute(duties, lease.Config{}) / time.Minute.Seconds()
	p.printf("store calls: 0 a switch, %d a minute for a group, %.1f a second for %d groups\n", perMinute, perSecond, duties)
	calls := figure.Figure{
		Name: "switch-store-calls", Unit: "calls",
		Baseline: letterGroupRanks + 1, Note: "by construction: no state machine of the switch can call the store",
	}
	minute := figure.Figure{
		Name: "duty-store-calls-per-minute", Value: float64(perMinute), Unit: "calls",
		Bound: 20, Better: figure.Lower, Gate: true,
	}
	second := figure.Figure{
		Name: "duty-store-calls-per-second-letter-1", Value: perSecond, Unit: "calls/s",
		Bound: letterStoreWrites / 10, Better: figure.Lower, Gate: true, Note: fmt.Sprintf("%d groups", duties),
	}
	return []figure.Figure{calls, minute, second}
}

func switchFigure(name string, ranks int, value float64, unit string, bound float64) figure.Figure {
	return figure.Figure{
		Name: fmt.Sprintf("switch-%s-%d", name, ranks), Value: value, Unit: unit,
		Bound: bound, Better: figure.Lower, Gate: true,
	}
}

// informing makes a figure one without a bound.
func informing(f figure.Figure) figure.Figure {
	f.Gate, f.Better, f.Bound = false, "", 0
	return f
}
