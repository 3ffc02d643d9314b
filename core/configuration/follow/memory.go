package follow

import (
	"runtime/debug"
	"time"

	"verbenashift/core/configuration/config"
)

// releaseDelay lets the old configuration fall out of use first.
const releaseDelay = 2 * time.Second

// ReleaseMemory gives back to the system what reading a configuration took and
// no longer needs, which the runtime would else keep for minutes. It is for
// OnChange in a program: one collection for each of a few hundred changes a
// day costs nothing that shows.
func ReleaseMemory(*config.Index) {
	time.AfterFunc(releaseDelay, debug.FreeOSMemory)
}
