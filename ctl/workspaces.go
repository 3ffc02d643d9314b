package main

import (
	"context"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"verbenashift/core/configuration/config"
)

func (p *program) workspaceCommand() *cli.Command {
	return &cli.Command{
		Name: "workspace", Usage: "list and change workspaces",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the workspaces", Action: p.action(0, 0, listWorkspaces)},
			{
				Name: "put", Usage: "add a workspace, or change what the flags name", ArgsUsage: "WORKSPACE",
				Flags: []cli.Flag{
					&cli.FloatFlag{Name: "share", Usage: "weight in fair queueing"},
					&cli.FloatFlag{Name: "tokens-per-second", Usage: "limit over all entries; 0 for none"},
					&cli.FloatFlag{Name: "requests-per-second", Usage: "limit over all entries; 0 for none"},
					&cli.IntFlag{Name: "max-streams", Usage: "open streams at one entry; 0 for the entry's default"},
					&cli.BoolFlag{Name: "shared-prefix", Usage: "share the prefix cache with other workspaces"},
					&cli.StringFlag{Name: "region", Usage: "`REGION` of the workspace's keys"},
					&cli.StringSliceFlag{Name: "caller-token-file", Usage: "`FILE` with a caller's token; only its digest is sent. Replaces the tokens"},
					&cli.StringSliceFlag{Name: "token-hash", Usage: "SHA-256 `DIGEST` of a caller's token in hex. Replaces the tokens"},
				},
				Action: p.action(1, 1, p.putWorkspace),
			},
		},
	}
}

func listWorkspaces(ctx context.Context, s *session) error {
	list, err := s.Workspaces(ctx)
	if err != nil {
		return err
	}
	return s.show(list, func() {
		t := newTable(s.out, "WORKSPACE", "SHARE", "TOKENS/S", "REQUESTS/S", "STREAMS", "SHARED PREFIX", "TOKENS")
		for _, w := range list {
			t.add(w.Name, w.Share, w.TokensPerSecond, w.RequestsPerSecond, w.MaxStreams, w.SharedPrefix, len(w.TokenHashes))
		}
		t.flush()
	})
}

func (p *program) putWorkspace(ctx context.Context, s *session) error {
	cur, err := s.Config(ctx)
	if err != nil {
		return err
	}
	name := s.cmd.Args().First()
	w := config.Workspace{Name: name}
	if old, ok := config.NewIndex(cur.Config).Workspace(name); ok {
		w = *old
	}
	if err := p.workspaceFlags(s.cmd, &w); err != nil {
		return err
	}
	accepted, err := s.EditAt(ctx, cur.Config.Revision, "put workspace "+name, config.Edit{PutWorkspace: &w})
	if err != nil {
		return err
	}
	return s.show(accepted, func() { printAccepted(s.out, accepted) })
}

func (p *program) workspaceFlags(cmd *cli.Command, w *config.Workspace) error {
	set(cmd, "share", &w.Share, cmd.Float)
	set(cmd, "tokens-per-second", &w.TokensPerSecond, cmd.Float)
	set(cmd, "requests-per-second", &w.RequestsPerSecond, cmd.Float)
	set(cmd, "max-streams", &w.MaxStreams, cmd.Int)
	set(cmd, "shared-prefix", &w.SharedPrefix, cmd.Bool)
	set(cmd, "region", &w.Region, cmd.String)
	hashes := slices.Clone(cmd.StringSlice("token-hash"))
	for _, file := range cmd.StringSlice("caller-token-file") {
		data, err := p.readFile(file)
		if err != nil {
			return err
		}
		hashes = append(hashes, config.HashToken(strings.TrimSpace(string(data))))
	}
	if len(hashes) > 0 {
		w.TokenHashes = hashes
	}
	return nil
}

// set stores the value of a flag in dst if the flag was given.
func set[T any](cmd *cli.Command, name string, dst *T, get func(string) T) {
	if cmd.IsSet(name) {
		*dst = get(name)
	}
}
