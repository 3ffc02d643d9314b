package group

import (
	"slices"
	"time"

	"verbenashift/core/membership/lease"
)

// The defaults of StewardConfig.
const (
	defaultLead        = 16
	defaultMaxLead     = 1024
	defaultBeat        = 20 * time.Second
	defaultFastBeat    = 200 * time.Millisecond
	defaultSilentAfter = 3 * time.Second
	defaultRejoinAfter = 5 * time.Second
)

// seat is what the steward knows of one member.
type seat struct {
	report Report
	known  bool
	// heard is when the last report came. If owing, the probe of asked and those
	// after it have had no answer; probed is when the last one went out.
	heard  time.Duration
	owing  bool
	asked  time.Duration
	probed time.Duration
	// engine is the incarnation for which the present epoch was formed.
	engine uint64
	// back is since when the rank has answered without pause.
	back time.Duration
	// stalledSince is 0 for a rank that does not stall.
	stalledSince time.Duration
}

// Coordinator drives a group's switches and formings while its agent holds the
// duty. It is made anew for every lease and holds nothing that must last: what
// it needs is in the reports. Its adapter drops it when the lease is no longer
// valid, and asks lease.Holder.Valid right before each Tick and send.
type Coordinator struct {
	// given is the setting without its defaults.
	given CoordinatorConfig
	cfg   CoordinatorConfig
	fence uint64
	// sequence is the last base number given out.
	sequence uint64
	seats    map[string]*seat
	want     Version
	form     *Form
	// issued says that form is this steward's own and may be repeated.
	issued   bool
	announce bool
	prepare  *Prepare
	tally    *VoteCount
	// decided is the outcome of the last switch.
	decided  Outcome
	began    time.Duration
	formedAt time.Duration
	lead     uint64
	// swept is when all members were last probed out of turn.
	swept time.Duration
	// repeatAt is when unanswered messages are sent again; pause is the time
	// from then to the next, which doubles up to Beat.
	repeatAt time.Duration
	pause    time.Duration
	deposed  bool
}

// NewCoordinator returns the steward of a lease that was given under fence.
func NewCoordinator(cfg CoordinatorConfig, fence uint64, now time.Duration) *Coordinator {
	s := &Coordinator{given: cfg, cfg: cfg.withDefaults(), fence: fence, seats: make(map[string]*seat)}
	s.lead = s.cfg.Lead
	for _, m := range cfg.Members {
		s.seat(m, now)
	}
	s.swept = now
	s.hurry(now)
	return s
}

// seat makes sure that a member has a seat.
func (s *Coordinator) seat(member string, now time.Duration) {
	if s.seats[member] == nil {
		s.seats[member] = &seat{probed: now - s.cfg.ProbeInterval}
	}
}

// SetMembers changes the configured ranks, as when an instance is replaced by
// one of another name. The group is formed again once enough of them answer.
func (s *Coordinator) SetMembers(now time.Duration, members []string) {
	if slices.Equal(members, s.cfg.Members) {
		return
	}
	s.given.Members = slices.Clone(members)
	s.cfg = s.given.withDefaults()
	for _, m := range members {
		s.seat(m, now)
	}
}

// SetDesired sets the map that the group should use; the zero Version means the one it
// uses. A change before ranks are armed drops the switch that was prepared.
func (s *Coordinator) SetDesired(v Version) {
	if v == s.want {
		return
	}
	s.want, s.prepare = v, nil
}

// Superseded reports whether a member knows of a newer lease. The adapter gives up
// the duty then.
func (s *Coordinator) Superseded() bool {
	return s.deposed
}

// Settled reports whether every member is in one epoch, no switch is under way
// and the wanted map is in force.
func (s *Coordinator) Settled() bool {
	if s.form == nil || s.announce || s.tally != nil {
		return false
	}
	for _, m := range s.form.Members {
		r := s.seats[m].report
		if r.Rank.Epoch != s.form.Number || !r.Rank.Armed.Number.IsZero() {
			return false
		}
		if s.want != 0 && r.Rank.Version != s.want {
			return false
		}
	}
	return true
}

// Receive takes a message from a member's agent.
func (s *Coordinator) Receive(now time.Duration, from string, msg Message) []Action {
	if s.seats[from] == nil || s.deposed {
		return nil
	}
	switch msg := msg.(type) {
	case Report:
		s.reported(now, from, msg)
		return s.work(now)
	case VoteResponse:
		if s.tally != nil && s.tally.Switch.Number == msg.Number {
			s.tally.Add(from, msg.Vote)
			return s.finish(now)
		}
	}
	return nil
}

func (s *Coordinator) reported(now time.Duration, from string, r Report) {
	if r.Fence > s.fence {
		s.deposed = true
		return
	}
	st := s.seats[from]
	// A report that was overtaken by a later one would bring back an old state.
	if st.known && !st.report.before(r) {
		return
	}
	if len(r.Rank.Members) == 0 && r.Rank.Epoch == st.report.Rank.Epoch {
		r.Rank.Members = st.report.Rank.Members
	}
	if !st.known || s.silent(now, st) || r.Health == Dead {
		st.back = now
	}
	st.report, st.known, st.heard, st.owing = r, true, now, false
	switch {
	case r.Health != Stalled:
		st.stalledSince = 0
	case st.stalledSince == 0:
		st.stalledSince = now
	}
	if r.Health != Stepping && now-s.swept >= s.cfg.DeadAfter {
		s.sweep(now)
	}
}

// sweep has every member probed at the next tick. Members tell when their ranks
// stop, and in a lock-step group all ranks stop when one does, so that even an
// instance that died with its agent is missed at once between rare probes.
func (s *Coordinator) sweep(now time.Duration) {
	s.swept = now
	for _, st := range s.seats {
		st.probed = now - s.cfg.ProbeInterval
	}
}

// Tick lets time pass: it probes, and repeats what has not been answered.
func (s *Coordinator) Tick(now time.Duration) []Action {
	if s.deposed {
		return nil
	}
	acts := append(s.probe(now), s.work(now)...)
	if now < s.repeatAt {
		return acts
	}
	s.repeatAt = now + s.pause
	s.pause = min(2*s.pause, s.cfg.ProbeInterval)
	return append(acts, s.repeat()...)
}

// hurry makes repeats frequent again, at the start of something new.
func (s *Coordinator) hurry(now time.Duration) {
	s.pause = s.cfg.FastProbeInterval
	s.repeatAt = now + s.pause
}

// probe asks for reports: each member now and then, and those that owe an
// answer often.
func (s *Coordinator) probe(now time.Duration) []Action {
	var acts []Action
	for _, m := range s.cfg.Members {
		st := s.seats[m]
		pause := s.cfg.ProbeInterval
		if st.owing {
			pause = s.cfg.FastProbeInterval
		}
		if now-st.probed < pause {
			continue
		}
		if !st.owing {
			st.owing, st.asked = true, now
		}
		st.probed = now
		acts = append(acts, Send{To: m, Message: Probe{Fence: s.fence, Known: s.knownEpoch(st)}})
	}
	return acts
}

// knownEpoch returns the epoch whose members the member need not list again.
func (s *Coordinator) knownEpoch(st *seat) lease.Number {
	if s.form == nil && len(st.report.Rank.Members) == 0 {
		return lease.Number{}
	}
	return st.report.Rank.Epoch
}

// next returns a fresh base number.
func (s *Coordinator) next() lease.Number {
	s.sequence += places
	return lease.Number{Fence: s.fence, Sequence: s.sequence}
}

// work does what the reports call for. It is safe to call at any time: nothing
// depends on which message came last.
func (s *Coordinator) work(now time.Duration) []Action {
	if s.deposed {
		return nil
	}
	acts, busy := s.workForm(now)
	switch {
	case busy:
		return acts
	case s.tally != nil:
		return append(acts, s.finish(now)...)
	}
	if asked := s.adoptSwitch(now); len(asked) > 0 {
		return append(acts, asked...)
	}
	return append(acts, s.workSwitch(now)...)
}

// repeat sends again what a member has not yet answered.
func (s *Coordinator) repeat() []Action {
	switch {
	case s.form == nil:
		return nil
	case s.announce:
		return s.sendForm()
	case s.tally != nil:
		return s.sendArm()
	case s.prepare != nil:
		return append(s.sendOutcome(), s.sendPrepare()...)
	default:
		return s.sendOutcome()
	}
}
