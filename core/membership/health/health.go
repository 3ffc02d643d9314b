// Package health decides which targets an entry avoids.
//
// A target is ejected on consecutive failures, when it is much slower than its
// peers, or when it has not been heard from for too long. Ranks of an
// expert-parallel group advance in lock-step, so that a stalled rank slows all
// of them: step times are evaluated for the group as one unit, by its slowest
// rank. A floor limits how many targets of a pool may be ejected, since a fault
// that shows everywhere is likely the entry's own. An ejected target is probed
// with single requests and returns through a slow start. Outlier ejection and
// its floor are known from Envoy; the half-open state from circuit breakers
// (Nygard, Release It!).
//
// The package also checks delayed load reports: those that contradict what the
// agents report directly are no longer trusted.
//
// All code is deterministic: time and randomness are arguments. A Monitor is not
// safe for concurrent use.
//
// # Usage
//
//	m := health.New(health.Options{})
//	m.Update(members) // members[i] is target i of the route table
//	m.Succeed(i, firstToken, now)
//	m.Fail(i, health.Hard, now)
//	m.RecordStep(i, load.StepMs, now)
//	for _, c := range m.Tick(now, rng) { // every 250 ms
//		table.SetHealth(c.Target, c.Share, c.Probe)
//		table.SetTrust(c.Target, c.Trusted)
//	}
package health

import "time"

// Member is one target to monitor.
type Member struct {
	// Name identifies the target, so that a change of the target at an index is
	// noticed; empty means that there is none.
	Name string
	// Pool groups the targets that can replace each other, such as those of one
	// model.
	Pool string
	// Group is the expert-parallel group; empty for none.
	Group string
}

// State is the health state of a target.
type State int

// The states of a target.
const (
	// Healthy targets get their normal share of the work.
	Healthy State = iota
	// Ejected targets get no work for a time.
	Ejected
	// HalfOpen targets get single probe requests.
	HalfOpen
	// SlowStart targets get a growing share.
	SlowStart
)

var stateNames = [...]string{"healthy", "ejected", "half-open", "slow-start"}

// String returns the state's name in kebab case.
func (s State) String() string { return stateNames[s] }

// Severity weights a failure by how likely it is the target's own fault.
type Severity int

// The severities of failures, as they count towards ejection.
const (
	// Soft is a request that failed or broke off.
	Soft Severity = 1
	// Hard is a connection that was refused or reset before anything was sent.
	Hard Severity = 2
)

// Change is the new state of a target.
type Change struct {
	Target int
	State  State
	// Share is the fraction of its normal work that the target may get.
	Share float64
	// Probe allows one request to a half-open target.
	Probe bool
	// Trusted reports whether the target's delayed load reports are trusted.
	Trusted bool
	// Cause is why the target is ejected, for logs and metrics.
	Cause Cause
}

// Cause is why a target is ejected.
type Cause int

// The causes of ejection. A larger one is more certain: when the floor lets
// only some targets be ejected, these go first.
const (
	NoCause Cause = iota
	// PeerReported means that several other entries have ejected the target.
	PeerReported
	// Slow means that first tokens take much longer than at its peers.
	Slow
	// Straggler means that the steps of the target's group take much longer
	// than those of other groups.
	Straggler
	// Silent means that the target has not been heard from for too long.
	Silent
	// Failing means consecutive failures.
	Failing
)

var causeNames = [...]string{"none", "told", "slow", "straggler", "silent", "failing"}

// String returns the cause's name in kebab case.
func (c Cause) String() string { return causeNames[c] }

// Options are the settings of a Monitor. Zero fields take the defaults.
type Options struct {
	// Failures is the sum of the severities of consecutive failures that ejects.
	Failures int
	// Floor is the fraction of a pool that is never ejected.
	Floor float64
	// StepFactor and LatencyFactor are the multiples of the median of its
	// peers above which a target is slow.
	StepFactor    float64
	LatencyFactor float64
	// BaseEjection is the duration of a first ejection; it doubles up to
	// MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// SlowStart is the time over which a returning target regains its full share.
	SlowStart time.Duration
	// ProbeRate limits the unanswered probes a second to all targets together.
	ProbeRate float64
	// HeartbeatTimeout is how long a target that has sent heartbeats may be
	// silent before it is ejected.
	HeartbeatTimeout time.Duration
}

// The defaults of Options.
const (
	DefaultFailures         = 3
	DefaultFloor            = 0.5
	DefaultStepFactor       = 3
	DefaultLatencyFactor    = 5
	DefaultBaseEjection     = 5 * time.Second
	DefaultMaxEjection      = 10 * time.Second
	DefaultProbeRate        = 0.5
	DefaultSlowStart        = 10 * time.Second
	DefaultHeartbeatTimeout = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Failures, DefaultFailures)
	setDefault(&o.Floor, DefaultFloor)
	setDefault(&o.StepFactor, DefaultStepFactor)
	setDefault(&o.LatencyFactor, DefaultLatencyFactor)
	setDefault(&o.BaseEjection, DefaultBaseEjection)
	setDefault(&o.MaxEjection, DefaultMaxEjection)
	setDefault(&o.SlowStart, DefaultSlowStart)
	setDefault(&o.ProbeRate, DefaultProbeRate)
	setDefault(&o.HeartbeatTimeout, DefaultHeartbeatTimeout)
	return o
}

func setDefault[T int | float64 | time.Duration](v *T, to T) {
	if *v <= 0 {
		*v = to
	}
}
