package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"verbenashift/core/configuration/config"
)

func (p *program) configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show and replace the configuration",
		Commands: []*cli.Command{
			{Name: "show", Usage: "print the newest configuration as JSON", Action: p.action(0, 0, showConfig)},
			{
				Name: "put", Usage: "replace the configuration by FILE; - is standard input", ArgsUsage: "FILE",
				Description: "The change is refused if the configuration is no longer at the base revision:\n" +
					"the one of -base, else the one in FILE, else the current one.",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "base", Usage: "`REVISION` that FILE was made from"},
					&cli.BoolFlag{Name: "dry-run", Usage: "print what would move and change nothing"},
				},
				Action: p.action(1, 1, p.putConfig),
			},
			{
				Name: "restore", Usage: "put the configuration in force back into a store that holds an older one",
				Description: "For a store that was itself restored from a copy. It is refused at an entry that is\n" +
					"behind another node.",
				Action: p.action(0, 0, restoreConfig),
			},
			{Name: "history", Usage: "list the last revisions", Action: p.action(0, 0, configHistory)},
		},
	}
}

func showConfig(ctx context.Context, s *session) error {
	d, err := s.Config(ctx)
	if err != nil {
		return err
	}
	return s.printJSON(d.Config)
}

func (p *program) putConfig(ctx context.Context, s *session) error {
	data, err := p.readFile(s.cmd.Args().First())
	if err != nil {
		return err
	}
	next, err := config.DecodeStrict(data)
	if err != nil {
		return err
	}
	cur, err := s.Config(ctx)
	if err != nil {
		return err
	}
	base := cur.Config.Revision
	if next.Revision != 0 {
		base = next.Revision
	}
	if s.cmd.IsSet("base") {
		base = s.cmd.Uint64("base")
	}
	diff := config.Diff(cur.Config, next)
	if s.cmd.Bool("dry-run") {
		return s.show(diff, func() { printDiff(s, diff) })
	}
	if !s.json {
		printDiff(s, diff)
	}
	accepted, err := s.PutConfig(ctx, next, base)
	if err != nil {
		return err
	}
	return s.show(accepted, func() { printAccepted(s.out, accepted) })
}

func restoreConfig(ctx context.Context, s *session) error {
	accepted, err := s.Restore(ctx)
	if err != nil {
		return err
	}
	return s.show(accepted, func() { printAccepted(s.out, accepted) })
}

func printDiff(s *session, diff []config.DiffLine) {
	if len(diff) == 0 {
		fmt.Fprintln(s.out, "nothing moves")
	}
	for _, l := range diff {
		fmt.Fprintln(s.out, l)
	}
}

func configHistory(ctx context.Context, s *session) error {
	list, err := s.Revisions(ctx)
	if err != nil {
		return err
	}
	return s.show(list, func() { printRevisions(s.out, list) })
}
