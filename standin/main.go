// Standin runs fake implementations of the platform and of targets for tests,
// and the client that replays the requests of a closing.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"verbenashift/standin/client"
	"verbenashift/standin/engine"
	"verbenashift/standin/fleet"
	"verbenashift/standin/plain"
	"verbenashift/standin/platform"
)

func main() {
	cmd := &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in of the platform, of a target or of a caller",
		Commands: []*cli.Command{
			engine.Command(),
			plain.Command(),
			platform.Command(),
			client.Command(),
			client.WorkloadCommand(),
			fleet.Command(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
