package deployment

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"
)

// programs lists the packages of the programs that a deployment runs.
var programs = []string{"verbenashift/entry", "verbenashift/agent", "verbenashift/ctl", "verbenashift/standin", "verbenashift/gateway", "verbenashift/sidecar"}

// built holds the directory of the programs, which are built once per process.
var built struct {
	sync.Mutex
	dir string
}

// RaceEnv names the environment variable that, if not empty, makes Build compile the programs for the
// race detector.
const RaceEnv = "VERBENASHIFT_RACE"

// Build compiles the programs into a temporary directory, once per process, and
// returns the directory. The working directory must be inside the Go workspace.
// Call Clean when no deployment runs any more.
func Build(ctx context.Context) (string, error) {
	built.Lock()
	defer built.Unlock()
	if built.dir != "" {
		return built.dir, nil
	}
	dir, err := os.MkdirTemp("", "verbenashift-programs-")
	if err != nil {
		return "", errors.Wrap(err, "make directory")
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv(RaceEnv) != "" {
		args = append(args, "-race")
	}
	cmd := exec.CommandContext(ctx, "go", append(args, programs...)...)
	if out, err := cmd.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir)
		return "", errors.Wrapf(err, "build the programs: %s", out)
	}
	built.dir = dir
	return dir, nil
}

// Clean removes the programs that Build compiled.
func Clean() error {
	built.Lock()
	defer built.Unlock()
	dir := built.dir
	built.dir = ""
	if dir == "" {
		return nil
	}
	return os.RemoveAll(dir)
}
