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

// Settings are the settings of an agent's participation in an expert-parallel
// group.
type Settings struct {
	// ProbeInterval is the time between the coordinator's probes in a healthy
	// group. CoordinatorTimeout is the time without a message of the coordinator
	// after which another agent tries to take over the role.
	ProbeInterval      time.Duration
	CoordinatorTimeout time.Duration
	// LeaseTTL is the TTL of the coordinator's lease.
	LeaseTTL time.Duration
	// PlanInterval is the time between two plans.
	PlanInterval time.Duration
	// LostRanks is how many ranks the group can be formed without. DeadAfter is
	// how long an agent may send nothing before its rank counts as lost.
	LostRanks int
	DeadAfter time.Duration
	// ExpertBytes is the size of one expert's weights in a layer. StoreRate is
	// the group's share of the weight store in bytes per second. SpareSlots is
	// how many experts a rank has free memory for beside those of the map in
	// force.
	ExpertBytes int
	StoreRate   int
	SpareSlots  int
}

// Declare declares the settings with their defaults and bounds.
func (c *Settings) Declare(s *settings.Set) {
	const section = "group"
	s.Duration(section, "beat", &c.ProbeInterval, 5*time.Second, 100*time.Millisecond, time.Minute, "time between the steward's probes while all is well")
	s.Duration(section, "silence", &c.CoordinatorTimeout, 20*time.Second, time.Second, 10*time.Minute, "time without a message of the steward after which another agent takes over its role")
	s.Duration(section, "lease", &c.LeaseTTL, lease.DefaultTTL, time.Second, time.Minute, "time to live of the steward's lease")
	s.Int(section, "lost-ranks", &c.LostRanks, 1, 0, 1<<16, "ranks", "how many ranks may be missing when the group is formed; with more missing it waits")
	s.Duration(section, "dead-after", &c.DeadAfter, 10*time.Second, time.Second, 10*time.Minute, "time without a message of an agent after which the group is formed without its rank")
	s.Duration(section, "plan-interval", &c.PlanInterval, time.Minute, 100*time.Millisecond, time.Hour, "time between two plans made from the experts' loads")
	s.Int(section, "expert-size", &c.ExpertBytes, defaultExpertBytes, 1, 1<<40, "bytes", "weights of one expert in one layer")
	s.Int(section, "store-rate", &c.StoreRate, defaultStoreRate, 1, 1<<40, "bytes a second", "the group's share of the weight store's throughput")
	s.Int(section, "spare-slots", &c.SpareSlots, 8, 1, 1<<16, "experts", "experts, of all layers together, that a rank has room for beside those in use")
}

// The defaults of Settings.
const (
	defaultExpertBytes = 1 << 20
	defaultStoreRate   = 64 << 20
)

// Shape is the configuration of a group: its ranks, experts and policy.
type Shape struct {
	name  string
	model string
	// members are the ranks in the order of the maps, addresses those of their
	// agents.
	members   []string
	addresses map[string]string
	// candidates are the members whose agents may be the coordinator.
	candidates []string
	layers     int
	expert     expert.Group
	policy     expert.Policy
	// confirmed reports whether an operator has confirmed an intent for the group.
	confirmed bool
	fencing   lease.FencingSupport

	once              sync.Once
	initialMaps       rank.Placement
	initialMapVersion group.Version
}

// initialVersion returns the version of initial.
func (s *Shape) initialVersion() group.Version {
	s.computeInitial()
	return s.initialMapVersion
}

// initial returns the map of a group that has none yet. It depends on the shape
// only, so every agent computes the same map.
func (s *Shape) initial() rank.Placement {
	s.computeInitial()
	return s.initialMaps
}

// computeInitial computes the initial map once, because it is needed at each
// tick of the coordinator.
func (s *Shape) computeInitial() {
	s.once.Do(func() {
		uniform := slices.Repeat([]float64{1}, s.expert.Experts)
		s.initialMaps = slices.Repeat(rank.Placement{expert.Place(&s.expert, uniform)}, s.layers)
		s.initialMapVersion = s.initialMaps.Version()
	})
}

// minRanks returns the minimum number of ranks to form the group: all but lost
// of them, but no fewer than have slots for every expert.
func (s *Shape) minRanks(lost int) int {
	needed := (s.expert.Experts + s.expert.Slots - 1) / s.expert.Slots
	return max(len(s.members)-lost, needed, 1)
}

// ShapeOf returns the configured shape of a target's group, or nil if the target
// is in no group or the group's slots cannot hold its experts.
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
		s.fencing = lease.HonoursFencing
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

// policyOf returns the planner's policy for the confirmed intent: the preset of
// the larger one of its two weights, skew and cost.
func policyOf(c *config.Group) expert.Policy {
	if c.CostWeight > c.SkewWeight {
		return expert.Lakeshore()
	}
	return expert.Lightbox()
}
