package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/operator"
)

// pollInterval is the time between two status queries.
const pollInterval = 500 * time.Millisecond

func (p *program) targetCommand() *cli.Command {
	return &cli.Command{
		Name: "target", Usage: "list and drain targets",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the targets", Action: p.action(0, 0, listTargets)},
			{Name: "drain", Usage: "stop sending new work to a target", ArgsUsage: "TARGET", Action: p.action(1, 1, drain(true))},
			{Name: "undrain", Usage: "send work to a target again", ArgsUsage: "TARGET", Action: p.action(1, 1, drain(false))},
		},
	}
}

func listTargets(ctx context.Context, s *session) error {
	list, err := s.Targets(ctx)
	if err != nil {
		return err
	}
	return s.show(list, func() {
		t := newTable(s.out, "TARGET", "ZONE", "SERVES", "GROUP", "AGENT", "STATE", "QUEUED", "RUNNING")
		for _, x := range list {
			state, queued, running := targetState(x)
			t.add(x.Name, x.Zone, x.Model+x.Service, x.Group, x.Agent, state, queued, running)
		}
		t.flush()
	})
}

func targetState(t operator.TargetStatus) (state, queued, running string) {
	state = "serving"
	if t.Evacuated {
		state = "evacuated"
	}
	if t.Drained {
		state = "drained"
	}
	if t.Node == nil {
		return state + ", not heard", "", ""
	}
	if t.Node.Draining && !t.Drained && !t.Evacuated {
		state = "draining"
	}
	return state, fmt.Sprint(t.Node.Queued), fmt.Sprint(t.Node.Running)
}

func drain(drained bool) func(context.Context, *session) error {
	verb := map[bool]string{true: "drain", false: "undrain"}[drained]
	return func(ctx context.Context, s *session) error {
		name := s.cmd.Args().First()
		edit := config.Edit{Drain: &config.Drain{Target: name, Drained: drained}}
		accepted, err := s.Edit(ctx, verb+" target "+name, edit)
		if err != nil {
			return err
		}
		return s.show(accepted, func() { printAccepted(s.out, accepted) })
	}
}

func (p *program) groupCommand() *cli.Command {
	return &cli.Command{
		Name: "group", Usage: "show expert-parallel groups",
		Commands: []*cli.Command{
			{Name: "show", Usage: "show one group, or all", ArgsUsage: "[GROUP]", Action: p.action(0, 1, showGroups)},
		},
	}
}

func showGroups(ctx context.Context, s *session) error {
	list, err := groups(ctx, s)
	if err != nil {
		return err
	}
	return s.show(list, func() {
		t := newTable(s.out, "GROUP", "MODEL", "RANKS", "LAYERS", "EXPERTS", "SLOTS", "SKEW WEIGHT", "COST WEIGHT", "STATE", "MAP", "SKEW", "TARGETS")
		for _, g := range list {
			state, version, skew := "not heard", "", ""
			if g.Status != nil {
				state, version, skew = g.Status.State, fmt.Sprint(g.Status.MapVersion), fmt.Sprintf("%.2f", g.Status.Skew)
			}
			t.add(g.Name, g.Model, g.Ranks, g.Layers, g.Experts, g.SlotsPerRank, g.SkewWeight, g.CostWeight,
				state, version, skew, strings.Join(g.Targets, ","))
		}
		t.flush()
		if s.cmd.Args().Present() && list[0].Status != nil {
			printGroup(s.out, *list[0].Status)
		}
	})
}

func groups(ctx context.Context, s *session) ([]operator.GroupView, error) {
	name := s.cmd.Args().First()
	if name == "" {
		return s.Groups(ctx)
	}
	g, err := s.Group(ctx, name)
	return []operator.GroupView{g}, err
}

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show nodes, groups and the revision in force",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "wait-revision", Usage: "wait until `REVISION` is in force on all nodes, at most for -timeout"},
		},
		Action: p.action(0, 0, status),
	}
}

func status(ctx context.Context, s *session) error {
	st, err := s.Status(ctx)
	if err != nil {
		return err
	}
	want := s.cmd.Uint64("wait-revision")
	for s.cmd.IsSet("wait-revision") && !inForce(st, want) {
		if st, err = pollStatus(ctx, s, st, want); err != nil {
			return err
		}
	}
	return s.show(st, func() { printStatus(s.out, st) })
}

// pollStatus waits for pollInterval and queries the status again. If the entry does
// not answer, it returns the last status, so that the wait continues: the entry may
// be the one that is being replaced.
func pollStatus(ctx context.Context, s *session, last operator.Status, want uint64) (operator.Status, error) {
	select {
	case <-ctx.Done():
		n, m := countInForce(last, want)
		return last, &operator.Error{
			Kind:    operator.KindUnavailable,
			Message: fmt.Sprintf("revision %d is in force on %d of %d nodes only", want, n, m),
		}
	case <-time.After(pollInterval):
	}
	st, err := s.Status(ctx)
	if err != nil && (exitCode(err) == exitUnavailable || ctx.Err() != nil) {
		return last, nil
	}
	return st, err
}

// inForce reports whether revision want is in force on all nodes.
func inForce(st operator.Status, want uint64) bool {
	n, m := countInForce(st, want)
	return m > 0 && n == m
}

// countInForce returns the number of nodes on which revision want or a later one is
// in force, and the number of all nodes.
func countInForce(st operator.Status, want uint64) (n, m int) {
	for _, node := range st.Nodes {
		if node.Revision >= want {
			n++
		}
	}
	return n, len(st.Nodes)
}
