package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidates returns the agents in the order in which they should take over the
// duty: by rendezvous hashing, so that duties are spread evenly and the loss of
// an agent moves only its own duties. The slice given is not changed.
func Candidates(duty string, agents []string) []string {
	scores := make(map[string]uint64, len(agents))
	for _, a := range agents {
		scores[a] = xxhash.Sum64String(duty + "\x00" + a)
	}
	ordered := slices.Clone(agents)
	slices.SortFunc(ordered, func(a, b string) int {
		if scores[a] == scores[b] {
			return strings.Compare(a, b)
		}
		if scores[a] > scores[b] {
			return -1
		}
		return 1
	})
	return ordered
}

// Takeover says when an agent that hears nothing from a duty's holder asks the
// store for it. Only the first Width candidates ever ask, one after another, so
// that a lapsed lease costs a few calls and not one from each member.
type Takeover struct {
	// HolderTimeout is how long the holder may be quiet.
	HolderTimeout time.Duration
	// Stagger is the pause between one candidate and the next.
	Stagger time.Duration
	// MaxCandidates is the number of candidates; 0 means all.
	MaxCandidates int
}

// Due reports whether self should want the duty, the holder having been heard
// at heard. Agents are those not draining; an agent that is not among them, or
// too far down the order, never asks.
func (t Takeover) Due(now, heard time.Duration, duty, self string, agents []string) bool {
	i := slices.Index(Candidates(duty, agents), self)
	if i < 0 || t.MaxCandidates > 0 && i >= t.MaxCandidates {
		return false
	}
	return now-heard >= t.HolderTimeout+time.Duration(i)*t.Stagger
}

// CallsPerMinute returns the calls on the store that keep the given number of
// duties for a minute: one renewal for each duty and interval. Nobody else
// reads or watches the key.
func CallsPerMinute(duties int, cfg Config) float64 {
	return float64(duties) * float64(time.Minute) / float64(cfg.withDefaults().Renew)
}
