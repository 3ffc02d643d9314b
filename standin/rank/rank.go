// Package rank is a small fake of one rank of an expert-parallel group.
//
// The ranks of a group advance in lock-step: none begins a step before all
// ranks of its epoch have done the one before. They find each other by a list
// of addresses and meet at the first rank of the epoch, by datagrams that may be
// lost. Each rank writes down which map it used in which step, for the judge.
//
// A rank keeps what package core/experts/group wants of an engine, by that package's
// reference. It has a switch, ignore-wait, that makes it a faulty one: it goes
// on with its old map at the step for which it promised to stop.
//
// # Usage
//
//	r := rank.New(rank.Config{Name: "bole-3", Group: "caption", Peers: peers}, link)
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
	// Name is the rank's target; Index its place in the group's maps.
	Name  string
	Group string
	Index int
	// Order names the group's ranks in the order of the maps.
	Order []string
	// Step is the time of a step with an even load. The step of a rank takes as
	// much longer as its load is above the mean.
	Step time.Duration
	// HonourFencing refuses orders with an older number.
	HonourFencing bool
	// Model names the weights; Store reads them.
	Model string
	Store WeightStore
	// Drift makes the loads of the experts.
	Drift Drift
	// Slots is how many experts of a layer a rank holds.
	Slots int
	// IgnoreWait sets the switch of that name at the start.
	IgnoreWait bool
}

// WeightStore reads parts of experts' weights.
type WeightStore interface {
	// Size returns the size of one expert's weights in bytes.
	Size(ctx context.Context, model string, layer int, expert int32) (int64, error)
	// Read reads a part and returns how many bytes have come.
	Read(ctx context.Context, model string, w rank.WeightsRequest) (int64, error)
}

// Link carries messages to other ranks of the group. They may be lost.
type Link interface {
	Send(to string, m StepMessage)
}

// weight names one expert's weights.
type weight struct {
	layer  int
	expert int32
}

// Rank is the fake. Use New.
type Rank struct {
	cfg  Config
	link Link
	work chan struct{}

	mu     sync.Mutex
	rank   group.Rank
	stalls uint64
	// stalled is the step for which a stall has been counted.
	stalled uint64
	maps    map[group.Version]rank.Placement
	memory  map[weight]int64
	faults  faults

	// allowed is the last step that all ranks of the epoch have done.
	allowed uint64
	meeting lease.Number
	// offset is the difference between the numbers in the ledger and those of
	// the epoch: a step's number in the ledger is never used again in a later
	// epoch.
	offset int64
	hub    hub
	// ends is when the step in progress is done.
	ends time.Time
	// told is what this rank has last told the meeting place, and sent when.
	told StepMessage
	sent time.Time

	ledger judge.Rank
	used   uint64
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
		r.rank.Habit = lease.HonoursFencing
	}
	return r
}

// idlePause bounds the time between two looks at what there is to do.
const idlePause = 20 * time.Millisecond

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

// advance ends the step in progress if it is done, begins the next one if all
// ranks have come to it, and returns when to look again.
func (r *Rank) advance(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.rank.State
	if !s.Ready() || now.Before(r.faults.stallUntil) {
		return idlePause
	}
	if !s.Waiting {
		if left := r.ends.Sub(now); left > 0 {
			return left
		}
		r.rank.Finish()
	}
	if !r.met() {
		r.tellDone(now)
	}
	if !r.met() {
		return idlePause
	}
	return r.begin(now)
}

// met reports whether all ranks of the epoch have done the step before Next.
func (r *Rank) met() bool {
	s := &r.rank.State
	return r.meeting == s.Epoch && r.allowed+1 >= s.Next
}

// begin begins the next step, unless the rank has to wait for an outcome.
func (r *Rank) begin(now time.Time) time.Duration {
	s := &r.rank.State
	if r.faults.ignoreWait && !s.Armed.Number.IsZero() && s.Next >= s.Armed.Step {
		s.Armed, s.Committed = group.Switch{}, false
	}
	step, version, ok := r.rank.Begin()
	if !ok {
		if r.stalled != s.Next {
			r.stalled, r.stalls = s.Next, r.stalls+1
		}
		return idlePause
	}
	r.record(step, version)
	d := time.Duration(float64(r.cfg.Step) * r.relativeLoad(now))
	r.ends = now.Add(d)
	return d
}

// record writes a step down.
func (r *Rank) record(step uint64, version group.Version) {
	r.used = uint64(int64(step) + r.offset)
	spans := r.ledger.Spans
	if n := len(spans); n > 0 && spans[n-1].Map == uint64(version) && spans[n-1].To+1 == r.used {
		spans[n-1].To = r.used
		return
	}
	r.ledger.Spans = append(spans, judge.Span{From: r.used, To: r.used, Map: uint64(version)})
}

// Ledger returns a copy of what the rank has written down.
func (r *Rank) Ledger() judge.Rank {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.ledger
	l.Spans = append([]judge.Span{}, l.Spans...)
	return l
}

// State returns what the rank tells of itself.
func (r *Rank) State() rank.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rank.State{RankState: r.rank.State, Stalls: r.stalls}
}
