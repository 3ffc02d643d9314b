package main

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
)

func (p *program) intentCommand() *cli.Command {
	return &cli.Command{
		Name: "intent", Usage: "declare what a closing needs",
		Commands: []*cli.Command{
			{
				Name: "declare", Usage: "declare an intent and get its plan", ArgsUsage: "[FILE]",
				Description: "FILE holds the intent as JSON; - is standard input. Without FILE the flags make the intent.",
				Flags:       intentFlags(),
				Action:      p.action(0, 1, p.declare),
			},
			{Name: "list", Usage: "list the declared intents", Action: p.action(0, 0, listIntents)},
			{Name: "show", Usage: "show an intent with its plans", ArgsUsage: "NAME", Action: p.action(1, 1, showIntent)},
		},
	}
}

func intentFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Usage: "`NAME` of the closing"},
		&cli.StringFlag{Name: "preset", Usage: "lightbox (skew counts more) or lakeshore (moves cost more)"},
		&cli.StringSliceFlag{Name: "model", Usage: "`MODEL` that takes part; may be repeated"},
		&cli.StringSliceFlag{Name: "target", Usage: "`TARGET` that takes part; may be repeated"},
		&cli.StringSliceFlag{Name: "share", Usage: "`WORKSPACE=SHARE`; may be repeated"},
		&cli.FloatFlag{Name: "skew-weight", Usage: "weight of skew, without a preset"},
		&cli.FloatFlag{Name: "cost-weight", Usage: "weight of moves, without a preset"},
		&cli.FloatFlag{Name: "max-skew", Usage: "highest expected skew"},
		&cli.Int64Flag{Name: "max-bytes", Usage: "most bytes of weights to move"},
		&cli.FloatFlag{Name: "max-seconds", Usage: "longest time of the moves"},
	}
}

func (p *program) declare(ctx context.Context, s *session) error {
	in, err := p.readIntent(s.cmd)
	if err != nil {
		return err
	}
	plan, err := s.Declare(ctx, in)
	if err != nil {
		return err
	}
	return s.show(plan, func() { printPlan(s.out, plan) })
}

func (p *program) readIntent(cmd *cli.Command) (intent.Intent, error) {
	file := cmd.Args().First()
	if file == "" {
		return flagIntent(cmd)
	}
	data, err := p.readFile(file)
	if err != nil {
		return intent.Intent{}, err
	}
	var in intent.Intent
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return in, usagef("%s: %v", file, err)
	}
	return in, nil
}

func flagIntent(cmd *cli.Command) (intent.Intent, error) {
	in := intent.Intent{
		Name: cmd.String("name"), Preset: cmd.String("preset"),
		Models: cmd.StringSlice("model"), Targets: cmd.StringSlice("target"),
		SkewWeight: cmd.Float("skew-weight"), CostWeight: cmd.Float("cost-weight"),
		MaxSkew: cmd.Float("max-skew"), MaxBytes: cmd.Int64("max-bytes"), MaxSeconds: cmd.Float("max-seconds"),
	}
	if in.Name == "" {
		return in, usagef("intent declare: give FILE or -name")
	}
	for _, text := range cmd.StringSlice("share") {
		name, value, _ := strings.Cut(text, "=")
		share, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return in, usagef("-share is %q: want WORKSPACE=SHARE", text)
		}
		in.Workspaces = append(in.Workspaces, config.Share{Workspace: name, Share: share})
	}
	return in, nil
}

func listIntents(ctx context.Context, s *session) error {
	plans, err := s.Intents(ctx)
	if err != nil {
		return err
	}
	return s.show(plans, func() { printPlans(s.out, plans) })
}

func showIntent(ctx context.Context, s *session) error {
	rec, err := s.Intent(ctx, s.cmd.Args().First())
	if err != nil {
		return err
	}
	return s.show(rec, func() { printPlans(s.out, append(rec.Previous, rec.Plan)) })
}

func (p *program) planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "show and close plans",
		Commands: []*cli.Command{
			{Name: "show", Usage: "show what a plan moves and costs", ArgsUsage: "PLAN", Action: p.action(1, 1, onPlan((*session).showPlan))},
			{Name: "confirm", Usage: "turn a plan into a revision", ArgsUsage: "PLAN", Action: p.action(1, 1, onPlan((*session).confirmPlan))},
			{Name: "abandon", Usage: "reject a plan", ArgsUsage: "PLAN", Action: p.action(1, 1, onPlan((*session).abandonPlan))},
		},
	}
}

func onPlan(f func(*session, context.Context, string) (intent.Plan, error)) func(context.Context, *session) error {
	return func(ctx context.Context, s *session) error {
		plan, err := f(s, ctx, s.cmd.Args().First())
		if err != nil {
			return err
		}
		return s.show(plan, func() { printPlan(s.out, plan) })
	}
}

func (s *session) showPlan(ctx context.Context, id string) (intent.Plan, error) {
	return s.Plan(ctx, id)
}

func (s *session) confirmPlan(ctx context.Context, id string) (intent.Plan, error) {
	return s.Confirm(ctx, id)
}

func (s *session) abandonPlan(ctx context.Context, id string) (intent.Plan, error) {
	return s.Abandon(ctx, id)
}
