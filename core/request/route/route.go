// Package route picks the target of a request.
//
// A Table holds what one entry knows of every target: current loads that
// agents piggyback on their responses, lagging reports, and the entry's own
// requests since. Pick scores a few candidates by their expected time to the
// first token: random ones of the entry's subset (the power of d choices,
// Mitzenmacher 2001), and those that the hash of the prompt's prefix selects,
// as long as their load is bounded (consistent hashing with bounded loads,
// Mirrokni et al. 2018). Its cost does not grow with the number of targets and
// it allocates nothing.
//
// The number of choices depends on how many entries share a target. With few
// entries, the best target of the whole subset is taken. With many, all of them
// see the same idle target before they see each other's requests, and two
// random choices keep them from overloading it.
//
// Targets with Slots are chosen by their free slots instead, for requests without a prefix: the
// entry's part of those that are reported, and those that its own requests have left since.
//
// The package is deterministic: time and randomness are arguments. A Table is
// not safe for concurrent use.
//
// # Usage
//
//	t := route.New(route.Options{Entry: "entry-1", Zone: "bole"})
//	t.Update(targets) // at each revision of the configuration
//	i, ok := t.Pick(&route.Query{Model: "caption", Prefix: p, Cost: 300}, now, rng)
//	if !ok {
//		return notRun
//	}
//	t.Start(i, 300, now)
//	// ... the agent's end frame brings its load:
//	t.End(i, 300, started)
//	t.Left(i, time.Now())
//	t.Observe(i, load, time.Now())
package route

import (
	"time"

	"verbenashift/core/request/residency"
)

// Target is the configuration of one target.
type Target struct {
	Name   string
	Region string
	Zone   string
	// Model or Service is what the target serves; exactly one of them is set.
	Model   string
	Version string
	// Adapters are the adapters that the target has or may load.
	Adapters []string
	Service  string
	// Role is RolePrefill, RoleDecode or empty for both.
	Role string
	// Group is the expert-parallel group; empty for none.
	Group string
	// Drained says that the operator wants no new work on the target.
	Drained bool
	// Slots is how many requests the target runs at once, if requests without a Prefix should be
	// placed by the free slots of targets; 0 otherwise.
	Slots int
}

// The roles of targets that serve one phase only.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Load is the state of a target as its agent measured it.
type Load struct {
	// Incarnation numbers the agent's processes; a lower one is stale.
	Incarnation uint64
	// Queued is the work waiting for a free slot in the batch, in tokens.
	Queued float64
	// Running is the number of requests in the batch.
	Running int
	// Occupied is the number of requests in the batch or waiting for it; it is used for targets
	// with Slots.
	Occupied int
	// Rate is the measured service rate in tokens a second; 0 is unknown.
	Rate     float64
	Draining bool
	// StepMs is the recent time of one step in milliseconds.
	StepMs float64
}

// Query describes a request that needs a target.
type Query struct {
	Model   string
	Service string
	// Group narrows the choice to the targets of one group; empty takes any.
	Group string
	// Version and Adapter narrow the choice; empty takes any.
	Version string
	Adapter string
	// Role is the requested phase. Empty requests a complete response, which targets
	// without a role give, and targets of RoleDecode.
	Role string
	// Prefix is the salted hash of the prompt's prefix (see Prefix); 0 means
	// that no target is likelier than another to have it cached.
	Prefix uint64
	// Cost is the expected work in tokens.
	Cost float64
	// CacheSavings is how many tokens of the cost a cached prefix saves.
	CacheSavings float64
	// Urgent and MayNotRepeat keep a request off half-open targets.
	Urgent       bool
	MayNotRepeat bool
	// Exclude lists targets that must not be chosen.
	Exclude Exclude
	// Zones are the availability zones in which a target may be; nil allows any.
	Zones residency.Set
}

// maxExclude bounds the excluded targets of one query: the home of its key and the targets
// tried before, whose number the retry policy keeps below this.
const maxExclude = 8

// Exclude is a small set of target indices that needs no allocation. The zero value is empty.
type Exclude struct {
	n   int
	set [maxExclude]uint16
}

// Add adds target i to the set. It reports false if the set is full and does not contain i.
func (e *Exclude) Add(i int) bool {
	if e.Has(i) {
		return true
	}
	if e.n == maxExclude {
		return false
	}
	e.set[e.n] = uint16(i)
	e.n++
	return true
}

// Has reports whether target i is in the set.
func (e *Exclude) Has(i int) bool {
	for _, x := range e.set[:e.n] {
		if int(x) == i {
			return true
		}
	}
	return false
}

// Options are the settings of a Table. Zero fields take the defaults.
type Options struct {
	// Entry names the entry; Region and Zone are where it runs.
	Entry  string
	Region string
	Zone   string
	// Index is the entry's position among the sorted names of Entries live entries. With
	// Entries zero the position is hashed from the name, which distributes the subsets less
	// evenly.
	Index   int
	Entries int
	// Subset is how many targets of a pool the entry chooses from at random.
	Subset int
	// Choices is the d of the power of d choices. Zero derives it from the number of entries
	// that share a target; see the package comment.
	Choices int
	// LoadBound is the highest load at which a target still gets requests by prefix affinity,
	// as a multiple of the mean.
	LoadBound float64
	// LoadDecay is the time constant with which an ageing load approaches the mean of all
	// targets.
	LoadDecay time.Duration
	// ZonePenalty and RegionPenalty are added to the expected time of targets
	// in another zone or region.
	ZonePenalty   time.Duration
	RegionPenalty time.Duration
}

// The defaults of Options.
const (
	DefaultSubset        = 20
	DefaultLoadBound     = 1.25
	DefaultLoadDecay     = 250 * time.Millisecond
	DefaultZonePenalty   = 2 * time.Millisecond
	DefaultRegionPenalty = 80 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Subset <= 0 {
		o.Subset = DefaultSubset
	}
	if o.LoadBound <= 0 {
		o.LoadBound = DefaultLoadBound
	}
	if o.LoadDecay <= 0 {
		o.LoadDecay = DefaultLoadDecay
	}
	if o.ZonePenalty <= 0 {
		o.ZonePenalty = DefaultZonePenalty
	}
	if o.RegionPenalty <= 0 {
		o.RegionPenalty = DefaultRegionPenalty
	}
	return o
}
