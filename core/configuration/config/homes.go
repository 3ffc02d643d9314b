package config

import (
	"slices"
	"time"
)

// The bounds of the past target lists that a configuration retains. The time
// exceeds how long agents retain keys, with a margin for clock differences.
const (
	maxPastTargets = 16
	pastTargetsTTL = 2 * time.Hour
)

// TargetNames returns the names of all targets.
func TargetNames(c Config) []string {
	names := make([]string, 0, len(c.Targets))
	for _, t := range c.Targets {
		names = append(names, t.Name)
	}
	return names
}

// HomeNames returns the names of the targets whose agents are homes of keys.
// The only target of a model or service is excluded as long as there are others:
// home and executor of a key are different agents, so a key whose home is the
// only target that can run it could never run.
func HomeNames(c Config) []string {
	pools := make(map[string]int, len(c.Targets))
	for _, t := range c.Targets {
		pools[t.Model+"/"+t.Service]++
	}
	var names []string
	for _, t := range c.Targets {
		if pools[t.Model+"/"+t.Service] > 1 {
			names = append(names, t.Name)
		}
	}
	if names == nil {
		return TargetNames(c)
	}
	return names
}

// recordPastTargets adds the replaced target list of old to next.
func recordPastTargets(old Config, next *Config, unixMillis int64) {
	homes, names := HomeNames(old), TargetNames(old)
	if len(names) == 0 || slices.Equal(homes, HomeNames(*next)) && slices.Equal(names, TargetNames(*next)) {
		return
	}
	oldest := unixMillis - pastTargetsTTL.Milliseconds()
	past := slices.DeleteFunc(slices.Clone(old.PastTargets), func(p PastTargets) bool { return p.ReplacedUnixMillis < oldest })
	next.PastTargets = appendBounded(past, maxPastTargets, PastTargets{
		Revision: old.Revision, Homes: homes, Names: names, ReplacedUnixMillis: unixMillis,
	})
}
