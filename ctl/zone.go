package main

import (
	"context"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"verbenashift/core/configuration/config"
)

// flagForce is the flag that accepts a doubtful evacuation.
const flagForce = "force"

func (p *program) zoneCommand() *cli.Command {
	evacuate := &cli.Command{Name: "evacuate", Usage: "stop sending new work to the targets of a zone", ArgsUsage: "ZONE", Action: p.action(1, 1, evacuateZone(true))}
	evacuate.Flags = []cli.Flag{&cli.BoolFlag{Name: flagForce, Usage: "also if some model or service has no other target, or the zone has none"}}
	return &cli.Command{
		Name: "zone", Usage: "list, evacuate and restore availability zones",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the zones, and how many nodes have the newest revision in force", Action: p.action(0, 0, listZones)},
			evacuate,
			{Name: "restore", Usage: "send work to the targets of a zone again", ArgsUsage: "ZONE", Action: p.action(1, 1, evacuateZone(false))},
		},
	}
}

func evacuateZone(evacuated bool) func(context.Context, *session) error {
	verb := map[bool]string{true: "evacuate", false: "restore"}[evacuated]
	return func(ctx context.Context, s *session) error {
		zone := s.cmd.Args().First()
		edit := config.Edit{Evacuate: &config.Evacuate{Zone: zone, Evacuated: evacuated, Force: evacuated && s.cmd.Bool(flagForce)}}
		accepted, err := s.Edit(ctx, verb+" zone "+zone, edit)
		if err != nil {
			return err
		}
		return s.show(accepted, func() { printAccepted(s.out, accepted) })
	}
}

// zoneStatus is an availability zone with what is known of its state.
type zoneStatus struct {
	Zone      string `json:"zone"`
	Targets   int    `json:"targets"`
	Evacuated bool   `json:"evacuated"`
	// Rollout is the state of the newest revision, and by how many nodes it is in force.
	Rollout string `json:"rollout"`
}

func listZones(ctx context.Context, s *session) error {
	doc, err := s.Config(ctx)
	if err != nil {
		return err
	}
	status, err := s.Status(ctx)
	if err != nil {
		return err
	}
	list := zones(doc.Config, progress(status.Revision))
	return s.show(list, func() {
		t := newTable(s.out, "ZONE", "TARGETS", "STATE", "NEWEST REVISION")
		for _, z := range list {
			state := "serving"
			if z.Evacuated {
				state = "evacuated"
			}
			t.add(z.Zone, z.Targets, state, z.Rollout)
		}
		t.flush()
	})
}

// zones returns the zones that have targets or are evacuated, sorted by name.
func zones(c config.Config, rollout string) []zoneStatus {
	targets := map[string]int{}
	for _, zone := range c.EvacuatedZones {
		targets[zone] = 0
	}
	for _, t := range c.Targets {
		targets[t.Zone]++
	}
	var list []zoneStatus
	for _, zone := range slices.Sorted(maps.Keys(targets)) {
		list = append(list, zoneStatus{zone, targets[zone], c.Evacuated(zone), rollout})
	}
	return list
}
