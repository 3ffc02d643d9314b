package follow

import (
	"runtime/debug"
	"time"

	"verbenashift/core/configuration/config"
)

// releaseDelay leaves time for the last uses of the old configuration to end.
const releaseDelay = 2 * time.Second

// ReleaseMemory returns the memory that decoding a configuration needed to the
// operating system, which the runtime would otherwise retain for minutes. It is
// for OnChange in a program: one garbage collection for each of a few hundred
// changes a day has no noticeable cost.
func ReleaseMemory(*config.Index) {
	time.AfterFunc(releaseDelay, debug.FreeOSMemory)
}
