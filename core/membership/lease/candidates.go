package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidates returns the agents in the order in which they should take over the
// role: by rendezvous hashing, so that roles are spread evenly and the loss of
// an agent moves only its own roles. The given slice is not changed.
func Candidates(role string, agents []string) []string {
	scores := make(map[string]uint64, len(agents))
	for _, a := range agents {
		scores[a] = xxhash.Sum64String(role + "\x00" + a)
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

// Takeover determines when an agent that hears nothing from a role's holder
// tries to acquire the role. Only the first MaxCandidates candidates ever do, one
// after another, so that an expired lease costs a few calls and not one from each
// member.
type Takeover struct {
	// HolderTimeout is how long the holder may be silent.
	HolderTimeout time.Duration
	// Stagger is the pause between one candidate and the next.
	Stagger time.Duration
	// MaxCandidates is the number of candidates; 0 means all.
	MaxCandidates int
}

// Due reports whether self should want the role, the holder having been last heard
// from at lastHeard. The agents are those not draining; an agent that is not among
// them, or too far down the order, never takes over.
func (t Takeover) Due(now, lastHeard time.Duration, role, self string, agents []string) bool {
	i := slices.Index(Candidates(role, agents), self)
	if i < 0 || t.MaxCandidates > 0 && i >= t.MaxCandidates {
		return false
	}
	return now-lastHeard >= t.HolderTimeout+time.Duration(i)*t.Stagger
}

// CallsPerMinute returns the calls to the store that renew the leases of the given
// number of roles for a minute: one renewal for each role and interval. Nobody else
// reads or watches the key.
func CallsPerMinute(roles int, cfg Config) float64 {
	return float64(roles) * float64(time.Minute) / float64(cfg.withDefaults().Renew)
}
