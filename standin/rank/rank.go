// Package rank is a fake of one rank of an expert-parallel group.
//
// The ranks of a group advance in lockstep: none begins a step before all
// members of its epoch have completed the previous one. They know each other by a
// list of addresses and synchronize at a barrier, which the first member of the
// epoch keeps, by datagrams that may be lost. Each rank records for the judge
// which map it used in which step.
//
// A rank meets the requirements of package core/experts/group for an engine, by
// that package's reference implementation. The fault ignore-wait breaks them: the
// rank continues with its old map at the step at which it promised to stop.
//
// # Usage
//
//	r := rank.New(rank.Config{Name: "bole-3", Group: "caption", Index: 3, Order: names}, link)
//	go r.Run(ctx)
//	e := engine.New(engine.Config{Rank: r}, l)
package rank

import (
	"context"
	"sync"
	"time"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/core/membership/lease"
	"verbenashift/standin/judge"
)

// Config holds the settings of a rank.
type Config struct {
	// Name is the rank's target; Index is its position in the group's maps.
	Name  string
	Group string
	Index int
	// Order lists the names of the group's ranks in the order of the maps.
	Order []string
	// Step is the duration of a step with a balanced load. It is multiplied by the
	// rank's load relative to the mean.
	Step time.Duration
	// HonourFencing rejects orders with an older number.
	HonourFencing bool
	// Model is the model whose weights Store reads.
	Model string
	Store WeightStore
	// Drift generates the loads of the experts.
	Drift Drift
	// Slots is the number of expert slots of a rank in a layer.
	Slots int
	// IgnoreWait sets the fault ignore-wait at the start.
	IgnoreWait bool
}

// WeightStore reads parts of experts' weights.
type WeightStore interface {
	// Size returns the size of one expert's weights in bytes.
	Size(ctx context.Context, model string, layer int, expert int32) (int64, error)
	// Read reads a part and returns the number of bytes received.
	Read(ctx context.Context, model string, w rank.WeightsRequest) (int64, error)
}

// Link sends messages to other ranks of the group. Messages may be lost.
type Link interface {
	Send(to string, m StepMessage)
}

// weight identifies the weights of one expert.
type weight struct {
	layer  int
	expert int32
}

// Rank is the fake rank. Use New.
type Rank struct {
	cfg  Config
	link Link
	work chan struct{}

	mu     sync.Mutex
	rank   group.Rank
	stalls uint64
	// stalledStep is the last step for which a stall was counted.
	stalledStep uint64
	maps        map[group.Version]rank.Placement
	memory      map[weight]int64
	faults      faults

	// allDone is the last step that all members of barrierEpoch have completed.
	allDone      uint64
	barrierEpoch lease.Number
	// offset is the difference between the step numbers in the ledger and those of
	// the epoch. It keeps a later epoch from reusing step numbers of the ledger.
	offset  int64
	barrier barrier
	// stepEnds is when the step in progress completes.
	stepEnds time.Time
	// lastReport is the last report to the barrier, sent at reportedAt.
	lastReport StepMessage
	reportedAt time.Time

	ledger     judge.Rank
	ledgerStep uint64
}

// New returns a rank that has just started and belongs to no epoch.
func New(cfg Config, link Link) *Rank {
	r := &Rank{
		cfg: cfg, link: link, work: make(chan struct{}, 1),
		maps: make(map[group.Version]rank.Placement), memory: make(map[weight]int64),
		ledger: judge.Rank{Group: cfg.Group, Rank: cfg.Index, Spans: []judge.Span{}},
	}
	r.rank.State.Incarnation = uint64(time.Now().UnixNano())
	r.faults.ignoreWait = cfg.IgnoreWait
	if cfg.HonourFencing {
		r.rank.Fencing = lease.HonoursFencing
	}
	return r
}

// pollInterval bounds the time between two calls of advance.
const pollInterval = 20 * time.Millisecond

// Run advances the rank until ctx ends.
func (r *Rank) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(r.advance(time.Now()))
		select {
		case <-timer.C:
		case <-r.work:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Rank) wake() {
	select {
	case r.work <- struct{}{}:
	default:
	}
}

// advance completes the step in progress if its time is over, begins the next one
// if all members are ready for it, and returns the delay until the next call.
func (r *Rank) advance(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.rank.State
	if !s.Ready() || now.Before(r.faults.stallUntil) {
		return pollInterval
	}
	if !s.Waiting {
		if left := r.stepEnds.Sub(now); left > 0 {
			return left
		}
		r.rank.Finish()
	}
	if !r.peersDone() {
		r.reportDone(now)
	}
	if !r.peersDone() {
		return pollInterval
	}
	return r.begin(now)
}

// peersDone reports whether all members of the epoch have completed the step
// before Next.
func (r *Rank) peersDone() bool {
	s := &r.rank.State
	return r.barrierEpoch == s.Epoch && r.allDone+1 >= s.Next
}

// begin begins the next step, unless the rank has to wait for the outcome of a
// switch.
func (r *Rank) begin(now time.Time) time.Duration {
	s := &r.rank.State
	if r.faults.ignoreWait && !s.Armed.Number.IsZero() && s.Next >= s.Armed.Step {
		s.Armed, s.Committed = group.Switch{}, false
	}
	step, version, ok := r.rank.Begin()
	if !ok {
		if r.stalledStep != s.Next {
			r.stalledStep, r.stalls = s.Next, r.stalls+1
		}
		return pollInterval
	}
	r.record(step, version)
	d := time.Duration(float64(r.cfg.Step) * r.relativeLoad(now))
	r.stepEnds = now.Add(d)
	return d
}

// record adds a step to the ledger.
func (r *Rank) record(step uint64, version group.Version) {
	r.ledgerStep = uint64(int64(step) + r.offset)
	spans := r.ledger.Spans
	if n := len(spans); n > 0 && spans[n-1].Map == uint64(version) && spans[n-1].To+1 == r.ledgerStep {
		spans[n-1].To = r.ledgerStep
		return
	}
	r.ledger.Spans = append(spans, judge.Span{From: r.ledgerStep, To: r.ledgerStep, Map: uint64(version)})
}

// Ledger returns a copy of the rank's ledger.
func (r *Rank) Ledger() judge.Rank {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.ledger
	l.Spans = append([]judge.Span{}, l.Spans...)
	return l
}

// State returns the rank's state as it reports it.
func (r *Rank) State() rank.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rank.State{RankState: r.rank.State, Stalls: r.stalls}
}
