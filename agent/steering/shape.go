package steering

import (
	"slices"
	"sync"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/core/membership/lease"
	"verbenashift/core/plumbing/settings"
)

// Settings are the settings of an agent's part in an expert-parallel
// group.
type Settings struct {
	// ProbeInterval is the steward's interval of probes while all is well, and Silence
	// how long it may be quiet before another agent asks for its duty.
	ProbeInterval      time.Duration
	CoordinatorTimeout time.Duration
	// LeaseTTL is that of the steward's lease.
	LeaseTTL time.Duration
	// PlanInterval is the time between two looks at the loads.
	PlanInterval time.Duration
	// LostRanks is how many ranks the group can be formed without, and DeadAfter
	// how long an agent may be silent before its rank counts as lost.
	LostRanks int
	DeadAfter time.Duration
	// ExpertBytes is the size of one expert's weights in a layer, StoreRate the
	// group's share of the weight store in bytes a second, and Spare how many
	// experts a rank has room for beside those of the map in force.
	ExpertBytes int
	StoreRate   int
	SpareSlots  int
}

// Declare names the settings with their defaults and bounds.
func (c *Settings) Declare(s *settings.Set) {
	const section = "group"
	s.Duration(section, "beat", &c.ProbeInterval, 5*time.Second, 100*time.Millisecond, time.Minute, "time between the steward's probes while all is well")
	s.Duration(section, "silence", &c.CoordinatorTimeout, 20*time.Second, time.Second, 10*time.Minute, "how long the steward may be quiet before another agent asks for its duty")
	s.Duration(section, "lease", &c.LeaseTTL, lease.DefaultTTL, time.Second, time.Minute, "lease of the steward's duty")
	s.Int(section, "lost-ranks", &c.LostRanks, 1, 0, 1<<16, "ranks", "how many ranks the group can be formed without; with fewer it waits")
	s.Duration(section, "dead-after", &c.DeadAfter, 10*time.Second, time.Second, 10*time.Minute, "how long an agent may be silent before the group is formed without its rank")
	s.Duration(section, "plan-interval", &c.PlanInterval, time.Minute, 100*time.Millisecond, time.Hour, "time between two looks at the experts' loads")
	s.Int(section, "expert-size", &c.ExpertBytes, defaultExpertBytes, 1, 1<<40, "bytes", "weights of one expert in one layer")
	s.Int(section, "store-rate", &c.StoreRate, defaultStoreRate, 1, 1<<40, "bytes a second", "what the weight store gives to the group")
	s.Int(section, "spare-slots", &c.SpareSlots, 8, 1, 1<<16, "experts", "experts, of all layers together, that a rank has room for beside those in use")
}

// The defaults of Settings.
const (
	defaultExpertBytes = 1 << 20
	defaultStoreRate   = 64 << 20
)

// Shape is a group as configured.
type Shape struct {
	name  string
	model string
	// members are the ranks in the order of the maps, addresses their agents.
	members   []string
	addresses map[string]string
	// candidates are the members whose agents may hold the duty.
	candidates []string
	layers     int
	expert     expert.Group
	policy     expert.Policy
	// confirmed says that an operator has confirmed an intent for the group.
	confirmed bool
	habit     lease.FencingSupport

	once         sync.Once
	first        rank.Placement
	firstVersion group.Version
}

// initialVersion returns the version of initial.
func (s *Shape) initialVersion() group.Version {
	s.start()
	return s.firstVersion
}

// initial returns the map of a group that has none yet. It is a function of the
// shape, so that every agent knows its content.
func (s *Shape) initial() rank.Placement {
	s.start()
	return s.first
}

// start makes the initial map once: it is asked for at each look at the steward.
func (s *Shape) start() {
	s.once.Do(func() {
		even := slices.Repeat([]float64{1}, s.expert.Experts)
		s.first = slices.Repeat(rank.Placement{expert.Place(&s.expert, even)}, s.layers)
		s.firstVersion = s.first.Version()
	})
}

// minRanks returns the least number of ranks that go on without the others: so
// many may be lost, but those left need slots for every expert.
func (s *Shape) minRanks(lost int) int {
	needed := (s.expert.Experts + s.expert.Slots - 1) / s.expert.Slots
	return max(len(s.members)-lost, needed, 1)
}

// ShapeOf returns the group of a target as configured, or nil if the target is
// in none or the group cannot hold its experts.
func ShapeOf(x *config.Index, target string, cfg Settings) *Shape {
	t, ok := x.Target(target)
	if !ok || t.Group == "" {
		return nil
	}
	c, ok := x.Group(t.Group)
	if !ok {
		return nil
	}
	s := &Shape{
		name: c.Name, model: c.Model, layers: c.Layers, addresses: make(map[string]string),
		expert: expert.Group{Experts: c.Experts, Slots: c.SlotsPerRank, ExpertBytes: int64(cfg.ExpertBytes), StoreRate: int64(cfg.StoreRate)},
		policy: policyOf(c), confirmed: c.SkewWeight+c.CostWeight > 0,
	}
	if t.HonoursFencing {
		s.habit = lease.HonoursFencing
	}
	for _, m := range x.TargetsOfGroup(c.Name) {
		s.members = append(s.members, m.Name)
		s.addresses[m.Name] = m.Agent
		s.expert.Ranks = append(s.expert.Ranks, expert.Rank{Server: m.Name, Zone: m.Zone})
		if !m.Drained {
			s.candidates = append(s.candidates, m.Name)
		}
	}
	if s.layers < 1 || s.expert.Validate() != nil {
		return nil
	}
	return s
}

// policyOf returns the planner's policy for the weights of the confirmed
// intent: the preset whose measure weighs more.
func policyOf(c *config.Group) expert.Policy {
	if c.CostWeight > c.SkewWeight {
		return expert.Lakeshore()
	}
	return expert.Lightbox()
}
